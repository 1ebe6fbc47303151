"""The rate at which the slots of a pool are released."""

import math

# Shorter than a usual change of the load, and long enough to count many releases in a large pool.
WINDOW_MS = 200
# A count of random releases deviates by its square root; two of them cover 97 in 100 cases.
DEVIATIONS = 2.0

__all__ = ["ReleaseRate"]


class ReleaseRate:
    """Counts the releases of the last one to two windows."""

    def __init__(self) -> None:
        self._window_end_ms = 0.0
        self._current = 0
        self._previous = 0

    def observe(self, now_ms: int) -> None:
        """Records the release of a slot."""
        self._roll(now_ms)
        self._current += 1

    def expected(self, within_ms: float, now_ms: int) -> int:
        """Returns how many slots will be released within a time, with a margin for randomness.

        It is 0 if that is uncertain: in a small pool, and if no slot was released lately.
        """
        self._roll(now_ms)
        elapsed_ms = WINDOW_MS - (self._window_end_ms - now_ms)
        per_ms = (self._previous + self._current) / (WINDOW_MS + elapsed_ms)
        mean = per_ms * max(0.0, within_ms)
        return max(0, math.floor(mean - DEVIATIONS * math.sqrt(mean)))

    def _roll(self, now_ms: int) -> None:
        if now_ms < self._window_end_ms:
            return
        is_stale = now_ms >= self._window_end_ms + WINDOW_MS
        self._previous = 0 if is_stale else self._current
        self._current = 0
        self._window_end_ms = now_ms + WINDOW_MS if is_stale else self._window_end_ms + WINDOW_MS
