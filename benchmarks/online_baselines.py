"""What the policy is compared with: other slot queues, and gateways without slots."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from briarvale._generated.messages import HeldGrant, SlotRequest, WorkClass
from briarvale.routing import Choice, RouteRequest
from briarvale.slot_client import HeldSlot
from briarvale.slots import SlotQueue
from briarvale.standins.memory_fleet import MemoryFleet

LOAD_POLL_S = 0.5
LOAD_CHECK_S = 0.1

__all__ = ["FifoQueue", "LaggingSlots", "RevokeWhenFullQueue", "SplitQueue"]


class FifoQueue(SlotQueue):
    """One queue in order of arrival, without classes, members or revocation."""

    def pump(self) -> None:
        """Grants what came first."""
        now_ms = self._clock.now_ms()
        while self.held < self.limit and self.queued:
            waiters = [waiter for queue in self._waiting.values() for waiter in queue]
            first = min(waiters, key=lambda waiter: waiter.sequence)
            self._waiting[first.request.work_class].remove(first)
            self._grant(first, now_ms)

    def _predicted_wait_ms(self, request: SlotRequest) -> float:
        return 0.0

    def _revoke_prefill(self, now_ms: int) -> None:
        return


class SplitQueue(FifoQueue):
    """Half of the slots for each class, in order of arrival."""

    def pump(self) -> None:
        """Grants each class its half."""
        now_ms = self._clock.now_ms()
        for work_class, queue in self._waiting.items():
            while len(queue) and self._grants.slots_of(work_class) < self.limit // 2:
                first = min(queue, key=lambda waiter: waiter.sequence)
                queue.remove(first)
                self._grant(first, now_ms)


class RevokeWhenFullQueue(SlotQueue):
    """Online first; batch fills the rest and is revoked only when the slots are full."""

    def _batch_limit(self, online_slots: int) -> int:
        return self.limit

    def _grant_batch(self, now_ms: int) -> None:
        queue = self._waiting[WorkClass.BATCH]
        while len(queue) and self.held < self.limit:
            self._grant(queue.pop(queue.members[0], self._shares), now_ms)

    def _revoke_prefill(self, now_ms: int) -> None:
        return

    def _return_batch_shares(self, now_ms: int) -> None:
        return


class LaggingSlots:
    """Independent gateways: no slots, and loads as the engines last reported them.

    It stands in both for the slot client and for the router.

    Args:
        fleet: Whose engines it polls.
    """

    def __init__(self, fleet: MemoryFleet) -> None:
        self._fleet = fleet
        self._streams: dict[str, int] = {}

    async def run(self) -> None:
        """Polls the engines until cancelled."""
        while True:
            for name, engine in self._fleet.backends.engines.items():
                self._streams[name] = (await engine.load()).streams
            await anyio.sleep(LOAD_POLL_S)

    def pick(self, request: RouteRequest, excluded: object = ()) -> Choice:
        """Returns the engine that last reported the fewest streams."""
        view = next(iter(self._fleet.vms.values())).gateway.view
        servers = view.ready_servers(request.service)
        server = min(servers, key=lambda each: self._streams.get(each.id, 0))
        return Choice(server, (), "least load as last reported")

    def takes_work(self, backend_server: str) -> bool:
        """Whether a server may get work; each one may."""
        return True

    @asynccontextmanager
    async def hold(self, request: SlotRequest) -> AsyncIterator[HeldSlot]:
        """Lets online through; batch waits until the reported streams are under the slots."""
        slots = self._fleet.settings.slots
        while (
            request.work_class is WorkClass.BATCH
            and self._streams.get(request.backend_server, 0) >= slots
        ):
            await anyio.sleep(LOAD_CHECK_S)
        yield HeldSlot(HeldGrant(request.request_id, request.backend_server))
