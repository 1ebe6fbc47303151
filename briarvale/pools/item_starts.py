"""Which batch items start now, in view of the next peak of the online demand."""

import math
import sys
from collections.abc import Iterable, Sequence
from statistics import fmean
from typing import NamedTuple

from .peak_forecast import BIN_MS

# How long before its latest start an item may be forced to start: what is forecast of its wait is
# rough, and an item that starts too late misses its due date.
DUE_MARGIN_MS = 3_000

__all__ = ["ItemStarts", "required_starts", "usable_slots"]


class ItemStarts(NamedTuple):
    """The conditions under which waiting items start.

    Attributes:
        at_most: How many may start.
        peaks_ahead: Highest online demand until each of the next bins; empty without a forecast.
        limit: Slots of the pool.
        batch: Slots that items hold now.
        required: How many items must start now to meet their due dates.
    """

    at_most: int = sys.maxsize
    peaks_ahead: Sequence[int] = ()
    limit: int = 0
    batch: int = 0
    required: int = 0

    def may_start(self, remaining_ms: float, started: int) -> bool:
        """Whether an item may start after `started` others did now.

        It may if it is required, or if the expected online demand leaves a slot until its end.
        """
        if not self.peaks_ahead or started < self.required:
            return True
        last_bin = min(len(self.peaks_ahead) - 1, int(remaining_ms / BIN_MS))
        return self.batch + started + self.peaks_ahead[last_bin] < self.limit


def required_starts(start_by_ms: Iterable[int], slots: float, item_ms: float, now_ms: int) -> int:
    """Returns how many items must start now, beyond those that the usable slots can carry.

    Args:
        start_by_ms: Latest starts of the waiting items, in the order of service.
        slots: Slots in which items end before a peak takes them, on average over a period.
        item_ms: Mean time for which an item holds a slot.
        now_ms: The current time.
    """
    if item_ms <= 0:
        return 0
    starts_per_ms = slots / item_ms
    required = 0
    for position, start_ms in enumerate(start_by_ms, 1):
        carried = max(0, start_ms - DUE_MARGIN_MS - now_ms) * starts_per_ms
        required = max(required, position - math.floor(carried))
    return required


def usable_slots(expected: Sequence[int], limit: int, item_ms: float) -> float:
    """Returns the slots that items can use to their end, on average over a period.

    Args:
        expected: The expected online demand in each bin of a period.
        limit: Slots of the pool.
        item_ms: Mean time for which an item holds a slot.
    """
    window = min(len(expected), int(item_ms / BIN_MS) + 1)
    cycle = [*expected, *expected]
    peaks = [max(cycle[start : start + window]) for start in range(len(expected))]
    return fmean(max(0, limit - peak) for peak in peaks)
