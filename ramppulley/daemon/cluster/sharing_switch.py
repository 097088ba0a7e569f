"""Switch for peer reports and leases: set by an operator, and switched off by a fault."""


class SharingSwitch:
    """While `sharing_disabled`, this router decides without signals and leases."""

    def __init__(self, log):
        self.log = log
        self.sharing_disabled = False

    def switch(self, on):
        """Sets the switch for an operator."""
        if self.sharing_disabled is on:
            self.sharing_disabled = not on
            self.log.warning("signals and turns", count=on)

    def guard(self, act, *args):
        """Calls `act`. An exception switches peer reports off; it must not fail the request on whose path this is called."""
        try:
            act(*args)
        except Exception:
            self.log.exception("signals and turns fail: they count no more")
            self.sharing_disabled = True
