"""Makes room in the memory pools: incomplete requests give way first, then idle connections; accepted requests never."""

import asyncio
from collections.abc import Callable

from ramppulley.fronts.client_connection import ClientConnection, ClientConnections
from ramppulley.fronts.platform.eviction import incomplete_request_to_refuse, incomplete_request_with_head
from ramppulley.service.memory import ACCEPTED_SHARE, CONNECTION_BYTES, REQUEST_BYTES, MemoryBudget


class MemoryRelief:
    """Frees memory that clients make one router hold.

    `partial_requests`: the connections whose present request is incomplete, the oldest first. `refuse` refuses such a
    request. `close_idle_client` and `close_idle_worker` close one idle connection, and return whether there was one.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        partial_requests: ClientConnections,
        refuse: Callable[[ClientConnection], None],
        close_idle_client: Callable[[], bool],
        close_idle_worker: Callable[[], bool],
    ) -> None:
        self.budget, self.partial_requests, self.refuse = budget, partial_requests, refuse
        self.close_idle_client, self.close_idle_worker = close_idle_client, close_idle_worker

    def connection_grew(self, connection: ClientConnection) -> None:
        """To be called when a pool holds too much since this connection has received more.

        Refuses incomplete requests, those that began first, and in the end this one. A regular client sends its request at
        once.
        """
        now = asyncio.get_running_loop().time()
        while connection.exceeds_pool():
            self.refuse(incomplete_request_to_refuse(self.partial_requests, connection, now) or connection)

    def fits_request(self) -> bool:
        """Whether one more request fits, with a connection to a worker."""
        return self.budget.requests.fits(REQUEST_BYTES + CONNECTION_BYTES, ACCEPTED_SHARE)

    def make_room_for_request(self) -> bool:
        """Refuses incomplete requests until a complete one fits into its pool; returns whether it does."""
        while not self.fits_request():
            victim = incomplete_request_with_head(self.partial_requests)
            if victim is None:
                return self._close_idle_connections()
            self.refuse(victim)
        return True

    def _close_idle_connections(self) -> bool:
        """Closes idle connections to workers until a request fits, and one of a client; returns whether it fits."""
        self.close_idle_client()
        while not self.fits_request():
            if not self.close_idle_worker():
                return False
        return True
