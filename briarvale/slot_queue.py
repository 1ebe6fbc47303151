"""Slot queue of one backend server: its owner decides which requests may run there."""

import math
import secrets
from typing import NamedTuple

import xxhash

from . import logs, metrics
from ._generated.messages import (
    HeldGrant,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    WorkClass,
)
from .batch_admission import BatchAdmission
from .clock import MS_PER_S, Clock
from .config import BackendServer, Rules
from .errors import NotOwner, Overloaded
from .fairness import FairQueue, Shares, Waiter
from .grants import Grant, GrantTable
from .holder import Holder
from .online_admission import OnlineAdmission
from .prefill import PrefillBacklog
from .slot_limit import SlotLimit
from .traces import record_span
from .wait_estimate import WaitEstimate

GRANT_LEASE_MS = 4_000
REPORT_GRACE_MS = 500
MAX_TICK_GAP_MS = 1_000
MAX_QUEUED_ONLINE = 256
MAX_QUEUED_BATCH = 256
RETRY_DELAY_MS = 1_000
RETRY_JITTER_MS = 2_000

log = logs.component_logger("dispatcher")

__all__ = ["Holder", "MemberUsage", "SlotQueue"]


class MemberUsage(NamedTuple):
    """Slots of one backend server that a member holds, and its share of them."""

    member: str
    share_slots: float
    online_slots: int
    batch_slots: int

    @property
    def borrowed_slots(self) -> float:
        """Slots held above the member's share."""
        return max(0.0, self.online_slots + self.batch_slots - self.share_slots)


