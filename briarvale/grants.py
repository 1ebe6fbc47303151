"""Granted slots of one backend server, each leased to its holder."""

import math
import secrets
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ._generated.messages import HeldGrant, SlotRequest, WorkClass
from .holder import Holder
from .pools import RunStart

__all__ = ["Grant", "GrantTable"]


class Grant(NamedTuple):
    """A grant of slots, leased to its holder.

    Attributes:
        start_by_ms: When its run should start at the latest to be in time.
        prefilled_at_ms: When its prompt will probably have been prefilled.
        is_orphan: Whether its holder's connection ended.
        is_overdue: Whether its run was found to take far longer than usual.
        worked_ms: For how long earlier runs of a batch item worked.
        start: What was known when the run began; nothing of a grant of an earlier owner.
    """

    held: HeldGrant
    holder: Holder
    request_id: str
    granted_at_ms: int
    expires_at_ms: int
    start_by_ms: int = 0
    prefilled_at_ms: float = 0.0
    is_orphan: bool = False
    is_overdue: bool = False
    worked_ms: int = 0
    start: RunStart = RunStart()

    @classmethod
    def from_request(
        cls,
        request: SlotRequest,
        holder: Holder,
        *,
        pool: str,
        backend_server: str,
        granted_at_ms: int,
        expires_at_ms: int,
        start: RunStart = RunStart(),
    ) -> "Grant":
        """Returns the grant of one slot for a request."""
        held = HeldGrant(
            grant_id=secrets.token_hex(8),
            backend_server=backend_server,
            member=request.member,
            work_class=request.work_class,
            slot_count=1,
            cost_tokens=request.cost_tokens,
            fingerprint=request.fingerprint,
            pool=pool,
        )
        return cls(
            held=held,
            holder=holder,
            request_id=request.request_id,
            granted_at_ms=granted_at_ms,
            expires_at_ms=expires_at_ms,
            start_by_ms=request.start_by_ms,
            worked_ms=request.worked_ms,
            start=start,
        )

    @property
    def is_late(self) -> bool:
        """Whether its run started too late to be in time; false if it isn't known."""
        return 0 < self.start_by_ms < self.granted_at_ms


