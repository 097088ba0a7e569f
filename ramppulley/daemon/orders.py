"""The router's standing orders: what its settings file holds, checked. Times in the file are seconds."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ramppulley import door

TENTHS = 10_000


def tenths(seconds):
    return int(round(seconds * TENTHS))


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Listen(Part):
    host: Literal["127.0.0.1", "::1", "localhost", "0.0.0.0", "::"] = "127.0.0.1"
    port: int = Field(0, ge=0, le=65535)
    body_most_bytes: int = Field(8 << 20, ge=1024, le=256 << 20)
    connections: int = Field(10_000, ge=1, le=100_000)
    idle_s: float = Field(75.0, gt=0)
    slow_s: float = Field(20.0, gt=0)


class Workers(Part):
    file: str
    every_s: float = Field(0.2, ge=0.02, le=60)


class UseCase(Part):
    promised_s: float = Field(gt=0)
    promised_s_per_k: float = Field(0.0, ge=0)
    outer_limit_s: float = Field(gt=0, le=3600)
    pace_s: float = Field(0.06, gt=0)
    benefit: float = Field(1.0, gt=0)
    effect: Literal["pure", "receipted", "effectful"] = "pure"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: float = Field(0.0, ge=0)

    @model_validator(mode="after")
    def _fits(self):
        if self.outer_limit_s < self.promised_s:
            raise ValueError("outer_limit_s must not be under promised_s")
        if self.effect == "receipted" and not self.window_s:
            raise ValueError("a receipted use case needs window_s: how long workers remember a receipt")
        return self

    def of_door(self):
        return door.RequestClass(
            tenths(self.promised_s),
            tenths(self.promised_s_per_k),
            tenths(self.outer_limit_s),
            tenths(self.pace_s),
            self.benefit,
            self.effect,
            self.group,
            tenths(self.window_s),
        )


class Account(Part):
    per_second: float = Field(gt=0)
    keys: list[str] = []


class Pool(Part):
    kinds: list[Literal["chat", "completion", "embeddings", "rerank"]] = Field(min_length=1)
    models: list[str] = Field(min_length=1)
    use_cases: list[str] = []  # those that it serves; none named = all. Benefit is weighed among them


class Engines(Part):
    load: Literal["answers", "probe"] = "answers"
    full_statuses: list[int] = [429, 503]
    connections: int = Field(512, ge=1)
    idle_s: float = Field(10.0, gt=0)
    connect_s: float = Field(1.0, gt=0)
    quiet_s: float = Field(20.0, gt=0)  # a stream that has begun and brings no byte for so long is ended


class Lawbook(Part):
    drain_grace_s: float = Field(2.0, gt=0)
    cold_from: float = Field(0.28, gt=0, le=1)
    cold_for_s: float = Field(14.0, ge=0)
    cold_multiple: float = Field(4.0, gt=0)
    cold_window_s: float = Field(3.0, gt=0)
    let_go_within_s: float = Field(0.3, gt=0)

    def of_door(self):
        return door.PolicySettings(
            tenths(self.drain_grace_s),
            self.cold_from,
            tenths(self.cold_for_s),
            self.cold_multiple,
            tenths(self.cold_window_s),
            tenths(self.let_go_within_s),
            10,
        )


class Permits(Part):
    sends: int = Field(4, ge=1, le=4)
    places: bool = False
    longest_wait_s: float = Field(2.0, ge=0)


class Naming(Part):
    fallback: str
    by_kind: dict[Literal["chat", "completion", "embeddings", "rerank"], str] = {}
    by_model: dict[str, str] = {}
    use_case_header: str = "x-use-case"
    session_header: str = "x-session-id"
    patience_header: str = "x-request-timeout"
    receipt_header: str = "idempotency-key"
    keys_needed: bool = False


class Subset(Part):
    """Workers that the router uses ordinarily, where it knows of others."""

    workers_least: int = Field(12, ge=4)  # two pairs


class Restart(Part):
    """How many routers may stop at once: this part of them, one at least; one that waits for its turn goes on serving."""

    part: float = Field(0.1, gt=0, le=1)
    within_s: float = Field(30.0, gt=0)  # then it stops all the same


class Peers(Part):
    """Other routers; off where this part is missing."""

    cluster: str = Field(pattern=r"^[a-z][a-z0-9-]{0,31}$")
    key_file: str  # 16 to 64 bytes, white space at the ends aside; the same file's text at all routers
    snapshot: str  # file in which the router keeps what a restart must not forget
    host: Literal["127.0.0.1", "::1"] = "127.0.0.1"
    port: int = Field(0, ge=0, le=65535)
    seeds: list[str] = []  # HOST:PORT, or CLUSTER@HOST:PORT
    machine: str = Field("", max_length=64)
    subset: Subset | None = None
    turns: bool = False  # a doubted worker is tried by one router at a time
    restart: Restart | None = None  # routers that are told to stop do so in turns
    signals: bool = False  # routers tell each other what they see of workers and have out there

    @model_validator(mode="after")
    def _seeds(self):
        if self.restart is not None and not self.turns:
            raise ValueError("restart needs turns")
        self.addresses()
        return self

    def addresses(self):
        """Of the seeds; raises ValueError."""
        found = []
        for seed in self.seeds:
            cluster, _, where = seed.rpartition("@")
            host, _, port = where.rpartition(":")
            if cluster and cluster != self.cluster:
                raise ValueError(f"seeds: {seed!r} is of cluster {cluster!r}, this is {self.cluster!r}")
            if not host or not port.isdigit() or not 0 < int(port) < 65_536:
                raise ValueError(f"seeds: {seed!r} must look like HOST:PORT or CLUSTER@HOST:PORT")
            found.append((host.strip("[]"), int(port)))
        return found


class Orders(Part):
    """The whole file."""

    name: str = Field("r0", pattern=r"^[a-z][a-z0-9]{0,15}$")
    zone: str = ""
    routers: int = Field(1, ge=1)
    seed: int = 1
    listen: Listen = Listen()
    workers: Workers
    pools: dict[str, Pool] = Field(min_length=1)
    use_cases: dict[str, UseCase] = Field(min_length=1)
    accounts: dict[str, Account] = {}
    naming: Naming
    engines: Engines = Engines()
    rules: Lawbook = Lawbook()
    permits: Permits = Permits()
    peers: Peers | None = None
    questions_most: int = Field(20_000, ge=1)
    stop_within_s: float = Field(10.0, ge=0)
    record: str | None = None
    record_events: str | None = None  # folder for the module's events and actions, a file for each pool and start
    log: Literal["console", "json"] = "console"

    @model_validator(mode="after")
    def _names(self):
        for where, case in [
            ("naming.fallback", self.naming.fallback),
            *((f"naming.by_kind.{k}", c) for k, c in self.naming.by_kind.items()),
            *((f"naming.by_model.{k}", c) for k, c in self.naming.by_model.items()),
        ]:
            if case not in self.use_cases:
                raise ValueError(f"{where}: no use case {case!r}; use_cases has {', '.join(self.use_cases)}")
        for pool, told in self.pools.items():
            for case in told.use_cases:
                if case not in self.use_cases:
                    raise ValueError(
                        f"pools.{pool}.use_cases: no use case {case!r}; there are {', '.join(self.use_cases)}"
                    )
            for kind in told.kinds:
                case = self.naming.by_kind.get(kind, self.naming.fallback)
                if told.use_cases and case not in told.use_cases:
                    raise ValueError(f"pools.{pool}.use_cases: {kind} is {case!r} by naming, which is not among them")
        self.routes()
        return self

    def routes(self):
        """(kind, model) -> pool; raises ValueError where two pools claim one."""
        found = {}
        for pool, told in self.pools.items():
            for kind in told.kinds:
                for model in told.models:
                    if found.setdefault((kind, model), pool) != pool:
                        raise ValueError(f"pools {found[kind, model]} and {pool} both serve {kind} by {model}")
        return found
