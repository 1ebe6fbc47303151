"""Bounds how long a run at a backend server may be silent.

Only the wait for the server's bytes is bounded. What has arrived is forwarded, however late the
event loop was to look at it, and the time that a caller takes does not count.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from .clock import MS_PER_S
from .engine_run import EngineRun
from .errors import ServerStalled

__all__ = ["TimedReader", "server_timeout"]


@contextmanager
def server_timeout(limit_ms: float, left_ms: float | None = None) -> Iterator[None]:
    """Bounds one wait for a server.

    Args:
        limit_ms: How long the server may be silent.
        left_ms: What is left of it; all by default.

    Raises:
        ServerStalled: If nothing was heard in time.
    """
    wait_s = (limit_ms if left_ms is None else left_ms) / MS_PER_S
    with anyio.move_on_after(wait_s) as scope:
        yield
    if scope.cancelled_caught:
        raise ServerStalled(f"the server sent no answer or event for {limit_ms} ms")


class TimedReader:
    """Reads a stream whose pauses between events are bounded.

    Bytes that complete no event do not end a pause.

    Args:
        limit_ms: How long a pause may be.
    """

    def __init__(self, limit_ms: float) -> None:
        self._limit_ms = limit_ms
        self._waited_ms = 0.0

    async def read(self, run: EngineRun) -> bytes:
        """Reads the next bytes; empty at the end. Raises `ServerStalled`."""
        if math.isinf(self._limit_ms):
            return await run.read()
        began_at_s = anyio.current_time()
        with server_timeout(self._limit_ms, self._limit_ms - self._waited_ms):
            data = await run.read()
        self._waited_ms += (anyio.current_time() - began_at_s) * MS_PER_S
        return data

    def record_event(self) -> None:
        """Takes that an event has arrived."""
        self._waited_ms = 0.0