class GrantTable:
    """Grants by id, with counts of slots by class and member.

    Owners read the sums at each request for each server, so they are updated incrementally.

    Attributes:
        slots: Slots granted.
        tokens: Expected tokens of the granted runs, of prompts and answers.
        slots_by_member: Slots granted, by class and member.
    """

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}
        self._id_by_request: dict[str, str] = {}
        self._revoking: set[str] = set()
        self._revoking_slots = 0
        self._overdue_count = 0
        self._slots_of = dict.fromkeys(WorkClass, 0)
        self._next_end_ms: float | None = None
        self.slots = 0
        self.tokens = 0
        self.slots_by_member: dict[WorkClass, Counter[str]] = {
            work_class: Counter() for work_class in WorkClass
        }

    def __len__(self) -> int:
        return len(self._grants)

    def slots_of(self, work_class: WorkClass) -> int:
        """Returns the slots granted to a class."""
        return self._slots_of[work_class]

    @property
    def revoking_slots(self) -> int:
        """Slots whose revocation was sent to their holders."""
        return self._revoking_slots

    @property
    def has_overdue(self) -> bool:
        """Whether any grant is marked as overdue."""
        return self._overdue_count > 0

    @property
    def next_end_ms(self) -> float:
        """When the first of the runs should end; infinite if that is not known of any."""
        if self._next_end_ms is None:
            ends_ms = (grant.start.expected_end_ms for grant in self._grants.values())
            self._next_end_ms = min((end_ms for end_ms in ends_ms if end_ms), default=math.inf)
        return self._next_end_ms

    def revocable(self) -> list[Grant]:
        """Returns batch grants whose revocation has not been sent yet."""
        return [
            grant
            for grant_id, grant in self._grants.items()
            if grant.held.work_class is WorkClass.BATCH and grant_id not in self._revoking
        ]

    def add(self, grant: Grant) -> None:
        """Adds a grant, or replaces the one with the same id."""
        self.remove(grant.held.grant_id)
        self._grants[grant.held.grant_id] = grant
        self._id_by_request[grant.request_id] = grant.held.grant_id
        self._overdue_count += grant.is_overdue
        self._add_to_counts(grant.held, grant.held.slot_count, grant.held.cost_tokens)

    def remove(self, grant_id: str) -> Grant | None:
        """Removes and returns a grant; none if the id is unknown."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._id_by_request.pop(grant.request_id, None)
        if grant_id in self._revoking:
            self._revoking.remove(grant_id)
            self._revoking_slots -= grant.held.slot_count
        self._overdue_count -= grant.is_overdue
        self._add_to_counts(grant.held, -grant.held.slot_count, -grant.held.cost_tokens)
        return grant

    def _add_to_counts(self, held: HeldGrant, slots: int, tokens: int) -> None:
        self._next_end_ms = None
        self.tokens += tokens
        self.slots_by_member[held.work_class][held.member] += slots
        self._slots_of[held.work_class] += slots
        self.slots += slots

    def id_of_request(self, request_id: str, holder: Holder) -> str | None:
        """Returns the id of the grant that a holder's request got, or none."""
        grant_id = self._id_by_request.get(request_id)
        if grant_id is None or self._grants[grant_id].holder is not holder:
            return None
        return grant_id

    def mark_revoking(self, grant_id: str) -> None:
        """Records that the revocation was sent to the holder."""
        if grant_id not in self._revoking:
            self._revoking.add(grant_id)
            self._revoking_slots += self._grants[grant_id].held.slot_count

    def mark_overdue(self, granted_by_ms: float) -> int:
        """Marks online grants from before a time as overdue; returns how many are newly marked."""
        newly_overdue = [
            grant_id
            for grant_id, grant in self._grants.items()
            if grant.granted_at_ms < granted_by_ms
            and grant.held.work_class is WorkClass.ONLINE
            and not grant.is_overdue
        ]
        for grant_id in newly_overdue:
            self._grants[grant_id] = self._grants[grant_id]._replace(is_overdue=True)
        self._overdue_count += len(newly_overdue)
        return len(newly_overdue)

    def renew(self, holder: Holder, expires_at_ms: int) -> None:
        """Renews all leases of a holder until a new expiry time."""
        for grant_id, grant in self._grants.items():
            if grant.holder is holder:
                self._grants[grant_id] = grant._replace(expires_at_ms=expires_at_ms)

    def extend_all(self, by_ms: int) -> None:
        """Extends all leases, after a pause of the owner's process."""
        for grant_id, grant in self._grants.items():
            expires_at_ms = grant.expires_at_ms + by_ms
            self._grants[grant_id] = grant._replace(expires_at_ms=expires_at_ms)

    def orphan(self, holder: Holder) -> None:
        """Marks a disconnected holder's grants as orphans; they stay until reported or expired."""
        for grant_id, grant in self._grants.items():
            if grant.holder is holder:
                self._grants[grant_id] = grant._replace(is_orphan=True)

    def remove_unreported(self, holder: Holder, reported: Iterable[str]) -> None:
        """Removes orphaned grants of the holder's process that its report does not contain."""
        reported_ids = set(reported)
        for grant_id, grant in list(self._grants.items()):
            is_own_orphan = grant.is_orphan and grant.holder.name == holder.name
            if is_own_orphan and grant_id not in reported_ids:
                self.remove(grant_id)

    def remove_expired(self, now_ms: int) -> int:
        """Removes grants whose lease has expired; returns how many."""
        expired = [key for key, grant in self._grants.items() if grant.expires_at_ms <= now_ms]
        for grant_id in expired:
            self.remove(grant_id)
        return len(expired)
