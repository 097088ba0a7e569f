"""The settings of a scenario's routers and the stand-in engines of its fleet."""

from ramppulley.standin.demo import CHAT, VECTORS, machines
from ramppulley.standin.fleet import StandinFleet

STREAM_IDLE_TIMEOUT_S = 4.0  # shorter than the time that a client waits for the rest of a started stream
STOP_TIMEOUT_S = 9.0
TENANT_REQUESTS_PER_S = 6.0
ZONES = ("north", "south")
REQUEST_CLASSES = {  # as in the settings file
    "desk": {"promised_s": 2.0, "promised_s_per_k": 0.05, "outer_limit_s": 8.0, "benefit": 2.0},
    "afloat": {"promised_s": 1.2, "promised_s_per_k": 0.05, "outer_limit_s": 5.0},
    "booking": {
        "promised_s": 2.0,
        "promised_s_per_k": 0.05,
        "outer_limit_s": 8.0,
        "benefit": 3.0,
        "effect": "effectful",
    },
    "ticket": {
        "promised_s": 2.0,
        "promised_s_per_k": 0.05,
        "outer_limit_s": 8.0,
        "benefit": 2.0,
        "effect": "receipted",
        "group": "zone",
        "window_s": 6.0,
    },
    "search": {"promised_s": 0.6, "promised_s_per_k": 0.1, "outer_limit_s": 3.0, "pace_s": 0.06},
}
ENGINE_KINDS = {  # fields of the engine model, by the stand-ins' roles
    "read": {"slots": 4, "queue": 24, "memory": 60_000, "step": 80, "read_per_s": 16_000},
    "write": {"slots": 8, "queue": 12, "memory": 40_000, "step": 200, "per_seq": 2},
    "pool": {"slots": 8, "queue": 24, "memory": 60_000, "step": 60, "read_per_s": 20_000},
}
FRACTIONAL_KIND_FIELDS = ("cold_from", "context_per_k", "zone_slower", "fall_multiple")


def router_settings(scenario, number=0, **overrides):
    """The settings of one of the scenario's routers. The scenario's settings, then `overrides`, replace the defaults."""
    tenants = {stream.account: {"per_second": TENANT_REQUESTS_PER_S} for stream in scenario.streams if stream.account}
    settings = _default_settings(scenario, number, tenants)
    for name, value in {**scenario.orders, **overrides}.items():
        settings[name] = {**settings.get(name, {}), **value} if isinstance(value, dict) else value
    if tenants:
        settings["accounts"] = {
            name: {**tenant, "keys": [api_key(name)]} for name, tenant in settings["accounts"].items()
        }
    return settings


def _default_settings(scenario, number, tenants):
    return {
        "name": f"r{number}",
        "zone": ZONES[number % len(ZONES)],
        "routers": scenario.routers,
        "seed": scenario.seed + number,
        "use_cases": REQUEST_CLASSES,
        "accounts": tenants,
        "log": "json",
        "stop_within_s": STOP_TIMEOUT_S,
        "engines": {"quiet_s": STREAM_IDLE_TIMEOUT_S},
        "naming": {"fallback": "afloat", "by_kind": {"embeddings": "search", "rerank": "search"}},
        "rules": {"cold_from": 0.3, "cold_for_s": 8.0, "cold_multiple": 4.0, "cold_window_s": 3.0},
        "pools": {
            "chat": {"kinds": ["chat", "completion"], "models": [CHAT]},
            "vectors": {"kinds": ["embeddings", "rerank"], "models": [VECTORS], "use_cases": ["search"]},
        },
    }


def api_key(tenant):
    """The API key that identifies a tenant's requests."""
    return f"sk-{tenant}"


def scenario_fleet(scenario, list_path):
    """The scenario's stand-in engines, not started yet."""
    layout = scenario.fleet
    engines = machines(layout.cells, layout.readers, layout.writers, layout.pooled)
    for machine in engines:
        machine["kind"] = _engine_kind(machine["role"], layout)
    fleet = StandinFleet(engines, list_path, tuple(layout.extensions))
    fleet.lag = 0.0
    return fleet


def _engine_kind(role, layout):
    fields = ENGINE_KINDS[role] | layout.kinds.get(role, {})
    return {name: value if name in FRACTIONAL_KIND_FIELDS else int(value) for name, value in fields.items()}
