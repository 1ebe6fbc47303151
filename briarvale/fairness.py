"""Start-time fair queueing among members: tokens are weighted by each member's declared share."""

from bisect import insort
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ._generated.messages import SlotRequest
from .holder import Holder

MIN_WEIGHT = 0.001

__all__ = ["FairQueue", "FairTags", "Shares", "Waiter"]


class Waiter(NamedTuple):
    """A request that waits in a `FairQueue`."""

    request: SlotRequest
    holder: Holder
    queued_at_ms: int
    sequence: int

    @property
    def urgency(self) -> tuple[int, int]:
        """Sort key within one member: the earliest required start, then the order of arrival."""
        return (self.request.start_by_ms, self.sequence)


class Shares(NamedTuple):
    """Each member's declared fraction of the fleet."""

    fractions: Mapping[str, float]

    def weight(self, member: str) -> float:
        """Returns the member's weight in fair queueing; never 0."""
        return max(MIN_WEIGHT, self.fractions.get(member, 0.0))

    def slots(self, member: str, limit: int) -> float:
        """Returns the member's share of `limit` slots."""
        return self.fractions.get(member, 0.0) * limit

    def fraction_among(self, member: str, members: set[str]) -> float:
        """Returns the member's fraction if only it and `members` compete."""
        return self.weight(member) / sum(self.weight(name) for name in members | {member})


class FairTags:
    """Virtual start and finish times of start-time fair queueing, by member.

    A member's start tag is the virtual time at which its next request starts service. Serving a
    request of `c` tokens advances the tag by `c` divided by the member's weight. The member with
    the least tag is served next, so backlogged members get tokens in proportion to their weights.

    Attributes:
        virtual_time: The greatest start tag of the requests served so far.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._start: dict[str, float] = {}
        self._finish: dict[str, float] = {}

    def enter(self, member: str) -> None:
        """Adds a member whose first request begins to wait."""
        self._start[member] = max(self.virtual_time, self._finish.pop(member, 0.0))

    def leave(self, member: str) -> None:
        """Removes a member that has no waiting requests any more."""
        finish = self._start.pop(member)
        if finish > self.virtual_time:
            self._finish[member] = finish

    def start(self, member: str) -> float:
        """Returns the start tag of a member with waiting requests."""
        return self._start[member]

    def charge(self, member: str, cost: float) -> None:
        """Charges a member with waiting requests for one that is served; `cost` is weighted."""
        start = self._start[member]
        self.virtual_time = max(self.virtual_time, start)
        self._start[member] = start + cost

    def refund(self, member: str, cost: float) -> None:
        """Refunds part of a charge; `cost` is weighted."""
        if member in self._finish:
            self._finish[member] -= cost
        if member in self._start:
            self._start[member] = max(self.virtual_time, self._start[member] - cost)


class FairQueue:
    """Waiting requests of one class, in a bounded queue for each member, served by `FairTags`.

    Args:
        max_queued: Bound of each member's queue.
    """

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._waiting: dict[str, list[Waiter]] = {}
        self._tags = FairTags()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._waiting.values())

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._waiting.values():
            yield from queue

    @property
    def members(self) -> list[str]:
        """Members with waiting requests, the next to be served first."""
        return sorted(self._waiting, key=self._tags.start)

    def queued(self, member: str) -> int:
        """Returns how many requests of the member are queued."""
        return len(self._waiting.get(member, ()))

    def is_full(self, member: str) -> bool:
        """Whether the member has `max_queued` requests."""
        return self.queued(member) >= self._max_queued

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        member = waiter.request.member
        if member not in self._waiting:
            self._waiting[member] = []
            self._tags.enter(member)
        insort(self._waiting[member], waiter, key=lambda each: each.urgency)

    def peek(self, member: str) -> Waiter:
        """Returns the member's next request."""
        return self._waiting[member][0]

    def pop(self, member: str, shares: Shares) -> Waiter:
        """Removes and returns the member's next request, and charges the member for it."""
        waiter = self._waiting[member].pop(0)
        self._tags.charge(member, waiter.request.cost_tokens / shares.weight(member))
        self._remove_if_empty(member)
        return waiter

    def refund(self, member: str, tokens: int, shares: Shares) -> None:
        """Refunds part of a charge, for tokens that were not generated."""
        self._tags.refund(member, tokens / shares.weight(member))

    def remove(self, waiter: Waiter) -> None:
        """Removes a request that won't be served, without a charge."""
        member = waiter.request.member
        self._waiting[member].remove(waiter)
        self._remove_if_empty(member)

    def _remove_if_empty(self, member: str) -> None:
        if not self._waiting[member]:
            del self._waiting[member]
            self._tags.leave(member)
