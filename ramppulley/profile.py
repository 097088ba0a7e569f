"""The platform's settings object, its list of workers and its load reports, as `door` has them.

Both hosts read them here: the bench adapter (`drill/`) and the router on sockets (`daemon/platform.py`). What either tells
the module of a setting, a worker, a question or a report is therefore the same.
"""
import math
import zlib

from ramppulley import door

EFFECTS = {"free": "pure", "guarded": "receipted", "single_shot": "effectful"}


def micros(text):
    """Whole microseconds of a time in seconds.

    >>> micros("8.41225")
    8412250
    """
    return round(float(text) * 1_000_000)


def tenths(text, up=False):
    """Seconds to whole tenths of a millisecond, down unless told otherwise; '-' is 0.

    >>> tenths("0.00019"), tenths("0.00019", up=True), tenths("-")
    (1, 2, 0)
    """
    us = 0 if text in ("-", None, "") else micros(text)
    return -(-us // 100) if up else us // 100


class Profile:
    """One settings object. Raises KeyError, ValueError or TypeError where it lacks what the module needs."""

    def __init__(self, told):
        law, bounds, special, reports = told["Rules"], told["Bounds"], told["Specifics"], told["Report"]
        self.roles, self.kinds = special["RoleByKind"], told.get("Kinds") or []
        self.memory, self.zones = special.get("MemoryTokens") or [], told.get("Azs") or []
        per_k, pace = special.get("AimUsPer1000PromptTokens") or [], special.get("TokenAimS") or []
        lanes = told["Lanes"]
        self.case_names = [lane.get("Name", "") for lane in lanes]
        self.use_cases = [door.UseCase(
            promised=tenths(lane["AimS"]), outer_limit=tenths(lane["GiveUpS"]), benefit=float(lane["Credit"]),
            promised_per_k=int(per_k[i]) // 100 if i < len(per_k) else 0,
            pace=tenths(pace[i]) if i < len(pace) else 0, effect=EFFECTS[lane["Effect"]],
            group=lane.get("KeyScope") or "all", window=tenths(lane.get("WindowS", 0)))
            for i, lane in enumerate(lanes)]
        self.fields, self.how = reports.get("Fields") or [], reports["How"]
        self.over_share = float(told.get("OverShareWorth", 1.0))
        self.routers, self.zone = int(told["NInstances"]), int(told["MyZone"])
        tenants = told.get("Tenants") or []
        self.account_names = [tenant.get("Name", "") for tenant in tenants]
        self.accounts = [door.Account(float(tenant["QuotaPerS"])) for tenant in tenants]
        self.permits = door.Permits(
            sends=int(bounds["SendCap"]), concurrent=bool(bounds.get("MayDuplicate")),
            probes=bool(bounds.get("Probing")) and self.how != "none",
            withdraw=bool(bounds.get("Cancel")), places=bool(special.get("MayReserve")),
            longest_wait=tenths(bounds.get("MaxRetryAfterS", 0)) if bounds.get("RetryAfter") else 0)
        self.lawbook = door.Lawbook(
            drain_grace=tenths(law["DrainGraceS"]), cold_from=float(law["ColdFrom"]),
            cold_for=tenths(law["ColdS"], up=True), cold_multiple=float(law["FallMultiple"]),
            cold_window=tenths(law["FallS"]), let_go_within=tenths(special["ReleaseS"]),
            step=max(1, tenths(told["ResolutionS"], up=True)))
        self.connect_within = tenths(bounds.get("ConnectTimeoutS", 0))
        self.idle = tenths(bounds.get("ConnIdleS", 0))
        self.questions_most = int(bounds.get("MaxOpen", 0))

    def router(self, make, host, seed, now):
        """The module's instance for this profile."""
        return make(host, seed=seed, routers=self.routers, zone=self.zone, use_cases=self.use_cases,
                    accounts=self.accounts, permits=self.permits, lawbook=self.lawbook, now=now)

    def likely_out(self, use_case, cost):
        """The length that a hint of so much time promises, in tokens; `cost` in tenths, None where there is no hint."""
        return None if cost is None or not use_case.pace else max(1, cost // use_case.pace)

    def report(self, values):
        """A load report by the settings' own names of its fields; what is no number is not told."""
        known = {name: float(v) for name in self.fields
                 if isinstance(v := values.get(name), (int, float)) and math.isfinite(v)}
        waiting, latency = known.get("x1"), known.get("lat_ms")
        return door.Report(
            held=known.get("rif"), memory_share=known.get("x0"),
            tokens_waiting=None if waiting is None else waiting * 1000,
            latency=None if latency is None else int(latency * 10))


class Workers:
    """The list as this router holds it: one Box for each worker that was ever listed."""

    def __init__(self, profile):
        self.profile, self.boxes, self.ids = profile, {}, {}        # id -> Box, Box -> id

    def told(self, entries, whole):
        """Brings the boxes to what was told; `entries`: (id, state, cell, zone, kind, weight, born). The boxes named, and
        where the list was whole those that are gone by it."""
        changed, named = [], set()
        for name, state, cell, zone, kind, weight, born in entries:
            box = self.boxes.get(name)
            if box is None:
                roles, memory = self.profile.roles, self.profile.memory
                box = self.boxes[name] = door.Box(
                    mark=zlib.crc32(name.encode()), role=roles[min(kind, len(roles) - 1)], cell=cell, zone=zone,
                    memory=int(memory[kind]) if kind < len(memory) else 0)
                self.ids[box] = name
            box.cell, box.zone, box.weight, box.state, box.born = cell, zone, weight, state, born
            changed.append(box)
            named.add(name)
        if whole:
            for name, box in self.boxes.items():
                if name not in named and box.state != "gone":
                    box.state = "gone"
                    changed.append(box)
        return changed
