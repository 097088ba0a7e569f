"""The engine model: continuous batching with slots, a queue, memory and a prefix cache. Pure: no sockets, no clock.

An engine works in steps. A step prefills up to a chunk of prompt tokens, first come, first served, and generates one
token for each decoding job; it lasts longer the more tokens it prefills, the more jobs decode in it and the longer their
contexts are. The same model drives the loopback servers on the real clock and an emulator on a virtual one.
Times: tenths of a millisecond.
"""

from collections import deque
from dataclasses import dataclass

S = 10_000  # tenths of a millisecond in a second
BLOCK_TOKENS = 32  # tokens in a block of the prefix cache


@dataclass(frozen=True)
class MachineKind:
    """The capacity and speed of a kind of machine. Speeds: tokens per second."""

    role: str = "both"  # read (prefill), write (decode), both, or pool (embeddings and rerank)
    slots: int = 32
    queue: int = 64
    memory: int = 200_000  # tokens
    chunk: int = 2048  # prompt tokens prefilled in one step
    step: int = 100  # duration of an empty step
    per_seq: int = 2  # added per job that decodes in the step
    context_per_k: float = 0.4  # added per 1,000 tokens of their contexts
    read_per_s: int = 20_000
    cold_from: float = 0.3  # share of its full speed right after a start
    cold_for: int = 8 * S  # time from a start until full speed
    near_per_s: int = 250_000  # transfer of KV state within a group
    far_per_s: int = 120_000  # transfer between groups, over one link per group that concurrent transfers share
    zone_slower: float = 2.0  # divides the speed of a transfer between zones
    fall_multiple: float = 4.0  # a warming engine crashes if it is sent more than this multiple of its own speed ...
    fall_window: int = 3 * S  # ... in a window of this length


@dataclass(eq=False)
class Job:
    """One request at an engine. `blocks`: the chained hashes of its prompt's blocks, for the prefix cache."""

    name: str
    prompt_tokens: int
    output_tokens: int = 1
    blocks: tuple = ()
    prefill_only: bool = False  # ends with the prefill; its KV state is held to be fetched
    state_key: str | None = None  # of the KV state that it fetches
    arrived: int = 0
    began_at: int | None = None
    remaining_tokens: int | None = None  # still to prefill; None = not begun
    cached_tokens: int = 0
    generated_tokens: int = 0
    state_ready_at: int | None = None  # end of the transfer of that state
    preemptions: int = 0

    @property
    def context(self):
        return self.prompt_tokens + self.generated_tokens


@dataclass
class EngineEvent:
    """One event of a job in a step.

    `what`: began, read (its prefill ended), token, done, or no_state (the KV state to fetch is gone).
    """

    what: str
    job: Job | None
    at: int


@dataclass
class KvState:
    """The KV state of a prefilled prompt, held at an engine until it is fetched."""

    key: str
    engine: "Engine"
    tokens: int
    since: int
    name: str


class KvStates:
    """The KV states that engines hold, and the transfers between engines.

    Concurrent transfers share the source engine's port, or its group's link, evenly.
    """

    def __init__(self):
        self.states, self.transfers, self.last_serial = {}, {}, 0

    def hold(self, engine: "Engine", job: Job, now: int) -> str:
        """Holds a job's KV state at its engine; returns the state's key."""
        self.last_serial += 1
        key = f"{engine.name}-{self.last_serial}"
        self.states[key] = KvState(key, engine, job.prompt_tokens, now, job.name)
        return key

    def transfer(self, key, target, now):
        """Starts a transfer to the engine `target`: the time it ends at, or None if the state is gone."""
        state = self.states.get(key)
        if state is None or state.engine.down:
            return None
        source = state.engine
        near = source.cell == target.cell
        link = source.name if near else source.cell
        active = [end for end in self.transfers.get(link, ()) if end > now]
        speed = source.kind.near_per_s if near else source.kind.far_per_s
        if source.zone != target.zone:
            speed /= source.kind.zone_slower
        end = now + int(state.tokens * S * (len(active) + 1) / speed) + 1
        self.transfers[link] = active + [end]
        return end

    def release(self, key: str, at: int | None = None) -> bool:
        """Frees a state's memory at its engine; whether there was one. `at`: when another engine had fetched it."""
        state = self.states.pop(key, None)
        if state:
            state.engine.held_tokens -= state.tokens
            state.engine.on_taken(key, at)
        return state is not None


