"""The log of a router on the platform never blocks requests, even if its output is not read: lines are dropped."""

import asyncio
import os
import threading

import pytest

from ramppulley.daemon.platform.log import Log


def test_a_log_that_nobody_reads_holds_nothing_up_and_tells_what_was_lost():
    reading, writing = os.pipe()
    with open(reading, "rb", 0) as reader, open(writing, "w") as stream:
        os.set_blocking(writing, False)
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writing, b"x" * 4096)
        os.set_blocking(writing, True)
        log, done = Log("n0", stream), []

        async def write():
            for number in range(100):
                log.info("a line", number=number)
            done.append(True)

        thread = threading.Thread(target=asyncio.run, args=(write(),), daemon=True)
        thread.start()
        thread.join(2.0)
        in_time = bool(done)
        os.set_blocking(reading, False)
        while reader.read(1 << 16):
            pass
        assert in_time
        log.info("the next line")
        assert b"100 lines lost" in reader.read(1 << 16)
