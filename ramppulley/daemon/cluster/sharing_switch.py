"""Switch for peer reports and leases: set by an operator, and switched off by a fault."""


class SharingSwitch:
    """While `muted`, this router decides without signals and leases."""

    def __init__(self, log):
        self.log = log
        self.muted = False

    def switch(self, on):
        """Sets the switch for an operator."""
        if self.muted is on:
            self.muted = not on
            self.log.warning("signals and turns", count=on)

    def guard(self, act, *args):
        """Calls `act`. An exception switches peer reports off; it must not fail the request on whose path this is called."""
        try:
            act(*args)
        except Exception:
            self.log.exception("signals and turns fail: they count no more")
            self.muted = True
