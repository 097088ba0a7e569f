"""The platform's endpoint list as this router holds it: each update brought to boxes and addresses. Pure."""

from collections.abc import Iterable
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from ramppulley import door
from ramppulley.fleet.platform.log_throttle import Log, LogThrottle
from ramppulley.profile import Profile, WorkerEntry, Workers
from ramppulley.service.clock import StartAges
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage

SAME_START_MS = 100  # two starts told that lie no further apart are one
TENTHS_PER_MS = 10  # of the router's clock
TENTHS_PER_S = 10_000
GONE_RETENTION = 30 * TENTHS_PER_S  # a worker that comes back within this is the same one


class ListedEndpoint(NamedTuple):
    """A worker that an update names or ends, and where it listens."""

    endpoint: door.Endpoint
    address: platform.Address


class Placement(NamedTuple):
    """Names of a worker's zone and class, as the list says them."""

    zone: Any
    worker_class: str


class Start(NamedTuple):
    """When a worker started: as the list says, and by the router's clock."""

    born_ms: int
    born: int | None


class ParsedEntries:
    """The entries of one update as far as they were parsed."""

    def __init__(self) -> None:
        self.entries: list[WorkerEntry] = []
        self.addresses: dict[str, platform.Address] = {}  # by id
        self.unreadable: set[str] = set()  # ids named in entries that cannot be read
        self.faults: list[str] = []


