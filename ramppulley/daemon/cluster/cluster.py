"""A router as a member of a cluster: creates, starts and stops the cluster state machines."""

import asyncio
from random import SystemRandom

from ramppulley.cluster.local_member import Identity
from ramppulley.cluster.members import Members
from ramppulley.cluster.seal import Seal
from ramppulley.cluster.showing import BURST, PER_SECOND, SharingControl, ViewServer
from ramppulley.cluster.token_bucket import TokenBucket
from ramppulley.daemon.cluster import status
from ramppulley.daemon.cluster.incarnations import IncarnationReserve
from ramppulley.daemon.cluster.peer_events import PeerEvents
from ramppulley.daemon.cluster.present_peers import PresentPeers
from ramppulley.daemon.cluster.settings import read_key
from ramppulley.daemon.cluster.sharing_switch import SharingSwitch
from ramppulley.daemon.cluster.signal_exchange import SignalExchange
from ramppulley.daemon.cluster.subset_selection import SubsetSelection
from ramppulley.daemon.cluster.turn_taking import LeaseHolder
from ramppulley.peers.datagrams import Datagrams, bind_socket
from ramppulley.service.clock import TENTHS
from ramppulley.store.disk import Disk

SILENCE_MAX = 3 * TENTHS  # after a start, until peers have sent what they remember of this router
SHARING_INTERVAL_S = 0.2  # how often policies get peer reports, also while no request arrives


class Cluster:
    """A router as a member of a cluster. `notify(changed)` is called with the [(pool, endpoint)] that entered or
    left the subset, or whose weight in it changed.

    Raises InvalidFileError, with the field's name, before anything listens. `disk`, `socket` and `rng` default to the
    operating system's; tests replace them. `where` names the settings file in errors.
    """

    def __init__(
        self, orders, base, clock, fleet, cores, notify, log, disk=None, socket=bind_socket, rng=None, where="settings"
    ):
        self.orders = orders
        self.settings = orders.peers
        self.clock = clock
        self.fleet = fleet
        self.cores = cores
        self.notify = notify
        self.log = log
        self.rng = rng or SystemRandom()
        self.make_socket = socket
        self.key = read_key(base / self.settings.key_file, where)
        path = base / self.settings.snapshot
        self.reserve = IncarnationReserve(disk or Disk(), path, self.settings.cluster, orders.name, log, where)
        self.made_at = clock.now()
        self.switch = SharingSwitch(log)
        self.seal = self.datagrams = self.members = self.events = self.present = self.subsets = None
        self.signals = self.turns = None  # None unless enabled in the settings
        self.tasks = []

    @property
    def first(self):
        """The first incarnation of this process."""
        return self.reserve.first

    @property
    def sharing_disabled(self):
        """Whether an operator or a fault switched signals and leases off."""
        return self.switch.sharing_disabled

    def start(self):
        """Raises OSError if the port is in use."""
        now = self.clock.now()
        self._make_membership(now)
        self._make_sharing(now)
        self.datagrams.machines["switch"] = SharingControl(self.switch.switch)
        self.members.join(now, self.settings.addresses())
        self.datagrams.start()
        self._start_tasks()
        self.log.info(
            "peers ready", cluster=self.settings.cluster, address=self.datagrams.address, incarnation=self.first
        )
        return self

    def _make_membership(self, now):
        settings, name = self.settings, self.orders.name
        sock = self.make_socket(settings.host, settings.port)
        self.seal = Seal(settings.cluster, self.key, name, self.rng, lambda: self.members.incarnation)
        self.datagrams = Datagrams(self.seal, self.clock, sock, self._on_run)
        self.members = Members(
            Identity(name, self.datagrams.address, settings.machine, self.orders.zone),
            self.rng,
            now=now,
            incarnation=self.first,
            incarnation_limit=self.reserve.highest,
            silence=SILENCE_MAX if settings.seeds else 0,
        )
        self.datagrams.machines = {
            "members": self.members,
            "show": ViewServer(self.rows, TokenBucket(PER_SECOND, BURST)),
        }
        self.events = PeerEvents(name, self.clock, self.members, self.seal, self.reserve, self.log)
        self.present = PresentPeers(self.members, self.clock)
        self.subsets = SubsetSelection(
            self.orders,
            self.clock,
            self.fleet,
            self.cores,
            self.members,
            self.datagrams,
            self.notify,
            self.log,
            self.made_at,
        )

    def _make_sharing(self, now):
        clock, cores, datagrams = self.clock, self.cores, self.datagrams
        if self.settings.signals:
            self.signals = SignalExchange(clock, self.fleet, cores, self.present, self.switch, datagrams, self.rng, now)
            datagrams.machines["signals"] = self.signals.machine
        if self.settings.turns:
            self.turns = LeaseHolder(
                self.orders.name, clock, cores, self.present, self.switch, datagrams, self.log, now
            )
            datagrams.machines["turns"] = self.turns.machine

    def _start_tasks(self):
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.subsets.run())]
        if self.signals is not None or self.turns is not None:
            self.tasks.append(loop.create_task(self._share()))

    def _on_run(self):
        """Called after the state machines handled datagrams or timers."""
        if self.events.log_state_changes():
            self.subsets.changed = True
        self.events.log_duplicates()
        self.events.log_stale_snapshot()
        self.reserve.extend_if_needed(self.members)

    async def _share(self):
        """Runs also while no request arrives, since queued requests depend on peer reports."""
        while True:
            await asyncio.sleep(SHARING_INTERVAL_S)
            if self.signals is not None:
                self.signals.update_policies()
            if self.turns is not None:
                self.switch.guard(self.turns.assign_half_open_probes)
                self.datagrams.run_all_machines()

    def listed(self):
        """Called when the list of workers changed."""
        if self.subsets is not None:  # otherwise it is computed when the router starts
            self.subsets.changed = True

    async def wait_for_permit_to_stop(self):
        """Returns once this router may stop: with a permit, or after the configured time."""
        restart = self.settings.restart
        if self.turns is not None and restart is not None and not self.sharing_disabled:
            await self.turns.wait_for_permit_to_stop(restart)

    def rows(self):
        """The status of all known routers, this one first."""
        return status.status_rows(self.clock.now(), self.members, self.events)

    def collect(self):
        """Collects metrics for Prometheus."""
        yield from status.member_metrics(self.members)
        yield from status.datagram_metrics(self.seal, self.members, self.datagrams)
        yield from status.subset_metrics(self.subsets.sizes)
        if self.turns is not None:
            yield from status.turn_metrics(self.turns.machine, self.clock.now())
        if self.signals is not None:
            yield from status.signal_metrics(self.signals.machine, self.clock.now())

    async def stop(self):
        """Announces that this router leaves, so that peers do not suspect it."""
        if not self.tasks:
            return
        tasks = [*self.tasks, *filter(None, [self.reserve.extending])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.members.leave(self.clock.now())
        self.datagrams.run_all_machines()
        self.datagrams.close()
