"""Routers broken on purpose, each in one place: what the rig's checkers must catch. Put in by the rig's own entry point."""

from ramppulley import rules
from ramppulley.cluster import members, membership_view, seal, signals, snapshot, subsets, turns, view_sync
from ramppulley.daemon.cluster import cluster, subset_selection
from ramppulley.engines import openai, stream_timeout


def caged():
    """Never looks beyond its subset."""
    rules.PolicyRequest.roster = property(lambda request: request.router.subset_roster)


def unguarded():
    """All routers use the same half of the list, and never look beyond it: nobody minds who is left out."""
    subsets.View.subset = lambda view, peer: {
        place.mark for cell in sorted(view.groups)[::2] for place in view.groups[cell]
    }
    caged()


def forgetful():
    """Begins its incarnations anew at each start, and asks nobody."""
    snapshot.read, cluster.SILENCE_MAX = lambda raw, name, router: snapshot.Kept(name, router, 0), 0


def meek():
    """Never denies that it is dead."""
    members.Members._apply_own_update = lambda self, news: None


def trusting():
    """Believes datagrams whatever their tag and number."""
    seal.compare_digest = lambda a, b: True
    seal.SenderRun.accept = lambda self, number: True


def rash():
    """Holds for dead at once whom it suspects."""
    membership_view.MembershipView.suspicion_timeout = lambda self, accusers: 1


def blind():
    """Keeps the subset that it had first, whoever comes or goes."""
    found = subset_selection.SubsetSelection._compute_subsets

    def once(self, *given):
        if not hasattr(self, "once_found") and given[0] is not None and len(given[1]) > 1:
            self.once_found = found(self, *given)
        return getattr(self, "once_found", None) or found(self, *given)

    subset_selection.SubsetSelection._compute_subsets = once


def grudging():
    """Greets nobody whom it once held for dead."""
    view_sync.ViewSync.exchange = view_sync.ViewSync.greet_present


def jealous():
    """Of two that have one name it hears only the one that came last."""
    numbered = seal.Seal._check_sequence

    def last(self, head):
        lives = self.senders.get(head.sender, ())
        if any(one.run_id == head.life for one in lives[:-1]):
            raise seal.Unfit("replayed")
        numbered(self, head)

    seal.Seal._check_sequence = last


def level():
    """Tells nobody that it has more to do than others."""
    members.Members.told_traffic = lambda self, traffic: None


def patient():
    """Waits two minutes for more of a stream that stands still."""
    openai.StreamTimeout = lambda timeout, transport, _: stream_timeout.StreamTimeout(timeout, transport, 120.0)


_row_of = signals.row_of


def lie(times):
    """From now on this router tells others so many times what it saw of workers and has out there."""

    def row_of(*given):
        row = _row_of(*given)
        return signals.Row(
            row.mark,
            min(10**9, int(times * row.prefill_tokens)),
            min(10**9, int(times * row.kv_tokens)),
            max(signals.NOT_TRIED, min(100, int(times * row.failure_percent))),
        )

    signals.row_of = _row_of if times == 1 else row_of


def trustful():
    """Holds nobody's claims against its own reports."""
    signals.Signals.saw = lambda self, now, mark, waiting, ours: None


def ageless():
    """Takes all news for new, however long they were under way, and never lets them fade."""
    signals.ClockOffset.max_transit = lambda self, at, now: 0


def gullible():
    """Believes all that it hears of a worker's load, without bound."""
    rules.blended = lambda own, told, part, most: told


def careless():
    """Knows of no cold worker's budget."""
    rules.Worker.warming_up = lambda self: False


def turnless():
    """Minds no turns."""
    turns.Turns.may = lambda self, now, thing: True


MUTANTS = {
    act.__name__: act
    for act in (
        caged,
        unguarded,
        forgetful,
        meek,
        trusting,
        rash,
        blind,
        grudging,
        jealous,
        level,
        patient,
        trustful,
        ageless,
        gullible,
        careless,
        turnless,
    )
}
