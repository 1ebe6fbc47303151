"""Predicts how long a request will wait for a slot, from how long slots were held."""

SMOOTHING = 0.1

__all__ = ["WaitEstimate"]


class WaitEstimate:
    """The smoothed time that an online slot is held."""

    def __init__(self) -> None:
        self._hold_ms = 0.0

    def observe(self, hold_ms: float) -> None:
        """Takes the time from a grant to its release."""
        previous_ms = self._hold_ms or hold_ms
        self._hold_ms = previous_ms + SMOOTHING * (hold_ms - previous_ms)

    def wait_ms(self, position: int, slots: float) -> float:
        """Returns the wait of the request at this position, from 1, for so many slots.

        It is 0 before any slot was released.
        """
        return position * self._hold_ms / max(1.0, slots)
