"""Baselines to compare the product with: other slot queues, and gateways without slots."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from briarvale._generated.messages import HeldGrant, SlotRequest, WorkClass
from briarvale.batch_admission import BatchAdmission
from briarvale.clock import Clock
from briarvale.config import BackendServer, Rules
from briarvale.fleet_view import FleetView
from briarvale.grants import Grant
from briarvale.routing import Choice, Router, RouteRequest
from briarvale.slot_client import HeldSlot
from briarvale.slot_queue import SlotQueue
from briarvale.standins.memory_fleet import MemoryFleet

LOAD_POLL_INTERVAL_S = 0.5
LOAD_CHECK_INTERVAL_S = 0.1

__all__ = ["FifoQueue", "LaggingRouter", "LaggingSlots", "RevokeWhenFullQueue", "SplitQueue"]


class FifoQueue(SlotQueue):
    """One queue in order of arrival, without classes, members or revocation."""

    def __init__(self, server: BackendServer, clock: Clock, rules: Rules) -> None:
        super().__init__(server, clock, rules)
        self._batch = UnlimitedBatch(self._waiting[WorkClass.BATCH], self._grants)

    def grant_waiting(self) -> None:
        """Grants slots in order of arrival."""
        now_ms = self._clock.now_ms()
        while self.held < self.limit and self.queued:
            waiters = [waiter for queue in self._waiting.values() for waiter in queue]
            first = min(waiters, key=lambda waiter: waiter.sequence)
            self._waiting[first.request.work_class].remove(first)
            self._grant(first, now_ms)

    def _predicted_wait_ms(self, request: SlotRequest) -> float:
        return 0.0


class SplitQueue(FifoQueue):
    """Reserves half of the slots for each class, granted in order of arrival."""

    def grant_waiting(self) -> None:
        """Grants each class up to its half of the slots."""
        now_ms = self._clock.now_ms()
        for work_class, queue in self._waiting.items():
            while len(queue) and self._grants.slots_of(work_class) < self.limit // 2:
                first = min(queue, key=lambda waiter: waiter.sequence)
                queue.remove(first)
                self._grant(first, now_ms)


class RevokeWhenFullQueue(SlotQueue):
    """Online goes first; batch fills the other slots and is revoked only when all are in use."""

    def __init__(self, server: BackendServer, clock: Clock, rules: Rules) -> None:
        super().__init__(server, clock, rules)
        self._batch = UnlimitedBatch(self._waiting[WorkClass.BATCH], self._grants)


class UnlimitedBatch(BatchAdmission):
    """Admits batch to all slots that online doesn't hold."""

    def limit(self, slots: int, online_slots: int, online_peak: int) -> int:
        """Returns all slots."""
        return slots

    def may_start(self, now_ms: int) -> bool:
        """Always true: starts aren't paced."""
        return True

    def grants_delaying_online(self, now_ms: int) -> list[Grant]:
        """Returns none: no batch prompt is revoked for delaying online."""
        return []

    def borrowed_grants(self, start_limit: int) -> list[Grant]:
        """Returns none: batch keeps slots that it borrows from another member's share."""
        return []


class LaggingSlots:
    """Stands in for slots where gateways act alone: admits by the last reported engine loads.

    Args:
        fleet: The fleet whose engines are polled.
    """

    def __init__(self, fleet: MemoryFleet) -> None:
        self._fleet = fleet
        self._streams: dict[str, int] = {}

    async def run(self) -> None:
        """Polls the engines' loads until cancelled."""
        while True:
            for name, engine in self._fleet.backends.engines.items():
                self._streams[name] = (await engine.load()).streams
            await anyio.sleep(LOAD_POLL_INTERVAL_S)

    def streams(self, backend_server: str) -> int:
        """Returns the number of streams that an engine last reported."""
        return self._streams.get(backend_server, 0)

    @asynccontextmanager
    async def hold(self, request: SlotRequest) -> AsyncIterator[HeldSlot]:
        """Admits online at once, and batch when the engine reports fewer streams than slots."""
        slots = self._fleet.settings.slots
        while (
            request.work_class is WorkClass.BATCH
            and self._streams.get(request.backend_server, 0) >= slots
        ):
            await anyio.sleep(LOAD_CHECK_INTERVAL_S)
        yield HeldSlot(HeldGrant(request.request_id, request.backend_server))


class LaggingRouter(Router):
    """Sends each request to the engine that last reported the fewest streams.

    Args:
        view: The last view of the fleet that was received.
        reported_load: The loads that the engines reported.
    """

    def __init__(self, view: FleetView, reported_load: LaggingSlots) -> None:
        super().__init__(view, seed=0)
        self._reported_load = reported_load

    def choose_with_reason(self, request: RouteRequest, excluded: object = ()) -> Choice:
        """Returns the engine with the fewest streams."""
        servers = self._view.ready_servers(request.service)
        server = min(servers, key=lambda each: self._reported_load.streams(each.id))
        return Choice(server, (), "least load as last reported")
