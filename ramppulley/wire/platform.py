"""The platform's message formats, without sockets: request headers, load reports and entries of the endpoint list.

Malformed input from a client raises BadMessage. A malformed load report counts as no report, and a malformed list entry
leaves its worker unchanged.
"""

import json
import math
import re
import socket
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, NoReturn

from ramppulley.wire.faults import BadMessage

READY, LOAD, LEASES, LIST = "/-/ready", "/-/load", "/kv/leases/", "/api/targets"
ID, REQUEST_CLASS, SESSION, DEADLINE, EXTRA = "req-id", "req-kind", "req-key", "req-deadline-ms", "req-extra"
RETRY, COST_HINT, TENANT = "req-retry", "req-cost", "req-owner"
REPORT, DECLINED = "srv-load", "srv-declined"
IDEMPOTENCY_KEY = "idempotency-key"  # of request classes whose workers drop repeated requests by it
FORWARDED_HEADERS = REQUEST_CLASS, SESSION, EXTRA, RETRY, COST_HINT, TENANT, IDEMPOTENCY_KEY, "content-type"
DRAINING = "Terminating"
STATES = {"Ready": "ready", DRAINING: "draining", "Gone": "gone"}
NAME = re.compile(r"[A-Za-z0-9._:-]{1,128}")
DIGITS = re.compile(r"[0-9]{1,9}")  # no valid number of this platform is longer
EXTRA_FIELDS = {"prompt_len": "prompt", "prefix_len": "prefix_tokens", "max_out": "max_out"}
MAX_TEXT_CHARS, INFINITY = 256, float("inf")
MAX_UPDATE_ENTRIES, MAX_ENTRY_VALUES = 6_400, 8  # the largest fleet, all of it replaced at once
UPDATE_LEVELS = 2  # an update is an object with an array of entries
MAX_NAME_CHARS = 64  # of a session or prefix as the decision module keeps it


class RequestHeaders(NamedTuple):
    """The parsed headers of a client's request."""

    name: str
    request_class: str
    deadline_ms: int
    session: str = ""
    tenant: str = ""
    hint_us: int | None = None  # the client's hint of the cost, in microseconds
    prompt: int | None = None
    max_out: int = 0
    prefix: str = ""
    prefix_tokens: int = 0


def number(text: str, what: str) -> int:
    """The value of decimal digits; raises BadMessage, which names `what`.

    >>> number("4800", "x")
    4800
    """
    if not DIGITS.fullmatch(text):
        raise BadMessage(f"{what}: a whole number is needed, not {text[:40]!r}")
    return int(text)


def shorten(name: str) -> str:
    """A name, or the first and the last characters of a long one: the decision module keeps many of them.

    >>> shorten("7f3a"), len(shorten("a" * 1000 + "b"))
    ('7f3a', 64)
    """
    half = MAX_NAME_CHARS // 2
    return name if len(name) <= MAX_NAME_CHARS else name[:half] + name[-half:]


