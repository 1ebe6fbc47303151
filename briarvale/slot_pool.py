"""Slot pool of one service: its owner grants the slots of all backend servers from one queue.

With one queue for all servers, no request waits for a full server while another has a free slot.
Online requests precede batch items; one that finds no free slot preempts a batch item. The module
does no network I/O: messages to holders go through `Holder.notify`.
"""

import math
from collections.abc import Iterable

from . import logs, metrics
from ._generated.messages import (
    HeldGrant,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    WorkClass,
)
from .clock import MS_PER_S, Clock
from .errors import NoServer, NotOwner, Overloaded, OwnerUnreachable
from .fairness import Shares
from .grants import Grant
from .headroom import PeakDemand
from .holder import Holder
from .item_durations import ItemDurations
from .item_gate import ItemGate
from .live_servers import LiveServer
from .pool_health import PoolHealth
from .pool_log import PoolLog
from .pool_queue import PoolQueue, PoolWaiter
from .pool_revocation import OnlineRevocation, revoke_excess
from .pool_server import PoolServer, ServerRuns
from .pools import Choice, ItemStarts, ServerChooser
from .wait_estimate import WaitEstimate

GRANT_LEASE_MS = 4_000
# Holders report their grants from an earlier owner in this time; nothing is granted before its end.
REPORT_GRACE_MS = 300
# Nodes that start together may each own the pool briefly, and each would fill it with batch items.
BATCH_GRACE_MS = 1_000
# How long after `BATCH_GRACE_MS` a new owner still probes servers for runs without a grant.
PROBE_MS = 1_000
MAX_TICK_GAP_MS = 1_000
# Window of the online peak: a dip of the online load must last longer before batch items fill it.
BATCH_HEADROOM_MS = 150
RETRY_DELAY_MS = 250

log = logs.component_logger("pool")

__all__ = ["SlotPool"]


