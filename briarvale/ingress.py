"""Server of HTTP/1.1 connections: limits, keep-alive, disconnects, and a graceful stop.

Each connection has one task, which reads a request, passes it to the handler, sends the answer
and starts over. A node serves its callers this way; the gateway program uses `http_server.py`.
"""

from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import NamedTuple, Protocol

import anyio
import h11
from anyio.abc import SocketStream

from . import logs
from .body_buffer import BodyBuffer
from .caller_stream import accept_caller, is_peer_gone
from .clock import MS_PER_S
from .errors import (
    BodyTooLarge,
    BriarvaleError,
    CallerGone,
    HeadersTooLarge,
    IngressExhausted,
    InvalidRequest,
    NotReady,
)
from .fair_turns import FairTurns
from .http_heads import server_connection
from .http_wire import READ_BYTES, Headers, enable_keepalive
from .ingress_budget import Holding, IngressBudget, Phase
from .peer import PeerAddress
from .responder import Responder
from .routes import IngressLimits
from .tcp_server import TcpServer

# Limit of bytes read ahead of the next request while the current one is answered.
MAX_PIPELINED_BYTES = 65_536
# Interval of the checks whether the caller has disconnected while nothing is read ahead.
DISCONNECT_POLL_S = 0.05
# First bytes of a request; most requests are no longer.
FIRST_READ_BYTES = 16_384
# How long a caller has to read the last answer and close before the connection is closed.
LINGER_S = 0.5

log = logs.component_logger("ingress")

__all__ = ["Ingress", "IngressHandler", "IngressRequest", "IngressState", "Responder"]


