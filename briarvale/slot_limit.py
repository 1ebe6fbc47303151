"""How many slots of a backend server may be granted, by the time between tokens that is seen."""

MAX_TIME_BETWEEN_TOKENS_MS = 68.0
RECOVERED_PART = 0.85
DECREASE_FACTOR = 0.9
SMOOTHING = 0.1
ADJUST_INTERVAL_MS = 1_000

__all__ = ["SlotLimit"]


class SlotLimit:
    """Additive increase, multiplicative decrease below the declared slots.

    Args:
        declared_slots: The limit of the inventory; never exceeded.
    """

    def __init__(self, declared_slots: int) -> None:
        self._declared = declared_slots
        self._limit = float(declared_slots)
        self._smoothed_ms = 0.0
        self._adjust_at_ms = 0

    @property
    def slots(self) -> int:
        """Slots that may be granted now."""
        return max(1, int(self._limit))

    @property
    def time_between_tokens_ms(self) -> float:
        """The smoothed time between tokens; 0 before the first observation."""
        return self._smoothed_ms

    def set_declared_slots(self, declared_slots: int) -> None:
        """Takes the declared slots of a new configuration."""
        if declared_slots != self._declared:
            self._declared = declared_slots
            self._limit = float(declared_slots)

    def observe(self, time_between_tokens_ms: float, now_ms: int) -> None:
        """Takes the mean time between tokens of a stream that ended."""
        if time_between_tokens_ms <= 0:
            return
        previous_ms = self._smoothed_ms or time_between_tokens_ms
        self._smoothed_ms = previous_ms + SMOOTHING * (time_between_tokens_ms - previous_ms)
        if now_ms >= self._adjust_at_ms:
            self._adjust(now_ms)

    def _adjust(self, now_ms: int) -> None:
        self._adjust_at_ms = now_ms + ADJUST_INTERVAL_MS
        if self._smoothed_ms > MAX_TIME_BETWEEN_TOKENS_MS:
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        elif self._smoothed_ms < MAX_TIME_BETWEEN_TOKENS_MS * RECOVERED_PART:
            self._limit = min(float(self._declared), self._limit + 1)
