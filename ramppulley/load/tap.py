"""The bench adapter with an event recording for each router, closed when the input ends."""

from pathlib import Path

from ramppulley.drill import wire
from ramppulley.rules import Router
from ramppulley.service import events


def serve(source, sink, folder):
    """Serves as the adapter does and writes each router's recording to folder/<number>-<its name>.rec."""
    folder, recorders = Path(folder), []
    folder.mkdir(parents=True, exist_ok=True)

    def make_recorder(host, **options):
        recorders.append(
            events.Recorder(Router, folder / f"{len(recorders):03}-{host.name}.rec", host, **options, about=host.name)
        )
        return recorders[-1]

    try:
        wire.serve(source, sink, make_recorder)
    finally:
        for recorder in recorders:
            recorder.close()
