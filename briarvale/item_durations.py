"""How long batch items take, by which an owner tells which of them can still be in time."""

from ._generated.messages import SlotRequest
from .smoothed_mean import SmoothedMean

# Online peaks interrupt an item, so that it ends later than its remaining work would take.
INTERRUPTION_FACTOR = 1.6

__all__ = ["ItemDurations"]


class ItemDurations:
    """Mean work of an item: the time for which its runs hold slots, all together."""

    def __init__(self) -> None:
        self._work = SmoothedMean()

    def observe(self, worked_ms: float) -> None:
        """Records the work of a finished item."""
        self._work.observe(worked_ms)

    @property
    def mean_ms(self) -> float:
        """The mean; 0 before the first item is finished."""
        return self._work.mean_ms

    def remaining_ms(self, request: SlotRequest) -> float:
        """Returns the expected work that an item has left."""
        return max(0.0, self._work.mean_ms - request.worked_ms)

    def latest_start_ms(self, request: SlotRequest) -> int:
        """Returns when an item must go on at the latest to end by its due date.

        Args:
            request: The item's request; its `start_by_ms` is the due date.
        """
        margin_ms = INTERRUPTION_FACTOR * self.remaining_ms(request)
        return max(0, round(request.start_by_ms - margin_ms))
