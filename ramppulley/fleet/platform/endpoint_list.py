"""The platform's endpoint list: applies each update to endpoints and their addresses. No I/O."""

from collections.abc import Iterable
from itertools import takewhile
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from ramppulley import door
from ramppulley.fleet.platform.log_throttle import Log, LogThrottle
from ramppulley.profile import Profile, WorkerEntry, Workers
from ramppulley.service.clock import StartAges
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage

SAME_START_TOLERANCE_MS = 100  # reported start times closer than this are the same start
TENTHS_PER_MS = 10  # the router's clock counts tenths of a millisecond
TENTHS_PER_S = 10_000
GONE_RETENTION = 30 * TENTHS_PER_S  # a worker that returns within this time is treated as the same one


class ListedEndpoint(NamedTuple):
    """A worker that an update changed, and the address it listens on."""

    endpoint: door.Endpoint
    address: platform.Address


class Placement(NamedTuple):
    """Names of a worker's zone and class as given in the list."""

    zone: Any
    worker_class: str


class WorkerStart(NamedTuple):
    """When a worker started: as given in the list, and by the router's clock."""

    born_ms: int
    born: int | None


class ParsedEntries:
    """The entries of one update that could be parsed, and the faults of the others."""

    def __init__(self) -> None:
        self.entries: list[WorkerEntry] = []
        self.addresses: dict[str, platform.Address] = {}  # by id
        self.unreadable_names: set[str] = set()  # ids from entries that could not be parsed
        self.faults: list[str] = []


