"""The server side of a peer connection, with an outbox that never blocks the sender."""

from collections.abc import Callable

import anyio

from . import logs
from ._generated.messages import Message
from .containment import record_failure
from .errors import BriarvaleError, MessageInvalid
from .peer import MessageStream, PeerIdentity

OUTBOX_MESSAGES = 10_000

log = logs.component_logger("dispatcher")

__all__ = ["PeerConnection"]


class PeerConnection:
    """A connected process: one task reads its messages and one sends its outbox.

    Args:
        stream: The connection.
        identity: Identity of the process.

    Attributes:
        subscribed_role: Role announced with a subscription to the fleet view; empty without one.
    """

    def __init__(self, stream: MessageStream, identity: PeerIdentity) -> None:
        self.stream = stream
        self.identity = identity
        self.subscribed_role = ""
        self._outbox, self._queue = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)

    @property
    def name(self) -> str:
        """Program and VM, for log texts."""
        return f"{self.identity.role} {self.identity.vm}"

    def notify(self, message: Message) -> None:
        """Queues a message without blocking; disconnects a peer whose outbox is full."""
        try:
            self._outbox.send_nowait(message)
        except anyio.WouldBlock:
            log.warning("Disconnecting {}: it reads too slowly.", self.name)
            self._outbox.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    def close(self) -> None:
        """Closes the outbox; `write_outbox` ends after the queued messages are sent."""
        self._outbox.close()

    async def serve(self, handle: Callable[["PeerConnection", Message], None]) -> None:
        """Sends the outbox and passes received messages to `handle` until the connection ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.write_outbox)
                while True:
                    handle(self, await self.stream.receive())
        except* BriarvaleError as errors:
            log.info(
                "Lost the connection to {}: {}.", self.name, errors.exceptions[0], peer=self.name
            )
        finally:
            self.close()

    async def write_outbox(self) -> None:
        """Sends queued messages, then closes the connection; skips one that can't be encoded."""
        async with self._queue:
            async for message in self._queue:
                try:
                    await self.stream.send(message)
                except MessageInvalid as error:
                    record_failure("messages to peers", error)
        await self.stream.aclose()
