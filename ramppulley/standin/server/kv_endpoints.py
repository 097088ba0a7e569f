"""The protocol extensions of an engine for KV state: reserving capacity ahead, and releasing what is held."""

from ramppulley.standin.server.holds import Holds
from ramppulley.standin.server.pump import EnginePump
from ramppulley.standin.server.responses import JsonObject, ResponseWriter
from ramppulley.wire.sockets import Transport


class KvEndpoints:
    """The handlers of `/kv/hold` and `/kv/release`."""

    def __init__(self, holds: Holds, pump: EnginePump, responses: ResponseWriter) -> None:
        self._holds = holds
        self._pump = pump
        self._responses = responses

    async def hold(self, transport: Transport, body: JsonObject) -> bool:
        """Reserves capacity for a request, which may ask again; 409 if none is free at once."""
        request_id = str(body.get("request_id"))
        held = request_id in self._holds.open
        if not held:
            held = self._holds.reserve_capacity(request_id, int(body.get("prompt_tokens") or 0))
        return await self._responses.empty(transport, 200 if held else 409)

    async def release(self, transport: Transport, body: JsonObject, arrived: int) -> bool:
        """Releases a state by its key, or all that is held for a request."""
        keys = body.get("remote_block_ids")
        if keys:
            self._holds.release_state(keys[0], arrived)
        else:
            self._holds.release_request(str(body.get("request_id")), arrived)
        self._pump.wake.set()
        return await self._responses.empty(transport, 200)
