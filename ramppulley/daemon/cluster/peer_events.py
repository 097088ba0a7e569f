"""Logs events about routers: state changes, duplicate names, a stale snapshot."""

from ramppulley.service.clock import TENTHS

REPEAT_INTERVAL = 30 * TENTHS  # between log lines about the same duplicate name


class PeerEvents:
    """Drains and logs the events of the state machines after each of their steps."""

    def __init__(self, name, clock, members, seal, reserve, log):
        self.name = name
        self.clock = clock
        self.members = members
        self.seal = seal
        self.reserve = reserve
        self.log = log
        self.duplicate_logged_at = {}  # name -> time of the last log line about it
        self.stale_logged = False

    def log_state_changes(self):
        """Logs state changes of routers; whether there were any."""
        events = self.members.events
        changed = bool(events)
        for state, name in events:
            self.log.info("peer", what=state, name=name, count=len(self.members.alive()) + 1)
        events.clear()
        return changed

    def log_duplicates(self):
        """Logs names that more than one router uses."""
        now = self.clock.now()
        for name in self.seal.duplicate_names:
            if not self.is_duplicate(name, now):
                cause = "another router uses this router's name" if name == self.name else "two routers use this name"
                self.log.error("a name twice", name=name, why=cause)
                self.duplicate_logged_at[name] = now
        self.seal.duplicate_names.clear()

    def is_duplicate(self, name, now):
        """Whether the name was reported as a duplicate within the last REPEAT_INTERVAL."""
        return now - self.duplicate_logged_at.get(name, -REPEAT_INTERVAL) < REPEAT_INTERVAL

    def log_stale_snapshot(self):
        """Logs once if peers remember higher incarnations of this router than its snapshot held."""
        heard = self.members.highest_observed
        if heard >= self.reserve.first and self.members.local.silent and not self.stale_logged:
            self.stale_logged = True
            self.log.error(
                "the snapshot is older than what others remember of us",
                file=str(self.reserve.path),
                kept=self.reserve.first - 1,
                heard=heard,
            )
