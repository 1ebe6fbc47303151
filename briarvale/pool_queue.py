"""Queue of the online or of the batch requests that wait for slots of a pool."""

from bisect import insort
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from ._generated.messages import SlotRequest
from .fairness import Shares
from .holder import Holder
from .pools import FairBacklog

MAX_QUEUED = 2_000
PREDICTION_INTERVAL_MS = 20
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

    def batch_class(self, now_ms: int) -> tuple[bool, bool]:
        """Sort key of a batch item of a priority: late items last, begun items first."""
        return self.request.start_by_ms < now_ms, self.request.worked_ms == 0


class PoolQueue:
    """Waiting requests, sorted by rank; workspaces of equal priority get their fair shares."""

    def __init__(self) -> None:
        self._waiters: list[PoolWaiter] = []
        self._backlog = FairBacklog()
        self._predict_at_ms = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[PoolWaiter]:
        return iter(list(self._waiters))

    @property
    def is_contended(self) -> bool:
        """Whether requests of several workspaces wait."""
        return self._backlog.is_contended

    def set_shares(self, shares: Shares) -> None:
        """Sets the weights of the workspaces."""
        self._backlog.shares = shares

    def online_order(self, now_ms: int) -> Iterable[PoolWaiter]:
        """Returns online requests in the order in which they get slots now."""
        return self._order((w.request.priority, w.lateness_class(now_ms)) for w in self._waiters)

    def batch_order(self, now_ms: int) -> Iterable[PoolWaiter]:
        """Returns batch items in the order in which they get slots now.

        In order of due dates alone, more items than the slots can carry would all end a little
        late. So items that can no longer be in time wait behind those that can, and items that no
        server has begun behind those that were begun.
        """
        return self._order((w.request.priority, *w.batch_class(now_ms)) for w in self._waiters)

    def fair_order(self) -> Iterable[PoolWaiter]:
        """Returns the requests in the order of service if none becomes late."""
        return self._order((waiter.request.priority,) for waiter in self._waiters)

    def _order(self, classes: Iterable[tuple[int, ...]]) -> Iterable[PoolWaiter]:
        """Orders the requests by a class for each, then by fair shares, then by rank."""
        return self._backlog.order(list(zip(classes, self._waiters, strict=True)))

    def __contains__(self, waiter: PoolWaiter) -> bool:
        return waiter in self._waiters

    @property
    def is_full(self) -> bool:
        """Whether the queue has `MAX_QUEUED` requests."""
        return len(self._waiters) >= MAX_QUEUED

    def push(self, waiter: PoolWaiter) -> None:
        """Inserts a request by its rank."""
        insort(self._waiters, waiter, key=lambda each: each.rank)
        self._backlog.add(waiter.request)

    def remove(self, waiter: PoolWaiter) -> None:
        """Removes a request that gets no slot."""
        self._waiters.remove(waiter)
        self._backlog.remove(waiter.request)

    def serve(self, waiter: PoolWaiter) -> None:
        """Removes a request that gets a slot, which counts towards its workspace's share."""
        self._waiters.remove(waiter)
        self._backlog.serve(waiter.request)

    def position(self, waiter: PoolWaiter) -> int:
        """Returns how many requests precede this one by rank."""
        return self._waiters.index(waiter)

    def pop_displaced(self, request: SlotRequest) -> PoolWaiter | None:
        """Removes and returns the request that a new one displaces from a full queue, if any.

        It is the newest of the workspace that is furthest over its share, and of no higher
        priority than the new request.
        """
        member = self._backlog.furthest_over(request)
        if member == request.member:
            return None
        candidates = (
            waiter
            for waiter in self._waiters
            if waiter.request.member == member and waiter.request.priority >= request.priority
        )
        displaced = max(candidates, key=lambda waiter: waiter.sequence, default=None)
        if displaced is not None:
            self.remove(displaced)
        return displaced

    def pop_unservable(
        self, predict_ms: Callable[[int], float], now_ms: int, newest: PoolWaiter | None
    ) -> list[tuple[PoolWaiter, float]]:
        """Removes requests that won't be served by their deadlines; returns their waits as well.

        Among requests of one workspace that is the newest one, if any. Otherwise it is those at
        the end of the fair order: the newest of the workspaces that are furthest over their shares.

        Args:
            predict_ms: Returns the wait of a request, by how many precede it.
            now_ms: The current time.
            newest: The request that was added last, if it may be waiting.
        """
        if self.is_contended:
            unservable = self._find_unservable(predict_ms, now_ms)
        elif newest is not None and newest in self:
            wait_ms = predict_ms(self.position(newest))
            is_unservable = now_ms + wait_ms > newest.request.deadline_ms
            unservable = [(newest, wait_ms)] if is_unservable else []
        else:
            unservable = []
        for waiter, _ in unservable:
            self.remove(waiter)
        return unservable

    def _find_unservable(
        self, predict_ms: Callable[[int], float], now_ms: int
    ) -> list[tuple[PoolWaiter, float]]:
        """Predicts the waits in the fair order; at intervals, since it takes a pass over all."""
        if now_ms < self._predict_at_ms:
            return []
        self._predict_at_ms = now_ms + PREDICTION_INTERVAL_MS
        unservable = []
        ahead = 0
        for waiter in self.fair_order():
            wait_ms = predict_ms(ahead)
            if now_ms + wait_ms > waiter.request.deadline_ms:
                unservable.append((waiter, wait_ms))
            else:
                ahead += 1
        return unservable

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Removes a holder's request by id, if it is waiting."""
        self._pop(lambda w: w.request.request_id == request_id and w.holder is holder)

    def drop_holder(self, holder: Holder) -> None:
        """Removes all requests of a holder."""
        self._pop(lambda waiter: waiter.holder is holder)

    def pop_expired(self, now_ms: int) -> list[PoolWaiter]:
        """Removes and returns the requests whose deadline has passed."""
        return self._pop(lambda waiter: waiter.request.deadline_ms <= now_ms)

    def clear(self) -> list[PoolWaiter]:
        """Removes and returns all requests."""
        return self._pop(lambda waiter: True)

    def _pop(self, is_popped: Callable[[PoolWaiter], bool]) -> list[PoolWaiter]:
        """Removes and returns the requests to which the condition applies."""
        popped = [waiter for waiter in self._waiters if is_popped(waiter)]
        if popped:
            self._waiters = [waiter for waiter in self._waiters if not is_popped(waiter)]
        for waiter in popped:
            self._backlog.remove(waiter.request)
        return popped
