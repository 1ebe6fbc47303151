"""Bounds how long a run at a backend server may be silent."""

import math

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

    def wait(self, limit_ms: float, waited_ms: float = 0.0) -> None:
        """Allows so much silence, of which some has passed already."""
        self.limit_ms = limit_ms
        self.scope.deadline = anyio.current_time() + (limit_ms - waited_ms) / MS_PER_S

    def end(self) -> None:
        """Takes that something was heard."""
        self.scope.deadline = math.inf


class Pauses:
    """Reads a stream whose pauses between events are bounded.

    Bytes that complete no event do not end a pause. The time that a caller takes does not count.

    Args:
        silence: Ends the run.
        limit_ms: How long a pause may be.
    """

    def __init__(self, silence: Silence, limit_ms: float) -> None:
        self._silence = silence
        self._limit_ms = limit_ms
        self._waited_ms = 0.0

    async def read(self, run: EngineRun) -> bytes:
        """Reads the next bytes; empty at the end."""
        if math.isinf(self._limit_ms):
            return await run.read()
        began_at_s = anyio.current_time()
        self._silence.wait(self._limit_ms, self._waited_ms)
        data = await run.read()
        self._silence.end()
        self._waited_ms += (anyio.current_time() - began_at_s) * MS_PER_S
        return data

    def note_event(self) -> None:
        """Takes that an event has arrived."""
        self._waited_ms = 0.0
