"""Settings of the membership protocol, named as in SWIM and memberlist; times in tenths of a millisecond."""

from dataclasses import dataclass

MS, S = 10, 10_000  # one millisecond, one second


@dataclass(frozen=True)
class ProtocolConfig:
    """Settings shared by all instances of a cluster."""

    probe_interval: int = 1 * S  # one instance is probed per interval
    probe_timeout: int = 400 * MS  # without an ack for this long, indirect probes are requested
    indirect_probes: int = 3  # number of helpers asked
    suspicion_multiplier: float = 4.0  # minimum suspicion timeout in probe intervals, per decade of the cluster's size
    suspicion_max_multiplier: float = (
        6.0  # maximum timeout, as a multiple of the minimum, while nobody confirms the suspicion
    )
    suspicion_confirmations: int = 3  # confirmations that reduce the timeout to the minimum
    gossip_interval: int = 250 * MS  # independent of probes, so that a slow prober does not delay a refutation
    gossip_targets: int = 2  # instances that receive gossip per interval
    retransmit_multiplier: int = 4  # transmissions of an update, per decade of the cluster's size
    health_max: int = 8  # maximum local health score; 0 is SWIM without Lifeguard
    sync_interval: int = 20 * S  # between exchanges of part of the view with one instance
    dead_member_retention: int = 120 * S  # until then they are contacted occasionally, so that a partition heals
    members_max: int = 512  # maximum number of instances in the table
    datagrams_per_second: int = 60  # rate limit for sending
    datagrams_burst: int = 120
