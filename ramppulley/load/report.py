"""Runs a scenario under one or more policies and reports the verdicts."""

import json

import structlog
import uvloop
from rich.console import Console
from rich.table import Table

from ramppulley.check import rules
from ramppulley.load.run import play

COLUMNS = ("taken", "in_time", "late", "turned_back", "scrapped", "left", "lost", "unreached")


def verdict(scenario, policy, evidence):
    """All results of a run, as plain data."""
    table = rules.table(evidence)
    return {
        "day": scenario.name,
        "policy": policy,
        "service": round(rules.service(evidence), 4),
        "breaches": [str(breach) for breach in rules.breaches(evidence)],
        "lost": sum(row["lost"] for row in table.values()),
        "kinds": [
            {"kind": kind, "use_case": request_class, **row} for (kind, request_class), row in sorted(table.items())
        ],
        "sends": len(evidence.ledger),
    }


def run_days(scenario, policies, progress):
    verdicts = []
    for policy in policies:
        evidence = uvloop.run(play(scenario, structlog.get_logger(), policy, progress=progress))
        verdicts.append(verdict(scenario, policy, evidence))
    return verdicts


def report(verdicts, as_json, console=None):
    """Prints one table for each run, or one line of JSON if `as_json`."""
    if as_json:
        for result in verdicts:
            print(json.dumps(result))
        return
    console = console or Console(width=120)
    for result in verdicts:
        table = Table(title=f"{result['day']}, {result['policy']}: service {result['service']:.3f} (simulated engines)")
        for column in ("kind", "use case", *(c.replace("_", " ") for c in COLUMNS), "service"):
            table.add_column(column)
        for row in result["kinds"]:
            table.add_row(row["kind"], row["use_case"], *(str(row[c]) for c in COLUMNS), f"{row['service']:.3f}")
        console.print(table)
        for breach in result["breaches"][:20]:
            console.print(f"BROKEN {breach}", markup=False)
        console.print("rules kept" if not result["breaches"] else f"{len(result['breaches'])} breaches")
