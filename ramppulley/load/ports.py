"""Ports for routers that are stopped and restarted during a run."""

import socket

LOOPBACK = "127.0.0.1"


def reserve_port(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """A socket bound to a free port. While it is open, only a program that names the port explicitly can listen there.

    Without the reservation the kernel could give the port to an outgoing connection before the program binds it.
    """
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, 0))
    return sock