class SlotQueue:
    """Grants the slots of one backend server: online before batch, members by share.

    A new queue grants nothing for `REPORT_GRACE_MS`, so that holders can first report the grants
    that they have from an earlier owner.

    Args:
        server: The backend server whose slots are granted.
        clock: Source of timestamps.
        rules: The current rules.
    """

    def __init__(self, server: BackendServer, clock: Clock, rules: Rules) -> None:
        self.server = server
        self._clock = clock
        self._slot_limit = SlotLimit(server.slots)
        self._waiting = {
            WorkClass.ONLINE: FairQueue(MAX_QUEUED_ONLINE),
            WorkClass.BATCH: FairQueue(MAX_QUEUED_BATCH),
        }
        self._grants = GrantTable()
        online_held = self._grants.slots_by_member[WorkClass.ONLINE]
        self._online = OnlineAdmission(self._waiting[WorkClass.ONLINE], online_held)
        self._batch = BatchAdmission(self._waiting[WorkClass.BATCH], self._grants)
        self._prefill = PrefillBacklog(server.prefill_tokens_per_s)
        self._estimate = WaitEstimate()
        self._sequence = 0
        self._ticked_at_ms = clock.now_ms()
        self._grant_from_ms = clock.now_ms() + REPORT_GRACE_MS
        self.configure(server, rules)

    @property
    def held(self) -> int:
        """Slots granted now."""
        return self._grants.slots

    @property
    def queued(self) -> int:
        """Waiting requests of both classes."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def limit(self) -> int:
        """Slots that may be granted."""
        return self._slot_limit.slots

    @property
    def usage(self) -> tuple[MemberUsage, ...]:
        """The slots and the share of each member."""
        online, batch = (
            self._grants.slots_by_member[WorkClass.ONLINE],
            self._grants.slots_by_member[WorkClass.BATCH],
        )
        members = sorted(self._shares.fractions.keys() | online.keys() | batch.keys())
        return tuple(
            MemberUsage(m, self._shares.slots(m, self.limit), online[m], batch[m]) for m in members
        )

    def configure(self, server: BackendServer, rules: Rules) -> None:
        """Applies a new configuration."""
        self.server = server
        self._slot_limit.set_declared_slots(server.slots)
        self._shares = Shares({share.member: share.percent / 100 for share in rules.shares})
        self._prefill.tokens_per_s = server.prefill_tokens_per_s
        self._online.configure(self._shares, rules)
        self._batch.configure(self._shares, rules)

    def submit(self, request: SlotRequest, holder: Holder) -> None:
        """Queues a request; its holder is notified of the grant or the refusal."""
        now_ms = self._clock.now_ms()
        queue = self._waiting[request.work_class]
        if queue.is_full(request.member):
            wait_ms = max(_retry_delay_ms(request), self._predicted_wait_ms(request))
            self._refuse(request, holder, now_ms + wait_ms)
            return
        self._sequence += 1
        waiter = Waiter(request, holder, now_ms, self._sequence)
        queue.push(waiter)
        self._online.observe(now_ms)
        if request.work_class is WorkClass.ONLINE:
            for grant in self._batch.grants_delaying_online(now_ms):
                self._revoke(grant, "prefill")
        self.grant_waiting()
        wait_ms = self._predicted_wait_ms(request)
        if now_ms + wait_ms > request.deadline_ms and waiter in list(queue):
            queue.remove(waiter)
            self._refuse(request, holder, now_ms + wait_ms)

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Removes a waiting request, or releases the grant that it got in the meantime."""
        for queue in self._waiting.values():
            for waiter in list(queue):
                if waiter.request.request_id == request_id and waiter.holder is holder:
                    queue.remove(waiter)
        grant_id = self._grants.id_of_request(request_id, holder)
        if grant_id is not None:
            self.release(SlotRelease(grant_id, Outcome.CANCELLED))

    def release(self, release: SlotRelease) -> None:
        """Frees a slot that its holder releases."""
        grant = self._grants.remove(release.grant_id)
        if grant is None:
            return
        now_ms = self._clock.now_ms()
        self._slot_limit.observe(release.time_between_tokens_ms, now_ms)
        if grant.held.work_class is WorkClass.ONLINE:
            self._estimate.observe(now_ms - grant.granted_at_ms)
        if release.outcome is Outcome.REVOKED:
            unused_tokens = max(0, grant.held.cost_tokens - release.tokens)
            queue = self._waiting[grant.held.work_class]
            queue.refund(grant.held.member, unused_tokens, self._shares)
        self.grant_waiting()

    def adopt(self, held: HeldGrant, holder: Holder) -> None:
        """Registers a grant from an earlier owner or from the holder's earlier connection."""
        now_ms = self._clock.now_ms()
        self._grants.add(Grant(held, holder, held.grant_id, now_ms, now_ms + GRANT_LEASE_MS))
        self._online.observe(now_ms)

    def report(self, holder: Holder, grants: tuple[HeldGrant, ...]) -> None:
        """Adopts the grants in a holder's full report and frees its orphans that are missing."""
        own_grants = [held for held in grants if held.backend_server == self.server.id]
        self._grants.remove_unreported(holder, (held.grant_id for held in own_grants))
        for held in own_grants:
            self.adopt(held, holder)
        self.grant_waiting()

    def renew(self, holder: Holder) -> None:
        """Renews all leases of a holder."""
        self._grants.renew(holder, self._clock.now_ms() + GRANT_LEASE_MS)

    def drop_holder(self, holder: Holder) -> None:
        """Removes a disconnected holder's requests; its grants remain until their leases expire."""
        for queue in self._waiting.values():
            for waiter in [waiter for waiter in queue if waiter.holder is holder]:
                queue.remove(waiter)
        self._grants.orphan(holder)
        self.grant_waiting()

    def close(self, code: str = NotOwner.code) -> None:
        """Refuses all waiting requests, by default because another dispatcher owns the server."""
        for queue in self._waiting.values():
            for waiter in list(queue):
                queue.remove(waiter)
                self._refuse(waiter.request, waiter.holder, self._clock.now_ms(), code)

    def tick(self) -> None:
        """Frees expired leases, refuses requests past their deadline and grants free slots."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._ticked_at_ms
        self._ticked_at_ms = now_ms
        if gap_ms > MAX_TICK_GAP_MS:
            # This process was paused: its connections may hold renewals that it has not read.
            self._grants.extend_all(gap_ms)
        expired = self._grants.remove_expired(now_ms)
        if expired:
            metrics.LEASES_EXPIRED.add({"backend_server": self.server.id}, expired)
            log.info("Freed {} expired slots on {}.", expired, self.server.id)
        for queue in self._waiting.values():
            for waiter in [w for w in queue if w.request.deadline_ms <= now_ms]:
                queue.remove(waiter)
                self._refuse(
                    waiter.request, waiter.holder, now_ms + _retry_delay_ms(waiter.request)
                )
        self._online.observe(now_ms)
        self.grant_waiting()
        self._update_metrics()

    def grant_waiting(self) -> None:
        """Grants free slots, and revokes batch slots that online or another member should have."""
        now_ms = self._clock.now_ms()
        if now_ms < self._grant_from_ms:
            return
        self._grant_online(now_ms)
        wanted = self._online.wanted_slots(self.limit, now_ms)
        self._revoke_for_online(now_ms, wanted)
        if wanted == 0:
            self._grant_batch(now_ms)

    @property
    def due_at_ms(self) -> float:
        """When the prefill backlog allows the next online request; infinite if none waits."""
        has_waiting = len(self._waiting[WorkClass.ONLINE]) > 0
        return self._prefill.next_start_at_ms if has_waiting else math.inf

    def _grant_online(self, now_ms: int) -> None:
        queue = self._waiting[WorkClass.ONLINE]
        while now_ms >= self._prefill.next_start_at_ms:
            member = self._online.next_member(self.limit, now_ms)
            if member is None:
                return
            request = queue.peek(member).request
            if request.slot_count > self.limit - self.held:
                return
            self._prefill.record_start(request.prompt_tokens, now_ms)
            prefill_ms = self._prefill.duration_ms(_prefill_tokens(request))
            self._batch.pacer.record_online_start(
                max(self._prefill.ends_at_ms, now_ms + prefill_ms)
            )
            self._grant(queue.pop(member, self._shares), now_ms)

    def _revoke_for_online(self, now_ms: int, wanted: int) -> None:
        """Revokes batch slots so that online can get `wanted` more slots within the limits."""
        online_slots = self._grants.slots_of(WorkClass.ONLINE)
        batch_limit = self._batch.limit(
            self.limit, online_slots + wanted, self._online.peak(now_ms)
        )
        excess_batch = self._grants.slots_of(WorkClass.BATCH) - batch_limit
        excess_total = self.held + wanted - self.limit
        for grant in self._batch.excess_grants(max(excess_batch, excess_total)):
            self._revoke(grant, "online")

    def _grant_batch(self, now_ms: int) -> None:
        queue = self._waiting[WorkClass.BATCH]
        start_limit = self._batch.start_limit(self.limit, self._online.peak(now_ms))
        while len(queue) and self._batch.may_start(now_ms):
            member = self._batch.next_member(start_limit)
            request = queue.peek(member).request
            if self._grants.slots_of(WorkClass.BATCH) + request.slot_count > start_limit:
                break
            if self.held + request.slot_count > self.limit:
                break
            self._batch.record_start(now_ms, self._prefill.duration_ms(_prefill_tokens(request)))
            self._grant(queue.pop(member, self._shares), now_ms)
        if len(queue) and self._batch.may_start(now_ms):
            for grant in self._batch.borrowed_grants(start_limit):
                self._revoke(grant, "share")

    def _grant(self, waiter: Waiter, now_ms: int) -> None:
        request = waiter.request
        held = HeldGrant(
            grant_id=secrets.token_hex(8),
            backend_server=self.server.id,
            member=request.member,
            work_class=request.work_class,
            slot_count=request.slot_count,
            cost_tokens=request.cost_tokens,
            fingerprint=request.fingerprint,
        )
        expires_at_ms = now_ms + GRANT_LEASE_MS
        prefilled_at_ms = now_ms + self._prefill.duration_ms(_prefill_tokens(request))
        self._grants.add(
            Grant(
                held=held,
                holder=waiter.holder,
                request_id=request.request_id,
                granted_at_ms=now_ms,
                expires_at_ms=expires_at_ms,
                start_by_ms=request.start_by_ms,
                prefilled_at_ms=prefilled_at_ms,
            )
        )
        labels = {"work_class": request.work_class.value}
        metrics.SLOT_WAIT_S.observe(labels, (now_ms - waiter.queued_at_ms) / MS_PER_S)
        message = SlotGrant(
            request.request_id,
            held.grant_id,
            self.server.id,
            request.slot_count,
            expires_at_ms,
            *self._load_for(request.work_class),
            self.limit,
        )
        waiter.holder.notify(message)
        attributes = {"briarvale.backend_server": self.server.id, "briarvale.code": "granted"}
        record_span("dispatcher", request.traceparent, waiter.queued_at_ms, now_ms, attributes)
        log.debug("Granted a slot on {} to {}.", self.server.id, waiter.holder.name)

    def _load_for(self, work_class: WorkClass) -> tuple[int, int]:
        """Returns held slots and queued requests as a class counts them; online ignores batch."""
        if work_class is WorkClass.BATCH:
            return self.held, self.queued
        return self._grants.slots_of(WorkClass.ONLINE), len(self._waiting[WorkClass.ONLINE])

    def _revoke(self, grant: Grant, reason: str) -> None:
        self._grants.mark_revoking(grant.held.grant_id)
        grant.holder.notify(SlotRevoke(grant.held.grant_id, grant.held.slot_count, reason))
        metrics.SLOTS_REVOKED.inc({"backend_server": self.server.id, "reason": reason})

    def _refuse(
        self, request: SlotRequest, holder: Holder, retry_at_ms: float, code: str = Overloaded.code
    ) -> None:
        metrics.SLOT_REFUSALS.inc({"code": code, "work_class": request.work_class.value})
        retry_at_ms = math.ceil(retry_at_ms)
        holder.notify(
            SlotRefusal(
                request.request_id,
                code,
                retry_at_ms,
                *self._load_for(request.work_class),
                self.limit,
            )
        )

    def _predicted_wait_ms(self, request: SlotRequest) -> float:
        """Returns the expected wait of the member's last queued online request; 0 for batch."""
        if request.work_class is WorkClass.BATCH:
            return 0.0
        queued = self._waiting[WorkClass.ONLINE].queued(request.member)
        slots = self._online.usable_slots(request.member, self.limit)
        return self._estimate.wait_ms(queued, slots)

    def _update_metrics(self) -> None:
        server = {"backend_server": self.server.id}
        metrics.SLOT_LIMIT.set(server, self.limit)
        for work_class, queue in self._waiting.items():
            labels = server | {"work_class": work_class.value}
            metrics.SLOTS_HELD.set(labels, self._grants.slots_of(work_class))
            metrics.SLOTS_QUEUED.set(labels, len(queue))
        for usage in self.usage:
            metrics.SLOTS_BORROWED.set(server | {"member": usage.member}, usage.borrowed_slots)


def _prefill_tokens(request: SlotRequest) -> int:
    """Returns the prompt's tokens; if they are unknown, the cost, which is an upper bound."""
    return request.prompt_tokens or request.cost_tokens


def _retry_delay_ms(request: SlotRequest) -> int:
    """Returns the retry delay of a refused request, with jitter so that retries spread out."""
    return RETRY_DELAY_MS + xxhash.xxh32_intdigest(request.request_id.encode()) % RETRY_JITTER_MS
