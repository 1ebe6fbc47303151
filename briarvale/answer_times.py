"""Mean time to the start of an answer for each service, and the timeout derived from it.

The timeout of a run that may be repeated leaves time for another run.
"""

import math

from .forward_request import ForwardRequest

SMOOTHING_FACTOR = 0.1
MIN_SAMPLES = 5
# An answer is overdue after this multiple of the mean, since a few slow answers are normal, but not
# before this fraction of the target latency.
OVERDUE_FACTOR = 4.0
MIN_TARGET_FRACTION = 0.5
# Multiple of the target latency that is used while there are too few samples.
DEFAULT_TARGET_FACTOR = 4.0

__all__ = ["AnswerTimes"]


class AnswerTimes:
    """Smoothed time from sending a request to the start of its answer, by service."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, took_ms: float) -> None:
        """Adds a sample: the time until an answer started."""
        count = self._counts[service] = self._counts.get(service, 0) + 1
        mean_ms = self._mean_ms.get(service, 0.0)
        self._mean_ms[service] = mean_ms + max(SMOOTHING_FACTOR, 1 / count) * (took_ms - mean_ms)

    def mean_ms(self, service: str) -> float:
        """Returns the smoothed mean; 0 before the first sample."""
        return self._mean_ms.get(service, 0.0)

    def overdue_ms(self, request: ForwardRequest) -> int:
        """Returns how long to wait for the start of an answer before another run is started."""
        target_ms = request.route.target_latency_ms
        if self._counts.get(request.service, 0) < MIN_SAMPLES:
            return math.ceil(DEFAULT_TARGET_FACTOR * target_ms)
        overdue_ms = OVERDUE_FACTOR * self.mean_ms(request.service)
        return math.ceil(max(MIN_TARGET_FRACTION * target_ms, overdue_ms))
