"""Fair shares of the workspaces whose requests wait for slots of a pool."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol, TypeVar

from .._generated.messages import SlotRequest
from ..fairness import FairTags, Shares
from .starvation_guard import StarvationGuard

__all__ = ["FairBacklog", "Waiter"]


class Waiter(Protocol):
    """A waiting request."""

    @property
    def request(self) -> SlotRequest:
        """The request; its `member` is the workspace."""


AnyWaiter = TypeVar("AnyWaiter", bound=Waiter)
Ranked = tuple[tuple[int, ...], AnyWaiter]


class FairBacklog:
    """Whose turn it is among the workspaces with waiting requests, by tokens served and waiting.

    Attributes:
        shares: Weights of the workspaces; those that it does not name weigh the same.
    """

    def __init__(self) -> None:
        self.shares = Shares({})
        self._tags = FairTags()
        self._guard = StarvationGuard()
        self._counts: Counter[str] = Counter()
        self._costs: Counter[str] = Counter()
        self._priorities: Counter[int] = Counter()

    @property
    def is_contended(self) -> bool:
        """Whether requests of several workspaces wait."""
        return len(self._counts) > 1

    def furthest_over(self, request: SlotRequest) -> str:
        """Returns the workspace that is furthest over its share if the request waits as well."""
        backlogs = {member: self._backlog(member) for member in self._counts}
        own = backlogs.get(request.member, 0.0) + self._weighted_cost(request)
        # Of two that are equally far over, the one that asks now is refused.
        furthest, backlog = request.member, own
        for member, other_backlog in backlogs.items():
            if member != request.member and other_backlog > backlog:
                furthest, backlog = member, other_backlog
        return furthest

    def add(self, request: SlotRequest) -> None:
        """Adds a waiting request."""
        if request.member not in self._counts:
            self._tags.enter(request.member)
        self._counts[request.member] += 1
        self._costs[request.member] += _cost(request)
        self._priorities[request.priority] += 1

    def remove(self, request: SlotRequest) -> None:
        """Removes a request that got no slot."""
        self._counts[request.member] -= 1
        self._costs[request.member] -= _cost(request)
        self._priorities[request.priority] -= 1
        if not self._priorities[request.priority]:
            del self._priorities[request.priority]
        if not self._counts[request.member]:
            del self._counts[request.member], self._costs[request.member]
            self._tags.leave(request.member)

    def serve(self, request: SlotRequest) -> None:
        """Removes a request that got a slot, and charges its workspace."""
        self._tags.charge(request.member, self._weighted_cost(request))
        self._guard.record_served(request.priority, self._priorities)
        self.remove(request)

    def order(self, ranked: Sequence[Ranked[AnyWaiter]]) -> Iterator[AnyWaiter]:
        """Yields waiting requests in the order of service: priority, fair share, class.

        Classes decide within a workspace only. Otherwise the many late requests of a workspace over
        its share, at their last chance, would make those of others late.

        Most callers serve one request only, so the others are sorted when the second is taken.

        Args:
            ranked: The requests, each with its priority and class, sorted by the order in which
                those of one workspace and class are served.
        """
        if not self.is_contended:
            yield from (waiter for _, waiter in sorted(ranked, key=lambda entry: entry[0]))
            return
        first = self._first(ranked)
        if first is not None:
            yield first
            # The first may have been served by now, so that the tags include it.
            yield from self._full_order([each for each in ranked if each[1] is not first])

    def _first(self, ranked: Sequence[Ranked[AnyWaiter]]) -> AnyWaiter | None:
        """Returns the request that is served first."""
        due = self._guard.due(self._priorities)
        tags = {member: self._tags.start(member) for member in self._counts}
        first, first_key = None, None
        for rank, waiter in ranked:
            if due is not None and rank[0] != due:
                continue
            key = (rank[0], tags[waiter.request.member], rank)
            if first_key is None or key < first_key:
                first, first_key = waiter, key
        return first

    def _full_order(self, ranked: Sequence[Ranked[AnyWaiter]]) -> Iterable[AnyWaiter]:
        tags = {member: self._tags.start(member) for member in self._counts}
        weights = {member: self.shares.weight(member) for member in self._counts}
        entries: list[tuple[int, float, int, AnyWaiter]] = []
        for rank, waiter in sorted(ranked, key=lambda entry: entry[0]):
            request = waiter.request
            entries.append((rank[0], tags[request.member], len(entries), waiter))
            tags[request.member] += _cost(request) / weights[request.member]
        entries.sort(key=lambda entry: entry[:3])
        if len(self._priorities) == 1:
            return [entry[3] for entry in entries]
        by_priority: dict[int, list[AnyWaiter]] = {}
        for entry in entries:
            by_priority.setdefault(entry[0], []).append(entry[3])
        return self._guard.arrange(by_priority)

    def _backlog(self, member: str) -> float:
        """Returns how far a workspace would be ahead if all its waiting requests were served."""
        ahead = self._tags.start(member) - self._tags.virtual_time
        return ahead + self._costs[member] / self.shares.weight(member)

    def _weighted_cost(self, request: SlotRequest) -> float:
        return _cost(request) / self.shares.weight(request.member)


def _cost(request: SlotRequest) -> int:
    """Returns the tokens of a request; 1 where they are not known, as for plain services."""
    return max(1, request.cost_tokens)
