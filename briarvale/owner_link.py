"""A holder's connection to an owner: messages, heartbeats and detection of a silent peer."""

from collections import deque
from collections.abc import Callable

import anyio

from . import logs, metrics
from ._generated.messages import (
    HeldGrant,
    HolderReport,
    Message,
    SlotGrant,
    SlotHeartbeat,
    SlotRequest,
)
from .clock import Clock
from .errors import BriarvaleError, OwnerUnreachable, PeerClosed, PeerProtocolError
from .peer import MessageStream, PeerAddress, PeerIdentity
from .peer_connection import PeerConnection

HEARTBEAT_INTERVAL_MS = 1_000
MAX_SILENCE_MS = 2_500
MAX_IDLE_MS = 60_000
MAX_EARLY_REVOCATIONS = 256

log = logs.component_logger("slots")

__all__ = ["OwnerLink", "PendingRequest"]


class PendingRequest:
    """A slot request that waits for its owner's answer."""

    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.answered = anyio.Event()
        self.grant: SlotGrant | None = None
        self.error: BriarvaleError | None = None

    def fail(self, error: BriarvaleError) -> None:
        """Ends the wait with an error, unless it has already ended."""
        if not self.answered.is_set():
            self.error = error
            self.answered.set()


class OwnerLink:
    """A connection to an owner; sending never blocks.

    Args:
        address: The owner.
        stream: The connection.
        clock: Source of timestamps.
        probe_interval_ms: Heartbeat interval while a request waits.
        max_silence_ms: How long heartbeats may stay unanswered while a request waits.

    Attributes:
        waiting: Unanswered requests, by request id.
        revoked_early: Ids of grants that were revoked before their requests held them.
    """

    def __init__(
        self,
        address: PeerAddress,
        stream: MessageStream,
        clock: Clock,
        *,
        probe_interval_ms: int = HEARTBEAT_INTERVAL_MS,
        max_silence_ms: int = MAX_SILENCE_MS,
    ) -> None:
        self._probe_interval_ms = probe_interval_ms
        self._max_silence_ms = max_silence_ms
        self.address = address
        self.waiting: dict[str, PendingRequest] = {}
        self.revoked_early: deque[str] = deque(maxlen=MAX_EARLY_REVOCATIONS)
        self.is_closed = False
        self._clock = clock
        self._stream = stream
        self._connection = PeerConnection(stream, PeerIdentity(address.host, "owner", ""))
        self._scope = anyio.CancelScope()
        self._sequence = 0
        self._next_heartbeat_ms = 0
        self._used_at_ms = clock.now_ms()
        self._silent_since_ms: int | None = None

    def notify(self, message: Message) -> None:
        """Queues a message, which is lost if the connection ends before it is sent."""
        self._connection.notify(message)

    def report(self, grants: tuple[HeldGrant, ...]) -> None:
        """Sends the owner the full list of slots held from it."""
        self.notify(HolderReport(grants))

    def keep_alive(self, *, is_holding: bool) -> None:
        """Sends a heartbeat if one is due; closes a connection that is silent or idle.

        Args:
            is_holding: Whether the process holds slots over this connection.
        """
        now_ms = self._clock.now_ms()
        silent_since_ms = now_ms if self._silent_since_ms is None else self._silent_since_ms
        max_silence_ms = self._max_silence_ms if self.waiting else MAX_SILENCE_MS
        if now_ms - silent_since_ms > max_silence_ms:
            log.info("The owner at {} does not answer.", self.address.host)
            self.close()
        elif is_holding or self.waiting:
            self._used_at_ms = now_ms
            self._send_heartbeat_if_due(now_ms)
        elif now_ms - self._used_at_ms > MAX_IDLE_MS:
            self.close()

    def close(self) -> None:
        """Ends the connection; waiting requests fail."""
        self.is_closed = True
        self._scope.cancel()
        for pending in self.waiting.values():
            pending.fail(OwnerUnreachable("the connection to the owner was closed"))

    async def run(self, handle: Callable[["OwnerLink", Message], None]) -> None:
        """Reads and writes until the connection ends."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._connection.write_outbox)
                    while True:
                        message = await self._stream.receive()
                        self._silent_since_ms = None
                        handle(self, message)
        except* (PeerClosed, PeerProtocolError):
            log.info("Lost the connection to the owner at {}.", self.address.host)
        finally:
            metrics.OWNER_LINKS_LOST.inc({})
            self.close()
            await self._stream.aclose()

    def _send_heartbeat_if_due(self, now_ms: int) -> None:
        if now_ms < self._next_heartbeat_ms:
            return
        interval_ms = self._probe_interval_ms if self.waiting else HEARTBEAT_INTERVAL_MS
        self._next_heartbeat_ms = now_ms + interval_ms
        self._sequence += 1
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        self.notify(SlotHeartbeat(self._sequence))
