"""What batch leaves to online on one backend server, and what members leave to each other."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from .fairness import Shares

PEAK_WINDOW_MS = 5_000
MIN_RESERVE_PART = 0.25

__all__ = ["BatchPacer", "PeakDemand", "YieldPolicy", "burst_reserve"]


class YieldPolicy(NamedTuple):
    """How batch yields: at most `base_part * slots - slope * online streams` slots.

    After the start of a batch stream, the next waits `start_spacing` times as long as the first
    one's prompt is prefilled, so that batch prefill takes a bounded part of the time whatever
    the length of items. A batch prompt that online would wait for longer than
    `max_prefill_ahead_ms` is revoked.
    """

    base_part: float
    slope: float
    start_spacing: float
    max_prefill_ahead_ms: float

    @classmethod
    def from_harm_weight(cls, harm_weight: float) -> "YieldPolicy":
        """Derives the policy from the rule: 0 favours batch, 1 protects online's tail."""
        return cls(
            base_part=1.0,
            slope=1.0 + harm_weight,
            start_spacing=4.0 * harm_weight,
            max_prefill_ahead_ms=400.0 * (1.0 - harm_weight),
        )

    def batch_limit(self, slots: int, online_streams: int) -> int:
        """Returns how many of the slots batch may hold beside so many online streams."""
        return max(0, math.floor(self.base_part * slots - self.slope * online_streams))


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
        """Takes the demand of this instant."""
        self._roll(now_ms)
        self._current = max(self._current, demand)

    def peak(self, now_ms: int) -> int:
        """Returns the highest demand seen lately."""
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
    """When the next batch stream may start on a backend server."""

    def __init__(self) -> None:
        self._next_start_ms = -math.inf
        self._online_prefilled_at_ms = -math.inf

    def record_batch_start(self, policy: YieldPolicy, now_ms: int, prefill_ms: float) -> None:
        """Takes the start of a batch stream."""
        self._next_start_ms = now_ms + policy.start_spacing * prefill_ms

    def record_online_start(self, prefilled_at_ms: float) -> None:
        """Takes the start of an online stream, whose prompt is prefilled first."""
        self._online_prefilled_at_ms = prefilled_at_ms

    def may_start(self, now_ms: int) -> bool:
        """Whether a batch stream may start now."""
        return now_ms >= max(self._next_start_ms, self._online_prefilled_at_ms)


def burst_reserve(
    member: str, held: Mapping[str, int], peaks: Mapping[str, int], shares: Shares, limit: int
) -> int:
    """Returns the slots kept free of this member's borrowing for the bursts of the others.

    Each other member is kept its recent peak of demand, and at least `MIN_RESERVE_PART` of its
    share, as far as its share goes and beyond what it holds.

    Args:
        member: The member that would borrow.
        held: Online slots held by member.
        peaks: Recent peak of online demand by member.
        shares: Declared shares.
        limit: Slots of the backend server.
    """
    reserve = 0
    for other in shares.fractions:
        if other == member:
            continue
        share_slots = shares.slots(other, limit)
        wanted = max(peaks.get(other, 0), math.ceil(share_slots * MIN_RESERVE_PART))
        reserve += max(0, min(math.floor(share_slots), wanted) - held.get(other, 0))
    return reserve
