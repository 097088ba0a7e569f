"""Incarnation numbers of this router: reserved on disk before use, so that no restart reuses one."""

import asyncio

from ramppulley.cluster import snapshot
from ramppulley.daemon.cluster.settings import field_fault

RETRY_S = 1.0  # after a failed write of the snapshot


class IncarnationReserve:
    """Reserves a block at startup, above any incarnation that earlier processes may have used; raises InvalidFileError.

    `first` is the first incarnation of that block, `highest` the last one that may be used.
    """

    def __init__(self, disk, path, cluster, name, log, where):
        self.disk = disk
        self.path = path
        self.cluster = cluster
        self.name = name
        self.log = log
        self.extending = None  # the running task, if any
        try:
            used = self._highest_used(where)
            self.first = used + 1
            self.highest = used + snapshot.BLOCK
            disk.replace(path, self._encoded(self.highest))
        except OSError as fault:
            raise field_fault(where, "snapshot", f"{path}: {fault.strerror}") from fault

    def _encoded(self, highest):
        return snapshot.encode(snapshot.Snapshot(self.cluster, self.name, highest))

    def _highest_used(self, where):
        raw = self.disk.read(self.path, snapshot.MAX_FILE_SIZE)
        if raw is None:
            self.log.warning("no snapshot: incarnations begin anew", file=str(self.path))
            return 0
        try:
            return snapshot.decode(raw, self.cluster, self.name).highest
        except snapshot.DamagedSnapshot as fault:
            self.log.warning("snapshot not usable: incarnations begin anew", file=str(self.path), fault=str(fault))
            return 0
        except snapshot.ForeignSnapshot as fault:
            raise field_fault(where, "snapshot", f"{self.path}: {fault}") from fault

    def extend_if_needed(self, members):
        """Reserves another block once less than half a block is left."""
        used = max(members.incarnation, members.highest_observed)
        if used > self.highest - snapshot.BLOCK // 2 and self.extending is None:
            self.extending = asyncio.get_running_loop().create_task(self._extend(members))

    async def _extend(self, members):
        """Raises the limit only after the new reservation is durable."""
        highest = max(members.highest_observed, self.highest) + snapshot.BLOCK
        try:
            await asyncio.to_thread(self.disk.replace, self.path, self._encoded(highest))
            self.highest = members.local.incarnation_limit = highest
        except OSError as fault:
            self.log.error("snapshot not written", file=str(self.path), fault=fault.strerror)
            await asyncio.sleep(RETRY_S)
        self.extending = None
