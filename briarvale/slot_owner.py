"""The slots of all backend servers that this dispatcher owns."""

from . import logs
from ._generated.messages import (
    HolderReport,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
)
from .clock import Clock
from .config import Config
from .errors import NoServer
from .slots import Holder, SlotQueue

RETRY_DELAY_MS = 500

log = logs.part("dispatcher")

__all__ = ["SlotMessage", "SlotOwner"]

SlotMessage = SlotRequest | SlotWithdraw | SlotRelease | HolderReport


class SlotOwner:
    """Keeps one `SlotQueue` for each owned backend server.

    Args:
        clock: Source of instants.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, SlotQueue] = {}

    def settle(self, config: Config, owned: set[str]) -> None:
        """Takes up and gives up backend servers, so that just `owned` remain."""
        for name in owned - self._queues.keys():
            self._queues[name] = SlotQueue(config.servers[name], self._clock)
            log.info("Owns {}.", name)
        for name in self._queues.keys() - owned:
            del self._queues[name]
            log.info("No longer owns {}.", name)

    def queue(self, backend_server: str) -> SlotQueue | None:
        """Returns the queue of an owned backend server."""
        return self._queues.get(backend_server)

    def handle(self, holder: Holder, message: SlotMessage) -> None:
        """Serves one message of a holder."""
        match message:
            case SlotRequest():
                self._submit(holder, message)
            case SlotWithdraw(request_id):
                for queue in self._queues.values():
                    queue.withdraw(request_id, holder)
            case SlotRelease():
                for queue in self._queues.values():
                    queue.release(message)
            case HolderReport(grants):
                for grant in grants:
                    if grant.backend_server in self._queues:
                        self._queues[grant.backend_server].adopt(grant, holder)

    def drop_holder(self, holder: Holder) -> None:
        """Forgets a holder whose connection ended."""
        for queue in self._queues.values():
            queue.drop_holder(holder)

    def tick(self) -> None:
        """Lets deadlines and expiries take effect; call several times a second."""
        for queue in self._queues.values():
            queue.tick()

    def _submit(self, holder: Holder, request: SlotRequest) -> None:
        queue = self._queues.get(request.backend_server)
        if queue is not None:
            queue.submit(request, holder)
            return
        retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
        holder.notify(SlotRefusal(request.request_id, NoServer.code, retry_at_ms))
