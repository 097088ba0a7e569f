"""The platform's settings object, its list of workers and its load reports, as `door` has them.

Both hosts read them here: the bench adapter (`drill/`) and the router on sockets (`daemon/platform/`). What either tells
the module of a setting, a worker, a question or a report is therefore the same.
"""

import weakref
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.settings_fields import REQUIRED, Fields, SettingError, each, flag, meaning, number, objects, text, word

# The platform's words that have a meaning here; all others are refused at the start.
EFFECTS = {"free": "pure", "guarded": "receipted", "single_shot": "effectful"}
GROUPS, ROLES = ("all", "zone", "cell"), ("read", "write", "both")
SHAPES, LISTS, WAYS = ("twostage",), ("pushed", "on_request"), ("answers", "probe", "none")
#: What the settings say that a report's figure means: the report's own word, and its unit there.
MEANINGS = {
    "share of memory that is held": ("memory_share", 1),
    "thousands of prompt tokens waiting to be read or fetched": ("tokens_waiting", 1000),
}
SHARE, WAITING = MEANINGS.values()
FIELDS: dict[str, tuple[str, int] | None] = {
    "rif": None,
    "q": None,
    "busy": None,
    "lat_ms": None,
    "rate": None,
    "fail_rate": None,
    "x0": SHARE,
    "x1": WAITING,
}
MAX_FIGURE = 1e9  # no worker has more of anything: a figure above it is noise


def micros(text: str | float) -> int:
    """Whole microseconds of a time in seconds.

    >>> micros("8.41225")
    8412250
    """
    return round(float(text) * 1_000_000)


