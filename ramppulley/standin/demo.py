"""The fleet and settings of `./rp up`: two groups of prefill and decode workers, two workers for embeddings and rerank."""

from ramppulley.daemon.orders import RouterSettings
from ramppulley.standin.fleet import StandinFleet

CHAT, VECTORS = "harbour-70b", "mooring-embed"


def machines(cells=2, readers=2, writers=2, pooled=2, zones=("north", "south")):
    """Descriptions of machines: `readers` prefill and `writers` decode workers per group, and `pooled` for embeddings."""
    entries = []
    for cell in range(cells):
        location = {"cell": f"rack{cell}", "zone": zones[cell % len(zones)], "pool": "chat", "model": CHAT}
        entries += [{"name": f"reader-{cell}-{n}", "role": "read", **location} for n in range(readers)]
        entries += [{"name": f"writer-{cell}-{n}", "role": "write", **location} for n in range(writers)]
    entries += [
        {
            "name": f"pool-{n}",
            "role": "pool",
            "pool": "vectors",
            "model": VECTORS,
            "cell": "pool",
            "zone": zones[n % len(zones)],
            "kind": {"slots": 16, "queue": 64, "read_per_s": 40_000},
        }
        for n in range(pooled)
    ]
    return entries


def demo_fleet(list_path):
    return StandinFleet(machines(), list_path)


def demo_settings(port=0, **more):
    """Settings for the demo fleet; `more` replaces whole sections."""
    return RouterSettings.model_validate(
        {
            "zone": "north",
            "listen": {"port": port},
            "workers": {"file": "workers.json5"},
            "pools": {
                "chat": {"kinds": ["chat", "completion"], "models": [CHAT]},
                "vectors": {"kinds": ["embeddings", "rerank"], "models": [VECTORS], "use_cases": ["search"]},
            },
            "use_cases": {
                "desk": {"promised_s": 2.0, "promised_s_per_k": 0.05, "outer_limit_s": 10.0, "benefit": 2.0},
                "afloat": {"promised_s": 1.0, "promised_s_per_k": 0.05, "outer_limit_s": 6.0},
                "booking": {"promised_s": 2.0, "outer_limit_s": 10.0, "benefit": 3.0, "effect": "effectful"},
                "search": {"promised_s": 0.5, "promised_s_per_k": 0.1, "outer_limit_s": 3.0},
            },
            "naming": {"fallback": "afloat", "by_kind": {"embeddings": "search", "rerank": "search"}},
            "permits": {"places": True},
            **more,
        }
    )
