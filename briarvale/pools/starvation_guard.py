"""Serves lower priorities now and then while higher ones would take all slots."""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TypeVar

# After this many grants to higher priorities, a waiting lower priority gets one: a sixteenth of the
# slots keeps it served, and costs the higher ones little.
MAX_BYPASSES = 15

Waiting = TypeVar("Waiting")

__all__ = ["MAX_BYPASSES", "StarvationGuard"]


class StarvationGuard:
    """Counts how often each waiting priority was bypassed by higher ones since its last grant."""

    def __init__(self) -> None:
        self._bypasses: dict[int, int] = {}

    def record_served(self, priority: int, waiting: Iterable[int]) -> None:
        """Records a grant.

        Args:
            priority: The priority of the request that got a slot.
            waiting: The priorities of the requests that wait.
        """
        self._bypasses = _after_grant(self._bypasses, priority, waiting)

    def due(self, waiting: Iterable[int]) -> int | None:
        """Returns the waiting priority that is served next out of turn, if any."""
        due = (each for each in waiting if self._bypasses.get(each, 0) >= MAX_BYPASSES)
        return min(due, default=None)

    def arrange(self, by_priority: Mapping[int, Sequence[Waiting]]) -> Iterator[Waiting]:
        """Yields the requests in the order in which they would get slots one after the other."""
        bypasses = self._bypasses
        queues = {priority: deque(by_priority[priority]) for priority in sorted(by_priority)}
        while queues:
            priority = next(
                (each for each in queues if bypasses.get(each, 0) >= MAX_BYPASSES),
                next(iter(queues)),
            )
            yield queues[priority].popleft()
            bypasses = _after_grant(bypasses, priority, queues)
            if not queues[priority]:
                del queues[priority]


def _after_grant(
    bypasses: Mapping[int, int], priority: int, waiting: Iterable[int]
) -> dict[int, int]:
    """Returns the counts after a grant; priorities that do not wait are dropped."""
    return {each: bypasses.get(each, 0) + 1 for each in waiting if each > priority} | {
        each: bypasses.get(each, 0) for each in waiting if each < priority
    }
