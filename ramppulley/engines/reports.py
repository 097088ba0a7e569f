"""Load reports as engines publish them: the ORCA header of an answer, and Prometheus text at /metrics. Pure.

Sources: ORCA (Open Request Cost Aggregation), header `endpoint-load-metrics` in its TEXT and JSON forms; vLLM's metric
names. What cannot be read is no report: load is a hint, never a reason to fail an answer.
"""

import math

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ramppulley.door import LoadReport

HEADER, FORMAT_HEADER = "endpoint-load-metrics", "endpoint-load-metrics-format"
RUNNING, WAITING = "num_requests_running", "num_requests_waiting"
MEMORY = ("kv_cache_usage_perc", "gpu_cache_usage_perc")
TOKENS = "num_prompt_tokens_waiting"  # an extension: prompt tokens still to be read


def _report(figures):
    def known(*names):
        for name in names:
            value = figures.get(name)
            if isinstance(value, (int, float)) and math.isfinite(value) and value >= 0:
                return float(value)
        return None

    running, waiting, share = known(RUNNING), known(WAITING), known(*MEMORY)
    held = None if running is None and waiting is None else (running or 0) + (waiting or 0)
    if held is None and share is None and known(TOKENS) is None:
        return None
    return LoadReport(held=held, memory_share=None if share is None else min(share, 1.0), tokens_waiting=known(TOKENS))


def of_orca(text):
    """
    >>> of_orca("TEXT named_metrics.kv_cache_usage_perc=0.5, named_metrics.num_requests_running=3").memory_share
    0.5
    >>> of_orca('JSON {"named_metrics": {"num_requests_waiting": 2}}').held
    2.0
    >>> of_orca("TEXT a=b") is None, of_orca("BIN xx") is None
    (True, True)
    """
    form, _, rest = (text or "").strip().partition(" ")
    figures = {}
    if form == "JSON":
        try:
            told = msgspec.json.decode(rest.encode())
        except msgspec.DecodeError:
            return None
        if isinstance(told, dict) and isinstance(told.get("named_metrics"), dict):
            figures = told["named_metrics"]
    elif form == "TEXT":
        for part in rest.split(","):
            name, _, value = part.strip().partition("=")
            try:
                figures[name.removeprefix("named_metrics.")] = float(value)
            except ValueError:
                continue
    return _report(figures)


def of_metrics(text):
    """
    >>> of_metrics('vllm:num_requests_running{model="m"} 2.0\\nvllm:kv_cache_usage_perc 0.25\\n').held
    2.0
    """
    figures = {}
    try:
        for family in text_string_to_metric_families(text):
            name = family.name.removeprefix("vllm:")
            if name in (RUNNING, WAITING, TOKENS, *MEMORY):
                figures[name] = sum(sample.value for sample in family.samples)
    except (ValueError, KeyError, IndexError):
        return None
    return _report(figures)
