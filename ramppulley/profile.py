"""Converts the platform's settings object, worker list and load reports to the types of `door`.

Both hosts of the decision module use it, the bench adapter (`drill/`) and the router on sockets (`daemon/platform/`), so
that they pass the module the same settings, workers, requests and reports.
"""

import weakref
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.settings_fields import (
    REQUIRED,
    Fields,
    SettingError,
    boolean,
    list_of,
    mapped,
    number,
    objects,
    one_of,
    string,
)

# The values of the platform's settings that are supported; any other is rejected at startup.
EFFECTS = {"free": "pure", "guarded": "receipted", "single_shot": "effectful"}
KEY_SCOPES, ROLES = ("all", "zone", "cell"), ("read", "write", "both")
DOMAIN_TYPES, DISCOVERY_MODES, REPORT_MODES = ("twostage",), ("pushed", "on_request"), ("answers", "probe", "none")
#: Meanings that the settings may give to a report's value: the field of `door.LoadReport`, and the factor to its unit.
REPORT_MEANINGS = {
    "share of memory that is held": ("memory_share", 1),
    "thousands of prompt tokens waiting to be read or fetched": ("tokens_waiting", 1000),
}
MEMORY_SHARE, TOKENS_WAITING = REPORT_MEANINGS.values()
REPORT_FIELDS: dict[str, tuple[str, int] | None] = {
    "rif": None,
    "q": None,
    "busy": None,
    "lat_ms": None,
    "rate": None,
    "fail_rate": None,
    "x0": MEMORY_SHARE,
    "x1": TOKENS_WAITING,
}
MAX_REPORTED_VALUE = 1e9  # no valid report exceeds this; a larger value is ignored


def microseconds(text: str | float) -> int:
    """A time in seconds as whole microseconds.

    >>> microseconds("8.41225")
    8412250
    """
    return round(float(text) * 1_000_000)


