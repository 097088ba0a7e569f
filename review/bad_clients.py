"""Bad clients as a process of its own: bodies of 60 MB in chunks, and again as soon as they are turned away.

Arguments: port, number of clients, seconds, bytes a chunk. Prints how often they were turned away, and how they ended else.
"""

import asyncio
import sys
import time
from collections import Counter

BODY_BYTES, PIECE_BYTES = 60_000_000, 64 << 10


async def send_too_much(port, number, until, chunk_bytes, seen):
    """One client at full speed: it sends its body until it has its error, reads that, goes, and asks again."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    count = PIECE_BYTES // len(chunk)
    piece, tries = chunk * count, 0
    while time.monotonic() < until:
        tries += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            seen["found nobody"] += 1
            await asyncio.sleep(0.05)
            continue
        writer.write(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {tries:08x}bad{number:05x}\r\n"
            "Req-Kind: record-lookup\r\nReq-Key: bad\r\nReq-Deadline-Ms: 4800\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        answer, left = asyncio.create_task(reader.read(300)), BODY_BYTES
        try:
            while left > 0 and not answer.done() and time.monotonic() < until:
                writer.write(piece)
                left -= count * chunk_bytes
                await asyncio.wait_for(writer.drain(), 1.0)
        except (ConnectionError, TimeoutError):
            pass  # turned away; its error may still be read
        try:
            first = await asyncio.wait_for(answer, 3.0)
            seen[first.split(b"\r\n")[0].decode() or "closed"] += 1
        except (ConnectionError, TimeoutError) as fault:
            seen[type(fault).__name__] += 1
        writer.transport.abort()


async def main(port, clients, seconds, chunk_bytes):
    seen, until = Counter(), time.monotonic() + seconds
    await asyncio.gather(*[send_too_much(port, number, until, chunk_bytes, seen) for number in range(clients)])
    print(dict(seen))


asyncio.run(main(*map(int, sys.argv[1:])))
