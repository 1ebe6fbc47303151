"""Slots of a backend server that are kept free for online load and for members' bursts."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from .fairness import Shares

PEAK_WINDOW_MS = 5_000
MIN_RESERVE_FRACTION = 0.25

__all__ = ["BatchPacer", "PeakDemand", "YieldPolicy", "burst_reserve"]


class YieldPolicy(NamedTuple):
    """How much batch gives way to online requests.

    Batch gets at most `base_fraction * slots - slope * online streams` slots.

    After the start of a batch stream, the next one waits `start_spacing` times the first one's
    prefill time, so that batch prefill takes a bounded fraction of the time however long the
    prompts are. The slot of a batch request is revoked if its prefill would delay an online prompt
    by more than `max_prefill_ahead_ms`.
    """

    base_fraction: float
    slope: float
    start_spacing: float
    max_prefill_ahead_ms: float

    @classmethod
    def from_harm_weight(cls, harm_weight: float) -> "YieldPolicy":
        """Derives the policy from `harm_weight`: 0 favours batch, 1 the tail latency of online."""
        return cls(
            base_fraction=1.0,
            slope=1.0 + harm_weight,
            start_spacing=4.0 * harm_weight,
            max_prefill_ahead_ms=400.0 * (1.0 - harm_weight),
        )

    def batch_limit(self, slots: int, online_streams: int) -> int:
        """Returns how many slots batch may hold while `online_streams` run."""
        return max(0, math.floor(self.base_fraction * slots - self.slope * online_streams))


class PeakDemand:
    """The highest demand within the last one to two windows.

    Args:
        window_ms: Length of a window.
    """

    def __init__(self, window_ms: int = PEAK_WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._window_end_ms = 0
        self._current = 0
        self._previous = 0

    def observe(self, demand: int, now_ms: int) -> None:
        """Records the current demand."""
        self._roll(now_ms)
        self._current = max(self._current, demand)

    def peak(self, now_ms: int) -> int:
        """Returns the highest demand of the current and the previous window."""
        self._roll(now_ms)
        return max(self._current, self._previous)

    def _roll(self, now_ms: int) -> None:
        if now_ms < self._window_end_ms:
            return
        is_stale = now_ms >= self._window_end_ms + self._window_ms
        self._previous = 0 if is_stale else self._current
        self._current = 0
        self._window_end_ms = now_ms + self._window_ms


class BatchPacer:
    """Spaces the starts of batch streams on a backend server."""

    def __init__(self) -> None:
        self._next_start_ms = -math.inf
        self._online_prefilled_at_ms = -math.inf

    def record_batch_start(self, policy: YieldPolicy, now_ms: int, prefill_ms: float) -> None:
        """Records the start of a batch stream."""
        self._next_start_ms = now_ms + policy.start_spacing * prefill_ms

    def record_online_start(self, prefilled_at_ms: float) -> None:
        """Records the start of an online stream, whose prefill delays the next batch start."""
        self._online_prefilled_at_ms = prefilled_at_ms

    def may_start(self, now_ms: int) -> bool:
        """Whether a batch stream may start now."""
        return now_ms >= max(self._next_start_ms, self._online_prefilled_at_ms)


def burst_reserve(
    member: str, held: Mapping[str, int], peaks: Mapping[str, int], shares: Shares, limit: int
) -> int:
    """Returns the slots that this member must not borrow, reserved for the others' bursts.

    The reserve of each other member is its recent peak of demand, or `MIN_RESERVE_FRACTION` of its
    share if that is more, up to its share and less the slots that it holds.

    Args:
        member: The borrowing member.
        held: Online slots held, by member.
        peaks: Recent peak of online demand, by member.
        shares: Declared shares.
        limit: Slots of the backend server.
    """
    reserve = 0
    for other in shares.fractions:
        if other == member:
            continue
        share_slots = shares.slots(other, limit)
        wanted = max(peaks.get(other, 0), math.ceil(share_slots * MIN_RESERVE_FRACTION))
        reserve += max(0, min(math.floor(share_slots), wanted) - held.get(other, 0))
    return reserve
