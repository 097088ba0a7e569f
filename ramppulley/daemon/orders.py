"""Schema of the router's settings file, with validation. Times in the file are in seconds."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ramppulley import door

TENTHS_PER_S = 10_000


def to_tenths(seconds):
    return int(round(seconds * TENTHS_PER_S))


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Listen(Section):
    host: Literal["127.0.0.1", "::1", "localhost", "0.0.0.0", "::"] = "127.0.0.1"
    port: int = Field(0, ge=0, le=65535)
    body_most_bytes: int = Field(8 << 20, ge=1024, le=256 << 20)
    connections: int = Field(10_000, ge=1, le=100_000)
    idle_s: float = Field(75.0, gt=0)
    slow_s: float = Field(20.0, gt=0)


class Workers(Section):
    file: str
    every_s: float = Field(0.2, ge=0.02, le=60)


class RequestClassSettings(Section):
    promised_s: float = Field(gt=0)
    promised_s_per_k: float = Field(0.0, ge=0)
    outer_limit_s: float = Field(gt=0, le=3600)
    pace_s: float = Field(0.06, gt=0)
    benefit: float = Field(1.0, gt=0)
    effect: Literal["pure", "receipted", "effectful"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: float = Field(0.0, ge=0)

    @model_validator(mode="after")
    def _check_limits(self):
        if self.outer_limit_s < self.promised_s:
            raise ValueError("outer_limit_s must not be under promised_s")
        if self.effect == "receipted" and not self.window_s:
            raise ValueError("a receipted use case needs window_s: how long workers remember a receipt")
        return self

    def to_policy_type(self):
        return door.RequestClass(
            to_tenths(self.promised_s),
            to_tenths(self.promised_s_per_k),
            to_tenths(self.outer_limit_s),
            to_tenths(self.pace_s),
            self.benefit,
            self.effect,
            self.group,
            to_tenths(self.window_s),
        )


class TenantSettings(Section):
    per_second: float = Field(gt=0)
    keys: list[str] = []


class Pool(Section):
    kinds: list[Literal["chat", "completion", "embeddings", "rerank"]] = Field(min_length=1)
    models: list[str] = Field(min_length=1)
    use_cases: list[str] = []  # served by this pool, empty = all; their `benefit` values are compared with each other


class Engines(Section):
    load: Literal["answers", "probe"] = "answers"
    full_statuses: list[int] = [429, 503]
    connections: int = Field(512, ge=1)
    idle_s: float = Field(10.0, gt=0)
    connect_s: float = Field(1.0, gt=0)
    quiet_s: float = Field(20.0, gt=0)  # a started stream is ended after this time without a byte


class PolicyRules(Section):
    drain_grace_s: float = Field(2.0, gt=0)
    cold_from: float = Field(0.28, gt=0, le=1)
    cold_for_s: float = Field(14.0, ge=0)
    cold_multiple: float = Field(4.0, gt=0)
    cold_window_s: float = Field(3.0, gt=0)
    let_go_within_s: float = Field(0.3, gt=0)

    def to_policy_type(self):
        return door.PolicySettings(
            to_tenths(self.drain_grace_s),
            self.cold_from,
            to_tenths(self.cold_for_s),
            self.cold_multiple,
            to_tenths(self.cold_window_s),
            to_tenths(self.let_go_within_s),
            10,
        )


class CapabilitySettings(Section):
    sends: int = Field(4, ge=1, le=4)
    places: bool = False
    longest_wait_s: float = Field(2.0, ge=0)


class Naming(Section):
    fallback: str
    by_kind: dict[Literal["chat", "completion", "embeddings", "rerank"], str] = {}
    by_model: dict[str, str] = {}
    use_case_header: str = "x-use-case"
    session_header: str = "x-session-id"
    patience_header: str = "x-request-timeout"
    receipt_header: str = "idempotency-key"
    keys_needed: bool = False


class Subset(Section):
    """Limits the workers that a router normally uses, if it knows other routers."""

    workers_least: int = Field(12, ge=4)  # two pairs of a prefill and a decode worker


class Restart(Section):
    """Rolling restart: at most this part of the routers (at least one) stops at once; the others wait and keep serving."""

    part: float = Field(0.1, gt=0, le=1)
    within_s: float = Field(30.0, gt=0)  # after this time it stops without a permit


class Peers(Section):
    """Exchange with other routers; disabled if this section is absent."""

    cluster: str = Field(pattern=r"^[a-z][a-z0-9-]{0,31}$")
    key_file: str  # 16 to 64 bytes after stripping white space; the same at all routers
    snapshot: str  # file for state that must survive a restart
    host: Literal["127.0.0.1", "::1"] = "127.0.0.1"
    port: int = Field(0, ge=0, le=65535)
    seeds: list[str] = []  # HOST:PORT, or CLUSTER@HOST:PORT
    machine: str = Field("", max_length=64)
    subset: Subset | None = None
    turns: bool = False  # a suspect worker is probed by one router at a time
    restart: Restart | None = None  # routers that are to stop do so a few at a time
    signals: bool = False  # routers exchange what they observe of workers and their open attempts

    @model_validator(mode="after")
    def _check_restart_and_seeds(self):
        if self.restart is not None and not self.turns:
            raise ValueError("restart needs turns")
        self.addresses()
        return self

    def addresses(self):
        """Returns (host, port) of the seeds; raises ValueError."""
        found = []
        for seed in self.seeds:
            cluster, _, address = seed.rpartition("@")
            host, _, port = address.rpartition(":")
            if cluster and cluster != self.cluster:
                raise ValueError(f"seeds: {seed!r} is of cluster {cluster!r}, this is {self.cluster!r}")
            if not host or not port.isdigit() or not 0 < int(port) < 65_536:
                raise ValueError(f"seeds: {seed!r} must look like HOST:PORT or CLUSTER@HOST:PORT")
            found.append((host.strip("[]"), int(port)))
        return found


class RouterSettings(Section):
    """The content of the settings file."""

    name: str = Field("r0", pattern=r"^[a-z][a-z0-9]{0,15}$")
    zone: str = ""
    routers: int = Field(1, ge=1)
    seed: int = 1
    listen: Listen = Listen()
    workers: Workers
    pools: dict[str, Pool] = Field(min_length=1)
    use_cases: dict[str, RequestClassSettings] = Field(min_length=1)
    accounts: dict[str, TenantSettings] = {}
    naming: Naming
    engines: Engines = Engines()
    rules: PolicyRules = PolicyRules()
    permits: CapabilitySettings = CapabilitySettings()
    peers: Peers | None = None
    questions_most: int = Field(20_000, ge=1)
    stop_within_s: float = Field(10.0, ge=0)
    record: str | None = None
    record_events: str | None = None  # directory for recorded policy events and actions, one file per pool and start
    log: Literal["console", "json"] = "console"

    @model_validator(mode="after")
    def _check_references(self):
        for source, class_name in [
            ("naming.fallback", self.naming.fallback),
            *((f"naming.by_kind.{k}", c) for k, c in self.naming.by_kind.items()),
            *((f"naming.by_model.{k}", c) for k, c in self.naming.by_model.items()),
        ]:
            if class_name not in self.use_cases:
                raise ValueError(f"{source}: no use case {class_name!r}; use_cases has {', '.join(self.use_cases)}")
        for pool, pool_settings in self.pools.items():
            for class_name in pool_settings.use_cases:
                if class_name not in self.use_cases:
                    raise ValueError(
                        f"pools.{pool}.use_cases: no use case {class_name!r}; there are {', '.join(self.use_cases)}"
                    )
            for kind in pool_settings.kinds:
                class_name = self.naming.by_kind.get(kind, self.naming.fallback)
                if pool_settings.use_cases and class_name not in pool_settings.use_cases:
                    raise ValueError(
                        f"pools.{pool}.use_cases: {kind} is {class_name!r} by naming, which is not among them"
                    )
        self.routes()
        return self

    def routes(self):
        """Returns {(kind, model): pool}; raises ValueError if two pools serve the same."""
        found = {}
        for pool, pool_settings in self.pools.items():
            for kind in pool_settings.kinds:
                for model in pool_settings.models:
                    if found.setdefault((kind, model), pool) != pool:
                        raise ValueError(f"pools {found[kind, model]} and {pool} both serve {kind} by {model}")
        return found
