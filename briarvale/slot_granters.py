"""The granters (slot queues or slot pools) that this process owns, and their holders' messages.

The dispatcher has a `SlotQueue` for each backend server. The node has a `SlotPool` for each
service, which grants the slots of all its servers. The field `backend_server` of a slot request
names either.
"""

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

__all__ = ["OwnedGranters", "SlotGranter", "SlotMessage"]

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


class OwnedGranters(Generic[Granter]):
    """The granters that this process owns, by name; hands holders' messages to them.

    The name is the id of a backend server or the name of a service's pool.

    Args:
        clock: Source of timestamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._granters: dict[str, Granter] = {}
        self._early_reports: dict[str, tuple[HeldGrant, Holder]] = {}
        self._due_changed = anyio.Event()
        self._wake_at_ms = 0.0
        self._granter_added = Notifier()

    async def wait_owned(self) -> None:
        """Waits until this process owns at least one granter."""
        while not self._granters:
            await self._granter_added.wait()

    def _remove_owned(self, names: set[str]) -> None:
        for name in names:
            self._granters.pop(name).close()
            log.info("No longer owns {}.", name)

    def _add_owned(self, name: str, granter: Granter) -> None:
        self._granters[name] = granter
        self._granter_added.notify()
        self._adopt_early(name)
        log.info("Owns {}.", name)

    def granter(self, name: str) -> Granter | None:
        """Returns the granter of that name, or none if this process doesn't own it."""
        return self._granters.get(name)

    def handle(self, holder: Holder, message: SlotMessage) -> None:
        """Handles one message of a holder."""
        match message:
            case SlotRequest():
                self._submit(holder, message)
            case SlotWithdraw(request_id):
                for granter in self._granters.values():
                    granter.withdraw(request_id, holder)
            case SlotRelease(grant_id):
                self._early_reports.pop(grant_id, None)
                for granter in self._granters.values():
                    granter.release(message)
            case HolderReport(grants):
                self._handle_report(holder, grants)
            case SlotHeartbeat():
                for granter in self._granters.values():
                    granter.renew(holder)
                holder.notify(message)

    def drop_holder(self, holder: Holder) -> None:
        """Removes the requests of a holder whose connection ended."""
        early = self._early_reports
        self._early_reports = {
            grant_id: report for grant_id, report in early.items() if report[1] is not holder
        }
        for granter in self._granters.values():
            granter.drop_holder(holder)

    def tick(self) -> None:
        """Ticks all granters, which frees expired leases; call several times a second."""
        for granter in self._granters.values():
            granter.tick()

    async def run(self) -> None:
        """Ticks, and grants slots as soon as a granter is due, until cancelled."""
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
        for granter in self._granters.values():
            if granter.due_at_ms <= now_ms:
                granter.grant_waiting()

    async def _wait_due(self, tick_at_ms: int) -> None:
        now_ms = self._clock.now_ms()
        due_times_ms = [granter.due_at_ms for granter in self._granters.values()]
        future_times_ms = [at_ms for at_ms in due_times_ms if at_ms > now_ms]
        self._wake_at_ms = min([tick_at_ms, *future_times_ms])
        with anyio.move_on_after(max(MIN_WAIT_MS, self._wake_at_ms - now_ms) / MS_PER_S):
            await self._due_changed.wait()

    def _submit(self, holder: Holder, request: SlotRequest) -> None:
        granter = self._granters.get(request.backend_server)
        if granter is not None:
            granter.submit(request, holder)
            if granter.due_at_ms < self._wake_at_ms:
                self._due_changed.set()
            return
        retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
        holder.notify(SlotRefusal(request.request_id, NotOwner.code, retry_at_ms))

    def _handle_report(self, holder: Holder, grants: tuple[HeldGrant, ...]) -> None:
        """Passes a report to all granters; keeps the grants whose granter isn't owned yet."""
        for granter in self._granters.values():
            granter.report(holder, grants)
        for held in grants:
            if granter_name_of(held) not in self._granters:
                self._early_reports[held.grant_id] = (held, holder)

    def _adopt_early(self, name: str) -> None:
        """Adopts grants that were reported before this process became the owner."""
        for held, holder in list(self._early_reports.values()):
            if granter_name_of(held) == name:
                del self._early_reports[held.grant_id]
                self._granters[name].adopt(held, holder)


def granter_name_of(held: HeldGrant) -> str:
    """Returns the name of the pool that granted the slot, or else of the backend server."""
    return held.pool or held.backend_server
