"""How many slots of a backend server batch may hold, and whose batch starts or yields next."""

import math

from ._generated.messages import WorkClass
from .config import Rules
from .fairness import FairQueue, Shares
from .grants import Grant, GrantTable
from .headroom import BatchPacer, YieldPolicy

BURST_FACTOR = 2

__all__ = ["BatchAdmission"]


class BatchAdmission:
    """Lets batch use what online leaves, by budget, harm weight and shares.

    Args:
        queue: Batch requests that wait.
        grants: Slots granted now.
    """

    def __init__(self, queue: FairQueue, grants: GrantTable) -> None:
        self._queue = queue
        self._grants = grants
        self._held = grants.held[WorkClass.BATCH]
        self._shares = Shares({})
        self._budget_part = 0.0
        self._policy = YieldPolicy.from_harm_weight(0.0)
        self.pacer = BatchPacer()

    def configure(self, shares: Shares, rules: Rules) -> None:
        """Takes a new configuration."""
        self._shares = shares
        self._budget_part = rules.batch_budget_percent / 100
        self._policy = YieldPolicy.from_harm_weight(rules.harm_weight)

    def limit(self, slots: int, online_slots: int, online_peak: int) -> int:
        """Returns how many of the slots batch may hold beside so many online ones.

        Above its budget, batch borrows what online leaves idle even if it grows by `BURST_FACTOR`.
        """
        burst = BURST_FACTOR * max(online_slots, online_peak)
        budget = max(math.floor(self._budget_part * slots), slots - burst)
        return min(self._policy.batch_limit(slots, online_slots), budget)

    def start_limit(self, slots: int, online_peak: int) -> int:
        """Returns the slots up to which batch starts: the next online stream revokes none."""
        online_slots = self._grants.slots_of(WorkClass.ONLINE)
        return self.limit(slots, online_slots + 1 if online_slots else 0, online_peak)

    def may_start(self, now_ms: int) -> bool:
        """Whether the pace allows a start now."""
        return self.pacer.may_start(now_ms)

    def record_start(self, now_ms: int, prefill_ms: float) -> None:
        """Takes the start of a batch stream."""
        self.pacer.record_batch_start(self._policy, now_ms, prefill_ms)

    def next_member(self, start_limit: int) -> str:
        """Returns the member whose batch is next: those below their share first."""
        members = self._queue.members
        owed = self._owed_slots(start_limit)
        return next((name for name in members if self._held[name] < owed[name]), members[0])

    def excess_grants(self, count: int) -> list[Grant]:
        """Returns up to `count` grants to revoke, those already being revoked counted in."""
        return self._by_yield_order()[: max(0, count - self._grants.revoking_slots)]

    def grants_delaying_online(self, now_ms: int) -> list[Grant]:
        """Returns grants whose prompt is prefilled long ahead of an online prompt."""
        latest_ms = now_ms + self._policy.max_prefill_ahead_ms
        return [g for g in self._grants.revocable() if g.prefilled_at_ms > latest_ms]

    def borrowed_grants(self, start_limit: int) -> list[Grant]:
        """Returns grants to revoke since they borrow a share whose owner's batch waits."""
        owed = self._owed_slots(start_limit)
        missing = sum(
            max(0, min(self._queue.queued(member), owed[member] - self._held[member]))
            for member in self._queue.members
        )
        if self._policy.start_spacing > 0:
            missing = min(missing, 1)
        count = max(0, missing - self._grants.revoking_slots)
        borrowers = [name for name in owed if self._held[name] > owed[name]]
        return [g for g in self._by_yield_order() if g.held.member in borrowers][:count]

    def _owed_slots(self, start_limit: int) -> dict[str, int]:
        """Returns the batch slots that each member with batch owns."""
        competing = {name for name in self._held if self._held[name] > 0} | set(self._queue.members)
        return {
            name: math.floor(self._shares.fraction_among(name, competing) * start_limit)
            for name in competing
        }

    def _by_yield_order(self) -> list[Grant]:
        """Batch grants, first those of members furthest above their share, then the newest."""
        return sorted(
            self._grants.revocable(),
            key=lambda grant: (
                self._held[grant.held.member] / self._shares.weight(grant.held.member),
                grant.start_by_ms,
                grant.granted_at_ms,
            ),
            reverse=True,
        )
