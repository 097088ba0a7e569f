"""The load reports of a stand-in engine, in its responses' headers and at its metrics path."""

from collections.abc import Mapping, Sequence

from ramppulley.standin.model import Engine
from ramppulley.standin.server.clock import monotonic_now
from ramppulley.standin.server.faults import EngineFaults

Figures = Mapping[str, float]


class LoadReports:
    """The engine's load as it reports it: current, or of a while ago if a fault delays it."""

    def __init__(self, engine: Engine, faults: EngineFaults, extensions: Sequence[str]) -> None:
        self._engine = engine
        self._faults = faults
        self._extensions = extensions
        self._history: list[tuple[int, Figures]] = []  # times and figures, oldest first

    def clear(self) -> None:
        """Drops the past reports."""
        self._history.clear()

    def figures(self) -> Figures:
        """The figures to report now."""
        now = monotonic_now()
        figures: Figures = self._engine.figures()
        if not self._faults.report_delay:
            self._history.clear()
            return figures
        self._history.append((now, figures))
        reported_at = now - self._faults.report_delay
        while len(self._history) > 1 and self._history[1][0] <= reported_at:
            self._history.pop(0)
        return self._history[0][1]

    def headers(self, content_type: str = "application/json") -> dict[str, str]:
        """The headers of a response: its type, the engine's protocol extensions and its load."""
        headers = {"content-type": content_type}
        if self._extensions:
            headers["kv-extensions"] = " ".join(self._extensions)
        metrics = ", ".join(f"named_metrics.{name}={value}" for name, value in self.figures().items())
        headers["endpoint-load-metrics"] = f"TEXT {metrics}"
        return headers

    def metrics_text(self) -> str:
        """The figures as a metrics page names them."""
        return "".join(f"vllm:{name} {value}\n" for name, value in self.figures().items())
