"""Admission of batch requests to a backend server, and the choice of those to revoke."""

import math

from ._generated.messages import WorkClass
from .config import Rules
from .fairness import FairQueue, Shares
from .grants import Grant, GrantTable
from .headroom import BatchPacer, YieldPolicy

BURST_FACTOR = 2

__all__ = ["BatchAdmission"]


class BatchAdmission:
    """Decides how many slots batch may hold beside online, and which batch requests get them.

    The limit follows from the batch budget and the harm weight, the order from the shares.

    Args:
        queue: Waiting batch requests.
        grants: All grants of the backend server.
    """

    def __init__(self, queue: FairQueue, grants: GrantTable) -> None:
        self._queue = queue
        self._grants = grants
        self._held = grants.slots_by_member[WorkClass.BATCH]
        self._shares = Shares({})
        self._budget_fraction = 0.0
        self._policy = YieldPolicy.from_harm_weight(0.0)
        self.pacer = BatchPacer()

    def configure(self, shares: Shares, rules: Rules) -> None:
        """Applies a new configuration."""
        self._shares = shares
        self._budget_fraction = rules.batch_budget_percent / 100
        self._policy = YieldPolicy.from_harm_weight(rules.harm_weight)

    def limit(self, slots: int, online_slots: int, online_peak: int) -> int:
        """Returns how many slots batch may hold while online holds `online_slots`.

        Above its budget, batch gets only slots that would stay idle if online grew by a factor of
        `BURST_FACTOR`.
        """
        burst = BURST_FACTOR * max(online_slots, online_peak)
        budget = max(math.floor(self._budget_fraction * slots), slots - burst)
        return min(self._policy.batch_limit(slots, online_slots), budget)

    def start_limit(self, slots: int, online_peak: int) -> int:
        """Returns how many slots batch may fill so that the next online stream revokes none."""
        online_slots = self._grants.slots_of(WorkClass.ONLINE)
        return self.limit(slots, online_slots + 1 if online_slots else 0, online_peak)

    def may_start(self, now_ms: int) -> bool:
        """Whether the pacer allows a start now."""
        return self.pacer.may_start(now_ms)

    def record_start(self, now_ms: int, prefill_ms: float) -> None:
        """Records the start of a batch stream."""
        self.pacer.record_batch_start(self._policy, now_ms, prefill_ms)

    def next_member(self, start_limit: int) -> str:
        """Returns the member whose request starts next; members below their share come first."""
        members = self._queue.members
        share_slots = self._share_slots(start_limit)
        return next((name for name in members if self._held[name] < share_slots[name]), members[0])

    def excess_grants(self, count: int) -> list[Grant]:
        """Returns grants to revoke: `count`, less the slots already being revoked."""
        return self._in_revocation_order()[: max(0, count - self._grants.revoking_slots)]

    def grants_delaying_online(self, now_ms: int) -> list[Grant]:
        """Returns grants whose prefill would delay an online prompt beyond the policy's limit."""
        latest_ms = now_ms + self._policy.max_prefill_ahead_ms
        return [g for g in self._grants.revocable() if g.prefilled_at_ms > latest_ms]

    def borrowed_grants(self, start_limit: int) -> list[Grant]:
        """Returns grants to revoke because they use slots in the share of a member that waits."""
        share_slots = self._share_slots(start_limit)
        missing_slots = sum(
            max(0, min(self._queue.queued(member), share_slots[member] - self._held[member]))
            for member in self._queue.members
        )
        if self._policy.start_spacing > 0:
            # Paced starts need no more than one slot at a time.
            missing_slots = min(missing_slots, 1)
        count = max(0, missing_slots - self._grants.revoking_slots)
        borrowers = [name for name in share_slots if self._held[name] > share_slots[name]]
        return [g for g in self._in_revocation_order() if g.held.member in borrowers][:count]

    def _share_slots(self, start_limit: int) -> dict[str, int]:
        """Returns each member's share of the batch slots, among members with batch requests."""
        competing = {name for name in self._held if self._held[name] > 0} | set(self._queue.members)
        return {
            name: math.floor(self._shares.fraction_among(name, competing) * start_limit)
            for name in competing
        }

    def _in_revocation_order(self) -> list[Grant]:
        """Sorts revocable grants: members furthest above their share first, then the latest due."""
        return sorted(
            self._grants.revocable(),
            key=lambda grant: (
                self._held[grant.held.member] / self._shares.weight(grant.held.member),
                grant.start_by_ms,
                grant.granted_at_ms,
            ),
            reverse=True,
        )
