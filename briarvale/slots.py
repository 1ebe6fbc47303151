"""The slot queue of one backend server at its owner: who may run a request there now."""

import secrets
from collections import deque
from typing import NamedTuple, Protocol

from . import logs, metrics
from ._generated.messages import (
    HeldGrant,
    Message,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    WorkClass,
)
from .clock import Clock
from .config import BackendServer
from .errors import Overloaded

GRANT_TERM_MS = 10_000
MAX_QUEUED = 1_000
RETRY_DELAY_MS = 1_000

log = logs.part("dispatcher")

__all__ = ["Holder", "SlotQueue"]


class Holder(Protocol):
    """A connected process that asks for slots."""

    @property
    def name(self) -> str:
        """VM and program, for logs."""

    def notify(self, message: Message) -> None:
        """Queues a message to it; never blocks."""


class _Waiter(NamedTuple):
    request: SlotRequest
    holder: Holder
    since_ms: int


class _Grant(NamedTuple):
    held: HeldGrant
    holder: Holder
    expires_at_ms: int


class SlotQueue:
    """Grants the slots of one backend server, online before batch.

    Args:
        server: The backend server that this owner decides for.
        clock: Source of instants.
    """

    def __init__(self, server: BackendServer, clock: Clock) -> None:
        self.server = server
        self._clock = clock
        self._limit = server.slots
        self._waiting: dict[WorkClass, deque[_Waiter]] = {
            WorkClass.ONLINE: deque(),
            WorkClass.BATCH: deque(),
        }
        self._grants: dict[str, _Grant] = {}

    @property
    def held(self) -> int:
        """Slots granted now."""
        return len(self._grants)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def limit(self) -> int:
        """Slots that may be granted."""
        return self._limit

    def submit(self, request: SlotRequest, holder: Holder) -> None:
        """Queues a request; the holder is told of the grant or the refusal."""
        if self.queued >= MAX_QUEUED:
            self._refuse(request, holder, Overloaded.code)
            return
        self._waiting[request.work_class].append(_Waiter(request, holder, self._clock.now_ms()))
        self.pump()

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Forgets a waiting request, or releases the grant that crossed with the withdrawal."""
        for queue in self._waiting.values():
            for waiter in list(queue):
                if waiter.request.request_id == request_id and waiter.holder is holder:
                    queue.remove(waiter)

    def release(self, release: SlotRelease) -> None:
        """Takes a slot back from its holder."""
        if self._grants.pop(release.grant_id, None) is not None:
            self.pump()

    def adopt(self, grant: HeldGrant, holder: Holder) -> None:
        """Takes over a grant that an earlier owner, or an earlier connection, gave."""
        expires_at_ms = self._clock.now_ms() + GRANT_TERM_MS
        self._grants[grant.grant_id] = _Grant(grant, holder, expires_at_ms)

    def drop_holder(self, holder: Holder) -> None:
        """Forgets what a vanished holder waited for and frees what it held."""
        for queue in self._waiting.values():
            for waiter in [waiter for waiter in queue if waiter.holder is holder]:
                queue.remove(waiter)
        for grant_id in [key for key, grant in self._grants.items() if grant.holder is holder]:
            del self._grants[grant_id]
        self.pump()

    def tick(self) -> None:
        """Refuses waiting requests whose deadline has passed."""
        now_ms = self._clock.now_ms()
        for queue in self._waiting.values():
            for waiter in [w for w in queue if w.request.deadline_ms <= now_ms]:
                queue.remove(waiter)
                self._refuse(waiter.request, waiter.holder, Overloaded.code)
        self.pump()

    def pump(self) -> None:
        """Grants free slots and revokes batch slots that online requests wait for."""
        for queue in self._waiting.values():
            while queue and self.held < self._limit:
                self._grant(queue.popleft())
        self._revoke_for_online()

    def _grant(self, waiter: _Waiter) -> None:
        request = waiter.request
        grant = HeldGrant(
            grant_id=secrets.token_hex(8),
            backend_server=self.server.id,
            member=request.member,
            work_class=request.work_class,
            slot_count=request.slot_count,
            cost_tokens=request.cost_tokens,
            fingerprint=request.fingerprint,
        )
        expires_at_ms = self._clock.now_ms() + GRANT_TERM_MS
        self._grants[grant.grant_id] = _Grant(grant, waiter.holder, expires_at_ms)
        labels = {"work_class": request.work_class.value}
        metrics.SLOT_WAIT_S.observe(labels, (self._clock.now_ms() - waiter.since_ms) / 1_000)
        message = SlotGrant(
            request.request_id, grant.grant_id, self.server.id, request.slot_count, expires_at_ms
        )
        waiter.holder.notify(message)
        log.debug("Granted a slot on {} to {}.", self.server.id, waiter.holder.name)

    def _revoke_for_online(self) -> None:
        wanted = len(self._waiting[WorkClass.ONLINE])
        batch = [g for g in self._grants.values() if g.held.work_class is WorkClass.BATCH]
        for grant in batch[:wanted]:
            grant.holder.notify(SlotRevoke(grant.held.grant_id, grant.held.slot_count, "online"))
            metrics.SLOTS_REVOKED.inc({"backend_server": self.server.id})

    def _refuse(self, request: SlotRequest, holder: Holder, code: str) -> None:
        retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
        holder.notify(SlotRefusal(request.request_id, code, retry_at_ms))
