"""Watches the file with the list of workers; an invalid file is logged and the previous list stays in force."""

import asyncio
import os
import time

from ramppulley.fleet.listing import Listing


class WorkerFileWatcher:
    """Calls `on_change(entries)` when the file changed. `read(path, model)` raises ValueError with file and line."""

    def __init__(self, path, read, on_change, log, interval_s=0.2):
        self.path, self.read, self.on_change, self.log, self.interval_s = path, read, on_change, log, interval_s
        self.loaded_signature, self.last_error, self.task = None, None, None

    def reload_if_changed(self):
        """Loads the file once if it changed; whether it did. Raises what `read` raises, or OSError."""
        stat = os.stat(self.path)
        signature = stat.st_mtime_ns, stat.st_size, stat.st_ino
        if signature == self.loaded_signature:
            return False
        listing = self.read(self.path, Listing)
        self.loaded_signature = signature
        self.on_change(listing.workers)
        return True

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self):
        while True:
            await asyncio.sleep(self.interval_s)
            try:
                if self.reload_if_changed():
                    self.log.info("workers listed", file=str(self.path), at=time.time())
                self.last_error = None
            except (OSError, ValueError) as fault:
                if str(fault) != self.last_error:  # logged once per distinct error, not at every poll
                    self.last_error = str(fault)
                    self.log.error("list of workers not usable, the old one stays", fault=self.last_error)

    async def stop(self):
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
