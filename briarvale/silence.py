"""Bounds how long a run at a backend server may be silent."""

import math
from typing import NamedTuple

import anyio

from .clock import MS_PER_S
from .engine_run import EngineRun

__all__ = ["Pauses", "Silence"]


class Silence:
    """Ends a run that has been silent for too long.

    Attributes:
        limit_ms: How long it may be silent.
    """

    def __init__(self) -> None:
        self.limit_ms = math.inf
        self.scope = anyio.CancelScope()

    def wait(self, limit_ms: float) -> None:
        """Allows so much silence from now on."""
        self.limit_ms = limit_ms
        self.scope.deadline = anyio.current_time() + limit_ms / MS_PER_S

    def end(self) -> None:
        """Takes that something was heard."""
        self.scope.deadline = math.inf


class Pauses(NamedTuple):
    """Reads a stream whose pauses are bounded; the time that a caller takes does not count."""

    silence: Silence
    limit_ms: float

    async def read(self, run: EngineRun) -> bytes:
        """Reads the next bytes; empty at the end."""
        if math.isinf(self.limit_ms):
            return await run.read()
        self.silence.wait(self.limit_ms)
        data = await run.read()
        self.silence.end()
        return data
