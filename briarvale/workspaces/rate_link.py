"""A node's connections to the owners of rate limits: one message in each direction per request."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from .._generated.messages import RateAnswer, RateRequest
from ..containment import run_contained
from ..errors import OwnerUnreachable, PeerClosed, PeerProtocolError
from ..peer import MessageStream, PeerAddress, PeerIdentity, PeerTransport
from ..peer_connection import PeerConnection

MAX_IDLE_S = 60.0
# A connection without any answer for this long is replaced: after a partition, TCP would wait
# for seconds before it sent again.
MAX_SILENCE_S = 1.0

__all__ = ["RateLinks"]


class _Pending:
    """A request that waits for its answer."""

    def __init__(self) -> None:
        self.ended = anyio.Event()
        self.answer: RateAnswer | None = None


class _Link:
    """One connection; it is opened in the background, and requests wait for it meanwhile."""

    def __init__(self, address: PeerAddress, on_late: Callable[[], None]) -> None:
        self._address = address
        self._on_late = on_late
        self._pending: dict[int, _Pending] = {}
        self._opened = anyio.Event()
        self._connection: PeerConnection | None = None
        self._scope = anyio.CancelScope()
        self._unanswered_since_s: float | None = None
        self.is_closed = False

    @property
    def is_silent(self) -> bool:
        """Whether requests have been unanswered for `MAX_SILENCE_S`."""
        since_s = self._unanswered_since_s
        return since_s is not None and anyio.current_time() - since_s > MAX_SILENCE_S

    async def ask(self, request: RateRequest) -> RateAnswer | None:
        """Sends a request; returns its answer, or None if the connection is lost."""
        pending = self._pending[request.request_id] = _Pending()
        try:
            await self._opened.wait()
            if self._connection is None or self.is_closed:
                return None
            if self._unanswered_since_s is None:
                self._unanswered_since_s = anyio.current_time()
            self._connection.notify(request)
            await pending.ended.wait()
            return pending.answer
        finally:
            self._pending.pop(request.request_id, None)

    async def run(self, transport: PeerTransport) -> None:
        """Connects, and reads answers until the connection ends or is idle."""
        with self._scope:
            await self._run(transport)

    async def _run(self, transport: PeerTransport) -> None:
        stream: MessageStream | None = None
        try:
            stream = await transport.connect(self._address)
            identity = PeerIdentity(self._address.host, "owner", "")
            self._connection = PeerConnection(stream, identity)
            self._opened.set()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._connection.write_outbox)
                await self._read_answers(stream)
                tasks.cancel_scope.cancel()
        except* (OwnerUnreachable, PeerClosed, PeerProtocolError):
            pass
        finally:
            self.close()
            if stream is not None:
                await stream.aclose()

    async def _read_answers(self, stream: MessageStream) -> None:
        while True:
            with anyio.move_on_after(MAX_IDLE_S) as idle:
                message = await stream.receive()
            if idle.cancelled_caught:
                return
            self._unanswered_since_s = None
            if not isinstance(message, RateAnswer):
                continue
            pending = self._pending.get(message.request_id)
            if pending is None:
                self._on_late()
                continue
            pending.answer = message
            pending.ended.set()

    def close(self) -> None:
        """Ends the connection; requests that wait get no answer."""
        self.is_closed = True
        self._scope.cancel()
        self._opened.set()
        for pending in self._pending.values():
            pending.ended.set()


class RateLinks:
    """The connections to all nodes that were asked lately.

    Args:
        transport: Opens connections.
        tasks: Runs the connections.
    """

    def __init__(self, transport: PeerTransport, tasks: TaskGroup) -> None:
        self._transport = transport
        self._tasks = tasks
        self._links: dict[PeerAddress, _Link] = {}

    async def ask(
        self, address: PeerAddress, request: RateRequest, on_late: Callable[[], None]
    ) -> RateAnswer | None:
        """Asks a node; returns None if the connection can't be opened or is lost.

        Args:
            on_late: Called when the node answers a request that is not waited for any more.
        """
        link = self._links.get(address)
        if link is not None and link.is_silent:
            link.close()
        if link is None or link.is_closed:
            link = self._links[address] = _Link(address, on_late)
            self._tasks.start_soon(self._run, address, link)
        return await link.ask(request)

    async def _run(self, address: PeerAddress, link: _Link) -> None:
        await run_contained("rate limits", link.run, self._transport)
        if self._links.get(address) is link:
            del self._links[address]
