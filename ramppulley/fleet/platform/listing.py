"""What the platform's list says, brought to boxes and addresses. Pure."""
from ramppulley.profile import Workers
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage


class Listing:
    """The list as this router holds it. `told` gives [(box, address)] of all that a change names or ends."""

    def __init__(self, profile, log):
        self.profile, self.log, self.workers, self.seq = profile, log, Workers(profile), 0
        self.addresses = {}

    def told(self, change, now, wall):
        """`now`: the router's clock; `wall`: milliseconds since 1970 at that moment."""
        entries = []
        for raw in change.entries:
            try:
                name, state, cell, zone, kind, weight, born, where = platform.entry(
                    raw, self.profile.kinds, self.profile.zones)
            except BadMessage as fault:
                self.log.warning("entry of the list passed over", fault=str(fault))
                continue
            if where is None and name not in self.workers.boxes:
                continue
            if where is not None:
                self.addresses[name] = where
            entries.append((name, state, cell, zone, kind, weight,
                            (now - max(0, wall - born) * 10 or -1) if born > 0 else None))
        self.seq = change.seq
        known = self.workers.boxes
        for i, entry in enumerate(entries):     # both clocks drift against each other: a start is a new one or the old one
            box = known.get(entry[0])
            if box is not None and box.born is not None and entry[6] is not None and abs(box.born - entry[6]) < 1000:
                entries[i] = (*entry[:6], box.born)
        return [(box, self.addresses[self.workers.ids[box]]) for box in self.workers.told(entries, change.whole)]
