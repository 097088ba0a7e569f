"""A fleet of stand-ins on loopback, and the file that lists them, which a scenario may delay."""

import asyncio
import json
import os
import time
from concurrent.futures import ThreadPoolExecutor

from ramppulley.standin.model import Engine, KvStates, MachineKind
from ramppulley.standin.server.standin import Standin


class StandinFleet:
    """Builds engines from `machines`: dicts with name, pool, role, cell, zone, kind and model."""

    def __init__(self, machines, list_path, extensions=("release", "hold")):
        self.yard, self.ledger, self.held, self.listed_at = KvStates(), [], [], []
        self.list_path, self.lag, self.machines = list_path, 0.0, {m["name"]: m for m in machines}
        self.states, self.started_at, self.standins, self._delayed_writes, self.births = {}, {}, {}, set(), []
        self.file_writer = ThreadPoolExecutor(1)  # one thread, so that lists are written in order
        for machine in machines:
            engine = Engine(
                machine["name"],
                MachineKind(role=machine["role"], **machine.get("kind", {})),
                self.yard,
                cell=machine.get("cell", ""),
                zone=machine.get("zone", ""),
            )
            self.standins[machine["name"]] = Standin(engine, machine["model"], self.ledger, self.held, extensions)
            self.states[machine["name"]] = "ready"

    async def start(self):
        for standin in self.standins.values():
            await standin.start()
        self.write()
        return self

    async def stop(self):
        for task in self._delayed_writes:
            task.cancel()
        self.file_writer.shutdown()
        await asyncio.gather(*(s.stop() for s in self.standins.values()))

    def open_held(self):
        """The KV states and reservations that are held now."""
        return [held for standin in self.standins.values() for held in standin.holds.open.values()]

    def entries(self):
        """The entries of the list, in the format of the workers file."""
        listing = []
        for name, machine in self.machines.items():
            if self.states[name] == "gone":
                continue
            entry = {
                "name": name,
                "url": f"http://127.0.0.1:{self.standins[name].port}",
                "pool": machine["pool"],
                "role": machine["role"],
                "cell": machine.get("cell", ""),
                "zone": machine.get("zone", ""),
                "memory_tokens": self.standins[name].engine.kind.memory,
                "state": self.states[name],
            }
            if name in self.started_at:
                entry["started"] = self.started_at[name]
            listing.append(entry)
        return listing

    def write(self):
        """Writes the list of the fleet as it is now: at once, or `lag` seconds late, as a lagging discovery service does."""
        text = json.dumps({"workers": self.entries()}, indent=1)
        if self.lag <= 0:
            return self._write_now(text)
        loop = asyncio.get_running_loop()

        async def write_later():
            await asyncio.sleep(self.lag)
            await loop.run_in_executor(
                self.file_writer, self._replace, text
            )  # not on the loop: a busy disk takes tenths of a second
            self._record_listing(text)

        task = loop.create_task(write_later())
        self._delayed_writes.add(task)
        task.add_done_callback(self._delayed_writes.discard)

    def _write_now(self, text):
        self._replace(text)
        self._record_listing(text)

    def _replace(self, text):
        temporary = f"{self.list_path}.new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(temporary, self.list_path)  # atomic: a router reads the old list or the new one, never a part

    def _record_listing(self, text):
        now = int(time.monotonic() * 10_000)
        self.listed_at.append((now, {e["name"]: e["state"] for e in json.loads(text)["workers"]}))

    # Faults
    async def crash(self, name, listed=True):
        await self.standins[name].stop()
        if listed:
            self.states[name] = "gone"
            self.write()

    async def restart(self, name):
        """Starts a crashed engine again, which then warms up."""
        await self.standins[name].restart()
        self.started_at[name], self.states[name] = time.time(), "ready"
        self.births.append((name, self.standins[name].engine.born))
        self.write()

    def drain(self, name):
        self.states[name] = "draining"
        self.write()
