"""Wire format of the membership protocol: one MessagePack array per datagram, sized for the minimum MTU of IPv6.

SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2017).
"""

from collections.abc import Sequence
from typing import Literal

import msgspec

# bytes of a datagram's payload: IPv6's minimum MTU of 1,280 less room for IP and UDP headers and a tag; the datagram
# header of `seal` isn't counted
MAX_PAYLOAD_SIZE = 1_200
VERSION = 2
MAX_TRAFFIC_LEVEL = 24  # binary logarithm of requests per second
Address = tuple[str, int]
State = Literal["alive", "suspect", "dead", "left"]
PacketKind = Literal["ping", "ask", "ack", "nack", "sync", "view", "leave", "tell"]


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The state of one instance as reported by `reported_by` (a suspicion counts once per reporter)."""

    name: str
    host: str
    port: int
    state: State
    incarnation: int
    reported_by: str
    machine: str = ""
    zone: str = ""
    traffic: int = 0  # binary logarithm of requests per second


class Packet(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One datagram. `ping` is answered by `ack`; `ask` requests an indirect probe of `target`, answered by `ack`, or by
    `nack` before the requester's probe times out.

    `sync` carries part of the sender's view and is answered by `view` with part of the receiver's view; `tell` carries
    updates only.
    """

    version: int
    kind: PacketKind
    sender: str
    number: int  # number of the ping that it belongs to
    target: str
    updates: list[MemberUpdate]


class InvalidPacket(ValueError):
    """A datagram that is not a valid packet of this protocol version."""


_decoder, _encoder = msgspec.msgpack.Decoder(Packet), msgspec.msgpack.Encoder()


def encode_packet(packet: Packet) -> bytes:
    """The packet as one datagram."""
    return _encoder.encode(packet)


def decode_packet(data: bytes) -> Packet:
    """The packet in a datagram; raises InvalidPacket."""
    if len(data) > MAX_PAYLOAD_SIZE:
        raise InvalidPacket(f"{len(data)} bytes exceed the maximum of {MAX_PAYLOAD_SIZE}")
    try:
        packet = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as fault:
        raise InvalidPacket(str(fault)) from fault
    if packet.version != VERSION:
        raise InvalidPacket(f"unsupported protocol version {packet.version}")
    if any(
        not 0 < update.port < 65_536
        or not 0 <= update.incarnation < 1 << 48
        or not update.name
        or len(update.name) > 64
        or max(len(update.host), len(update.machine), len(update.zone)) > 64
        or not 0 <= update.traffic <= MAX_TRAFFIC_LEVEL
        for update in packet.updates
    ):
        raise InvalidPacket("member update has a field out of range")
    return packet


def encode_with_updates(packet: Packet, updates: Sequence[MemberUpdate]) -> tuple[bytes, int]:
    """The encoded packet with as many of the updates, in order, as fit, and the number of those."""
    remaining, included = MAX_PAYLOAD_SIZE - len(encode_packet(packet)) - 2, []
    for update in updates:
        remaining -= len(_encoder.encode(update))
        if remaining < 0:
            break
        included.append(update)
    packet.updates = included
    return encode_packet(packet), len(included)
