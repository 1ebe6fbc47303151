"""A common deadline for requests that wait, which may be set while they wait."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from .clock import MS_PER_S, Clock
from .errors import NotReady

__all__ = ["WaitLimit"]


class WaitLimit:
    """Ends waits before the process stops; there is no limit until `end_at` is called.

    Args:
        clock: Source of timestamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_at_s = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    def end_at(self, deadline_ms: int) -> None:
        """Sets the deadline of all waits, including those that start later."""
        remaining_s = (deadline_ms - self._clock.now_ms()) / MS_PER_S
        self._ends_at_s = anyio.current_time() + remaining_s
        for scope in self._scopes:
            scope.deadline = self._ends_at_s

    @contextmanager
    def limit(self) -> Iterator[None]:
        """Limits the wait inside the block; raises `NotReady` at the deadline."""
        with anyio.CancelScope(deadline=self._ends_at_s) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise NotReady("this node is shutting down", retry_at_ms=self._clock.now_ms())
