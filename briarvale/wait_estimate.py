"""Estimate of the wait for a slot, from the time that slots are held."""

from collections.abc import Callable

from .smoothed_mean import SmoothedMean

__all__ = ["WaitEstimate"]


class WaitEstimate:
    """Estimates waits from the smoothed hold time of online slots."""

    def __init__(self) -> None:
        self._hold_time = SmoothedMean()

    def observe(self, hold_ms: float) -> None:
        """Records the time from a grant to its release."""
        self._hold_time.observe(hold_ms)

    def wait_ms(self, position: int, slots: float) -> float:
        """Returns the expected wait at a queue position, counted from 1, with this many slots.

        It is 0 until the first slot is released.
        """
        return position * self._hold_time.mean_ms / max(1.0, slots)

    def prediction(self, batch: int, slots: int) -> Callable[[int], float]:
        """Returns the expected wait of an online request, by how many precede it.

        Args:
            batch: Slots of batch items, all of which count as free.
            slots: All slots.
        """
        return lambda ahead: self.wait_ms(max(0, ahead + 1 - batch), slots)
