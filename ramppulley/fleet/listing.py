"""The list as data: entries checked, and compared with what was known. Pure; the file is read by `fleet.watch`."""

from typing import Literal
from urllib.parse import urlsplit
from weakref import WeakKeyDictionary
from zlib import crc32

from pydantic import BaseModel, ConfigDict, Field, field_validator

from ramppulley import door
from ramppulley.service.clock import StartAges

TENTHS = 10_000
GONE_RETENTION = 30 * TENTHS  # a worker that comes back within this is the same one


class Entry(BaseModel):
    """One worker. `started`: seconds since 1970 of its process's start; absent = long ago."""

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
    """The whole file."""

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


class Fleet:
    """Boxes by name; `update` brings them to a new list and tells what changed, by pool."""

    def __init__(self):
        self.endpoints, self.entries, self.gone_since = {}, {}, {}  # by name
        self.names = WeakKeyDictionary()  # by box, as long as anybody knows it
        self.ages = StartAges()

    def name_of(self, endpoint):
        return self.names.get(endpoint, "?")

    def update(self, entries, now, wall):
        """`now`: the router's clock; `wall`: seconds since 1970 at that moment. Returns [(pool, box, address)].

        A worker that is not listed any more is gone; one that moved to another pool is a new worker there.
        """
        changed, listed = [], set()
        self.ages.observe(now, int(wall * 1000))
        for entry in entries:
            listed.add(entry.name)
            old = self.entries.get(entry.name)
            if old is not None and (old.pool, old.role) != (entry.pool, entry.role):
                endpoint = self.endpoints.pop(entry.name)
                endpoint.state = "gone"
                changed.append((old.pool, endpoint, old.address))
                old = None
            if entry == old and self.endpoints[entry.name].state == entry.state:
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
            if old is None or old.started != entry.started:
                born = None if entry.started is None else now - self._age(entry.started, now, wall)
                endpoint.born = born if born is None else born or -1
            self.entries[entry.name] = entry
            changed.append((entry.pool, endpoint, entry.address))
        for name, entry in self.entries.items():
            endpoint = self.endpoints.get(name)
            if name not in listed and endpoint is not None and endpoint.state != "gone":
                endpoint.state = "gone"
                changed.append((entry.pool, endpoint, entry.address))
        self._forget_gone(now)
        return changed

    def _age(self, started, now, wall):
        return self.ages.age_ms(int(started * 1000), now, int(wall * 1000)) * (TENTHS // 1000)

    def _forget_gone(self, now):
        """Keeps nothing of workers that have been gone for long."""
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.state != "gone":
                self.gone_since.pop(name, None)
            elif now - self.gone_since.setdefault(name, now) >= GONE_RETENTION:
                del self.endpoints[name], self.entries[name], self.gone_since[name]
