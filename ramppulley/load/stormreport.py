"""The results of a fault-injection run, as data, table and chart."""

import csv
import json

import uvloop

from ramppulley.check import fleetwide, rules
from ramppulley.load.stormrun import run_storm
from ramppulley.service.record import VERSION

# Events in routers' logs that report a fault of the router itself
FAULT_EVENTS = ("module fault", "subsets not worked out", "signals and turns fail: they count no more")
INTERVAL_S = 1.0  # length of the intervals for which service is computed
SETTLE_TIME_S = 14.0  # time after the last fault in which the routers must find each other again
PROBED_WITHIN_S = 8.0  # at the end of the run; each router must have been probed within this time


def service_by_interval(evidence, start, length):
    """Service in each second of the run; None for seconds without a request."""
    service = []
    for second in range(int(length / INTERVAL_S)):
        sent = [
            a
            for a in evidence.asked
            if a.how != "left"
            and start + second * INTERVAL_S * 10_000 <= a.sent < start + (second + 1) * INTERVAL_S * 10_000
        ]
        service.append(
            round(sum(a.benefit for a in sent if a.in_time()) / sum(a.benefit for a in sent), 3) if sent else None
        )
    return service


def death_detection(run, logs):
    """(seconds until the first and until the last router declared a killed one dead, number of false deaths), from logs."""
    ends = {}
    for what, name, at in run.events:
        ends.setdefault(name, []).append((what, at))
    first, last, false_deaths = [], [], 0
    deaths = [
        (at, router, fields["name"])
        for at, router, event, fields in logs
        if event == "peer" and fields.get("what") == "dead"
    ]
    for name, name_ends in ends.items():
        for what, ended_at in name_ends:
            delays = [at - ended_at for at, _, peer in deaths if peer == name and 0 <= at - ended_at < 60]
            if what == "killed" and delays:
                first.append(min(delays))
                last.append(max(delays))
    run_end = run.started_at + run.duration_s  # routers that stop at the end of the run are not false deaths
    for at, _, name in deaths:
        if run.started_at <= at < run_end and not any(
            ended_at <= at < ended_at + 60 for _, ended_at in ends.get(name, ())
        ):
            false_deaths += 1
    return max(first, default=None), max(last, default=None), false_deaths


def reused_incarnations(run, logs):
    """Incarnations that two processes of one name used, as seen by the relay and not as reported by the routers."""
    first_life, reused = {}, []
    for name, life, incarnation in run.relay.lives:
        if incarnation and first_life.setdefault((name, incarnation), life) != life:
            reused.append(f"{name} used incarnation {incarnation} in two lives")
    return sorted(set(reused))


def unrecovered_peers(run, scenario):
    """Routers that the others did not find again after the last fault; empty if the run was too short to tell."""
    last_fault_end = max(
        [f.at_s + f.for_s for f in scenario.faults] + [t.at_s + t.for_s for t in scenario.troubles], default=0.0
    )
    # A router that lost most of its peers probes slowly for half a minute
    most_gone = 2 * len(run.alive_at_end) <= scenario.routers
    if (
        not scenario.peers
        or len(run.alive_at_end) < 2
        or scenario.length_s - last_fault_end < SETTLE_TIME_S
        or most_gone
    ):
        return []
    return fleetwide.parted(run.relay.pinged, run.alive_at_end, run.ended_at - int(PROBED_WITHIN_S * 10_000))


def max_routers_away(run):
    """The maximum number of routers that a release had stopped at one time, as the load balancer saw it."""
    count = max_count = 0
    for what, _, _ in sorted(run.events, key=lambda event: event[2]):
        count += {"stopped": 1, "back": -1}.get(what, 0)
        max_count = max(max_count, count)
    return max_count


def recovery_time_s(service, last_fault_end):
    """Seconds from the end of the last engine fault until service stays at 0.9 or more; None if it never does."""
    for second in range(int(last_fault_end), len(service)):
        if all(share is None or share >= 0.9 for share in service[second:]):
            return second - int(last_fault_end)
    return None


