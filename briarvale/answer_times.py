"""How long answers of each service take to begin, and when one that has not begun is overdue.

A run that may be repeated is given up while the caller still has time for another one.
"""

import math

from .forward_request import ForwardRequest

SMOOTHING = 0.1
MIN_TIMES = 5
# An answer is overdue after so many times the usual, since a tail of long ones is normal, but not
# before half of the time in which it would be on time.
OVERDUE_FACTOR = 4.0
TARGET_SHARE = 0.5
# While the usual time is not known.
UNKNOWN_TARGETS = 4.0

__all__ = ["AnswerTimes"]


class AnswerTimes:
    """The smoothed time from sending a request to the start of its answer, by service."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, took_ms: float) -> None:
        """Takes how long an answer took to begin."""
        count = self._counts[service] = self._counts.get(service, 0) + 1
        mean_ms = self._mean_ms.get(service, 0.0)
        self._mean_ms[service] = mean_ms + max(SMOOTHING, 1 / count) * (took_ms - mean_ms)

    def usual_ms(self, service: str) -> float:
        """Returns the usual time; 0 while it is not known."""
        return self._mean_ms.get(service, 0.0)

    def overdue_ms(self, request: ForwardRequest) -> int:
        """Returns how long to wait for the start of an answer before another run is better."""
        target_ms = request.route.target_latency_ms
        if self._counts.get(request.service, 0) < MIN_TIMES:
            return math.ceil(UNKNOWN_TARGETS * target_ms)
        overdue_ms = OVERDUE_FACTOR * self.usual_ms(request.service)
        return math.ceil(max(TARGET_SHARE * target_ms, overdue_ms))
