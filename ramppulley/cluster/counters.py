"""Events counted by the membership protocol; the values are label values of a metric."""

from enum import StrEnum


class Occurrence(StrEnum):
    """An event that is counted and has no other effect on the host."""

    UNREADABLE = "unreadable"
    OWN_NAME = "own name"
    PROBE_FAILED = "probe failed"
    REFUTED = "denied"
    NO_CAPACITY = "no room"
    OVER_BUDGET = "over budget"
