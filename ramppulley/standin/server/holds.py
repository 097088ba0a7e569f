"""What a stand-in engine holds for requests: KV states that wait to be fetched, and capacity reserved ahead."""

import msgspec

from ramppulley.standin.ledger import Held
from ramppulley.standin.model import Engine, Job, S
from ramppulley.standin.server.clock import monotonic_now

MAX_HOLD_AGE = 30 * S  # a hold that is neither used nor released expires


class Holds:
    """Open holds by key. `log` receives each hold once and keeps it when it has ended."""

    def __init__(self, engine: Engine, log: list[Held]) -> None:
        self._engine = engine
        self.log = log
        self.open: dict[str, Held] = {}
        engine.on_taken = lambda key, at: self.close(key, "taken", at)

    def reserve_capacity(self, key: str, prompt_tokens: int) -> bool:
        """Reserves capacity ahead of a request; whether there was any."""
        now = monotonic_now()
        reserved = self._engine.reserve(key, prompt_tokens, now)
        if reserved:
            self._open(key, Held(self._engine.name, key, "place", now))
        return reserved

    def hold_state(self, job: Job) -> str:
        """Holds a job's KV state until it is fetched or released; returns its key."""
        key: str = self._engine.kv_states.hold(self._engine, job, monotonic_now())
        self._open(key, Held(self._engine.name, job.name, "state", monotonic_now()))
        return key

    def _open(self, key: str, held: Held) -> None:
        self.open[key] = held
        self.log.append(held)

    def close(self, key: str, how: str, at: int | None = None) -> None:
        """Records the end of a hold; a release counts from when it was first requested."""
        held = self.open.pop(key, None)
        if held is None:
            return
        held.until = monotonic_now() if at is None else min(at, held.told or at)
        held.how = how

    def close_all_died(self) -> None:
        """Ends all holds, as the engine has ended."""
        now = monotonic_now()
        for held in self.open.values():
            held.until, held.how = now, "died"
        self.open.clear()

    def expire(self, now: int) -> None:
        """Ends the holds that are too old."""
        for key, held in list(self.open.items()):
            if now - held.since > MAX_HOLD_AGE:
                self.close(key, "expired")
                if held.what == "state":
                    self._engine.kv_states.release(key)
                else:
                    self._engine.drop_reservation(key)

    def note_release_request(self, raw_body: bytes, arrived: int) -> None:
        """Records when a release was first requested: a silent engine acts later, or never if the caller hung up."""
        try:
            body = msgspec.json.decode(raw_body)
            key = (body.get("remote_block_ids") or [str(body.get("request_id"))])[0]
        except (msgspec.DecodeError, AttributeError, TypeError, IndexError):
            return
        if key in self.open:
            held = self.open[key]
            held.told = arrived if held.told is None else held.told

    def release_state(self, key: str, arrived: int) -> None:
        """Releases one state, if it is still there."""
        if key in self._engine.kv_states.states:
            self.close(key, "let go", arrived)
            self._engine.kv_states.release(key)

    def abandon_state(self, key: str) -> None:
        """Releases a state whose key could not be delivered."""
        self.close(key, "let go")
        self._engine.kv_states.release(key)

    def release_request(self, request_id: str, arrived: int) -> None:
        """Releases a request's reservation and all its states."""
        self._engine.drop_reservation(request_id)
        self.close(request_id, "let go", arrived)
        states = [key for key, held in self.open.items() if held.what == "state" and held.request == request_id]
        for key in states:
            self.close(key, "let go", arrived)
            self._engine.kv_states.release(key)