class SlotPool:
    """Grants the slots of one service.

    Args:
        name: Name of the pool, as holders give it in slot requests.
        clock: Source of timestamps.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self._clock = clock
        self._servers: dict[str, PoolServer] = {}
        self._health = PoolHealth(self._servers)
        self._waiting = {work_class: PoolQueue() for work_class in WorkClass}
        self._estimate = WaitEstimate()
        self._chooser = ServerChooser()
        self._item_durations = ItemDurations()
        self._item_gate = ItemGate(self._item_durations)
        self._online_peak = PeakDemand(BATCH_HEADROOM_MS)
        self._revocation = OnlineRevocation()
        self._sequence = 0
        self._log = PoolLog(name)
        self._ticked_at_ms = clock.now_ms()
        self._grant_from_ms = clock.now_ms() + REPORT_GRACE_MS
        self._batch_from_ms = clock.now_ms() + BATCH_GRACE_MS

    @property
    def held(self) -> int:
        """Slots granted now."""
        return sum(server.grants.slots for server in self._servers.values())

    @property
    def queued(self) -> int:
        """Waiting requests of both classes."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def limit(self) -> int:
        """Slots of all servers that accept new work."""
        return sum(s.live_server.slots for s in self._servers.values() if s.is_ready)

    @property
    def due_at_ms(self) -> float:
        """When to grant slots before the next tick: for revocations, and after the report grace."""
        if self._clock.now_ms() < self._grant_from_ms and self.queued:
            return self._grant_from_ms
        return self._revocation.due_at_ms

    def set_shares(self, shares: Shares) -> None:
        """Sets the weights of the workspaces."""
        for queue in self._waiting.values():
            queue.set_shares(shares)

    def configure(self, servers: Iterable[LiveServer], capacity_tokens: int = 0) -> None:
        """Sets the servers that accept new work; those not listed stay until their grants end."""
        ready = {server.id: server for server in servers}
        for server_id, pool_server in list(self._servers.items()):
            server = ready.get(server_id)
            pool_server.is_listed = server is not None
            if server is not None and server.incarnation != pool_server.live_server.incarnation:
                del self._servers[server_id]
            elif server is not None:
                pool_server.live_server = server
            elif pool_server.grants.slots == 0:
                del self._servers[server_id]
        for server_id, server in ready.items():
            if server_id not in self._servers:
                self._servers[server_id] = PoolServer(server)
            self._servers[server_id].holdings.capacity_tokens = capacity_tokens
        revoke_excess(self._servers.values())
        self.grant_waiting()

    def server(self, server_id: str) -> PoolServer | None:
        """Returns a server of the pool by id."""
        return self._servers.get(server_id)

    def servers_to_probe(self) -> list[LiveServer]:
        """Returns the servers that may be running requests without a grant.

        The runs of a node that loses power continue on the servers, and only the servers themselves
        can report them to a new owner.
        """
        is_new_owner = self._clock.now_ms() < self._batch_from_ms + PROBE_MS
        return [
            server.live_server
            for server in self._servers.values()
            if server.is_ready and (is_new_owner or server.foreign_runs)
        ]

    def record_runs(self, runs: ServerRuns) -> None:
        """Records the runs that a server reports; the excess over its grants are foreign runs."""
        server = self._servers.get(runs.server_id)
        if server is None:
            return
        foreign = max(0, runs.running + runs.waiting - server.grants.slots)
        if bool(foreign) != bool(server.foreign_runs):
            log.info(
                "Runs without a grant on a server began or ended.",
                backend_server=runs.server_id,
                foreign_runs=foreign,
                running=runs.running,
                waiting=runs.waiting,
                granted=server.grants.slots,
            )
        server.foreign_runs = foreign
        self.grant_waiting()

    def submit(self, request: SlotRequest, holder: Holder) -> None:
        """Queues a request; its holder is notified of the grant or the refusal."""
        now_ms = self._clock.now_ms()
        if now_ms < self._grant_from_ms and request.work_class is WorkClass.ONLINE:
            # The holder then chooses a server locally instead of waiting for the reports.
            self._refuse(request, holder, now_ms, OwnerUnreachable.code)
            return
        queue = self._waiting[request.work_class]
        if queue.is_full:
            displaced = queue.pop_displaced(request)
            refused, refused_holder = displaced[:2] if displaced else (request, holder)
            self._refuse(refused, refused_holder, now_ms + RETRY_DELAY_MS)
            if displaced is None:
                return
        if request.work_class is WorkClass.BATCH:
            latest_start_ms = self._item_durations.latest_start_ms(request)
            request = request._replace(start_by_ms=latest_start_ms)
        self._sequence += 1
        waiter = PoolWaiter(request, holder, now_ms, self._sequence)
        queue.push(waiter)
        if request.work_class is WorkClass.ONLINE:
            self._revocation.record_request(request.start_by_ms, now_ms)
        self.grant_waiting()
        if request.work_class is WorkClass.ONLINE:
            self._refuse_unservable(now_ms, waiter)

    def _refuse_unservable(self, now_ms: int, newest: PoolWaiter | None = None) -> None:
        """Refuses online requests that will probably not get slots by their deadlines."""
        batch, limit = self._held_by(WorkClass.BATCH), max(1, self.limit)
        predict_ms = self._estimate.prediction(batch, limit)
        unservable = self._waiting[WorkClass.ONLINE].pop_unservable(predict_ms, now_ms, newest)
        for waiter, wait_ms in unservable:
            self._refuse(waiter.request, waiter.holder, now_ms + wait_ms)

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Removes a waiting request, or releases the grant that it got in the meantime."""
        for queue in self._waiting.values():
            queue.withdraw(request_id, holder)
        for server in self._servers.values():
            grant_id = server.grants.id_of_request(request_id, holder)
            if grant_id is not None:
                self.release(SlotRelease(grant_id, Outcome.CANCELLED))
                return

    def release(self, release: SlotRelease) -> None:
        """Frees a slot that its holder releases, and records how the run went."""
        now_ms = self._clock.now_ms()
        for server in self._servers.values():
            grant = server.grants.remove(release.grant_id)
            if grant is not None:
                server.record_draining(release)
                self._health.record_outcome(server, release.outcome, now_ms)
                self._chooser.record_end(server, grant, release, now_ms)
                duration_ms = now_ms - grant.granted_at_ms
                is_finished = release.outcome is Outcome.FINISHED
                if release.outcome is not Outcome.REVOKED:
                    self._revocation.record_release(now_ms)
                if grant.held.work_class is WorkClass.ONLINE:
                    self._estimate.observe(duration_ms)
                    if is_finished:
                        server.monitor.record_duration(duration_ms, now_ms)
                elif is_finished:
                    self._item_durations.observe(grant.worked_ms + duration_ms)
                self.grant_waiting()
                return

    def adopt(self, held: HeldGrant, holder: Holder) -> None:
        """Registers a grant from an earlier owner or from the holder's earlier connection."""
        server = self._servers.get(held.backend_server)
        if server is None:
            return
        now_ms = self._clock.now_ms()
        server.grants.add(Grant(held, holder, held.grant_id, now_ms, now_ms + GRANT_LEASE_MS))

    def report(self, holder: Holder, grants: tuple[HeldGrant, ...]) -> None:
        """Adopts the grants in a holder's full report and frees its orphans that are missing."""
        own_grants = [held for held in grants if held.pool == self.name]
        reported = {held.grant_id for held in own_grants}
        for server in self._servers.values():
            server.grants.remove_unreported(holder, reported)
        for held in own_grants:
            self.adopt(held, holder)
        revoke_excess(self._servers.values())
        self.grant_waiting()

    def renew(self, holder: Holder) -> None:
        """Renews all leases of a holder."""
        expires_at_ms = self._clock.now_ms() + GRANT_LEASE_MS
        for server in self._servers.values():
            server.grants.renew(holder, expires_at_ms)

    def drop_holder(self, holder: Holder) -> None:
        """Removes a disconnected holder's requests; its grants remain until their leases expire."""
        for queue in self._waiting.values():
            queue.drop_holder(holder)
        for server in self._servers.values():
            server.grants.orphan(holder)
        self.grant_waiting()

    def close(self, code: str = NotOwner.code) -> None:
        """Refuses all waiting requests, by default because another node owns the pool."""
        for queue in self._waiting.values():
            self._refuse_all(queue, self._clock.now_ms(), code)

    def tick(self) -> None:
        """Frees expired leases, refuses requests past their deadline and grants free slots."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._ticked_at_ms
        self._ticked_at_ms = now_ms
        for server in self._servers.values():
            if gap_ms > MAX_TICK_GAP_MS:
                # This process was paused: its connections may hold renewals that it has not read.
                server.grants.extend_all(gap_ms)
            expired = server.grants.remove_expired(now_ms)
            if expired:
                metrics.LEASES_EXPIRED.add({"backend_server": server.live_server.id}, expired)
                log.info("Freed {} expired slots on {}.", expired, server.live_server.id)
        for queue in self._waiting.values():
            for waiter in queue.pop_expired(now_ms):
                self._refuse(waiter.request, waiter.holder, now_ms + RETRY_DELAY_MS)
        self._refuse_unservable(now_ms)
        self._chooser.tick(self._servers, now_ms)
        self._health.compare_durations(now_ms)
        self.grant_waiting()
        self._log_state(now_ms)

    def _log_state(self, now_ms: int) -> None:
        self._log.write(
            now_ms,
            held=self.held,
            limit=self.limit,
            queued=self.queued,
            online=self._held_by(WorkClass.ONLINE),
            batch=self._held_by(WorkClass.BATCH),
            online_queued=len(self._waiting[WorkClass.ONLINE]),
            batch_queued=len(self._waiting[WorkClass.BATCH]),
            foreign_runs=sum(server.foreign_runs for server in self._servers.values()),
            revoked=self._revocation.revoked,
        )

    def grant_waiting(self) -> None:
        """Grants slots to waiting requests and revokes batch slots that online requests need."""
        now_ms = self._clock.now_ms()
        if now_ms < self._grant_from_ms:
            return
        if not any(server.is_ready for server in self._servers.values()):
            # Batch items keep waiting.
            retry_at_ms = now_ms + RETRY_DELAY_MS
            self._refuse_all(self._waiting[WorkClass.ONLINE], retry_at_ms, NoServer.code)
            return
        if self._waiting[WorkClass.ONLINE]:
            self._chooser.begin_pass(lambda: self.limit - self.held - self.queued)
            self._grant_queue(WorkClass.ONLINE, now_ms, ItemStarts())
        online = self._held_by(WorkClass.ONLINE)
        self._online_peak.observe(online, now_ms)
        self._item_gate.observe(online + len(self._waiting[WorkClass.ONLINE]), now_ms)
        ready = (server for server in self._servers.values() if server.is_ready)
        # Requests that wait for a better server than the free ones need no batch slots.
        needs_slots = len(self._waiting[WorkClass.ONLINE]) > self._chooser.deferred
        waiting = self._waiting[WorkClass.ONLINE] if needs_slots else PoolQueue()
        self._revocation.revoke(waiting, ready, now_ms)
        if not needs_slots and now_ms >= self._batch_from_ms:
            self._grant_batch(now_ms)

    def _grant_batch(self, now_ms: int) -> None:
        """Grants free slots to batch items; reserves those that online held at its recent peak.

        A reserved slot is needed again after a short dip, before an item in it has done any work.
        """
        reserved = self._online_peak.peak(now_ms) - self._held_by(WorkClass.ONLINE)
        foreign = sum(server.foreign_runs for server in self._servers.values())
        unreserved = self.limit - self.held - foreign - reserved
        queue, batch = self._waiting[WorkClass.BATCH], self._held_by(WorkClass.BATCH)
        if queue and unreserved > 0 and now_ms >= self._item_gate.next_at_ms:
            starts = self._item_gate.plan(queue, unreserved, self.limit, batch, now_ms)
            self._grant_queue(WorkClass.BATCH, now_ms, starts)

    def _held_by(self, work_class: WorkClass) -> int:
        return sum(server.grants.slots_of(work_class) for server in self._servers.values())

    def _grant_queue(self, work_class: WorkClass, now_ms: int, starts: ItemStarts) -> None:
        """Grants slots in the order of the queue, to the requests that may start."""
        queue = self._waiting[work_class]
        servers = self._servers.values() if queue else ()
        at_most = min(starts.at_most, sum(max(0, s.free_slots_for(work_class)) for s in servers))
        if at_most <= 0:
            return
        order = queue.online_order if work_class is WorkClass.ONLINE else queue.batch_order
        granted = 0
        for waiter in order(now_ms):
            if not starts.may_start(self._item_durations.remaining_ms(waiter.request), granted):
                continue
            choice = self._chooser.choose(self._servers.values(), waiter.request, now_ms)
            if choice is not None:
                queue.serve(waiter)
                self._grant(waiter, choice, now_ms)
                granted += 1
            may_serve_others = waiter.request.excluded or self._chooser.deferred
            if granted >= at_most or (choice is None and not may_serve_others):
                break

    def _grant(self, waiter: PoolWaiter, choice: Choice, now_ms: int) -> None:
        request, server = waiter.request, choice.server
        expires_at_ms = now_ms + GRANT_LEASE_MS
        grant = Grant.from_request(
            request,
            waiter.holder,
            pool=self.name,
            backend_server=server.live_server.id,
            granted_at_ms=now_ms,
            expires_at_ms=expires_at_ms,
            start=self._chooser.start(choice, request, now_ms),
        )
        server.grants.add(grant)
        labels = {"work_class": request.work_class.value}
        metrics.SLOT_WAIT_S.observe(labels, (now_ms - waiter.queued_at_ms) / MS_PER_S)
        counts = (self.held, self.queued, self.limit)
        server_id, grant_id = server.live_server.id, grant.held.grant_id
        waiter.holder.notify(
            SlotGrant(request.request_id, grant_id, server_id, 1, expires_at_ms, *counts)
        )

    def _refuse_all(self, queue: PoolQueue, retry_at_ms: float, code: str) -> None:
        for waiter in queue.clear():
            self._refuse(waiter.request, waiter.holder, retry_at_ms, code)

    def _refuse(
        self, request: SlotRequest, holder: Holder, retry_at_ms: float, code: str = Overloaded.code
    ) -> None:
        counts = (self.held, self.queued, self.limit)
        refusal = SlotRefusal(request.request_id, code, math.ceil(retry_at_ms), *counts)
        self._log.write_refusal(request, refusal)
        holder.notify(refusal)
