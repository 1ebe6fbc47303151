"""Which backend servers do worse than they should: by errors and by time between tokens."""

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
# Outcomes that say whether the server works.
CONCLUSIVE_OUTCOMES = (*ERROR_OUTCOMES, Outcome.FINISHED)

__all__ = ["OutcomeWindow", "StreamOutcome", "ejectable_count"]


class StreamOutcome(NamedTuple):
    """How a stream ended and its mean time between tokens; 0 where it had too few."""

    at_ms: int
    outcome: Outcome
    time_between_tokens_ms: int


class OutcomeWindow:
    """The outcomes of one backend server's streams within `WINDOW_MS`."""

    def __init__(self) -> None:
        self._outcomes: deque[StreamOutcome] = deque(maxlen=256)

    def add(self, outcome: StreamOutcome) -> None:
        """Adds an outcome; cancelled and revoked streams say nothing of errors."""
        self._outcomes.append(outcome)

    def clear(self) -> None:
        """Forgets everything, as after a change of health."""
        self._outcomes.clear()

    def is_failing(self, now_ms: int) -> bool:
        """Whether half of the latest streams, and several, ended with an error."""
        since_ms = now_ms - WINDOW_MS
        recent = takewhile(lambda o: o.at_ms >= since_ms, reversed(self._outcomes))
        latest = list(islice((o for o in recent if o.outcome in CONCLUSIVE_OUTCOMES), MIN_STREAMS))
        errors = sum(o.outcome in ERROR_OUTCOMES for o in latest)
        return errors >= MIN_ERRORS and errors >= MAX_ERROR_RATIO * len(latest)

    def median_time_between_tokens_ms(self, now_ms: int) -> float | None:
        """Returns the latest streams' median time between tokens; none of too few streams."""
        paces = [o.time_between_tokens_ms for o in self._recent(now_ms) if o.time_between_tokens_ms]
        return median(paces[-MIN_STREAMS:]) if len(paces) >= MIN_STREAMS else None

    def is_slow(self, others_ms: Iterable[float], now_ms: int) -> bool:
        """Whether its pace is far above the target and above the other servers' paces."""
        pace_ms = self.median_time_between_tokens_ms(now_ms)
        usual_ms = max((TOKEN_TARGET_MS, median(list(others_ms) or [0.0])))
        return pace_ms is not None and pace_ms > SLOW_FACTOR * usual_ms

    def _recent(self, now_ms: int) -> list[StreamOutcome]:
        while self._outcomes and self._outcomes[0].at_ms < now_ms - WINDOW_MS:
            self._outcomes.popleft()
        return list(self._outcomes)


def ejectable_count(server_count: int) -> int:
    """Returns how many servers of a service may be ejected at once: a third, never the only one."""
    return max(1, int(server_count * MAX_EJECTED_FRACTION)) if server_count > 1 else 0
