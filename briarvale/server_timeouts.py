"""Timeouts on a backend server that sends nothing.

Only the wait for the server's bytes is timed. Bytes that have arrived are forwarded even if the
event loop reads them late, and the time that a slow caller takes to read does not count.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from .clock import MS_PER_S
from .errors import ServerStalled
from .forward_client import ForwardRun

__all__ = ["TimedReader", "server_timeout"]


@contextmanager
def server_timeout(limit_ms: float, remaining_ms: float | None = None) -> Iterator[None]:
    """Limits the wait for a server inside the block.

    Args:
        limit_ms: How long the server may send nothing.
        remaining_ms: How much of that time remains; all of it by default.

    Raises:
        ServerStalled: If that time has passed.
    """
    wait_s = (limit_ms if remaining_ms is None else remaining_ms) / MS_PER_S
    with anyio.move_on_after(wait_s) as scope:
        yield
    if scope.cancelled_caught:
        raise ServerStalled(f"the server sent no answer or event for {limit_ms} ms")


class TimedReader:
    """Reads a stream with a timeout between events.

    Bytes that complete no event do not reset the timeout.

    Args:
        limit_ms: The longest wait between two events.
    """

    def __init__(self, limit_ms: float) -> None:
        self._limit_ms = limit_ms
        self._waited_ms = 0.0

    async def read(self, run: ForwardRun) -> bytes:
        """Reads the next bytes; empty at the end. Raises `ServerStalled`."""
        if math.isinf(self._limit_ms):
            return await run.read()
        started_at_s = anyio.current_time()
        with server_timeout(self._limit_ms, self._limit_ms - self._waited_ms):
            data = await run.read()
        self._waited_ms += (anyio.current_time() - started_at_s) * MS_PER_S
        return data

    def record_event(self) -> None:
        """Resets the timeout, since an event has arrived."""
        self._waited_ms = 0.0
