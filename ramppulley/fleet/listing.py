"""Validates the list of workers and compares it with the previous one. No I/O; `fleet.watch` reads the file."""

from typing import Literal
from urllib.parse import urlsplit
from weakref import WeakKeyDictionary
from zlib import crc32

from pydantic import BaseModel, ConfigDict, Field, field_validator

from ramppulley import door
from ramppulley.service.clock import StartAges

TENTHS_PER_S = 10_000
GONE_RETENTION = 30 * TENTHS_PER_S  # a worker that returns within this time is treated as the same one


class Entry(BaseModel):
    """One worker. `started`: Unix time in seconds at which its process started; if absent, it has been running for long."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    name: str = Field(min_length=1, max_length=128)
    url: str
    pool: str
    role: Literal["read", "write", "both", "pool"]
    cell: str = ""
    zone: str = ""
    weight: float = Field(1.0, gt=0, le=1000)
    memory_tokens: int = Field(0, ge=0)
    state: Literal["ready", "draining"] = "ready"
    started: float | None = None

    @field_validator("url")
    @classmethod
    def _url(cls, value):
        parts = urlsplit(value)
        if parts.scheme != "http" or not parts.hostname or not parts.port:
            raise ValueError("must look like http://HOST:PORT")
        return value

    @property
    def address(self):
        parts = urlsplit(self.url)
        return parts.hostname, parts.port


class Listing(BaseModel):
    """The content of the file."""

    model_config = ConfigDict(extra="forbid")
    workers: list[Entry]

    @field_validator("workers")
    @classmethod
    def _unique(cls, value):
        seen = set()
        for entry in value:
            if entry.name in seen:
                raise ValueError(f"two workers are named {entry.name!r}")
            seen.add(entry.name)
        return value


class WorkerList:
    """Endpoints by name; `update` applies a new list and returns what changed, with the pool of each change."""

    def __init__(self):
        self.endpoints, self.entries, self.gone_since = {}, {}, {}  # by name
        self.names = WeakKeyDictionary()  # by endpoint, as long as it is referenced elsewhere
        self.ages = StartAges()

    def name_of(self, endpoint):
        return self.names.get(endpoint, "?")

    def update(self, entries, now, wall_s):
        """Returns [(pool, endpoint, address)] of the changes. `now`: router clock; `wall_s`: Unix time at that moment.

        A worker that is no longer listed is gone; one with another pool or role becomes a new worker.
        """
        changed, listed = [], set()
        self.ages.observe(now, int(wall_s * 1000))
        for entry in entries:
            listed.add(entry.name)
            previous = self.entries.get(entry.name)
            if previous is not None and (previous.pool, previous.role) != (entry.pool, entry.role):
                endpoint = self.endpoints.pop(entry.name)
                endpoint.state = "gone"
                changed.append((previous.pool, endpoint, previous.address))
                previous = None
            if entry == previous and self.endpoints[entry.name].state == entry.state:
                continue
            endpoint = self.endpoints.get(entry.name)
            if endpoint is None:
                endpoint = self.endpoints[entry.name] = door.Endpoint(
                    mark=crc32(entry.name.encode()),
                    role="both" if entry.role == "pool" else entry.role,
                    cell=0,
                    zone=0,
                    memory=0,
                )
                self.names[endpoint] = entry.name
            endpoint.cell, endpoint.zone = crc32(entry.cell.encode()), crc32(entry.zone.encode())
            endpoint.memory, endpoint.weight, endpoint.state = entry.memory_tokens, entry.weight, entry.state
            if previous is None or previous.started != entry.started:
                started_at = None if entry.started is None else now - self._age(entry.started, now, wall_s)
                endpoint.born = started_at if started_at is None else started_at or -1
            self.entries[entry.name] = entry
            changed.append((entry.pool, endpoint, entry.address))
        for name, entry in self.entries.items():
            endpoint = self.endpoints.get(name)
            if name not in listed and endpoint is not None and endpoint.state != "gone":
                endpoint.state = "gone"
                changed.append((entry.pool, endpoint, entry.address))
        self._forget_gone(now)
        return changed

    def _age(self, started, now, wall_s):
        return self.ages.age_ms(int(started * 1000), now, int(wall_s * 1000)) * (TENTHS_PER_S // 1000)

    def _forget_gone(self, now):
        """Drops workers that have been gone for GONE_RETENTION."""
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.state != "gone":
                self.gone_since.pop(name, None)
            elif now - self.gone_since.setdefault(name, now) >= GONE_RETENTION:
                del self.endpoints[name], self.entries[name], self.gone_since[name]
