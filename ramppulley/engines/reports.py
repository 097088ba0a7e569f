"""Parses engines' load reports: the ORCA header of a response, and Prometheus text from /metrics. No I/O.

Formats: ORCA (Open Request Cost Aggregation), header `endpoint-load-metrics` in its TEXT and JSON forms; vLLM's metric
names. Unparsable input yields no report: load is a hint and never a reason to fail a response.
"""

import math

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ramppulley.door import LoadReport

LOAD_HEADER, LOAD_FORMAT_HEADER = "endpoint-load-metrics", "endpoint-load-metrics-format"
RUNNING, WAITING = "num_requests_running", "num_requests_waiting"
MEMORY_USAGE = ("kv_cache_usage_perc", "gpu_cache_usage_perc")
TOKENS_WAITING = "num_prompt_tokens_waiting"  # extension: prompt tokens waiting for prefill


def _report(metrics):
    def first_valid(*names):
        for name in names:
            value = metrics.get(name)
            if isinstance(value, (int, float)) and math.isfinite(value) and value >= 0:
                return float(value)
        return None

    running, waiting, usage = first_valid(RUNNING), first_valid(WAITING), first_valid(*MEMORY_USAGE)
    requests = None if running is None and waiting is None else (running or 0) + (waiting or 0)
    if requests is None and usage is None and first_valid(TOKENS_WAITING) is None:
        return None
    return LoadReport(
        held=requests,
        memory_share=None if usage is None else min(usage, 1.0),
        tokens_waiting=first_valid(TOKENS_WAITING),
    )


def parse_orca(text):
    """Parses the value of an ORCA header; None if it holds no usable report.

    >>> parse_orca("TEXT named_metrics.kv_cache_usage_perc=0.5, named_metrics.num_requests_running=3").memory_share
    0.5
    >>> parse_orca('JSON {"named_metrics": {"num_requests_waiting": 2}}').held
    2.0
    >>> parse_orca("TEXT a=b") is None, parse_orca("BIN xx") is None
    (True, True)
    """
    encoding, _, rest = (text or "").strip().partition(" ")
    metrics = {}
    if encoding == "JSON":
        try:
            document = msgspec.json.decode(rest.encode())
        except msgspec.DecodeError:
            return None
        if isinstance(document, dict) and isinstance(document.get("named_metrics"), dict):
            metrics = document["named_metrics"]
    elif encoding == "TEXT":
        for part in rest.split(","):
            name, _, value = part.strip().partition("=")
            try:
                metrics[name.removeprefix("named_metrics.")] = float(value)
            except ValueError:
                continue
    return _report(metrics)


def parse_metrics(text):
    """Parses Prometheus text; None if it holds no usable report.

    >>> parse_metrics('vllm:num_requests_running{model="m"} 2.0\\nvllm:kv_cache_usage_perc 0.25\\n').held
    2.0
    """
    metrics = {}
    try:
        for family in text_string_to_metric_families(text):
            name = family.name.removeprefix("vllm:")
            if name in (RUNNING, WAITING, TOKENS_WAITING, *MEMORY_USAGE):
                metrics[name] = sum(sample.value for sample in family.samples)
    except (ValueError, KeyError, IndexError):
        return None
    return _report(metrics)
