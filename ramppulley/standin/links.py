"""The links between routers and their faults: pure decisions on each datagram, and a relay that carries them out.

The tests with processes and the simulation share them. The same datagrams and seed give the same decisions.
Times: tenths of a millisecond.
"""

import struct
from collections import deque
from dataclasses import dataclass, replace

import msgspec

from ramppulley.cluster.seal import TAG_SIZE, unverified_header
from ramppulley.peers.datagrams import bind_socket

# Before each datagram: its target port on the way to the relay, its source port on the way from it.
PORT_HEADER = struct.Struct(">H")
MAX_QUEUE_BYTES = 1 << 20  # the queue of a link with a bandwidth limit; it drops datagrams beyond that


@dataclass(frozen=True)
class Link:
    """One direction from one router to another. Shares are of all its datagrams."""

    drop: float = 0.0  # share
    delay: int = 0
    jitter: int = 0
    double: float = 0.0  # share that arrives twice
    reorder: float = 0.0  # share that is delayed by `late`
    late: int = 500
    cut: bool = False
    stalled: bool = False  # datagrams are held until the stall ends, then delivered at once
    per_second: int = 0  # bytes; 0 = unlimited


class Links:
    """The links by (source, target). `rng` is seeded by the scenario."""

    def __init__(self, rng):
        self.rng, self.links, self.free_at, self.held = rng, {}, {}, {}
        self.bytes, self.count, self.lost = {}, {}, {}

    def of(self, pair):
        """The link of a pair, without faults unless set."""
        return self.links.get(pair, Link())

    def change(self, pair, **more):
        """Changes a link. Returns the datagrams that a stall held if that ends it: they are to be delivered now."""
        self.links[pair] = replace(self.of(pair), **more)
        return [] if self.links[pair].stalled else self.held.pop(pair, [])

    def fate(self, pair, now, data):
        """The delay of each copy of a datagram that arrives; none if it is lost or held."""
        link, source = self.of(pair), pair[0]
        self.bytes[source] = self.bytes.get(source, 0) + len(data)
        self.count[source] = self.count.get(source, 0) + 1
        if link.cut or self.rng.random() < link.drop:
            self.lost[pair] = self.lost.get(pair, 0) + 1
            return []
        if link.stalled:
            self.held.setdefault(pair, []).append(data)
            return []
        delay = link.delay + int(link.jitter * self.rng.random())
        if link.per_second:
            free_at = max(now, self.free_at.get(pair, 0))
            if (free_at - now) * link.per_second > MAX_QUEUE_BYTES * 10_000:
                return []
            self.free_at[pair] = free_at + len(data) * 10_000 // link.per_second
            delay += self.free_at[pair] - now
        delay += link.late * (self.rng.random() < link.reorder)
        return [delay] * (1 + (self.rng.random() < link.double))


class _MessagePrefix(msgspec.Struct, array_like=True):
    """The first fields of a membership message."""

    version: int
    kind: str


_message_prefixes = msgspec.msgpack.Decoder(_MessagePrefix)


def message_kind_of(data):
    """The kind of the membership message in a datagram, "" if it cannot be decoded."""
    # The payload follows 4 fixed bytes, the last of which is the header length, and the header; the tag ends the datagram.
    try:
        return _message_prefixes.decode(data[4 + data[3] : -TAG_SIZE]).kind
    except msgspec.MsgspecError:
        return ""


class Relay:
    """Forwards all datagrams between routers. `names` maps a port to its router's name."""

    def __init__(self, links, clock):
        self.links, self.clock, self.names, self.loop = links, clock, {}, None
        self.lives = set()  # (router, life, incarnation) of all datagrams
        self.pinged = {}  # (source, target) -> time of the last probe: routers probe those that they consider alive
        self.crossed = deque(maxlen=512)  # the last datagrams, to be replayed
        self.sock = bind_socket("127.0.0.1", 0)
        self.port = self.sock.getsockname()[1]

    def start(self, loop):
        self.loop = loop
        loop.add_reader(self.sock, self._read)
        return self

    def _read(self):
        for _ in range(512):
            try:
                raw, (_, source) = self.sock.recvfrom(65_536)
            except OSError:
                return
            port, data = PORT_HEADER.unpack_from(raw)[0], raw[PORT_HEADER.size :]
            pair = self.names.get(source, str(source)), self.names.get(port, str(port))
            self.crossed.append(data)
            if (head := unverified_header(data)) is not None:
                self.lives.add((pair[0], head.run_id, head.incarnation))
                if head.kind == "members" and message_kind_of(data) == "ping":
                    self.pinged[pair] = self.clock()
            for delay in self.links.fate(pair, self.clock(), data):
                self._deliver_after(delay, source, port, data)

    def _deliver_after(self, delay, source, port, data):
        if delay <= 0:
            self._deliver(source, port, data)
        else:
            self.loop.call_later(delay / 10_000, self._deliver, source, port, data)

    def _deliver(self, source, port, data):
        if self.loop is None:
            return
        try:
            self.sock.sendto(PORT_HEADER.pack(source) + data, ("127.0.0.1", port))
        except OSError:
            pass  # no listener, or a full buffer: datagrams may be lost

    def change(self, pair, **more):
        ports = {name: port for port, name in self.names.items()}
        for data in self.links.change(pair, **more):
            if pair[0] in ports and pair[1] in ports:
                self._deliver(ports[pair[0]], ports[pair[1]], data)

    def stop(self):
        if self.loop is not None:
            self.loop.remove_reader(self.sock)
            self.loop = None
        self.sock.close()


class Tunnel:
    """A router's socket that sends and receives through the relay, with the addresses of a direct exchange."""

    def __init__(self, host, port, relay):
        self.sock, self.relay = bind_socket(host, port), ("127.0.0.1", relay)
        self.getsockname, self.fileno, self.close = self.sock.getsockname, self.sock.fileno, self.sock.close

    def sendto(self, data, address):
        return self.sock.sendto(PORT_HEADER.pack(address[1]) + data, self.relay)

    def recvfrom(self, max_bytes):
        raw, source = self.sock.recvfrom(max_bytes + PORT_HEADER.size)
        if source == self.relay and len(raw) >= PORT_HEADER.size:
            return raw[PORT_HEADER.size :], (source[0], PORT_HEADER.unpack_from(raw)[0])
        return raw, source


__all__ = ["Link", "Links", "Relay", "Tunnel"]
