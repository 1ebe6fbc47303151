"""Log lines as JSON on standard output: rate-limited and written without blocking."""

import json
import os
import sys
from traceback import format_exception
from typing import TYPE_CHECKING, Any

from loguru import logger

from .settings import Settings

if TYPE_CHECKING:
    from loguru import Message

MAX_LINES_PER_S = 200.0
BURST_LINES = 400.0
MAX_ERROR_LENGTH = 300
# A line must fit into one write to a pipe; the end of a traceback tells most.
MAX_TRACEBACK_LENGTH = 1_500

__all__ = ["configure_json_lines"]


class _LineSink:
    """Writes lines; drops and counts those above the rate limit or for which the pipe is full."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._allowed_lines = BURST_LINES
        self._refilled_at_s = 0.0
        self._dropped_count = 0

    def __call__(self, message: "Message") -> None:
        record = message.record
        now_s = record["time"].timestamp()
        refill = max(0.0, now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._allowed_lines = min(BURST_LINES, self._allowed_lines + refill)
        self._refilled_at_s = now_s
        if self._allowed_lines < 1:
            self._dropped_count += 1
            return
        self._allowed_lines -= 1
        fields: dict[str, Any] = {
            "time_s": round(now_s, 3),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if self._dropped_count:
            fields["dropped_lines"] = self._dropped_count
        if record["exception"] is not None:
            error = record["exception"].value
            fields["exception"] = repr(error)[:MAX_ERROR_LENGTH]
            if error is not None:
                fields["traceback"] = "".join(format_exception(error))[-MAX_TRACEBACK_LENGTH:]
        self._write(json.dumps(fields, default=str).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
            self._dropped_count = 0
        except BlockingIOError:
            self._dropped_count += 1


def configure_json_lines(settings: Settings) -> None:
    """Sends all log lines to standard output as JSON, without blocking on its reader."""
    descriptor = _output_descriptor()
    os.set_blocking(descriptor, False)
    logger.remove()
    logger.configure(extra={"part": "briarvale", "vm": settings.vm})
    logger.add(_LineSink(descriptor), level=settings.log_level, format="{message}")


def _output_descriptor() -> int:
    """Returns standard output, or the null device if the process was started without it."""
    if sys.stdout is None:
        return os.open(os.devnull, os.O_WRONLY)
    return sys.stdout.fileno()
