"""Timeout of a suspicion (Lifeguard, LHA suspicion)."""

from math import log, log10

from ramppulley.cluster.config import ProtocolConfig


def suspicion_timeout(config: ProtocolConfig, size: int, accusers: int) -> int:
    """How long a suspicion waits for a refutation: shorter with more independent accusers, longer in a larger cluster.

    >>> [suspicion_timeout(ProtocolConfig(), 10, accusers) for accusers in (1, 2, 4)]
    [240000, 140000, 40000]
    """
    decades = max(1.0, log10(max(1, size)))
    minimum = config.suspicion_multiplier * decades * config.probe_interval
    if not config.health_max:
        return int(minimum)
    maximum = minimum * config.suspicion_max_multiplier
    confirmed = log(accusers) / log(config.suspicion_confirmations + 1)
    return int(max(minimum, maximum - (maximum - minimum) * confirmed))
