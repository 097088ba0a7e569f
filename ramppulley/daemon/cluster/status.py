"""Cluster status of a router: rows for `./rp peers`, and metrics."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ramppulley.cluster.member_table import by_name
from ramppulley.service.clock import TENTHS


def status_rows(now, members, events):
    """[name, state, incarnation, zone, machine, traffic, host, port, seconds in this state]; this router first."""
    return [_own_row(members.local)] + [
        _row(now, member, events.is_duplicate(member.name, now))
        for member in sorted(members.members.values(), key=by_name)
    ]


def _own_row(local):
    identity = local.identity
    return [
        identity.name,
        "self",
        local.incarnation,
        identity.zone,
        identity.machine,
        local.traffic,
        *identity.address,
        0,
    ]


def _row(now, member, duplicate):
    return [
        member.name,
        member.state + (" (twice)" if duplicate else ""),
        member.incarnation,
        member.zone,
        member.machine,
        member.traffic,
        *member.address,
        (now - member.since) // TENTHS,
    ]


def member_metrics(members):
    """Other routers by state."""
    peers = GaugeMetricFamily("ramppulley_peers", "Other routers by state.", labels=["state"])
    states = [member.state for member in members.members.values()]
    for state in ("alive", "suspect", "dead", "left"):
        peers.add_metric([state], states.count(state))
    yield peers


def datagram_metrics(seal, members, datagrams):
    """Datagrams sent, and received datagrams that were ignored."""
    rejected = CounterMetricFamily("ramppulley_datagrams_unfit", "Datagrams that changed nothing.", labels=["cause"])
    for cause, count in {**seal.count, **members.count}.items():
        rejected.add_metric([cause], count)
    yield rejected
    yield CounterMetricFamily("ramppulley_datagrams_sent", "Datagrams to other routers.", value=datagrams.sent)
    yield CounterMetricFamily("ramppulley_datagram_bytes", "Bytes of those.", value=datagrams.bytes)


def subset_metrics(sizes):
    """Size of the worker subset, by pool."""
    subset_sizes = GaugeMetricFamily("ramppulley_subset", "Workers used ordinarily; 0 = all.", labels=["pool"])
    for pool, count in sizes.items():
        subset_sizes.add_metric([pool], count)
    yield subset_sizes


def turn_metrics(turns, now):
    """Leases that this router holds."""
    held_leases = GaugeMetricFamily("ramppulley_turns", "Turns that this router holds.", labels=["thing"])
    for lease in turns.wanted:
        held_leases.add_metric([lease], turns.holds(now, lease))
    yield held_leases


def signal_metrics(signals, now):
    """Coverage and reliability of other routers' signals."""
    yield GaugeMetricFamily(
        "ramppulley_signals_known", "Part of the other routers whose news count.", value=signals.known_share(now)
    )
    yield GaugeMetricFamily(
        "ramppulley_signals_honest",
        "How much of what waits at workers others speak of.",
        value=signals.claims_confidence(),
    )
    rejected_reports = CounterMetricFamily(
        "ramppulley_signals_refused",
        "News that changed nothing; claims that our own reports refute.",
        labels=["cause"],
    )
    for cause, count in signals.count.items():
        rejected_reports.add_metric([cause], count)
    yield rejected_reports
