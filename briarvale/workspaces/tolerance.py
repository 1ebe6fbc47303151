"""What may be granted beyond the limit, and which nodes hold it.

A part of a window's tolerance covers tokens in flight. The rest is granted by a few fixed nodes
while a workspace's owner does not answer or does not know the past. The VM list alone decides which
nodes these are, so that nodes that disagree on which nodes are alive grant no more.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..clock import MS_PER_S
from ..rendezvous import first_by_rendezvous
from .workspace import WorkspaceLimits

# One node of a zone or one machine may be lost without the others.
HOLDER_COUNT = 3
# Longest time from a grant until its token is spent, and from a request's arrival until its grant:
# tokens granted before or after a window may be spent for requests in it.
IN_FLIGHT_MS = 100
DELAY_MS = 100
# Owners with a quarter of the shares may hold one whole token each; there are at most four of them.
MIN_OWNER_SHARE = 0.25
MAX_LARGE_OWNERS = 4

__all__ = ["HOLDER_COUNT", "IN_FLIGHT_MS", "Quota", "ToleranceBudget", "tolerance_holders"]


class Quota(NamedTuple):
    """How exactly limits are kept: in each window of `window_ms`, at most
    (limit of the window) x (1 + `overage`) + `slack` requests run."""

    window_ms: int = 5_000
    overage: float = 0.1
    slack: float = 20.0

    def tolerance(self, limits: WorkspaceLimits) -> int:
        """Returns the requests of one window that may be granted beyond the limit."""
        limit = limits.rate_per_s * self.window_ms / MS_PER_S + limits.burst
        in_flight = limits.rate_per_s * (IN_FLIGHT_MS + DELAY_MS) / MS_PER_S
        spare = limit * self.overage + self.slack - in_flight - MAX_LARGE_OWNERS
        return max(0, math.floor(spare))


def tolerance_holders(workspace: str, known_nodes: Iterable[str]) -> list[str]:
    """Returns the nodes that hold a workspace's tolerance, in the order in which they are asked.

    Args:
        known_nodes: All nodes of the VM list, whether alive or not.
    """
    return first_by_rendezvous(f"tolerance/{workspace}", known_nodes, HOLDER_COUNT)


class ToleranceBudget:
    """The tolerance that one node holds.

    Args:
        quota: How exactly limits are kept.
        now_ms: Time of the start; as the past is unknown, nothing is granted for one window.
    """

    def __init__(self, quota: Quota, now_ms: int) -> None:
        self._quota = quota
        # A token that was granted may be spent later, so that it counts for longer than a window.
        self._memory_ms = quota.window_ms + IN_FLIGHT_MS
        self._unknown_until_ms = now_ms + self._memory_ms
        self._spent_at_ms: dict[str, deque[int]] = {}

    def take(
        self, workspace: str, limits: WorkspaceLimits, rank: int, holders: int, now_ms: int
    ) -> int:
        """Takes one token; returns how long to wait for one, in milliseconds, and 0 if taken.

        Args:
            rank: Place of this node among the holders.
            holders: How many nodes hold a part.
        """
        if now_ms < self._unknown_until_ms:
            return self._unknown_until_ms - now_ms
        total = self._quota.tolerance(limits)
        part = total // holders + (1 if rank < total % holders else 0)
        spent_at_ms = self._spent_at_ms.setdefault(workspace, deque())
        while spent_at_ms and spent_at_ms[0] <= now_ms - self._memory_ms:
            spent_at_ms.popleft()
        if len(spent_at_ms) < part:
            spent_at_ms.append(now_ms)
            return 0
        if not spent_at_ms:
            return self._memory_ms
        return max(1, spent_at_ms[0] + self._memory_ms - now_ms)
