"""Queue of the online or of the batch requests that wait for slots of a pool."""

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from ._generated.messages import SlotRequest
from .holder import Holder

MAX_QUEUED = 2_000
# With this fraction of its timeout left, a late request precedes all others of its priority.
LAST_CHANCE_FRACTION = 1 / 3

__all__ = ["PoolQueue", "PoolWaiter"]


class LatenessClass(IntEnum):
    """Order among waiting online requests of the same priority.

    Callers need answers within the target latency; once an answer is late, a further delay matters
    less. So late requests wait behind those that can still be answered in time, until their
    deadlines are near.
    """

    LAST_CHANCE = 0
    IN_TIME = 1
    LATE = 2


class PoolWaiter(NamedTuple):
    """A request that waits in a `PoolQueue`."""

    request: SlotRequest
    holder: Holder
    queued_at_ms: int
    sequence: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key: priority, then the start time that the due date or latency target requires."""
        return self.request.priority, self.request.start_by_ms, self.sequence

    def lateness_class(self, now_ms: int) -> LatenessClass:
        """Returns whether an online request can be in time, is late, or is near its deadline."""
        if now_ms <= self.request.start_by_ms:
            return LatenessClass.IN_TIME
        timeout_ms = self.request.deadline_ms - self.queued_at_ms
        remaining_ms = self.request.deadline_ms - now_ms
        return (
            LatenessClass.LAST_CHANCE
            if remaining_ms <= LAST_CHANCE_FRACTION * timeout_ms
            else LatenessClass.LATE
        )

    def batch_rank(self, now_ms: int) -> tuple[int, bool, bool, tuple[int, int, int]]:
        """Sort key of a batch item: priority, late items last, begun items first, then the rank."""
        is_late = self.request.start_by_ms < now_ms
        is_new = self.request.worked_ms == 0
        return self.request.priority, is_late, is_new, self.rank


class PoolQueue:
    """Waiting requests, sorted by rank."""

    def __init__(self) -> None:
        self._waiters: list[PoolWaiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[PoolWaiter]:
        return iter(list(self._waiters))

    def online_order(self, now_ms: int) -> list[PoolWaiter]:
        """Returns online requests in the order in which they get slots now."""
        return sorted(
            self._waiters,
            key=lambda w: (w.request.priority, w.lateness_class(now_ms), w.rank),
        )

    def batch_order(self, now_ms: int) -> list[PoolWaiter]:
        """Returns batch items in the order in which they get slots now.

        In order of due dates alone, more items than the slots can carry would all end a little
        late. So items that can no longer be in time wait behind those that can, and items that no
        server has begun behind those that were begun.
        """
        return sorted(self._waiters, key=lambda waiter: waiter.batch_rank(now_ms))

    def __contains__(self, waiter: PoolWaiter) -> bool:
        return waiter in self._waiters

    @property
    def is_full(self) -> bool:
        """Whether the queue has `MAX_QUEUED` requests."""
        return len(self._waiters) >= MAX_QUEUED

    def push(self, waiter: PoolWaiter) -> None:
        """Inserts a request by its rank."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda waiter: waiter.rank)

    def remove(self, waiter: PoolWaiter) -> None:
        """Removes a request."""
        self._waiters.remove(waiter)

    def position(self, waiter: PoolWaiter) -> int:
        """Returns how many requests precede this one by rank."""
        return self._waiters.index(waiter)

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Removes a holder's request by id, if it is waiting."""
        self._waiters = [
            waiter
            for waiter in self._waiters
            if waiter.request.request_id != request_id or waiter.holder is not holder
        ]

    def drop_holder(self, holder: Holder) -> None:
        """Removes all requests of a holder."""
        self._waiters = [waiter for waiter in self._waiters if waiter.holder is not holder]

    def pop_expired(self, now_ms: int) -> list[PoolWaiter]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [waiter for waiter in self._waiters if waiter.request.deadline_ms <= now_ms]
        self._waiters = [waiter for waiter in self._waiters if waiter not in expired]
        return expired

    def clear(self) -> list[PoolWaiter]:
        """Removes and returns all requests."""
        cleared, self._waiters = self._waiters, []
        return cleared