def tenths(text: str | float | None, up: bool = False) -> int:
    """Seconds to whole tenths of a millisecond, down unless told otherwise; '-' is 0.

    >>> tenths("0.00019"), tenths("0.00019", up=True), tenths("-")
    (1, 2, 0)
    """
    us = 0 if text is None or text in ("-", "") else micros(text)
    return -(-us // 100) if up else us // 100


class Profile:
    """One settings object. Raises SettingError where it lacks what the module needs or says what has no meaning here.

    A key that the platform's pages do not name is passed over; an optional one that is absent means what they say.
    """

    def __init__(self, settings: Any) -> None:
        fields = Fields(settings)
        fields.at("DomainType", word(SHAPES), SHAPES[0])
        self.discovery = fields.at("Discovery", word(LISTS), LISTS[0])
        self._read_workers(fields)
        self._read_classes(fields)
        self._read_reports(fields)
        self.over_share = float(fields.at("OverShareWorth", number(), 1.0))
        self._read_place(fields)
        self._read_tenants(fields)
        self.permits = self._permits(fields)
        self.lawbook = self._lawbook(fields)
        self.connect_within = tenths(fields.at("Bounds.ConnectTimeoutS", number(), 0))
        self.idle = tenths(fields.at("Bounds.ConnIdleS", number(), 0))
        self.max_requests = int(fields.at("Bounds.MaxOpen", number(whole=True), 0))

    def _read_workers(self, fields: Fields) -> None:
        """Kinds and zones by their names, and what workers of each kind do and hold."""
        self.kinds, self.zones = fields.at("Kinds", each(text), []), fields.at("Azs", each(text), [])
        same_as_kinds = ("Kinds", len(self.kinds)) if self.kinds else None
        self.roles = fields.at("Specifics.RoleByKind", each(word(ROLES), same_as_kinds))
        if not self.roles:
            raise SettingError("settings.Specifics.RoleByKind: at least one kind of worker is needed")
        self.memory = fields.at("Specifics.MemoryTokens", each(number(), ("RoleByKind", len(self.roles))), [])

    def _read_classes(self, fields: Fields) -> None:
        """Request classes, by their place in the list."""
        lanes = fields.at("Lanes", objects)
        if not lanes:
            raise SettingError("settings.Lanes: at least one class is needed")
        per_k, pace = (
            fields.at(f"Specifics.{field}", each(number(), ("Lanes", len(lanes))), []) or [0] * len(lanes)
            for field in ("AimUsPer1000PromptTokens", "TokenAimS")
        )
        self.class_names = [lane.at("Name", text, "") for lane in lanes]
        self.use_cases = [self._use_case(lane, per_k[i], pace[i]) for i, lane in enumerate(lanes)]

    @staticmethod
    def _use_case(lane: Fields, promised_us_per_k: float, pace_s: float) -> door.RequestClass:
        return door.RequestClass(
            promised=tenths(lane.at("AimS", number(0.001))),
            outer_limit=tenths(lane.at("GiveUpS", number(0.001))),
            benefit=float(lane.at("Credit", number(over=True))),
            promised_per_k=int(promised_us_per_k) // 100,
            pace=tenths(pace_s),
            effect=lane.at("Effect", meaning(EFFECTS)),
            group=_key_scope(lane),
            window=tenths(lane.at("WindowS", number(), 0)),
        )

    def _read_reports(self, fields: Fields) -> None:
        """How workers report their load, and what the figures of a report mean."""
        self.how = fields.at("Report.How", word(WAYS))
        self.fields = fields.at("Report.Fields", each(word(tuple(FIELDS))), [])
        self.means = {
            field: fields.at(f"Specifics.Report{field.upper()}", meaning(MEANINGS), usual)
            for field, usual in FIELDS.items()
            if usual and field in self.fields
        }

    def _read_place(self, fields: Fields) -> None:
        """How many routers there are, and the number of the zone of this one."""
        self.routers = int(fields.at("NInstances", number(1, whole=True)))
        max_zone = max(0, len(self.zones) - 1) if self.zones else 1e9
        self.zone = int(fields.at("MyZone", number(0, max_zone, whole=True)))

    def _read_tenants(self, fields: Fields) -> None:
        """Tenants, by their place in the list."""
        tenants = fields.at("Tenants", objects, [])
        self.tenant_names = [tenant.at("Name", text, "") for tenant in tenants]
        self.accounts = [door.TenantShare(float(tenant.at("QuotaPerS", number()))) for tenant in tenants]

    def _permits(self, fields: Fields) -> door.Capabilities:
        may_name_wait = fields.at("Bounds.RetryAfter", flag, False)
        longest_wait = fields.at("Bounds.MaxRetryAfterS", number(), 0) if may_name_wait else 0
        return door.Capabilities(
            sends=int(fields.at("Bounds.SendCap", number(1, whole=True))),
            concurrent=fields.at("Bounds.MayDuplicate", flag, False),
            probes=fields.at("Bounds.Probing", flag, False) and self.how != "none",
            withdraw=fields.at("Bounds.Cancel", flag, False),
            places=fields.at("Specifics.MayReserve", flag, False),
            release_beside=True,  # the protocol: what no attempt waits for
            longest_wait=tenths(longest_wait),
        )

    @staticmethod
    def _lawbook(fields: Fields) -> door.PolicySettings:
        return door.PolicySettings(
            drain_grace=tenths(fields.at("Rules.DrainGraceS", number())),
            cold_from=float(fields.at("Rules.ColdFrom", number(over=True))),
            cold_for=tenths(fields.at("Rules.ColdS", number()), up=True),
            cold_multiple=float(fields.at("Rules.FallMultiple", number(over=True))),
            cold_window=tenths(fields.at("Rules.FallS", number())),
            let_go_within=tenths(fields.at("Specifics.ReleaseS", number())),
            step=max(1, tenths(fields.at("ResolutionS", number()), up=True)),
        )

    def __eq__(self, other: object) -> bool:
        """Whether both mean the same here: keys that are passed over do not count."""
        return isinstance(other, Profile) and vars(self) == vars(other)

    __hash__ = None  # type: ignore[assignment]  # it is equal by what it means, and is no key

    def of_module(self) -> dict[str, Any]:
        """What the decision module is made with, and configured with when the settings change."""
        return {
            "routers": self.routers,
            "zone": self.zone,
            "use_cases": self.use_cases,
            "accounts": self.accounts,
            "permits": self.permits,
            "lawbook": self.lawbook,
        }

    def router(self, make: Callable[..., Any], host: door.Host, seed: int, now: int) -> Any:
        """The module's instance for this profile."""
        return make(host, seed=seed, now=now, **self.of_module())

    def likely_out(self, use_case: door.RequestClass, cost: int | None) -> int | None:
        """The length that a hint of so much time promises, in tokens; `cost` in tenths, None where there is no hint."""
        return None if cost is None or not use_case.pace else max(1, cost // use_case.pace)

    def report(self, values: Mapping[str, Any]) -> door.LoadReport:
        """A load report by the settings' own names of its fields; what is no figure is not told."""
        known = {
            name: float(v)
            for name in self.fields
            if isinstance(v := values.get(name), (int, float)) and not isinstance(v, bool) and 0 <= v <= MAX_FIGURE
        }
        named: dict[str, Any] = {
            meant: known[field] * times for field, (meant, times) in self.means.items() if field in known
        }
        latency_ms = known.get("lat_ms")
        latency = None if latency_ms is None else int(latency_ms * 10)
        return door.LoadReport(held=known.get("rif"), latency=latency, **named)


def _key_scope(lane: Fields) -> str:
    """Which workers drop repeats. A guarded class has to say it: a guess would allow a second effect."""
    guarded = lane.at("Effect", meaning(EFFECTS)) == "receipted"
    return lane.at("KeyScope", word(GROUPS), REQUIRED if guarded else "all")


class WorkerEntry(NamedTuple):
    """What a discovery update says of one worker."""

    name: str
    state: str
    group: int
    zone: int
    kind: int | None  # index of its class in the settings' list; None: as it was
    weight: float
    born: int | None  # by the router's clock; None for long ago


class Workers:
    """The list as this router holds it: one Endpoint for each worker that was ever listed."""

    def __init__(self, profile: Profile) -> None:
        self.profile = profile
        self.endpoints: dict[str, door.Endpoint] = {}  # by id; one that another worker replaced is not in it
        self.ids: weakref.WeakKeyDictionary[door.Endpoint, str] = weakref.WeakKeyDictionary()  # also of those forgotten

    def update(self, entries: Iterable[WorkerEntry], whole: bool, unread: Iterable[str] = ()) -> list[door.Endpoint]:
        """Brings the boxes to what these entries say, and gives those that were named or ended.

        A whole list ends those that it does not name; `unread`: ids that it names in entries that cannot be read.
        """
        changed: list[door.Endpoint] = []
        named = set(unread)
        for entry in entries:
            changed += self._update_one(entry)
            named.add(entry.name)
        if whole:
            changed += self._end_all_but(named)
        return changed

    def _update_one(self, entry: WorkerEntry) -> list[door.Endpoint]:
        """The boxes that one entry changed: its own, before it one of the same id that another worker replaced."""
        changed, endpoint = [], self.endpoints.get(entry.name)
        if (
            endpoint is not None
            and entry.kind is not None
            and entry.state != "gone"
            and not self._is_of(endpoint, entry.kind)
        ):
            endpoint.state = "gone"  # what the module knows of it holds for its role and memory: another worker begins
            changed.append(endpoint)
            endpoint = None
        if endpoint is None:
            endpoint = self._add(entry)
        endpoint.cell, endpoint.zone, endpoint.weight, endpoint.state, endpoint.born = (
            entry.group,
            entry.zone,
            entry.weight,
            entry.state,
            entry.born,
        )
        changed.append(endpoint)
        return changed

    def _end_all_but(self, named: set[str]) -> list[door.Endpoint]:
        """The boxes that ended, as a whole list does not name them."""
        ended = [
            endpoint for name, endpoint in self.endpoints.items() if name not in named and endpoint.state != "gone"
        ]
        for endpoint in ended:
            endpoint.state = "gone"
        return ended

    def forget(self, name: str) -> None:
        """A worker that is gone for good: one of its id that comes later is another one."""
        del self.endpoints[name]

    def memory_of(self, kind: int) -> int:
        """Tokens that a worker of this kind holds; 0 where the settings do not tell."""
        memory = self.profile.memory
        return int(memory[kind]) if kind < len(memory) else 0

    def _is_of(self, endpoint: door.Endpoint, kind: int) -> bool:
        return (endpoint.role, endpoint.memory) == (self.profile.roles[kind], self.memory_of(kind))

    def _add(self, entry: WorkerEntry) -> door.Endpoint:
        if entry.kind is None:
            raise ValueError(f"{entry.name}: nothing is known of a new worker without its kind")
        endpoint = self.endpoints[entry.name] = door.Endpoint(
            mark=zlib.crc32(entry.name.encode()),
            role=self.profile.roles[entry.kind],
            cell=entry.group,
            zone=entry.zone,
            memory=self.memory_of(entry.kind),
        )
        self.ids[endpoint] = entry.name
        return endpoint
