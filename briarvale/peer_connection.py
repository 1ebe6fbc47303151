"""A connected process as its dispatcher sees it, with an outbox that never blocks."""

from collections.abc import Callable

import anyio

from . import logs
from ._generated.messages import Message
from .errors import BriarvaleError
from .peer import MessageStream, PeerIdentity

OUTBOX_MESSAGES = 10_000

log = logs.part("dispatcher")

__all__ = ["PeerConnection"]


class PeerConnection:
    """One connected process; one task reads it and one writes its outbox.

    Args:
        stream: The connection.
        identity: Who the process is.
    """

    def __init__(self, stream: MessageStream, identity: PeerIdentity) -> None:
        self.stream = stream
        self.identity = identity
        self.subscribed_role = ""
        self._outbox, self._queue = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)

    @property
    def name(self) -> str:
        """Program and VM, for logs."""
        return f"{self.identity.role} {self.identity.vm}"

    def notify(self, message: Message) -> None:
        """Queues a message; a peer that reads too slowly is cut off."""
        try:
            self._outbox.send_nowait(message)
        except anyio.WouldBlock:
            log.warning("Cut off {}, which reads too slowly.", self.name)
            self._outbox.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    def close(self) -> None:
        """Lets `write_outbox` end after what is queued."""
        self._outbox.close()

    async def serve(self, handle: Callable[["PeerConnection", Message], None]) -> None:
        """Writes the outbox and hands over each message until the connection ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.write_outbox)
                while True:
                    handle(self, await self.stream.receive())
        except* BriarvaleError as errors:
            log.info("Lost {}: {}.", self.name, errors.exceptions[0], peer=self.name)
        finally:
            self.close()

    async def write_outbox(self) -> None:
        """Sends queued messages, then closes the connection."""
        async with self._queue:
            async for message in self._queue:
                await self.stream.send(message)
        await self.stream.aclose()
