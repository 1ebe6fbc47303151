"""Slot queues or pools owned by this process; dispatches holders' messages to them."""

import math
from typing import Generic, Protocol, TypeVar

import anyio

from . import logs
from ._generated.messages import (
    HeldGrant,
    HolderReport,
    SlotHeartbeat,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
)
from .clock import MS_PER_S, Clock
from .errors import NotOwner
from .holder import Holder
from .notifier import Notifier

TICK_INTERVAL_MS = 100
MIN_WAIT_MS = 1
RETRY_DELAY_MS = 500

log = logs.component_logger("dispatcher")

__all__ = ["SlotGranter", "SlotGranters", "SlotMessage"]

SlotMessage = SlotRequest | SlotWithdraw | SlotRelease | HolderReport | SlotHeartbeat


class SlotGranter(Protocol):
    """Grants the slots of one backend server or of a service's pool."""

    @property
    def due_at_ms(self) -> float:
        """When to call `grant_waiting` before the next tick; infinite if it need not be called."""

    def submit(self, request: SlotRequest, holder: Holder) -> None:
        """Queues a request."""

    def withdraw(self, request_id: str, holder: Holder) -> None:
        """Removes a waiting request, or releases its grant."""

    def release(self, release: SlotRelease) -> None:
        """Frees a slot that its holder releases."""

    def adopt(self, held: HeldGrant, holder: Holder) -> None:
        """Registers a grant of an earlier owner."""

    def report(self, holder: Holder, grants: tuple[HeldGrant, ...]) -> None:
        """Applies a holder's full report of its grants."""

    def renew(self, holder: Holder) -> None:
        """Renews all leases of a holder."""

    def drop_holder(self, holder: Holder) -> None:
        """Removes the requests of a holder whose connection ended."""

    def close(self) -> None:
        """Refuses all waiting requests, because another process owns the slots now."""

    def tick(self) -> None:
        """Frees expired leases and refuses requests past their deadline."""

    def grant_waiting(self) -> None:
        """Grants free slots to waiting requests."""


Granter = TypeVar("Granter", bound=SlotGranter)


class SlotGranters(Generic[Granter]):
    """The slot queues or pools that this process owns; dispatches holders' messages to them.

    Args:
        clock: Source of timestamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, Granter] = {}
        self._early_reports: dict[str, tuple[HeldGrant, Holder]] = {}
        self._due_changed = anyio.Event()
        self._queue_added = Notifier()

    async def wait_owned(self) -> None:
        """Waits until this process owns at least one queue."""
        while not self._queues:
            await self._queue_added.wait()

    def _remove_owned(self, names: set[str]) -> None:
        for name in names:
            self._queues.pop(name).close()
            log.info("No longer owns {}.", name)

    def _add_owned(self, name: str, queue: Granter) -> None:
        self._queues[name] = queue
        self._queue_added.notify()
        self._adopt_early(name)
        log.info("Owns {}.", name)

    def queue(self, queue_name: str) -> Granter | None:
        """Returns the queue of that name, or none if this process doesn't own it."""
        return self._queues.get(queue_name)

    def handle(self, holder: Holder, message: SlotMessage) -> None:
        """Handles one message of a holder."""
        match message:
            case SlotRequest():
                self._submit(holder, message)
            case SlotWithdraw(request_id):
                for queue in self._queues.values():
                    queue.withdraw(request_id, holder)
            case SlotRelease(grant_id):
                self._early_reports.pop(grant_id, None)
                for queue in self._queues.values():
                    queue.release(message)
            case HolderReport(grants):
                self._handle_report(holder, grants)
            case SlotHeartbeat():
                for queue in self._queues.values():
                    queue.renew(holder)
                holder.notify(message)

    def drop_holder(self, holder: Holder) -> None:
        """Removes the requests of a holder whose connection ended."""
        early = self._early_reports
        self._early_reports = {key: row for key, row in early.items() if row[1] is not holder}
        for queue in self._queues.values():
            queue.drop_holder(holder)

    def tick(self) -> None:
        """Ticks all queues, which frees expired leases; call several times a second."""
        for queue in self._queues.values():
            queue.tick()

    async def run(self) -> None:
        """Ticks, and grants slots as soon as a queue is due, until cancelled."""
        tick_at_ms = self._clock.now_ms()
        while True:
            await self.wait_owned()
            if self._clock.now_ms() >= tick_at_ms:
                tick_at_ms = self._clock.now_ms() + TICK_INTERVAL_MS
                self.tick()
            self._grant_due()
            self._due_changed = anyio.Event()
            await self._wait_due(tick_at_ms)

    def _grant_due(self) -> None:
        now_ms = self._clock.now_ms()
        for queue in self._queues.values():
            if queue.due_at_ms <= now_ms:
                queue.grant_waiting()

    async def _wait_due(self, tick_at_ms: int) -> None:
        now_ms = self._clock.now_ms()
        due_at_ms = [queue.due_at_ms for queue in self._queues.values()]
        later_ms = [at_ms for at_ms in due_at_ms if at_ms > now_ms]
        wake_at_ms = min([tick_at_ms, *later_ms])
        with anyio.move_on_after(max(MIN_WAIT_MS, wake_at_ms - now_ms) / MS_PER_S):
            await self._due_changed.wait()

    def _submit(self, holder: Holder, request: SlotRequest) -> None:
        queue = self._queues.get(request.backend_server)
        if queue is not None:
            queue.submit(request, holder)
            if queue.due_at_ms < math.inf:
                self._due_changed.set()
            return
        retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
        holder.notify(SlotRefusal(request.request_id, NotOwner.code, retry_at_ms))

    def _handle_report(self, holder: Holder, grants: tuple[HeldGrant, ...]) -> None:
        for queue in self._queues.values():
            queue.report(holder, grants)
        for held in grants:
            if queue_name_of(held) not in self._queues:
                self._early_reports[held.grant_id] = (held, holder)

    def _adopt_early(self, queue_name: str) -> None:
        """Adopts grants that were reported before this process became the owner."""
        for held, holder in list(self._early_reports.values()):
            if queue_name_of(held) == queue_name:
                del self._early_reports[held.grant_id]
                self._queues[queue_name].adopt(held, holder)


def queue_name_of(held: HeldGrant) -> str:
    """Returns the name of the pool that granted the slot, or else of the backend server."""
    return held.pool or held.backend_server
