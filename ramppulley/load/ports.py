"""Ports for routers that come and go during a run."""

import socket

LOOPBACK = "127.0.0.1"


def reserve_port(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """A socket bound to a free port that nobody else is given while it is open: only who names the port may listen there.

    A port that was free a moment ago may be any outgoing connection's by the time that a program binds it.
    """
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, 0))
    return sock
