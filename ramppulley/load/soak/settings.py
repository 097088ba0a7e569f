"""The configuration that the soak's routers are started with, and the figures that the oracle judges by."""

from typing import Any

from ramppulley.load.soak.oracle import Rules

RELEASE_S, DRAIN_GRACE_S, COLD_S, COLD_WINDOW_S, COLD_FROM, COLD_MULTIPLE = 0.5, 0.25, 6.0, 1.5, 0.2, 1.5
WINDOW_S = 1.0  # for which workers drop repeats of the guarded class
WORKER_CALLS_PER_S = 10.0  # that a warm worker bears
RULES = Rules(
    RELEASE_S,
    DRAIN_GRACE_S,
    COLD_S,
    COLD_WINDOW_S,
    COLD_MULTIPLE * WORKER_CALLS_PER_S * COLD_FROM * COLD_WINDOW_S,
    WINDOW_S,
)


def settings_of(routers: int, other: bool) -> dict[str, Any]:
    """The settings; `other`: such as a reload brings."""
    aim_s = 1.4 if other else 1.2
    return {
        "Azs": ["north", "south"],
        "Kinds": ["prefill", "decode"],
        "MyZone": 0,
        "Me": 0,
        "NInstances": routers,
        "ResolutionS": 0.004,
        "Bounds": {
            "Cancel": True,
            "ConnIdleS": 5.0,
            "ConnectTimeoutS": 0.25,
            "MaxOpen": 500,
            "MaxRetryAfterS": 0.5,
            "MayDuplicate": False,
            "Probing": True,
            "RetryAfter": True,
            "SendCap": 4,
        },
        "Lanes": [
            {"AimS": aim_s, "Credit": 1.0, "Effect": "free", "GiveUpS": 4.0, "Name": "lookup", "Stream": True},
            {"AimS": aim_s, "Credit": 2.0, "Effect": "single_shot", "GiveUpS": 4.0, "Name": "lodge", "Stream": True},
            {
                "AimS": aim_s,
                "Credit": 1.5,
                "Effect": "guarded",
                "KeyScope": "all",
                "WindowS": WINDOW_S,
                "GiveUpS": 4.0,
                "Name": "book",
                "Stream": True,
            },
        ],
        "Report": {"Fields": ["lat_ms", "x0", "x1"], "How": "probe"},
        "Rules": {
            "ColdFrom": COLD_FROM,
            "ColdS": COLD_S,
            "DrainGraceS": DRAIN_GRACE_S,
            "FallMultiple": COLD_MULTIPLE,
            "FallS": COLD_WINDOW_S,
        },
        "Specifics": {
            "AimUsPer1000PromptTokens": [40000.0] * 3,
            "MayReserve": False,
            "MemoryTokens": [200000, 150000],
            "ReleaseS": RELEASE_S,
            "RoleByKind": ["read", "write"],
            "TokenAimS": [0.03] * 3,
        },
    }
