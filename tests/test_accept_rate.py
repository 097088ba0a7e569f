"""A flood of idle connections on a machine that is short of CPU: whoever comes behind it is heard in time."""

import asyncio
import socket
import time

from rig import story

from ramppulley.wire.sockets import Listener

FLOOD, LATE_TURN_S, HEARD_WITHIN_S = 40, 0.03, 0.5


@story
async def test_a_client_behind_a_flood_is_heard_in_time_where_each_turn_of_the_loop_is_late():
    loop, late, heard_at = asyncio.get_running_loop(), True, []

    def turn_late():
        if late:
            time.sleep(LATE_TURN_S)
            loop.call_soon(turn_late)

    async def serve(transport):
        await transport.receive()
        heard_at.append(loop.time())

    listener = Listener(serve).start()
    clients = [socket.create_connection(("127.0.0.1", listener.port)) for _ in range(FLOOD + 1)]
    clients[-1].sendall(b"request")
    turn_late()
    began = loop.time()
    async with asyncio.timeout(10):
        while not heard_at:
            await asyncio.sleep(0.01)
    late = False
    await listener.stop()
    for client in clients:
        client.close()
    assert heard_at[0] - began < HEARD_WITHIN_S