class Engine:
    """One engine. `offer` accepts or rejects a job, `advance` runs the steps up to a time, `next_at` when to call it."""

    def __init__(self, name, kind, kv_states, *, cell="", zone="", born=None):
        self.name, self.kind, self.kv_states, self.cell, self.zone = name, kind, kv_states, cell, zone
        self.slower, self.down = 1.0, False  # `slower`: multiplies the duration of a step
        self.on_taken = lambda key, at: None  # called for each state and reservation that is used, with the time
        self.restart(born)

    def restart(self, born):
        """Starts with nothing held or cached, warming up from `born` on; None = warmed up long ago."""
        for key in [key for key, state in self.kv_states.states.items() if state.engine is self]:
            del self.kv_states.states[key]
        self.born, self.down, self.held_tokens = born, False, 0
        self.running, self.waiting, self.cached_blocks, self.places = [], deque(), {}, {}
        self.step_end, self.step_prefills, self.recent_work, self.paused_to = None, [], deque(), 0
        self.blocked = False

    # Capacity
    def speed(self, now):
        """The share of its full speed, which grows linearly while it warms up."""
        if self.born is None or now - self.born >= self.kind.cold_for:
            return 1.0
        return self.kind.cold_from + (1 - self.kind.cold_from) * (now - self.born) / self.kind.cold_for

    def used_tokens(self):
        return self.held_tokens + sum(j.context for j in self.running) + sum(self.places.values())

    def work(self, job: Job) -> int:
        """The time that a job costs a warm engine: its prefill, and for its decode a share of the steps of a full batch."""
        prefill = (
            0
            if job.state_key
            else max(0, job.prompt_tokens - self.count_cached_tokens(job.blocks)) * S / self.kind.read_per_s
        )
        if job.prefill_only or self.kind.role == "pool":
            return int(prefill)
        full_step = self.kind.step + self.kind.per_seq * self.kind.slots
        return int(prefill + job.output_tokens * full_step / self.kind.slots)

    def count_cached_tokens(self, blocks: tuple) -> int:
        """The tokens of the longest prefix of these blocks that is cached."""
        count = 0
        for block in blocks:
            if block not in self.cached_blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    # Requests
    def offer(self, job: Job, now: int) -> str:
        """Accepts a job ("taken") or says why not: "full", "no_state", "down", or "fell" if it crashed a warming engine."""
        if self.down:
            return "down"
        if job.state_key and (
            job.state_key not in self.kv_states.states or self.kv_states.states[job.state_key].engine.down
        ):
            return "no_state"
        if job.prompt_tokens + job.output_tokens > self.kind.memory:
            return "full"
        if len(self.running) + len(self.waiting) >= self.kind.slots + self.kind.queue:
            return "full"
        if self.overloads(job, now):
            self.down = True
            return "fell"
        job.arrived = now
        self.waiting.append(job)
        return "taken"

    def overloads(self, job, now):
        """Whether a job takes a warming engine over its budget: the work sent in the window against its speed."""
        if self.born is None or now - self.born >= self.kind.cold_for:
            return False
        self.recent_work.append((now, self.work(job)))
        while self.recent_work and self.recent_work[0][0] <= now - self.kind.fall_window:
            self.recent_work.popleft()
        budget = self.kind.fall_multiple * self.speed(now) * self.kind.fall_window
        return sum(work for _, work in self.recent_work) > budget

    def reserve(self, name: str, tokens: int, now: int) -> bool:
        """Reserves capacity ahead of a request, in `places`: only if a slot and memory are free and nothing is queued."""
        if self.down or self.waiting or len(self.running) + len(self.places) >= self.kind.slots:
            return False
        if self.used_tokens() + tokens > self.kind.memory:
            return False
        self.places[name] = tokens
        return True

    def drop_reservation(self, name: str) -> bool:
        return self.places.pop(name, None) is not None

    def cancel(self, job: Job) -> None:
        """Removes a job whose connection ended from the queue or the batch. A state that it was fetching stays held."""
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running:
            self.running.remove(job)

    def forget(self):
        """Empties the prefix cache."""
        self.cached_blocks.clear()

    # Steps
    def next_at(self, now: int) -> float | None:
        """When `advance` has something to do next; None = not before another call."""
        if self.down:
            return None
        if self.step_end is not None:
            return max(self.step_end, self.paused_to)
        transfers = [j.state_ready_at for j in self.running if j.state_ready_at is not None]
        if self.waiting and not self.blocked:
            return max(now, self.paused_to)
        if self.waiting:  # no memory for the first in the queue: tried again 5 ms later
            transfers.append(now + 50)
        return max(min(transfers), self.paused_to) if transfers else None

    def advance(self, now: int) -> list[EngineEvent]:
        """Runs all steps up to `now`; the events, oldest first."""
        events, at, self.blocked = [], now, False
        while not self.down:
            due = self.next_at(at)
            if due is None or due > now:
                break
            if self.step_end is not None:
                self._finish(self.step_end if due == self.step_end else due, events)
            self._begin(max(due, self.step_end or due), events)
            if self.step_end is None:
                break
        return events

    def _admit(self, now, events):
        while self.waiting and len(self.running) < self.kind.slots:
            job = self.waiting[0]
            reserved = self.places.get(job.name.rpartition("-s")[0], 0)
            if self.used_tokens() - reserved + job.context + 1 > self.kind.memory and (
                self.running or self.held_tokens
            ):
                break
            self.waiting.popleft()
            if reserved:
                del self.places[job.name.rpartition("-s")[0]]
                self.on_taken(job.name.rpartition("-s")[0], now)
            if job.state_key and job.remaining_tokens is None:
                job.state_ready_at = self.kv_states.transfer(job.state_key, self, now)
                if job.state_ready_at is None:
                    events.append(EngineEvent("no_state", job, now))
                    continue
                job.remaining_tokens = 0
            else:
                job.cached_tokens = min(self.count_cached_tokens(job.blocks), max(0, job.context - 1))
                job.remaining_tokens = job.context - job.cached_tokens
            if job.began_at is None:
                job.began_at = now
                events.append(EngineEvent("began", job, now))
            self.running.append(job)

    def _begin(self, now, events):
        """Plans the next step: which jobs it prefills, and which decode a token."""
        self._admit(now, events)
        self.step_prefills, budget, prefilled = [], self.kind.chunk, 0
        for job in self.running:
            if job.remaining_tokens and budget > 0:
                part = min(job.remaining_tokens, budget)
                self.step_prefills.append((job, part))
                budget, prefilled = budget - part, prefilled + part
        decoding = [
            j for j in self.running if not j.remaining_tokens and (j.state_ready_at is None or j.state_ready_at <= now)
        ]
        self.blocked = not self.step_prefills and not decoding
        if self.blocked:
            self.step_end = None
            return
        contexts = sum(j.context for j in decoding) / 1000
        length = (
            self.kind.step
            + self.kind.per_seq * len(decoding)
            + self.kind.context_per_k * contexts
            + prefilled * S / self.kind.read_per_s
        )
        self.step_end = now + max(1, int(length * self.slower / self.speed(now)))

    def _finish(self, now, events):
        for job, part in self.step_prefills:
            if job in self.running and job.remaining_tokens is not None:
                job.remaining_tokens -= part
        prefilled_now = {job for job, _ in self.step_prefills}
        for job in list(self.running):
            if (
                job.remaining_tokens
                or job not in self.running
                or (job.state_ready_at is not None and job.state_ready_at > now)
            ):
                continue
            if job.state_ready_at is not None:  # the transfer has ended: the prefill engine's memory is freed
                job.state_ready_at = None
                if not self.kv_states.release(job.state_key, now):
                    self.running.remove(job)
                    events.append(EngineEvent("no_state", job, now))
                    continue
            if job in prefilled_now:
                self._cache(job)
            if job.prefill_only:
                self.running.remove(job)
                self.held_tokens += job.prompt_tokens
                events.append(EngineEvent("read", job, now))
                continue
            job.generated_tokens += 1
            events.append(EngineEvent("token", job, now))
            if job.generated_tokens >= job.output_tokens:
                self.running.remove(job)
                events.append(EngineEvent("done", job, now))
        while self.used_tokens() > self.kind.memory and len(self.running) > 1:
            # Preempts the newest job: it goes back into the queue, to be prefilled again.
            newest = max(self.running, key=lambda j: (j.began_at, j.name))
            self.running.remove(newest)
            newest.remaining_tokens, newest.preemptions = newest.context, newest.preemptions + 1
            if newest.state_ready_at is not None:
                newest.remaining_tokens, newest.state_ready_at = None, None
            self.waiting.appendleft(newest)
        self.step_end = None

    def _cache(self, job):
        for block in job.blocks:
            self.cached_blocks.pop(block, None)
            self.cached_blocks[block] = True
        free = max(0, self.kind.memory - self.used_tokens())
        while len(self.cached_blocks) * BLOCK_TOKENS > free:
            del self.cached_blocks[next(iter(self.cached_blocks))]

    def figures(self) -> dict[str, float]:
        """The load report: running, waiting (held states included), share of memory in use, prompt tokens to prefill."""
        states = sum(state.engine is self for state in self.kv_states.states.values())
        return {
            "num_requests_running": len(self.running),
            "num_requests_waiting": len(self.waiting) + states,
            "kv_cache_usage_perc": round(min(1.0, self.used_tokens() / self.kind.memory), 4),
            "num_prompt_tokens_waiting": sum(j.remaining_tokens or 0 for j in self.running)
            + sum(0 if j.state_key else j.prompt_tokens for j in self.waiting),
        }
