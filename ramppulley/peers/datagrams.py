"""UDP transport between routers: one socket, which drives the state machines of `cluster/` and sends their output."""

import asyncio
import socket

from ramppulley.cluster.seal import MAX_DATAGRAM_SIZE, InvalidDatagram
from ramppulley.service.clock import TENTHS

MIN_TICK_DELAY = 10  # between two ticks, tenths of a millisecond: a state machine that is always due can't busy-loop
READ_BATCH = 256  # datagrams read per callback; the rest waits, so that the event loop serves other tasks
SOCKET_BUFFER = 1 << 20  # receive and send buffer of the socket, bytes


def bind_socket(host, port):
    """A bound UDP socket for `Datagrams`; raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER)
    sock.setblocking(False)
    return sock


class Datagrams:
    """One router's socket. `machines` by kind: each has `receive(now, address, payload, header)`, `tick(now)`, `due()` and
    `out`.

    `on_run()` is called after each run of the machines. `seal` authenticates the datagrams.
    """

    def __init__(self, seal, clock, sock, on_run):
        self.seal = seal
        self.clock = clock
        self.sock = sock
        self.on_run = on_run
        self.machines = {}
        self.address = sock.getsockname()[:2]
        self.timer = None
        self.loop = None
        self.due_at = 0  # when the timer runs the machines next
        self.sent = 0  # datagrams
        self.bytes = 0  # of those
        self.send_failures = 0
        self.due_times = {}  # cached due times by kind
        self.changed_kinds = set()  # kinds whose cached due time is outdated

    def start(self):
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.sock, self._read)
        self._run_machines()
        return self

    def _read(self):
        now = self.clock.now()
        for _ in range(READ_BATCH):
            try:
                data, address = self.sock.recvfrom(MAX_DATAGRAM_SIZE + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an ICMP error in response to a datagram that we sent
                continue
            try:
                header, payload = self.seal.open(data)
            except InvalidDatagram:
                continue  # counted by the seal
            machine = self.machines.get(header.kind)
            if machine is not None:
                machine.receive(now, address[:2], payload, header)
                self.changed_kinds.add(header.kind)
        self._run_machines()

    def _run_machines(self):
        now = self.clock.now()
        due = now + TENTHS
        if self.timer is not None:
            self.timer.cancel()
        try:
            for kind, machine in self.machines.items():
                if kind not in self.changed_kinds and self.due_times.get(kind, now) > now:
                    continue  # calling due() of every machine after each datagram cost more than the datagram
                if machine.due() <= now:
                    machine.tick(now)
                self.due_times[kind] = machine.due()
                for address, payload in machine.out:
                    self._send(address, self.seal.seal(kind, payload))
                machine.out.clear()
            self.on_run()
            self.changed_kinds.clear()
            due = min(self.due_times.values(), default=due)
        finally:  # the timer is set even if a machine raises, so that the others keep running
            self._schedule(due)

    def reschedule(self, kind, at):
        """The host changed the state of this machine: it may be due earlier now, at `at`."""
        self.changed_kinds.add(kind)
        if self.loop is not None and at < self.due_at:
            self.timer.cancel()
            self._schedule(at)

    def _schedule(self, at):
        self.due_at = at
        self.timer = self.loop.call_later(max(MIN_TICK_DELAY, at - self.clock.now()) / TENTHS, self._run_machines)

    def run_all_machines(self):
        """Runs all machines, after the host changed the state of some."""
        if self.loop is not None:
            self.changed_kinds.update(self.machines)
            self._run_machines()

    def _send(self, address, data):
        try:
            self.sock.sendto(data, address)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
        except OSError:  # send buffer full, or no route: the datagram is dropped, as the protocols tolerate loss
            self.send_failures += 1

    def close(self):
        if self.loop is not None:
            self.loop.remove_reader(self.sock)
            self.timer.cancel()
            self.loop = None
        self.sock.close()
