"""Bounds how long requests wait, at an instant that becomes known while they do."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from .clock import MS_PER_S, Clock
from .errors import NotReady

__all__ = ["WaitLimit"]


class WaitLimit:
    """Ends waits when the process stops; without limit until it is told to.

    Args:
        clock: Source of instants.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_at_s = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    def end_at(self, instant_ms: int) -> None:
        """Ends all waits at an instant, those that begin later too."""
        left_s = (instant_ms - self._clock.now_ms()) / MS_PER_S
        self._ends_at_s = anyio.current_time() + left_s
        for scope in self._scopes:
            scope.deadline = self._ends_at_s

    @contextmanager
    def limit(self) -> Iterator[None]:
        """Bounds the wait inside the block; raises `NotReady` if it is ended."""
        with anyio.CancelScope(deadline=self._ends_at_s) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise NotReady("this node stops", retry_at_ms=self._clock.now_ms())
