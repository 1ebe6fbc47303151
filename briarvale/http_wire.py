"""HTTP/1.1 connections over anyio and h11 that expose exact bytes and message ends.

Forwarding must detect bytes after an answer, an answer that ends when its connection closes, and an
answer that arrives before its request was sent. hypercorn and httpx hide these; h11 exposes them.
"""

import select
import socket
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from .errors import AnswerTooLong, ServerConnectFailed, ServerGarbled, ServerLost
from .fair_turns import FairTurns
from .http_heads import client_connection, is_joined_head
from .peer import PeerAddress

READ_BYTES = 65_536
# Also limits chunk headers and trailers.
MAX_HEAD_BYTES = 65_536
MAX_INFORMATIONAL_ANSWERS = 8
# Limit of the body of an answer to another request, which is read and skipped.
MAX_STRAY_BYTES = 1_048_576
# The probes detect a lost peer, even one that sent no reset, about 3 s after its last packet.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
SEND_TIMEOUT_MS = 2_500
# Limit of bytes from a server that wait in the kernel; an event loop may read all of them at once.
RECEIVE_BUFFER_BYTES = 131_072
# Bodies over this size are written apart from the head, so that they are not copied.
MAX_JOINED_BODY_BYTES = 65_536

Headers = tuple[tuple[bytes, bytes], ...]

CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade")
)
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

__all__ = [
    "AnswerHead",
    "ClientConnection",
    "CompleteAnswer",
    "Headers",
    "OutgoingRequest",
    "check_request",
    "enable_keepalive",
    "end_to_end_headers",
    "find_header",
]


class AnswerHead(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers

    @property
    def has_framed_end(self) -> bool:
        """Whether a length or chunks mark the end of the body; else the connection's end does."""
        return any(name in FRAMING_HEADERS for name, _ in self.headers)


class CompleteAnswer(NamedTuple):
    """Status and complete body of an answer."""

    status: int
    body: bytes


class OutgoingRequest(NamedTuple):
    """A request to send; `headers` contain neither Content-Length nor Connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header; the name is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers that a proxy forwards, without hop-by-hop and framing headers."""
    connection_value = find_header(headers, b"connection") or b""
    named_headers = frozenset(token.strip().lower() for token in connection_value.split(b","))
    unwanted = CONNECTION_HEADERS | FRAMING_HEADERS | named_headers
    return tuple(header for header in headers if header[0] not in unwanted)


def check_request(request: OutgoingRequest) -> None:
    """Raises `ValueError` if a request can't be written as HTTP/1.1."""
    try:
        _encode_request(client_connection(MAX_HEAD_BYTES), request)
    except h11.LocalProtocolError as error:
        raise ValueError(str(error)) from error


def enable_keepalive(stream: SocketStream) -> None:
    """Enables TCP keepalive and a send timeout to detect a lost peer, and sets TCP_NODELAY.

    Raises:
        ConnectionResetError: If the connection is already closed.
    """
    raw = _raw_socket(stream)
    if raw is None:
        raise ConnectionResetError("the connection closed right after it was opened")
    with suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        if sys.platform == "linux":
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)