def parse_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Parses a client's headers; raises BadMessage for a malformed id, deadline or number. The class is not checked here.

    >>> parse_request_headers({"req-id": "9b", "req-kind": "chat", "req-deadline-ms": "4800",
    ...        "req-extra": "prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800"}).prefix_tokens
    2048
    """
    name, request_class = headers.get(ID, ""), headers.get(REQUEST_CLASS, "")
    if not NAME.fullmatch(name):
        raise BadMessage(f"{ID}: a name of 1 to 128 letters and digits is needed")
    deadline_ms = number(headers.get(DEADLINE, ""), DEADLINE)
    if not deadline_ms:
        raise BadMessage(f"{DEADLINE}: the time is up")
    hint_us = number(headers[COST_HINT], COST_HINT) if COST_HINT in headers else None
    return RequestHeaders(
        name,
        request_class,
        deadline_ms,
        session=shorten(headers.get(SESSION, "")),
        tenant=headers.get(TENANT, "")[:MAX_TEXT_CHARS],
        hint_us=hint_us,
        **_parse_extra(headers.get(EXTRA, "")),
    )


def _parse_extra(text: str) -> dict[str, Any]:
    """The fields of `RequestHeaders` that the header `req-extra` gives; raises BadMessage."""
    fields: dict[str, Any] = {}
    for part in text.split(","):
        key, _, value = part.strip().partition("=")
        if key == "prefix":
            # Nothing but zeros and dashes means no prefix.
            fields["prefix"] = "" if value.strip("0-") == "" else shorten(value)
        elif key in EXTRA_FIELDS:
            fields[EXTRA_FIELDS[key]] = number(value, f"{EXTRA}: {key}")
    return fields


def _parse_finite(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"number out of range: {text[:40]}")
    return value


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"no number of JSON: {text}")


_decoder = json.JSONDecoder(parse_float=_parse_finite, parse_constant=_reject_constant)


def decode(text: str | bytes) -> Any:
    """Decodes JSON strictly; raises BadMessage.

    It uses the standard library, as loading msgspec takes an eighth of the CPU time of a start.
    """
    try:
        text = text if isinstance(text, str) else str(text, "utf-8")
        value = _decoder.decode(text)
        if "\\u" in text:  # an unpaired surrogate cannot be encoded later on
            json.dumps(value, ensure_ascii=False).encode()
        return value
    except ValueError as fault:
        raise BadMessage(str(fault)) from fault
    except RecursionError as fault:
        raise BadMessage("nested too deep") from fault


def parse_report(text: str | bytes | None) -> dict[str, Any] | None:
    """The values of a load report; None for a malformed one.

    >>> parse_report(b'{"inflight":7}'), parse_report("noise"), parse_report(None)
    ({'inflight': 7}, None, None)
    """
    try:
        value = decode(text) if text else None
    except BadMessage:
        return None
    return value if isinstance(value, dict) else None


def lease_path(name: str) -> str:
    """The path at which a worker releases the KV state of the request with this id.

    >>> lease_path("9b1f")
    '/kv/leases/9b1f'
    """
    return LEASES + name.replace(":", "%3A")  # the only character of NAME that is percent-encoded


class EndpointUpdate(NamedTuple):
    """One update from the watch of the endpoint list: the whole list, or its changed entries."""

    seq: int
    whole: bool
    entries: list[dict[str, Any]]  # not parsed yet: each is parsed by itself, so that a malformed one harms no other


class Address(NamedTuple):
    """The address that a peer listens on."""

    host: str
    port: int


class EndpointEntry(NamedTuple):
    """An entry of the endpoint list without its id and state."""

    group: int
    kind: int  # index in the settings' list of kinds
    weight: float
    born_ms: int  # milliseconds since 1970
    address: Address


def parse_update(text: bytes) -> EndpointUpdate:
    """Parses one line of the watch, or the whole list; raises BadMessage."""
    _check_size(text)
    try:
        value = decode(text)
    except BadMessage as fault:
        raise BadMessage(f"malformed endpoint list: {fault}") from fault
    return update_from(value)


def _check_size(text: bytes) -> None:
    """Raises BadMessage for an update of more values than a fleet has: decoded they would take many times their bytes."""
    nested, values = text.count(b"{") + text.count(b"["), text.count(b",")
    if nested > MAX_UPDATE_ENTRIES + UPDATE_LEVELS or values > MAX_UPDATE_ENTRIES * MAX_ENTRY_VALUES:
        raise BadMessage(
            f"an update of the list with over {MAX_UPDATE_ENTRIES} entries or {MAX_ENTRY_VALUES} values each"
        )


def update_from(value: Any) -> EndpointUpdate:
    """The update in a decoded JSON value; raises BadMessage."""
    hosts = value.get("hosts") if isinstance(value, dict) else None
    if not isinstance(hosts, list) or type(value.get("seq")) is not int:
        raise BadMessage("endpoint list without a valid seq or hosts")
    whole = value.get("whole", False)
    if not isinstance(whole, bool):  # a list taken for whole would remove all workers that it does not name
        raise BadMessage("endpoint list whose field `whole` is not true or false")
    return EndpointUpdate(value["seq"], whole, [entry if isinstance(entry, dict) else {} for entry in hosts])


def parse_address(text: Any) -> Address:
    """The address in the field `dial`; raises BadMessage, also for a host name: there is no DNS, and resolving would block.

    >>> parse_address("10.1.0.18:8081"), parse_address("[::1]:80")
    (Address(host='10.1.0.18', port=8081), Address(host='::1', port=80))
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    family = socket.AF_INET
    if host[:1] == "[" and host[-1:] == "]":
        family, host = socket.AF_INET6, host[1:-1]
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        port = ""
    if not DIGITS.fullmatch(port) or not 0 < int(port) < 65536:
        raise BadMessage(f"no address: {text!r:.60}")
    return Address(host, int(port))


def parse_health(entry: Mapping[str, Any]) -> tuple[str, str]:
    """(id, state) of one entry; raises BadMessage."""
    name, health = entry.get("host"), entry.get("health")
    if not isinstance(name, str) or not name:
        raise BadMessage("endpoint list entry without a host")
    if not isinstance(health, str) or health not in STATES:
        raise BadMessage(f"{name!r:.60}: unknown health: {health!r:.60}")
    return name, STATES[health]


def parse_entry(entry: Mapping[str, Any], kinds: Sequence[str]) -> EndpointEntry:
    """The other fields of one entry; raises BadMessage."""
    name, kind = f"{entry.get('host')!r:.60}", entry.get("class")
    if kind not in kinds:
        raise BadMessage(f"{name}: class not named in the settings: {kind!r:.60}")
    try:
        share = float(entry.get("share") or 1.0)
        group, born_ms = int(entry.get("block") or 0), int(entry.get("born_ms") or 0)
    except (TypeError, ValueError, OverflowError) as fault:
        raise BadMessage(f"{name}: {str(fault):.60}") from fault
    if not 0 < share < INFINITY:  # also rejects NaN; the share is used as a divisor
        raise BadMessage(f"{name}: the share must be positive and finite: {share}")
    try:
        address = parse_address(entry.get("dial"))
    except BadMessage as fault:
        raise BadMessage(f"{name}: {fault}") from fault
    return EndpointEntry(group, kinds.index(kind), share, born_ms, address)