class IngressRequest(NamedTuple):
    """A complete request as a caller sent it; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class IngressHandler(Protocol):
    """Answers the requests of callers."""

    @property
    def limits(self) -> IngressLimits:
        """The current limits."""

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Answers a request; if it raises before the answer has begun, `refuse` answers."""

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Answers with an error."""


class IngressState(Enum):
    """How connections and further requests are treated."""

    SERVING = "serving"
    # Requests are answered, and each connection closes after its answer.
    CLOSING = "closing"
    # Further requests are refused as not run.
    REFUSING = "refusing"


class Ingress:
    """Serves callers at one address.

    Args:
        handler: Answers the requests.
        budget: Bounds what callers make the process hold; several addresses may share it.
    """

    def __init__(self, handler: IngressHandler, budget: IngressBudget | None = None) -> None:
        self._handler = handler
        self._budget = budget or IngressBudget()
        self._connections: set[_CallerConnection] = set()
        self._server = TcpServer("connections of callers", accept_caller)
        self.state = IngressState.SERVING

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect."""
        return self._server.is_listening

    @property
    def active_count(self) -> int:
        """Number of requests that are being read or answered."""
        return sum(connection.is_active for connection in self._connections)

    async def serve(self, address: PeerAddress) -> None:
        """Accepts connections until cancelled."""
        await self._server.serve(address, self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        try:
            with anyio.CancelScope() as scope:
                await self._run_connection(stream, scope)
        except IngressExhausted as error:
            log.info("Closed a new connection: {}.", error)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            log.debug("A caller's connection broke: {}.", error)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _run_connection(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """Serves a connection until it ends, or the budget ends it by the scope."""
        holding = self._budget.open(scope.cancel)
        connection = _CallerConnection(stream, self._handler, lambda: self.state, holding)
        self._connections.add(connection)
        try:
            enable_keepalive(stream)
            await connection.run()
        finally:
            self._connections.discard(connection)
            connection.drop_body()
            self._budget.close(holding)


class _CallerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        stream: SocketStream,
        handler: IngressHandler,
        state: Callable[[], IngressState],
        holding: Holding,
    ) -> None:
        self._stream = stream
        self._holding = holding
        # Bytes of the current request that were received, and of the next ones behind it.
        self._received_bytes = 0
        self._handler = handler
        self._state = state
        self._h11 = self._new_h11()
        self._turns = FairTurns()
        self._body = BodyBuffer()
        self.is_active = False

    def _new_h11(self) -> h11.Connection:
        size_bytes = self._handler.limits.max_header_bytes
        return server_connection(size_bytes + 1_024)

    def drop_body(self) -> None:
        """Frees an incomplete body; the traceback of a cancellation may keep this object."""
        self._body.clear()

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        while True:
            responder = Responder(self._h11, self._stream, self._is_closing, self._holding)
            try:
                request = await self._read_request(responder)
                if request is None:
                    return
                await self._handle(request, responder)
            except CallerGone:
                return
            except BriarvaleError as error:
                if not responder.has_started:
                    await self._refuse_unreadable(error, responder)
                return
            finally:
                self.is_active = False
            del request
            self._holding.has_answered = True
            if not self._start_next_request():
                await self._close_gracefully()
                return

    def _is_closing(self) -> bool:
        return self._state() is not IngressState.SERVING

    async def _read_request(self, responder: Responder) -> IngressRequest | None:
        """Reads a complete request; none if the caller closes or a timeout passes."""
        limits = self._handler.limits
        head = await self._read_head(limits, responder)
        if head is None:
            return None
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise CallerGone("the caller closed its connection in the middle of a request")
            if self._body.size_bytes + len(event.data) > limits.max_body_bytes:
                raise BodyTooLarge(f"the body is over {limits.max_body_bytes} bytes")
            self._body.append(event.data)
            self._holding.add(len(event.data))
        return IngressRequest(head.method, head.target, tuple(head.headers), self._body.take())

    async def _read_head(self, limits: IngressLimits, responder: Responder) -> h11.Request | None:
        """Reads the head of a request; none if the caller closes or a timeout passes."""
        self._received_bytes = len(self._h11.trailing_data[0])
        self._holding.reset(self._received_bytes)
        self._holding.record_progress()
        if not self._received_bytes:
            self._holding.phase = Phase.IDLE
            with anyio.move_on_after(limits.idle_timeout_ms / MS_PER_S) as idle:
                data = await self._receive(FIRST_READ_BYTES)
            if idle.cancelled_caught or not data:
                return None
            self._take(data)
        self._holding.phase = Phase.READING
        self.is_active = True
        with anyio.move_on_after(limits.header_timeout_ms / MS_PER_S):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                responder.method = event.method
                self._check_head(event, limits)
                return event
        return None

    def _check_head(self, head: h11.Request, limits: IngressLimits) -> None:
        size_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size_bytes > limits.max_header_bytes:
            raise HeadersTooLarge(f"the headers are over {limits.max_header_bytes} bytes")

    async def _handle(self, request: IngressRequest, responder: Responder) -> None:
        """Runs the handler, and cancels it when the caller disconnects."""
        self._holding.phase = Phase.RUNNING
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks.cancel_scope)
            try:
                if self._state() is IngressState.REFUSING:
                    raise NotReady("this node is stopping", retry_at_ms=0)
                await self._handler.handle(request, responder)
            except CallerGone:
                log.info("The caller disconnected.", target=request.target.decode("latin-1"))
            except BriarvaleError as error:
                await self._answer_failure(error, responder)
            except Exception as error:
                # A bug in a handler must fail one request, not the process.
                log.exception("Unexpected error while handling a request: {!r}.", error)
                await self._answer_failure(BriarvaleError(repr(error)), responder)
            tasks.cancel_scope.cancel()
        if not responder.is_finished or self._h11.our_state is not h11.DONE:
            raise CallerGone("the answer was not finished")

    async def _answer_failure(self, error: BriarvaleError, responder: Responder) -> None:
        """Answers with an error; an answer that has already begun is left incomplete instead."""
        if responder.has_started:
            log.info("Aborted an answer that had begun: {}.", error, code=error.code)
            return
        with suppress(CallerGone):
            await self._handler.refuse(error, responder)

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        """Reads ahead while a request is answered, and cancels the scope when the caller leaves.

        It reads until `MAX_PIPELINED_BYTES` wait; then it only looks for a disconnect.
        """
        ahead_bytes = len(self._h11.trailing_data[0])
        while ahead_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._receive(MAX_PIPELINED_BYTES - ahead_bytes)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                data = b""
            if not data:
                scope.cancel()
                return
            ahead_bytes += len(data)
            self._holding.add(len(data))
            self._h11.receive_data(data)
        while not is_peer_gone(self._stream):
            await anyio.sleep(DISCONNECT_POLL_S)
        scope.cancel()

    def _take(self, data: bytes) -> None:
        """Passes received bytes of a request on; those not decoded yet are counted up to a limit.

        No more than about `READ_BYTES` wait to be decoded; bodies are counted once decoded.
        """
        uncounted_bytes = max(0, READ_BYTES - self._received_bytes)
        self._holding.add(min(len(data), uncounted_bytes))
        self._holding.record_progress()
        self._received_bytes += len(data)
        self._h11.receive_data(data)

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of the request, and reads more bytes if it needs them."""
        await self._turns.take_step()
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == 431:
                    raise HeadersTooLarge("the headers are too large") from error
                raise InvalidRequest(f"malformed HTTP/1.1 request: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send(self._h11.send(proceed) or b"")
            # Without room the rest of the request stays with the kernel, and then with the caller.
            await self._holding.wait_for_room()
            data = await self._receive(READ_BYTES)
            if not data and self._h11.their_state is h11.IDLE:
                raise CallerGone("the caller closed its connection")
            self._take(data)

    async def _receive(self, max_bytes: int) -> bytes:
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""

    async def _refuse_unreadable(self, error: BriarvaleError, responder: Responder) -> None:
        """Refuses a request that can't be read, then closes the connection."""
        with suppress(CallerGone, h11.LocalProtocolError):
            await self._handler.refuse(error, responder)
        await self._close_gracefully()

    async def _close_gracefully(self) -> None:
        """Shuts down the sending side and waits for the caller to close.

        Closing at once could reset the connection before the caller has read the answer.
        """
        with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._stream.send_eof()
            with anyio.move_on_after(LINGER_S):
                while await self._receive(READ_BYTES):
                    pass

    def _start_next_request(self) -> bool:
        """Prepares for the next request; false if the connection must close."""
        is_complete = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if is_complete:
            self._h11.start_next_cycle()
        return is_complete