class EndpointList:
    """Holds the endpoints that were listed; `update` and `configure` give those that changed."""

    def __init__(self, profile: Profile, log: Log) -> None:
        self.log, self.workers, self.seq = log, Workers(profile), 0
        self.addresses: WeakKeyDictionary[door.Endpoint, platform.Address] = WeakKeyDictionary()
        self.starts: dict[str, Start] = {}  # by id
        self.placements: dict[str, Placement] = {}  # by id
        self.gone_since: dict[str, int] = {}  # by id, the one that went longest ago first
        self.ages, self.fault_lines = StartAges(), LogThrottle()
        self._use(profile)

    def _use(self, profile: Profile) -> None:
        self.profile = self.workers.profile = profile
        self.zones = list(profile.zones)  # and after them each one that only entries name, with a number of its own
        self.one_zone = not profile.zones and all(case.group != "zone" for case in profile.use_cases)

    def configure(self, profile: Profile) -> list[ListedEndpoint]:
        """The settings changed: all known workers, with their zone, role and memory by the new ones.

        A worker whose class they do not name gets no new attempt, as none is known to fit it. It is not gone: what it
        has goes on, and it ends by the list alone, or is ready again when the list tells a class that they name."""
        self._use(profile)
        entries, addresses = [], {}
        for name, endpoint in self.workers.endpoints.items():
            if endpoint.state != "gone":
                addresses[name] = self.addresses[endpoint]
                entries.append(self._reconfigured(name, endpoint))
        return self._with_addresses(self.workers.update(entries, False), addresses)

    def _reconfigured(self, name: str, endpoint: door.Endpoint) -> WorkerEntry:
        """A known worker's entry by the settings in force."""
        zone, worker_class = self.placements[name]
        state, kind = "draining", None
        if worker_class in self.profile.kinds:
            state, kind = endpoint.state, self.profile.kinds.index(worker_class)
            endpoint.memory = self.workers.memory_of(kind)
        return WorkerEntry(name, state, endpoint.cell, self._zone_number(zone), kind, endpoint.weight, endpoint.born)

    def update(self, update: platform.EndpointUpdate, now: int, wall_ms: int) -> list[ListedEndpoint]:
        """Takes an update over. `now`: the router's clock; `wall_ms`: milliseconds since 1970 at that moment.

        An entry that cannot be read leaves its worker as it was, also on a whole list. Yet one that is said to drain or
        to be gone gets nothing new, whatever else its entry says.
        """
        self.ages.observe(now, wall_ms)
        parsed = ParsedEntries()
        for entry in update.entries:
            try:
                self._parse(entry, parsed, now, wall_ms)
            except BadMessage as fault:
                self._pass_over(entry, fault, parsed)
        if parsed.faults and self.fault_lines.due(now / TENTHS_PER_S):
            self.log.warning("entry of the list passed over", fault=parsed.faults[0], entries=len(parsed.faults))
        self.seq = update.seq
        endpoints = self.workers.update(parsed.entries, update.whole, parsed.unreadable)
        changed = self._with_addresses(endpoints, parsed.addresses)
        self._forget_gone(endpoints, now)
        return changed

    def _forget_gone(self, changed: Iterable[door.Endpoint], now: int) -> None:
        """Keeps nothing of workers that have been gone for long: a fleet replaces its workers again and again."""
        for endpoint in changed:
            name = self.workers.ids[endpoint]
            if endpoint.state != "gone":
                self.gone_since.pop(name, None)
            elif self.workers.endpoints.get(name) is endpoint:  # else another worker of that id took its place
                self.gone_since.setdefault(name, now)
        for name in [name for name, since in self.gone_since.items() if now - since >= GONE_RETENTION]:
            self.workers.forget(name)
            for kept in (self.gone_since, self.starts, self.placements):
                kept.pop(name, None)

    def _parse(self, entry: dict[str, Any], parsed: ParsedEntries, now: int, wall_ms: int) -> None:
        """Parses one entry; raises BadMessage before it has added anything."""
        name, state = platform.parse_health(entry)
        if state == "gone":  # its name is enough
            self._change_state(name, state, parsed)
            return
        group, kind, weight, born_ms, address = platform.parse_entry(entry, self.profile.kinds)
        zone_name = entry.get("site")
        parsed.addresses[name] = address
        self.placements[name] = Placement(zone_name, entry["class"])
        zone, born = self._zone_number(zone_name), self._born(name, born_ms, now, wall_ms)
        parsed.entries.append(WorkerEntry(name, state, group, zone, kind, weight, born))

    def _pass_over(self, entry: dict[str, Any], fault: BadMessage, parsed: ParsedEntries) -> None:
        """An entry that cannot be read: its worker is still named, and may still be said to drain."""
        parsed.faults.append(str(fault))
        name = entry.get("host")
        if not isinstance(name, str):
            return
        parsed.unreadable.add(name)
        if entry.get("health") == platform.DRAINING:
            self._change_state(name, "draining", parsed)

    def _change_state(self, name: str, state: str, parsed: ParsedEntries) -> None:
        """Adds an entry that changes nothing but a known worker's state; none for an unknown one."""
        endpoint = self.workers.endpoints.get(name)
        if endpoint is not None:
            parsed.entries.append(
                WorkerEntry(name, state, endpoint.cell, endpoint.zone, None, endpoint.weight, endpoint.born)
            )

    def _zone_number(self, zone: Any) -> int:
        """The number of a zone. All are one where the settings name none and bind no repeats to one; else no two share a
        number, also of those that the settings do not name."""
        if self.one_zone:
            return 0
        if zone not in self.zones:
            self.zones.append(zone)
        return self.zones.index(zone)

    def _born(self, name: str, born_ms: int, now: int, wall_ms: int) -> int | None:
        """When it started, by the router's clock; None for long ago. A start that is told again stays where it was: the two
        clocks drift, and the wall's may be set."""
        if born_ms <= 0:
            return None
        start = self.starts.get(name, Start(0, None))
        if abs(born_ms - start.born_ms) < SAME_START_MS:
            return start.born
        born = now - self.ages.age_ms(born_ms, now, wall_ms) * TENTHS_PER_MS or -1
        self.starts[name] = Start(born_ms, born)
        return born

    def _with_addresses(
        self, endpoints: Iterable[door.Endpoint], new_addresses: dict[str, platform.Address]
    ) -> list[ListedEndpoint]:
        """Each box with its address; `new_addresses`: by id, those that were told now."""
        for name, address in new_addresses.items():
            self.addresses[self.workers.endpoints[name]] = address
        return [ListedEndpoint(endpoint, self.addresses[endpoint]) for endpoint in endpoints]
