"""`briarvale why`: explains which backend server a request went to, why, and where it waited."""

from pathlib import Path
from typing import Annotated

import typer

from ..errors import NotFound, SettingsInvalid
from ..request_trace import explain, read_request_spans
from ..settings_file import load_settings
from ._common import console, or_exit

TraceOption = Annotated[
    list[Path] | None, typer.Option("--trace", help="JSON-lines trace file; may be repeated.")
]
SettingsFilesOption = Annotated[
    list[Path] | None, typer.Option("--settings", help="Settings file that names a trace file.")
]

__all__ = ["why"]


def why(request_id: str, trace: TraceOption = None, settings: SettingsFilesOption = None) -> None:
    """Explains the REQUEST_ID of an answer's X-Request-Id header from the trace files."""

    def explain_request() -> list[str]:
        paths = list(trace or [])
        for path in settings or []:
            trace_file = load_settings(path).trace_file
            if not trace_file:
                raise SettingsInvalid(f"{path}: trace_file is empty")
            paths.append(path.parent / trace_file)
        missing = [str(path) for path in paths if not path.exists()]
        if missing or not paths:
            raise NotFound(f"no trace file: {', '.join(missing) or 'give --trace or --settings'}")
        return explain(read_request_spans(paths, request_id))

    for line in or_exit(explain_request):
        console.print(line, markup=False, highlight=False, soft_wrap=True)
