/* A library for LD_PRELOAD: steps the wall clock of a process and makes its system calls fail, controlled by a shared file.
 *
 * The file holds 64-bit numbers: the step of the wall clock in nanoseconds, then an errno and a count for each call below.
 * While the count is above 0, the call fails with that errno and decrements the count. The monotonic clock is not changed.
 * SLOW_TURN, in nanoseconds: a wait that returned events returns so much later, as on a machine without a free CPU.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { STEP, ACCEPT, CONNECT = 3, SETSOCKOPT = 5, SOCKET = 7, SLOW_TURN = 9, FIELDS = 16 };

static volatile int64_t *shared;

__attribute__((constructor)) static void open_shared(void)
{
    const char *path = getenv("RP_SHIM_FILE");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *map = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (map != MAP_FAILED)
        shared = map;
}

static int fails_next(int field)
{
    if (!shared || shared[field + 1] <= 0)
        return 0;
    shared[field + 1]--;
    errno = (int)shared[field];
    return 1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t id, struct timespec *ts)
{
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = REAL(clock_gettime);
    int status = real(id, ts);
    if (!status && shared && id == CLOCK_REALTIME) {
        int64_t total = (int64_t)ts->tv_sec * 1000000000 + ts->tv_nsec + shared[STEP];
        ts->tv_sec = total / 1000000000;
        ts->tv_nsec = total % 1000000000;
    }
    return status;
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    return fails_next(ACCEPT) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    return fails_next(ACCEPT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    return fails_next(CONNECT) ? -1 : REAL(connect)(fd, address, length);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    return fails_next(SETSOCKOPT) ? -1 : REAL(setsockopt)(fd, level, name, value, length);
}

int socket(int domain, int type, int protocol)
{
    return fails_next(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask)
{
    static int (*real)(int, struct epoll_event *, int, int, const sigset_t *);
    if (!real)
        real = REAL(epoll_pwait);
    int count = real(fd, events, max_events, timeout, mask);
    if (count > 0 && shared && shared[SLOW_TURN] > 0) {
        struct timespec pause = {shared[SLOW_TURN] / 1000000000, shared[SLOW_TURN] % 1000000000};
        int saved_errno = errno;
        nanosleep(&pause, NULL);
        errno = saved_errno;
    }
    return count;
}
