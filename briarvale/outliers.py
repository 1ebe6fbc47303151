"""Outlier detection for backend servers, by error ratio and time between tokens."""

from collections import deque
from collections.abc import Iterable
from itertools import islice, takewhile
from statistics import median
from typing import NamedTuple

from ._generated.messages import Outcome

WINDOW_MS = 30_000
MIN_ERRORS = 3
MAX_ERROR_RATIO = 0.5
MIN_STREAMS = 8
TOKEN_TARGET_MS = 68
SLOW_FACTOR = 2.0
MAX_EJECTED_FRACTION = 1 / 3
ERROR_OUTCOMES = (Outcome.FAILED, Outcome.CRASHED)
# Outcomes that show whether the server works; cancelled and revoked streams don't.
CONCLUSIVE_OUTCOMES = (*ERROR_OUTCOMES, Outcome.FINISHED)

__all__ = ["OutcomeWindow", "StreamOutcome", "ejectable_count"]


class StreamOutcome(NamedTuple):
    """How a stream ended, and its mean time between tokens: 0 if it had too few tokens."""

    at_ms: int
    outcome: Outcome
    time_between_tokens_ms: int


class OutcomeWindow:
    """The outcomes of one backend server's streams within `WINDOW_MS`."""

    def __init__(self) -> None:
        self._outcomes: deque[StreamOutcome] = deque(maxlen=256)

    def add(self, outcome: StreamOutcome) -> None:
        """Adds an outcome; those of cancelled and revoked streams don't affect the error ratio."""
        self._outcomes.append(outcome)

    def clear(self) -> None:
        """Removes all outcomes, as after a change of health."""
        self._outcomes.clear()

    def is_failing(self, now_ms: int) -> bool:
        """Whether at least half of the latest streams, and at least `MIN_ERRORS`, failed."""
        since_ms = now_ms - WINDOW_MS
        recent = takewhile(lambda o: o.at_ms >= since_ms, reversed(self._outcomes))
        latest = list(islice((o for o in recent if o.outcome in CONCLUSIVE_OUTCOMES), MIN_STREAMS))
        errors = sum(o.outcome in ERROR_OUTCOMES for o in latest)
        return errors >= MIN_ERRORS and errors >= MAX_ERROR_RATIO * len(latest)

    def median_time_between_tokens_ms(self, now_ms: int) -> float | None:
        """Returns the median over the latest streams; none if these are too few."""
        times_ms = [
            o.time_between_tokens_ms for o in self._recent(now_ms) if o.time_between_tokens_ms
        ]
        return median(times_ms[-MIN_STREAMS:]) if len(times_ms) >= MIN_STREAMS else None

    def is_slow(self, other_medians_ms: Iterable[float], now_ms: int) -> bool:
        """Whether the median exceeds `SLOW_FACTOR` times the target and other servers' median."""
        own_ms = self.median_time_between_tokens_ms(now_ms)
        usual_ms = max((TOKEN_TARGET_MS, median(list(other_medians_ms) or [0.0])))
        return own_ms is not None and own_ms > SLOW_FACTOR * usual_ms

    def _recent(self, now_ms: int) -> list[StreamOutcome]:
        while self._outcomes and self._outcomes[0].at_ms < now_ms - WINDOW_MS:
            self._outcomes.popleft()
        return list(self._outcomes)


def ejectable_count(server_count: int) -> int:
    """Returns how many of a service's servers may be ejected at once: a third, but at least one.

    A service's only server is never ejected.
    """
    return max(1, int(server_count * MAX_EJECTED_FRACTION)) if server_count > 1 else 0
