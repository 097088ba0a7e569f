"""Queries a running router for its view of the cluster, authenticated by the cluster key."""

import socket
import time
from random import SystemRandom

import msgspec

from ramppulley.cluster import showing
from ramppulley.cluster.seal import MAX_DATAGRAM_SIZE, InvalidDatagram, Seal

MAX_TRIES, TRY_TIMEOUT_S, MAX_ROWS = 4, 0.5, 100_000


class NoAnswerError(OSError):
    """No answer: no router listens there, or it has another key or cluster."""


def fetch_view(cluster, key, address):
    """All rows of a router's view (`daemon.cluster.Cluster.rows`); raises NoAnswerError or OSError."""
    rng = SystemRandom()
    seal, rows = Seal(cluster, key, f"~{rng.getrandbits(32):x}", rng), []
    with socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(address)
        while True:
            page = _page(sock, seal, len(rows))
            rows += page.rows
            if len(rows) >= page.total or not page.rows or len(rows) > MAX_ROWS:
                return rows


def set_sharing(cluster, key, rows, on):
    """Switches signals and leases on or off at all routers of a fetched view; returns (names that confirmed, all names)."""
    rng, reached = SystemRandom(), set()
    seal = Seal(cluster, key, f"~{rng.getrandbits(32):x}", rng)
    routers = {(host, port): name for name, state, *_, host, port, _ in rows if state in ("self", "alive", "suspect")}
    for (host, port), name in routers.items():
        with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect((host, port))
            for _ in range(MAX_TRIES):
                try:
                    sock.send(seal.seal("switch", b"on" if on else b"off"))
                    sock.settimeout(TRY_TIMEOUT_S)
                    if seal.open(sock.recv(MAX_DATAGRAM_SIZE + 1))[0].kind == "switch":
                        reached.add(name)
                        break
                except (InvalidDatagram, OSError):
                    continue
    return reached, set(routers.values())


def _page(sock, seal, first):
    for _ in range(MAX_TRIES):
        sock.send(seal.seal("show", showing.encode_request(first)))
        deadline = time.monotonic() + TRY_TIMEOUT_S
        while (remaining_s := deadline - time.monotonic()) > 0:
            sock.settimeout(remaining_s)
            try:
                _, payload = seal.open(sock.recv(MAX_DATAGRAM_SIZE + 1))
                page = showing.decode_page(payload)
            except (InvalidDatagram, msgspec.MsgspecError, TimeoutError):
                continue
            except ConnectionRefusedError:
                time.sleep(remaining_s)  # the router may be starting
                continue
            if page.first == first:
                return page
    raise NoAnswerError("no answer: is a router with this key there?")
