"""Settings of the routers in a soak run, and the corresponding limits of the oracle."""

from typing import Any

from ramppulley.load.soak.oracle import OracleLimits

RELEASE_S, DRAIN_GRACE_S = 0.5, 0.25
SLOW_START_S, SLOW_START_WINDOW_S, SLOW_START_FROM, SLOW_START_MULTIPLE = 6.0, 1.5, 0.2, 1.5
REPEAT_WINDOW_S = 1.0  # time for which workers drop repeated requests of the guarded class
WORKER_REQUESTS_PER_S = 10.0  # capacity of a worker after its slow start
ORACLE_LIMITS = OracleLimits(
    RELEASE_S,
    DRAIN_GRACE_S,
    SLOW_START_S,
    SLOW_START_WINDOW_S,
    SLOW_START_MULTIPLE * WORKER_REQUESTS_PER_S * SLOW_START_FROM * SLOW_START_WINDOW_S,
    REPEAT_WINDOW_S,
)


def router_settings(routers: int, alternative: bool) -> dict[str, Any]:
    """The settings of a router. `alternative`: a second variant, which a reload may switch to."""
    latency_target_s = 1.4 if alternative else 1.2
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
            {
                "AimS": latency_target_s,
                "Credit": 1.0,
                "Effect": "free",
                "GiveUpS": 4.0,
                "Name": "lookup",
                "Stream": True,
            },
            {
                "AimS": latency_target_s,
                "Credit": 2.0,
                "Effect": "single_shot",
                "GiveUpS": 4.0,
                "Name": "lodge",
                "Stream": True,
            },
            {
                "AimS": latency_target_s,
                "Credit": 1.5,
                "Effect": "guarded",
                "KeyScope": "all",
                "WindowS": REPEAT_WINDOW_S,
                "GiveUpS": 4.0,
                "Name": "book",
                "Stream": True,
            },
        ],
        "Report": {"Fields": ["lat_ms", "x0", "x1"], "How": "probe"},
        "Rules": {
            "ColdFrom": SLOW_START_FROM,
            "ColdS": SLOW_START_S,
            "DrainGraceS": DRAIN_GRACE_S,
            "FallMultiple": SLOW_START_MULTIPLE,
            "FallS": SLOW_START_WINDOW_S,
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
