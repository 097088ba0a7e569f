"""Mutants of the router, each with one planted fault that the rule checkers must catch. Installed by `entry.py`."""

from ramppulley import rules
from ramppulley.cluster import members, membership_view, seal, signals, snapshot, subsets, turns, view_sync
from ramppulley.daemon.cluster import cluster, subset_selection
from ramppulley.engines import openai, stream_timeout


def caged():
    """Never uses a worker outside its subset."""
    rules.PolicyRequest.roster = property(lambda request: request.router.subset_roster)


def unguarded():
    """All routers use the same half of the list and nothing else: no router covers the workers that are left out."""
    subsets.View.subset = lambda view, peer: {
        worker.mark for cell in sorted(view.groups)[::2] for worker in view.groups[cell]
    }
    caged()


def forgetful():
    """Restarts its incarnations from 0 at each start, without asking its peers."""
    snapshot.decode, cluster.SILENCE_MAX = lambda raw, name, router: snapshot.Snapshot(name, router, 0), 0


def meek():
    """Never refutes that it is dead."""
    members.Members._apply_own_update = lambda self, news: None


def trusting():
    """Accepts datagrams without checking their tag and sequence number."""
    seal.compare_digest = lambda a, b: True
    seal.SenderRun.accept = lambda self, number: True


def rash():
    """Declares a suspect dead at once."""
    membership_view.MembershipView.suspicion_timeout = lambda self, accusers: 1


def blind():
    """Keeps its first subset whatever routers join or leave."""
    compute_subsets = subset_selection.SubsetSelection._compute_subsets

    def compute_once(self, *args):
        if not hasattr(self, "first_subsets") and args[0] is not None and len(args[1]) > 1:
            self.first_subsets = compute_subsets(self, *args)
        return getattr(self, "first_subsets", None) or compute_subsets(self, *args)

    subset_selection.SubsetSelection._compute_subsets = compute_once


def grudging():
    """Never contacts members again that it once declared dead."""
    view_sync.ViewSync.exchange = view_sync.ViewSync.greet_present


def jealous():
    """Of two members with the same name it accepts only the one that it heard from last."""
    check_sequence = seal.Seal._check_sequence

    def only_last(self, head):
        lives = self.senders.get(head.sender, ())
        if any(one.run_id == head.run_id for one in lives[:-1]):
            raise seal.InvalidDatagram("replayed")
        check_sequence(self, head)

    seal.Seal._check_sequence = only_last


def level():
    """Does not report its traffic to its peers."""
    members.Members.set_traffic = lambda self, traffic: None


def patient():
    """Waits two minutes on a stalled stream."""
    openai.StreamTimeout = lambda timeout, transport, _: stream_timeout.StreamTimeout(timeout, transport, 120.0)


_row_of = signals.row_of


def lie(factor):
    """From now on this router multiplies the load that it reports to its peers by a factor."""

    def scaled_row_of(*args):
        row = _row_of(*args)
        return signals.Row(
            row.mark,
            min(10**9, int(factor * row.prefill_tokens)),
            min(10**9, int(factor * row.kv_tokens)),
            max(signals.NOT_TRIED, min(100, int(factor * row.failure_percent))),
        )

    signals.row_of = _row_of if factor == 1 else scaled_row_of


def trustful():
    """Does not compare peer reports with its own load reports."""
    signals.Signals.check_claims = lambda self, now, endpoint_id, waiting, ours: None


def ageless():
    """Treats all peer reports as current, however long they were on the way, and never ages them."""
    signals.ClockOffset.max_transit = lambda self, at, now: 0


def gullible():
    """Uses the load that peers report without a bound."""
    rules.blended = lambda own, reported, share, max_value: reported


def careless():
    """Ignores the budget of workers that are warming up."""
    rules.Worker.warming_up = lambda self: False


def turnless():
    """Acts without waiting for a permit."""
    turns.LeaseManager.may_act = lambda self, now, thing: True


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