class EndpointList:
    """Holds the listed endpoints; `update` and `configure` return those that changed."""

    def __init__(self, profile: Profile, log: Log) -> None:
        self.log, self.workers, self.seq = log, Workers(profile), 0
        self.addresses: WeakKeyDictionary[door.Endpoint, platform.Address] = WeakKeyDictionary()
        self.starts: dict[str, WorkerStart] = {}  # by id
        self.placements: dict[str, Placement] = {}  # by id
        self.gone_since: dict[str, int] = {}  # by id, in order of disappearance
        self.ages, self.fault_throttle = StartAges(), LogThrottle()
        self._set_profile(profile)

    def _set_profile(self, profile: Profile) -> None:
        self.profile = self.workers.profile = profile
        self.zones = list(profile.zones)  # followed by zones that only entries name
        self.single_zone = not profile.zones and all(
            request_class.group != "zone" for request_class in profile.request_classes
        )

    def configure(self, profile: Profile) -> list[ListedEndpoint]:
        """Applies new settings; returns all known workers with zone, role and memory as the settings define them.

        A worker whose class the settings do not name drains, since no request is known to fit it. It is not gone: its
        open attempts go on. It is removed only by the list, or becomes ready again when the list gives it a named class."""
        self._set_profile(profile)
        entries, addresses = [], {}
        for name, endpoint in self.workers.endpoints.items():
            if endpoint.state != "gone":
                addresses[name] = self.addresses[endpoint]
                entries.append(self._reconfigured(name, endpoint))
        return self._with_addresses(self.workers.update(entries, False), addresses)

    def _reconfigured(self, name: str, endpoint: door.Endpoint) -> WorkerEntry:
        """The entry of a known worker under the current settings."""
        zone, worker_class = self.placements[name]
        state, kind = "draining", None
        if worker_class in self.profile.kinds:
            state, kind = endpoint.state, self.profile.kinds.index(worker_class)
            endpoint.memory = self.workers.memory_of(kind)
        return WorkerEntry(name, state, endpoint.cell, self._zone_number(zone), kind, endpoint.weight, endpoint.born)

    def update(self, update: platform.EndpointUpdate, now: int, wall_ms: int) -> list[ListedEndpoint]:
        """Applies an update. `now`: the router's clock; `wall_ms`: Unix time in milliseconds at that moment.

        An entry that cannot be parsed leaves its worker unchanged, also in a whole list. But a worker that is reported as
        draining or gone gets no new attempts, whatever else its entry contains.
        """
        self.ages.observe(now, wall_ms)
        parsed = ParsedEntries()
        for entry in update.entries:
            try:
                self._parse(entry, parsed, now, wall_ms)
            except BadMessage as fault:
                self._skip_entry(entry, fault, parsed)
        if parsed.faults and self.fault_throttle.due(now / TENTHS_PER_S):
            self.log.warning("entry of the list passed over", fault=parsed.faults[0], entries=len(parsed.faults))
        self.seq = update.seq
        endpoints = self.workers.update(parsed.entries, update.whole, parsed.unreadable_names)
        changed = self._with_addresses(endpoints, parsed.addresses)
        self._forget_gone(endpoints, now)
        return changed

    def _forget_gone(self, changed: Iterable[door.Endpoint], now: int) -> None:
        """Drops workers that have been gone for GONE_RETENTION, since a fleet keeps replacing its workers."""
        for endpoint in changed:
            name = self.workers.ids[endpoint]
            if endpoint.state != "gone":
                self.gone_since.pop(name, None)
            elif self.workers.endpoints.get(name) is endpoint:  # else another worker has taken over the id
                self.gone_since.setdefault(name, now)
        for name, _ in list(takewhile(lambda gone: now - gone[1] >= GONE_RETENTION, self.gone_since.items())):
            self.workers.forget(name)
            for table in (self.gone_since, self.starts, self.placements):
                table.pop(name, None)

    def _parse(self, entry: dict[str, Any], parsed: ParsedEntries, now: int, wall_ms: int) -> None:
        """Parses one entry; raises BadMessage before anything is added."""
        name, state = platform.parse_health(entry)
        if state == "gone":  # the other fields are not needed
            self._change_state(name, state, parsed)
            return
        group, kind, weight, born_ms, address = platform.parse_entry(entry, self.profile.kinds)
        zone_name = entry.get("site")
        parsed.addresses[name] = address
        self.placements[name] = Placement(zone_name, entry["class"])
        zone, born = self._zone_number(zone_name), self._started_at(name, born_ms, now, wall_ms)
        parsed.entries.append(WorkerEntry(name, state, group, zone, kind, weight, born))

    def _skip_entry(self, entry: dict[str, Any], fault: BadMessage, parsed: ParsedEntries) -> None:
        """Handles an entry that cannot be parsed: its worker still counts as listed, and may be set to draining."""
        parsed.faults.append(str(fault))
        name = entry.get("host")
        if not isinstance(name, str):
            return
        parsed.unreadable_names.add(name)
        if entry.get("health") == platform.DRAINING:
            self._change_state(name, "draining", parsed)

    def _change_state(self, name: str, state: str, parsed: ParsedEntries) -> None:
        """Adds an entry that changes only the state of a known worker; ignores an unknown one."""
        endpoint = self.workers.endpoints.get(name)
        if endpoint is not None:
            parsed.entries.append(
                WorkerEntry(name, state, endpoint.cell, endpoint.zone, None, endpoint.weight, endpoint.born)
            )

    def _zone_number(self, zone: Any) -> int:
        """The number of a zone. All zones share one number where the settings name no zone and no request class restricts
        repeats to a zone; otherwise each has its own, also a zone that the settings do not name."""
        if self.single_zone:
            return 0
        if zone not in self.zones:
            self.zones.append(zone)
        return self.zones.index(zone)

    def _started_at(self, name: str, born_ms: int, now: int, wall_ms: int) -> int | None:
        """When a worker started, by the router's clock; None if long ago. A start that is reported again keeps its time,
        since the two clocks drift and the wall clock may be set."""
        if born_ms <= 0:
            return None
        start = self.starts.get(name, WorkerStart(0, None))
        if abs(born_ms - start.born_ms) < SAME_START_TOLERANCE_MS:
            return start.born
        born = now - self.ages.age_ms(born_ms, now, wall_ms) * TENTHS_PER_MS or -1
        self.starts[name] = WorkerStart(born_ms, born)
        return born

    def _with_addresses(
        self, endpoints: Iterable[door.Endpoint], new_addresses: dict[str, platform.Address]
    ) -> list[ListedEndpoint]:
        """Pairs each endpoint with its address. `new_addresses`: addresses of this update, by id."""
        for name, address in new_addresses.items():
            self.addresses[self.workers.endpoints[name]] = address
        return [ListedEndpoint(endpoint, self.addresses[endpoint]) for endpoint in endpoints]
