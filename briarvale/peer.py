"""Connections between Briarvale's own processes: framed Cap'n Proto messages over TCP.

A frame is a 4-byte big-endian length followed by one encoded envelope. The listening side sends a
challenge; the connecting side answers with an HMAC that proves knowledge of the shared secret.
"""

import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, TypeVar

import anyio
import capnp
from anyio.abc import ByteStream, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from . import logs, metrics
from ._generated.messages import (
    DECODING_ERRORS,
    Challenge,
    Hello,
    Message,
    Welcome,
    decode_message,
    encode_message,
)
from .errors import MessageInvalid, OwnerUnreachable, PeerClosed, PeerProtocolError
from .peer_address import PeerAddress
from .tcp_server import TcpServer

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Of a process that has not proved the secret yet.
MAX_HANDSHAKE_FRAME_BYTES = 4_096
NONCE_BYTES = 32
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 5.0

Reply = TypeVar("Reply")

log = logs.component_logger("peer")

__all__ = [
    "MessageStream",
    "PeerAddress",
    "PeerHandler",
    "PeerIdentity",
    "PeerTransport",
    "TcpTransport",
    "ask_peer",
    "decode_peer_message",
]


class PeerIdentity(NamedTuple):
    """Identifies a process by its VM, its program (`role`) and this run of the program."""

    vm: str
    role: str
    boot_id: str


class MessageStream(Protocol):
    """An ordered, bidirectional stream of messages with one peer."""

    async def send(self, message: Message) -> None:
        """Sends one message; raises `PeerClosed`."""

    async def receive(self) -> Message:
        """Receives one message; raises `PeerClosed` or `PeerProtocolError`."""

    async def aclose(self) -> None:
        """Closes the stream."""


PeerHandler = Callable[[MessageStream, PeerIdentity], Awaitable[None]]


class PeerTransport(Protocol):
    """Connections between processes; tests use an in-memory implementation."""

    async def connect(self, address: PeerAddress) -> MessageStream:
        """Connects and authenticates; raises `OwnerUnreachable`."""

    async def serve(self, address: PeerAddress, handler: PeerHandler) -> None:
        """Serves connections until cancelled, each in its own task."""


class FramedStream:
    """A `MessageStream` over a byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._send_lock = anyio.Lock(fast_acquire=True)

    async def send(self, message: Message) -> None:
        """Sends one frame; raises `MessageInvalid` if a field doesn't fit into the message."""
        data = _encode_frame(message)
        frame = len(data).to_bytes(LENGTH_BYTES, "big") + data
        try:
            async with self._send_lock:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await self._stream.send(frame)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
            raise PeerClosed("the peer's connection is broken") from error

    async def receive(self, max_bytes: int = MAX_FRAME_BYTES) -> Message:
        """Receives one frame; raises `PeerProtocolError` if it is larger than `max_bytes`."""
        try:
            length = int.from_bytes(await self._reader.receive_exactly(LENGTH_BYTES), "big")
            if length > max_bytes:
                raise PeerProtocolError(f"frame of {length} bytes exceeds the limit")
            data = await self._reader.receive_exactly(length)
        except (
            anyio.IncompleteRead,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise PeerClosed("the peer closed the connection") from error
        return decode_peer_message(data)

    async def aclose(self) -> None:
        """Closes the byte stream."""
        with anyio.move_on_after(1, shield=True):
            await self._stream.aclose()


class TcpTransport:
    """A `PeerTransport` over TCP.

    Args:
        identity: Identity of this process.
        shared_secret: Secret that every peer must prove to know.
    """

    def __init__(self, identity: PeerIdentity, shared_secret: str) -> None:
        self._identity = identity
        self._secret = shared_secret.encode()
        self._server = TcpServer("connections of peers")

    @property
    def is_listening(self) -> bool:
        """Whether peers can connect."""
        return self._server.is_listening

    async def connect(self, address: PeerAddress) -> MessageStream:
        """Connects within `CONNECT_TIMEOUT_S` and answers the challenge."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                raw = await anyio.connect_tcp(address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise OwnerUnreachable(f"{address.host}:{address.port}: {error}") from error
        stream = FramedStream(raw)
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                await self._answer_challenge(stream)
        except (PeerClosed, PeerProtocolError, TimeoutError) as error:
            await stream.aclose()
            raise OwnerUnreachable(f"{address.host}:{address.port}: handshake failed") from error
        return stream

    async def serve(self, address: PeerAddress, handler: PeerHandler) -> None:
        """Listens on the address."""

        async def handle(raw: SocketStream) -> None:
            await self._serve_connection(FramedStream(raw), handler)

        await self._server.serve(address, handle)

    async def _serve_connection(self, stream: FramedStream, handler: PeerHandler) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                identity = await self._challenge(stream)
            await handler(stream, identity)
        except PeerClosed:
            pass
        except (PeerProtocolError, TimeoutError) as error:
            metrics.PEER_BAD_FRAMES.inc({})
            log.warning("Closed a peer connection: {}.", error)
        finally:
            await stream.aclose()

    async def _challenge(self, stream: FramedStream) -> PeerIdentity:
        """Verifies that the connecting process knows the secret; returns its identity."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.send(Challenge(nonce))
        hello = await stream.receive(MAX_HANDSHAKE_FRAME_BYTES)
        if not isinstance(hello, Hello):
            raise PeerProtocolError("expected a hello message")
        identity = PeerIdentity(hello.vm, hello.role, hello.boot_id)
        if not hmac.compare_digest(hello.proof, self._proof(nonce, identity)):
            raise PeerProtocolError("proof does not match the shared secret")
        await stream.send(Welcome(self._identity.vm))
        return identity

    async def _answer_challenge(self, stream: FramedStream) -> None:
        challenge = await stream.receive(MAX_HANDSHAKE_FRAME_BYTES)
        if not isinstance(challenge, Challenge):
            raise PeerProtocolError("expected a challenge message")
        proof = self._proof(challenge.nonce, self._identity)
        await stream.send(Hello(*self._identity, proof))
        if not isinstance(await stream.receive(MAX_HANDSHAKE_FRAME_BYTES), Welcome):
            raise PeerProtocolError("expected a welcome message")

    def _proof(self, nonce: bytes, identity: PeerIdentity) -> bytes:
        message = nonce + "\0".join(identity).encode()
        return hmac.digest(self._secret, message, "sha256")


async def ask_peer(
    transport: PeerTransport, address: PeerAddress, request: Message, reply_type: type[Reply]
) -> Reply:
    """Sends one request on a new connection and returns the reply; skips other message types.

    Raises:
        OwnerUnreachable: If the connection can't be opened.
        PeerClosed: If it closes before the reply.
        PeerProtocolError: If a frame can't be decoded.
    """
    stream = await transport.connect(address)
    try:
        await stream.send(request)
        while True:
            message = await stream.receive()
            if isinstance(message, reply_type):
                return message
    finally:
        await stream.aclose()


def _encode_frame(message: Message) -> bytes:
    try:
        return encode_message(message)
    except (capnp.KjException, OverflowError, TypeError, ValueError) as error:
        raise MessageInvalid(f"{type(message).__name__}: {error}") from error


def decode_peer_message(data: bytes) -> Message:
    """Decodes a message of a frame or a datagram; raises `PeerProtocolError`."""
    try:
        return decode_message(data)
    except DECODING_ERRORS as error:
        raise PeerProtocolError(f"bad message: {type(error).__name__}") from error
