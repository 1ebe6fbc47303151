"""Holds batch items back whose slots the next peak of the online demand would take."""

import math
from itertools import accumulate

from . import logs
from .item_durations import ItemDurations
from .pool_queue import PoolQueue
from .pools import BIN_MS, ItemStarts, PeakForecast, required_starts, usable_slots

# Interval between two plans, each of which is a pass over all waiting items.
PLAN_INTERVAL_MS = 20

log = logs.component_logger("pool")

__all__ = ["ItemGate"]


class ItemGate:
    """Plans which items start, by the forecast of the online demand.

    Args:
        durations: How long the pool's items take.

    Attributes:
        next_at_ms: When the next plan may be made.
    """

    def __init__(self, durations: ItemDurations) -> None:
        self.next_at_ms = -math.inf
        self._durations = durations
        self._forecast = PeakForecast()

    def observe(self, online: int, now_ms: int) -> None:
        """Records the slots that online requests hold and wait for now."""
        period_bins = self._forecast.period_bins
        self._forecast.observe(online, now_ms)
        if bool(self._forecast.period_bins) != bool(period_bins):
            log.info(
                "The online demand began or ceased to have a clear period.",
                period_ms=self._forecast.period_bins * BIN_MS,
                online=online,
            )

    def plan(
        self, waiting: PoolQueue, at_most: int, limit: int, batch: int, now_ms: int
    ) -> ItemStarts:
        """Returns the conditions under which waiting items start now.

        Args:
            waiting: The waiting items.
            at_most: How many may start, as far as the present demand leaves slots.
            limit: Slots of the pool.
            batch: Slots that items hold.
            now_ms: The current time.
        """
        expected = self._forecast.expected()
        if not expected:
            return ItemStarts(at_most)
        self.next_at_ms = now_ms + PLAN_INTERVAL_MS
        item_ms = self._durations.mean_ms
        slots = usable_slots(expected, limit, item_ms)
        start_by_ms = [waiter.request.start_by_ms for waiter in waiting.batch_order(now_ms)]
        required = required_starts(start_by_ms, slots, item_ms, now_ms)
        return ItemStarts(at_most, list(accumulate(expected, max)), limit, batch, required)