def verdict(scenario, seed, progress=lambda text: None, folder=None, mutant=""):
    """Runs a scenario with a seed; all its results, as plain data."""
    seeded = scenario.model_copy(update={"seed": seed})
    evidence, unsent, run, logs = uvloop.run(run_storm(seeded, progress, folder, mutant))
    table = rules.table(evidence)
    roles = {n: s.engine.kind.role for n, s in run.fleet.standins.items() if s.engine.kind.role != "pool"}
    total_value = sum(a.benefit for a in evidence.asked if a.how != "left")
    mean_routers, max_routers = fleetwide.spread(evidence, roles)
    routers = list(run.routers.values())
    first_death_s, last_death_s, false_deaths = death_detection(run, logs) if scenario.peers else (None, None, 0)
    cpu_s = sum(r.cpu_s - run.cpu_before.get(r.name, 0.0) for r in routers)
    service = service_by_interval(evidence, min((a.sent for a in evidence.asked), default=0), scenario.length_s)
    names = [r.name for r in routers if r.number < 1000]
    return {
        "storm": scenario.name,
        "seed": seed,
        "version": VERSION,
        "routers": scenario.routers,
        "peers": scenario.peers,
        "subset": scenario.subset if scenario.peers else None,
        "signals": scenario.signals and scenario.peers,
        "turns": scenario.turns and scenario.peers,
        "mutant": mutant,
        "service": round(rules.service(evidence) * total_value / ((total_value + unsent) or 1), 4),
        "breaches": [str(b) for b in rules.breaches(evidence)],
        "left_out": [str(b) for b in fleetwide.left_out(evidence, roles)],
        "lost": sum(row["lost"] for row in table.values()),
        "away_most": max_routers_away(run),
        "away_allowed": max(1, int(scenario.restart * scenario.routers))
        if scenario.restart
        else scenario.max_routers(),
        "unreached": sum(r["unreached"] for r in table.values()) + unsent,
        "turned_back": sum(row["turned_back"] for row in table.values()),
        "late": sum(row["late"] for row in table.values()),
        "uneven": fleetwide.unevenness(evidence, roles),
        "uneven_in_time": fleetwide.uneven_in_time(evidence, roles),
        "cold_used": fleetwide.cold_used(evidence, roles),
        "hits": fleetwide.hits(evidence),
        "first_ms": fleetwide.waits(a.first - a.sent for a in evidence.asked if a.first is not None),
        "read_ms": fleetwide.waits(
            e.ended - e.arrived for e in evidence.ledger if e.what == "read" and e.how == "answered"
        ),
        "routers_a_worker": mean_routers,
        "routers_a_worker_most": max_routers,
        "router_cpu_ms_a_question": round(cpu_s * 1000 / max(1, len(evidence.asked)), 2),
        "dead_first_s": first_death_s and round(first_death_s, 2),
        "dead_last_s": last_death_s and round(last_death_s, 2),
        "false_ends": false_deaths,
        "bytes_s": round(sum(run.bytes.get(n, 0) for n in names) / run.duration_s / len(names)),
        "datagrams_s": round(sum(run.count.get(n, 0) for n in names) / run.duration_s / len(names), 1),
        "bytes_most_s": round(max((run.bytes.get(n, 0) for n in names), default=0) / run.duration_s),
        "stood_s": round(sum(b - a for a, b in evidence.stood) / 10_000, 2),
        "starved_most_s": round(
            max((sum(b - a for who, a, b in evidence.starved if who == r.number) for r in routers), default=0) / 10_000,
            2,
        ),
        "twice": sum(event == "a name twice" for _, _, event, _ in logs),
        "service_least": scenario.service_least,
        "strangers": reused_incarnations(run, logs),
        "parted": unrecovered_peers(run, scenario),
        "faults": sum(event in FAULT_EVENTS for _, _, event, _ in logs),
        "recovered_s": recovery_time_s(service, max([t.at_s + t.for_s for t in scenario.troubles], default=0.0)),
        "course": service,
    }


def good(row):
    return not (
        row["breaches"]
        or row["left_out"]
        or row["lost"]
        or row["faults"]
        or row["strangers"]
        or row["parted"]
        or row["service"] < row["service_least"]
        or row["away_most"] > row["away_allowed"]
    )


def written(rows, folder):
    """Writes storm.json, storm.csv and storm.svg."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "storm.json").write_text(json.dumps(rows, indent=1))
    flat_rows = [
        {
            key: len(value) if isinstance(value, list) else json.dumps(value) if isinstance(value, dict) else value
            for key, value in row.items()
            if key != "course"
        }
        for row in rows
    ]
    with open(folder / "storm.csv", "w", newline="") as file:
        table = csv.DictWriter(file, flat_rows[0])
        table.writeheader()
        table.writerows(flat_rows)
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for row in rows:
        axes.plot(
            row["course"],
            label=f"{row['storm']}, {row['routers']} routers, "
            f"{'subset ' + str(row['subset']) if row['subset'] else 'whole list'}{', signals' * row['signals']}, "
            f"seed {row['seed']}",
            linewidth=1,
        )
    axes.set(xlabel="seconds", ylabel="service (simulated engines)", ylim=(0, 1.05))
    axes.legend(fontsize=6)
    figure.savefig(folder / "storm.svg")
