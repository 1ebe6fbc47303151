"""Admission of online requests: which member gets the next slot of a backend server."""

from collections import Counter

from .config import Rules
from .fairness import FairQueue, Shares
from .headroom import PeakDemand, burst_reserve

__all__ = ["OnlineAdmission"]


class OnlineAdmission:
    """Orders members by priority and fair queueing, and holds back their burst reserves.

    Args:
        queue: Waiting online requests.
        held: Online slots by member, updated by the grant table.
    """

    def __init__(self, queue: FairQueue, held: Counter[str]) -> None:
        self._queue = queue
        self._held = held
        self._peaks: dict[str, PeakDemand] = {}
        self._total_peak = PeakDemand()
        self._shares = Shares({})
        self._priority_member = ""

    def configure(self, shares: Shares, rules: Rules) -> None:
        """Applies a new configuration."""
        self._shares = shares
        self._priority_member = rules.priority_member

    def observe(self, now_ms: int) -> None:
        """Records the current demand of each member, held and queued."""
        total = 0
        for member in self._held.keys() | set(self._queue.members):
            demand = self._held[member] + self._queue.queued(member)
            self._peaks.setdefault(member, PeakDemand()).observe(demand, now_ms)
            total += demand
        self._total_peak.observe(total, now_ms)

    def peak(self, now_ms: int) -> int:
        """Returns the recent peak of the members' total demand."""
        return self._total_peak.peak(now_ms)

    def next_member(self, limit: int, now_ms: int) -> str | None:
        """Returns the member to be served next, or none if none may get a slot."""
        members = self._queue.members
        members.sort(key=lambda member: member != self._priority_member)
        peaks = self._member_peaks(now_ms)
        admitted = (name for name in members if self._may_get_slot(name, self._held, peaks, limit))
        return next(admitted, None)

    def wanted_slots(self, limit: int, now_ms: int) -> int:
        """Returns the slots that waiting requests would get if batch held none."""
        held = Counter(self._held)
        peaks = self._member_peaks(now_ms)
        for member in self._queue.members:
            for _ in range(self._queue.queued(member)):
                if not self._may_get_slot(member, held, peaks, limit):
                    break
                held[member] += 1
        return held.total() - self._held.total()

    def usable_slots(self, member: str, limit: int) -> float:
        """Returns the slots that a member can expect among the members that compete now."""
        if member == self._priority_member:
            return float(limit)
        competing = {name for name, count in self._held.items() if count > 0}
        return limit * self._shares.fraction_among(member, competing | set(self._queue.members))

    def _member_peaks(self, now_ms: int) -> dict[str, int]:
        return {name: peak.peak(now_ms) for name, peak in self._peaks.items()}

    def _may_get_slot(
        self, member: str, held: Counter[str], peaks: dict[str, int], limit: int
    ) -> bool:
        """Whether a member may get another slot, within its share or borrowed."""
        if held.total() + 1 > limit:
            return False
        if held[member] + 1 <= self._shares.slots(member, limit):
            return True
        reserve = burst_reserve(member, held, peaks, self._shares, limit)
        return held.total() + 1 + reserve <= limit