class ClientConnection:
    """One connection to a server; it carries one request at a time.

    Args:
        stream: The open connection.

    Attributes:
        idle_since_s: When the last exchange ended, or the connection was opened.
        keep_alive_until_s: Until when the connection may be reused; set by its pool.
        carried_id_hashes: Hashes of the ids of the requests that it has carried; set by its pool.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._h11 = client_connection(MAX_HEAD_BYTES)
        self._turns = FairTurns()
        self._request: OutgoingRequest | None = None
        self._is_sent = False
        self.idle_since_s = anyio.current_time()
        self.keep_alive_until_s = 0.0
        self.carried_id_hashes: set[int] = set()

    @classmethod
    async def open(cls, address: PeerAddress, timeout_s: float) -> "ClientConnection":
        """Connects; raises `ServerConnectFailed`, in which case no byte was sent."""
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(address.host, address.port)
        except (OSError, TimeoutError) as error:
            failed = ServerConnectFailed(f"{address.host}:{address.port}: {type(error).__name__}")
            failed.is_refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise failed from error
        try:
            enable_keepalive(stream)
            _limit_receive_buffer(stream)
        except ConnectionError as error:
            raise ServerConnectFailed(f"{address.host}:{address.port}: {error}") from error
        return cls(stream)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and idle, with no unsolicited bytes to read."""
        if self._h11.our_state is not h11.IDLE or self._h11.trailing_data[0]:
            return False
        raw = _raw_socket(self._stream)
        descriptor = -1 if raw is None else raw.fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return not poll.poll(0)

    async def send(self, request: OutgoingRequest) -> None:
        """Sends a request; a broken connection is reported when the answer is read."""
        self._request = request
        self._is_sent = False
        parts = _encode_request(self._h11, request)
        # A server may answer and close before it has read everything; its answer can still be read.
        with suppress(anyio.BrokenResourceError, OSError):
            for data in parts:
                await self._stream.send(data)
            self._is_sent = True

    async def read_head(self) -> AnswerHead:
        """Reads the status and headers of the answer, and skips a few informational answers.

        Raises:
            ServerLost: If the connection broke.
            ServerGarbled: If the answer is malformed; `AnswerTooLong` after too many informational
                answers.
        """
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if is_joined_head(event):
                    raise ServerGarbled("the head of an answer broke off")
                return AnswerHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ServerGarbled("expected the head of an answer")
        raise AnswerTooLong(f"over {MAX_INFORMATIONAL_ANSWERS} informational answers")

    async def read_body(self) -> bytes:
        """Reads the next bytes of the body; empty at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise ServerGarbled("the connection ended in the middle of an answer")

    async def read_full_body(
        self, max_bytes: int, on_read: Callable[[int], None] | None = None
    ) -> bytes:
        """Reads a body to its end; raises `AnswerTooLong` if it is over `max_bytes`.

        Args:
            on_read: Called with the size in bytes of each piece of the body as it arrives.
        """
        chunks = []
        size_bytes = 0
        while chunk := await self.read_body():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise AnswerTooLong(f"a body is over {max_bytes} bytes")
            chunks.append(chunk)
            if on_read is not None:
                on_read(len(chunk))
        return b"".join(chunks)

    async def exchange(
        self,
        request: OutgoingRequest,
        max_body_bytes: int,
        on_read: Callable[[int], None] | None = None,
    ) -> CompleteAnswer:
        """Sends a request and reads its complete answer; fails as `read_full_body` does."""
        await self.send(request)
        head = await self.read_head()
        return CompleteAnswer(head.status, await self.read_full_body(max_body_bytes, on_read))

    async def skip_answer(self) -> None:
        """Skips the rest of an answer to another request, and prepares to read the next answer."""
        await self.read_full_body(MAX_STRAY_BYTES)
        remaining, _ = self._h11.trailing_data
        if self._request is None or self._h11.their_state is h11.MUST_CLOSE:
            raise ServerGarbled("an answer to another request ended the connection")
        self._h11 = client_connection(MAX_HEAD_BYTES)
        # The request was sent already; the new state machine must know it to parse the next answer.
        _encode_request(self._h11, self._request)
        if remaining:
            self._h11.receive_data(remaining)

    def finish(self) -> bool:
        """Ends an exchange; returns whether the connection can be reused."""
        is_complete = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not self._is_sent or not is_complete or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self._request = None
        self.idle_since_s = anyio.current_time()
        return True

    async def aclose(self) -> None:
        """Closes the connection at once, so that the server stops running a request."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        await self._turns.take_step()
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                try:
                    data = await self._stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    data = b""
                self._h11.receive_data(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise ServerLost("the connection broke before the answer was complete") from error
        except h11.RemoteProtocolError as error:
            if self._h11.trailing_data[1]:
                raise ServerLost("the connection ended before the answer was complete") from error
            raise ServerGarbled(f"malformed answer: {error}") from error


def _raw_socket(stream: SocketStream) -> socket.socket | None:
    """Returns a connection's socket; none if the event loop has dropped the lost connection."""
    try:
        return stream.extra(SocketAttribute.raw_socket)
    except (AttributeError, OSError):
        return None


def _limit_receive_buffer(stream: SocketStream) -> None:
    raw = _raw_socket(stream)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _encode_request(connection: h11.Connection, request: OutgoingRequest) -> list[bytes]:
    """Returns the parts of an encoded request; a large body is a part of its own."""
    headers = list(request.headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    data = connection.send(head) or b""
    body = connection.send(h11.Data(data=request.body)) or b"" if request.body else b""
    # Content-Length marks the end of the body, so no bytes follow it.
    connection.send(h11.EndOfMessage())
    return [data, body] if len(body) > MAX_JOINED_BODY_BYTES else [data + body]
