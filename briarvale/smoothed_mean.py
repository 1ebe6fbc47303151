"""A mean of times that follows the latest of them."""

SMOOTHING_FACTOR = 0.1

__all__ = ["SmoothedMean"]


class SmoothedMean:
    """Exponentially smoothed mean of times.

    Attributes:
        mean_ms: The mean; 0 before the first time is recorded.
    """

    def __init__(self) -> None:
        self.mean_ms = 0.0

    def observe(self, time_ms: float) -> None:
        """Records a time."""
        previous_ms = self.mean_ms or time_ms
        self.mean_ms = previous_ms + SMOOTHING_FACTOR * (time_ms - previous_ms)