def to_tenths_ms(text: str | float | None, up: bool = False) -> int:
    """Seconds to whole tenths of a millisecond, rounded down, or up where `up` is set; '-' is 0.

    >>> to_tenths_ms("0.00019"), to_tenths_ms("0.00019", up=True), to_tenths_ms("-")
    (1, 2, 0)
    """
    us = 0 if text is None or text in ("-", "") else microseconds(text)
    return -(-us // 100) if up else us // 100


class Profile:
    """One validated settings object. Raises SettingError for a required field that is missing or an unsupported value.

    Keys that the platform's documentation does not name are ignored; absent optional ones get their documented defaults.
    """

    def __init__(self, settings: Any) -> None:
        fields = Fields(settings)
        fields.at("DomainType", one_of(DOMAIN_TYPES), DOMAIN_TYPES[0])
        self.discovery = fields.at("Discovery", one_of(DISCOVERY_MODES), DISCOVERY_MODES[0])
        self._read_workers(fields)
        self._read_classes(fields)
        self._read_reports(fields)
        self.over_share_value = float(fields.at("OverShareWorth", number(), 1.0))
        self._read_topology(fields)
        self._read_tenants(fields)
        self.capabilities = self._capabilities(fields)
        self.policy_settings = self._policy_settings(fields)
        self.connect_timeout = to_tenths_ms(fields.at("Bounds.ConnectTimeoutS", number(), 0))
        self.idle_timeout = to_tenths_ms(fields.at("Bounds.ConnIdleS", number(), 0))
        self.max_requests = int(fields.at("Bounds.MaxOpen", number(whole=True), 0))

    def _read_workers(self, fields: Fields) -> None:
        """The names of the worker kinds and zones, and the role and memory of each kind."""
        self.kinds, self.zones = fields.at("Kinds", list_of(string), []), fields.at("Azs", list_of(string), [])
        same_as_kinds = ("Kinds", len(self.kinds)) if self.kinds else None
        self.roles = fields.at("Specifics.RoleByKind", list_of(one_of(ROLES), same_as_kinds))
        if not self.roles:
            raise SettingError("settings.Specifics.RoleByKind: at least one kind of worker is needed")
        self.memory = fields.at("Specifics.MemoryTokens", list_of(number(), ("RoleByKind", len(self.roles))), [])

    def _read_classes(self, fields: Fields) -> None:
        """The request classes, identified by their index in the list."""
        class_list = fields.at("Lanes", objects)
        if not class_list:
            raise SettingError("settings.Lanes: at least one class is needed")
        per_k, pace = (
            fields.at(f"Specifics.{field}", list_of(number(), ("Lanes", len(class_list))), []) or [0] * len(class_list)
            for field in ("AimUsPer1000PromptTokens", "TokenAimS")
        )
        self.class_names = [request_class.at("Name", string, "") for request_class in class_list]
        self.request_classes = [
            self._request_class(request_class, per_k[i], pace[i]) for i, request_class in enumerate(class_list)
        ]

    @staticmethod
    def _request_class(request_class: Fields, promised_us_per_k: float, pace_s: float) -> door.RequestClass:
        return door.RequestClass(
            promised=to_tenths_ms(request_class.at("AimS", number(0.001))),
            outer_limit=to_tenths_ms(request_class.at("GiveUpS", number(0.001))),
            benefit=float(request_class.at("Credit", number(over=True))),
            promised_per_k=int(promised_us_per_k) // 100,
            pace=to_tenths_ms(pace_s),
            effect=request_class.at("Effect", mapped(EFFECTS)),
            group=_key_scope(request_class),
            window=to_tenths_ms(request_class.at("WindowS", number(), 0)),
        )

    def _read_reports(self, fields: Fields) -> None:
        """How workers report their load, and what the values of a report mean."""
        self.report_mode = fields.at("Report.How", one_of(REPORT_MODES))
        self.report_fields = fields.at("Report.Fields", list_of(one_of(tuple(REPORT_FIELDS))), [])
        self.report_meanings = {
            field: fields.at(f"Specifics.Report{field.upper()}", mapped(REPORT_MEANINGS), default)
            for field, default in REPORT_FIELDS.items()
            if default and field in self.report_fields
        }

    def _read_topology(self, fields: Fields) -> None:
        """The number of routers, and the index of this router's zone."""
        self.routers = int(fields.at("NInstances", number(1, whole=True)))
        max_zone = max(0, len(self.zones) - 1) if self.zones else 1e9
        self.zone = int(fields.at("MyZone", number(0, max_zone, whole=True)))

    def _read_tenants(self, fields: Fields) -> None:
        """The tenants, identified by their index in the list."""
        tenants = fields.at("Tenants", objects, [])
        self.tenant_names = [tenant.at("Name", string, "") for tenant in tenants]
        self.tenant_shares = [door.TenantShare(float(tenant.at("QuotaPerS", number()))) for tenant in tenants]

    def _capabilities(self, fields: Fields) -> door.Capabilities:
        may_send_retry_after = fields.at("Bounds.RetryAfter", boolean, False)
        longest_wait = fields.at("Bounds.MaxRetryAfterS", number(), 0) if may_send_retry_after else 0
        return door.Capabilities(
            sends=int(fields.at("Bounds.SendCap", number(1, whole=True))),
            concurrent=fields.at("Bounds.MayDuplicate", boolean, False),
            probes=fields.at("Bounds.Probing", boolean, False) and self.report_mode != "none",
            withdraw=fields.at("Bounds.Cancel", boolean, False),
            places=fields.at("Specifics.MayReserve", boolean, False),
            release_beside=True,  # by the protocol, a release spares the KV state that an attempt waits for
            longest_wait=to_tenths_ms(longest_wait),
        )

    @staticmethod
    def _policy_settings(fields: Fields) -> door.PolicySettings:
        return door.PolicySettings(
            drain_grace=to_tenths_ms(fields.at("Rules.DrainGraceS", number())),
            cold_from=float(fields.at("Rules.ColdFrom", number(over=True))),
            cold_for=to_tenths_ms(fields.at("Rules.ColdS", number()), up=True),
            cold_multiple=float(fields.at("Rules.FallMultiple", number(over=True))),
            cold_window=to_tenths_ms(fields.at("Rules.FallS", number())),
            let_go_within=to_tenths_ms(fields.at("Specifics.ReleaseS", number())),
            step=max(1, to_tenths_ms(fields.at("ResolutionS", number()), up=True)),
        )

    def __eq__(self, other: object) -> bool:
        """Whether both have the same meaning; ignored keys are not compared."""
        return isinstance(other, Profile) and vars(self) == vars(other)

    __hash__ = None  # type: ignore[assignment]  # mutable and compared by meaning, so not usable as a key

    def module_arguments(self) -> dict[str, Any]:
        """Arguments for the decision module's constructor, and for `configured` when the settings change."""
        return {
            "routers": self.routers,
            "zone": self.zone,
            "use_cases": self.request_classes,
            "accounts": self.tenant_shares,
            "permits": self.capabilities,
            "lawbook": self.policy_settings,
        }

    def router(self, make: Callable[..., Any], host: door.Host, seed: int, now: int) -> Any:
        """A new instance of the decision module with these settings."""
        return make(host, seed=seed, now=now, **self.module_arguments())

    def expected_output_tokens(self, use_case: door.RequestClass, cost: int | None) -> int | None:
        """Expected output tokens by the client's cost hint, in tenths of a millisecond; None where there is no hint."""
        return None if cost is None or not use_case.pace else max(1, cost // use_case.pace)

    def report(self, values: Mapping[str, Any]) -> door.LoadReport:
        """The load report in `values`, by the names that the settings give its fields; invalid values are left out."""
        known = {
            name: float(v)
            for name in self.report_fields
            if isinstance(v := values.get(name), (int, float))
            and not isinstance(v, bool)
            and 0 <= v <= MAX_REPORTED_VALUE
        }
        named: dict[str, Any] = {
            field_name: known[field] * factor
            for field, (field_name, factor) in self.report_meanings.items()
            if field in known
        }
        latency_ms = known.get("lat_ms")
        latency = None if latency_ms is None else int(latency_ms * 10)
        return door.LoadReport(held=known.get("rif"), latency=latency, **named)


def _key_scope(request_class: Fields) -> str:
    """Which workers share the record of idempotency keys. Required for a guarded class: a wrong default could let a request
    take effect twice."""
    keyed = request_class.at("Effect", mapped(EFFECTS)) == "receipted"
    return request_class.at("KeyScope", one_of(KEY_SCOPES), REQUIRED if keyed else "all")


class WorkerEntry(NamedTuple):
    """One worker's entry in a discovery update."""

    name: str
    state: str
    group: int
    zone: int
    kind: int | None  # index in the settings' list of kinds; None: unchanged
    weight: float
    born: int | None  # by the router's clock; None: long ago


class Workers:
    """This router's copy of the worker list: one Endpoint for each worker that was ever listed."""

    def __init__(self, profile: Profile) -> None:
        self.profile = profile
        # By id, without endpoints that another worker of the same id replaced.
        self.endpoints: dict[str, door.Endpoint] = {}
        # Includes endpoints that were replaced or forgotten.
        self.ids: weakref.WeakKeyDictionary[door.Endpoint, str] = weakref.WeakKeyDictionary()

    def update(self, entries: Iterable[WorkerEntry], whole: bool, unread: Iterable[str] = ()) -> list[door.Endpoint]:
        """Applies the entries to the endpoints; returns the endpoints that were named or are gone now.

        A whole list marks as gone each worker that it does not name. `unread`: ids that it names in malformed entries.
        """
        changed: list[door.Endpoint] = []
        named = set(unread)
        for entry in entries:
            changed += self._update_one(entry)
            named.add(entry.name)
        if whole:
            changed += self._remove_unlisted(named)
        return changed

    def _update_one(self, entry: WorkerEntry) -> list[door.Endpoint]:
        """The endpoints that one entry changed: its own, preceded by one of the same id that it replaced, if any."""
        changed, endpoint = [], self.endpoints.get(entry.name)
        if (
            endpoint is not None
            and entry.kind is not None
            and entry.state != "gone"
            and not self._matches_kind(endpoint, entry.kind)
        ):
            # Its samples and estimates hold only for its old role and memory, so it continues as a new worker.
            endpoint.state = "gone"
            changed.append(endpoint)
            endpoint = None
        if endpoint is None:
            endpoint = self._add(entry)
        endpoint.cell = entry.group
        endpoint.zone = entry.zone
        endpoint.weight = entry.weight
        endpoint.state = entry.state
        endpoint.born = entry.born
        changed.append(endpoint)
        return changed

    def _remove_unlisted(self, named: set[str]) -> list[door.Endpoint]:
        """Marks as gone, and returns, the endpoints that a whole list does not name."""
        unlisted = [
            endpoint for name, endpoint in self.endpoints.items() if name not in named and endpoint.state != "gone"
        ]
        for endpoint in unlisted:
            endpoint.state = "gone"
        return unlisted

    def forget(self, name: str) -> None:
        """Removes a worker that is gone for good; a later entry with its id is a new worker."""
        del self.endpoints[name]

    def memory_of(self, kind: int) -> int:
        """Memory of a worker of this kind in tokens; 0 where the settings do not give it."""
        memory = self.profile.memory
        return int(memory[kind]) if kind < len(memory) else 0

    def _matches_kind(self, endpoint: door.Endpoint, kind: int) -> bool:
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
