"""The command `./rp bench`: runs the parts one after the other and prints the result of each as JSON."""

import gc
import json
import logging
from dataclasses import asdict

import structlog
import uvloop

from ramppulley.load.bench.added_latency import measure_added_latency
from ramppulley.load.bench.decision_cost import measure_decision_cost
from ramppulley.load.bench.half_load import measure_half_load
from ramppulley.load.bench.soak import measure_soak
from ramppulley.load.bench.stream_memory import measure_stream_memory
from ramppulley.load.bench.throughput import measure_throughput

STREAMED_REQUESTS_PER_S = 25
CONCURRENT_STREAMS = 1000
FLEET_SIZES = (24, 72)  # workers
INDENT = 2


def main(seconds, soak_seconds, as_json, echo):
    """Runs the soak part if `soak_seconds` is given, else all other parts; `echo` prints a line."""
    gc.disable()  # collector pauses of the clients and stand-ins would distort the router's latency; a run is short
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    if soak_seconds:
        _print_part("soak", asdict(uvloop.run(measure_soak(soak_seconds))), as_json, echo)
        return
    added = uvloop.run(measure_added_latency(seconds, STREAMED_REQUESTS_PER_S))
    _print_part("added", asdict(added), as_json, echo)
    throughput = uvloop.run(measure_throughput(seconds / 2))
    _print_part("throughput", asdict(throughput), as_json, echo)
    streams = uvloop.run(measure_stream_memory(CONCURRENT_STREAMS))
    _print_part("streams", asdict(streams), as_json, echo)
    decisions = [asdict(measure_decision_cost(workers)) for workers in FLEET_SIZES]
    _print_part("decisions", decisions, as_json, echo)
    if throughput.answered_per_s:
        half_load = uvloop.run(measure_half_load(seconds, throughput.answered_per_s / 2))
        echo(json.dumps({"half_load": asdict(half_load)}, indent=None if as_json else INDENT))


def _print_part(name, figures, as_json, echo):
    echo(json.dumps({name: figures}) if as_json else f"{name}: {json.dumps(figures, indent=INDENT)}")
