"""Ways for a client to leave, on a blocking socket: when a call returns, the kernel has passed it to the router's socket."""

import socket
import struct


def fin(sock):
    sock.close()


def half(sock):
    sock.shutdown(socket.SHUT_WR)


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def junk_and_fin(sock):
    sock.sendall(b"x")
    sock.close()


CLIENT_ENDINGS = [fin, half, reset, junk_and_fin]
