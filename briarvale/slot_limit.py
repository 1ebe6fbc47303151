"""Adaptive limit on a backend server's slots, driven by its streams' time between tokens."""

MAX_TIME_BETWEEN_TOKENS_MS = 68.0
RECOVERED_FRACTION = 0.85
DECREASE_FACTOR = 0.9
SMOOTHING_FACTOR = 0.1
ADJUST_INTERVAL_MS = 1_000

__all__ = ["SlotLimit"]


class SlotLimit:
    """AIMD limit: additive increase up to the declared slots, multiplicative decrease.

    Args:
        declared_slots: Slots declared in the inventory, the upper bound.
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
        """Applies the declared slots of a new configuration; a change resets the limit to them."""
        if declared_slots != self._declared:
            self._declared = declared_slots
            self._limit = float(declared_slots)

    def observe(self, time_between_tokens_ms: float, now_ms: int) -> None:
        """Records the mean time between tokens of a finished stream; 0 is ignored."""
        if time_between_tokens_ms <= 0:
            return
        previous_ms = self._smoothed_ms or time_between_tokens_ms
        self._smoothed_ms = previous_ms + SMOOTHING_FACTOR * (time_between_tokens_ms - previous_ms)
        if now_ms >= self._adjust_at_ms:
            self._adjust(now_ms)

    def _adjust(self, now_ms: int) -> None:
        self._adjust_at_ms = now_ms + ADJUST_INTERVAL_MS
        if self._smoothed_ms > MAX_TIME_BETWEEN_TOKENS_MS:
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        elif self._smoothed_ms < MAX_TIME_BETWEEN_TOKENS_MS * RECOVERED_FRACTION:
            self._limit = min(float(self._declared), self._limit + 1)
