"""Connections between Briarvale's own processes: framed Cap'n Proto messages over TCP.

A frame is a 4-byte big-endian length and one encoded envelope. The side that listens sends a
challenge; the other proves with it that it knows the shared secret.
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
    Challenge,
    Hello,
    Message,
    Welcome,
    decode_message,
    encode_message,
)
from .errors import OwnerUnreachable, PeerClosed, PeerProtocolError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
NONCE_BYTES = 32
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 5.0

Answer = TypeVar("Answer")

log = logs.part("peer")

__all__ = [
    "MessageStream",
    "PeerAddress",
    "PeerHandler",
    "PeerIdentity",
    "PeerTransport",
    "TcpTransport",
    "ask_peer",
]


class PeerAddress(NamedTuple):
    """Where a dispatcher listens for peers."""

    host: str
    port: int


class PeerIdentity(NamedTuple):
    """Who a process is: its VM, its program and this run of it."""

    vm: str
    role: str
    boot_id: str


class MessageStream(Protocol):
    """An ordered, two-way stream of messages with one peer."""

    async def send(self, message: Message) -> None:
        """Sends one message; raises `PeerClosed`."""

    async def receive(self) -> Message:
        """Receives one message; raises `PeerClosed` or `PeerProtocolError`."""

    async def aclose(self) -> None:
        """Closes the stream."""


PeerHandler = Callable[[MessageStream, PeerIdentity], Awaitable[None]]


class PeerTransport(Protocol):
    """How processes reach each other; tests put an in-memory one in its place."""

    async def connect(self, address: PeerAddress) -> MessageStream:
        """Connects and proves the identity; raises `OwnerUnreachable`."""

    async def serve(self, address: PeerAddress, handler: PeerHandler) -> None:
        """Serves until cancelled, one task for each connection."""


class FramedStream:
    """A `MessageStream` over a byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._send_lock = anyio.Lock(fast_acquire=True)

    async def send(self, message: Message) -> None:
        """Sends one frame."""
        data = encode_message(message)
        frame = len(data).to_bytes(LENGTH_BYTES, "big") + data
        try:
            async with self._send_lock:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await self._stream.send(frame)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
            raise PeerClosed("the peer's connection is broken") from error

    async def receive(self) -> Message:
        """Receives one frame."""
        try:
            length = int.from_bytes(await self._reader.receive_exactly(LENGTH_BYTES), "big")
            if length > MAX_FRAME_BYTES:
                raise PeerProtocolError(f"frame of {length} bytes")
            data = await self._reader.receive_exactly(length)
        except (
            anyio.IncompleteRead,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise PeerClosed("the peer closed the connection") from error
        return _decode(data)

    async def aclose(self) -> None:
        """Closes the byte stream."""
        with anyio.move_on_after(1, shield=True):
            await self._stream.aclose()


class TcpTransport:
    """The transport between real processes.

    Args:
        identity: Who this process is.
        shared_secret: Secret that every peer proves to know.
    """

    def __init__(self, identity: PeerIdentity, shared_secret: str) -> None:
        self._identity = identity
        self._secret = shared_secret.encode()

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
            raise OwnerUnreachable(f"{address.host}:{address.port}: no handshake") from error
        return stream

    async def serve(self, address: PeerAddress, handler: PeerHandler) -> None:
        """Listens on the address."""
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, reuse_port=False
        )

        async def handle(raw: SocketStream) -> None:
            await self._serve_connection(FramedStream(raw), handler)

        await listener.serve(handle)

    async def _serve_connection(self, stream: FramedStream, handler: PeerHandler) -> None:
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                identity = await self._challenge(stream)
            await handler(stream, identity)
        except PeerClosed:
            pass
        except (PeerProtocolError, TimeoutError) as error:
            metrics.PEER_BAD_FRAMES.inc({})
            log.warning("Closed a connection: {}.", error)
        finally:
            await stream.aclose()

    async def _challenge(self, stream: FramedStream) -> PeerIdentity:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.send(Challenge(nonce))
        hello = await stream.receive()
        if not isinstance(hello, Hello):
            raise PeerProtocolError("no hello")
        identity = PeerIdentity(hello.vm, hello.role, hello.boot_id)
        if not hmac.compare_digest(hello.proof, self._proof(nonce, identity)):
            raise PeerProtocolError("wrong shared secret")
        await stream.send(Welcome(self._identity.vm))
        return identity

    async def _answer_challenge(self, stream: FramedStream) -> None:
        challenge = await stream.receive()
        if not isinstance(challenge, Challenge):
            raise PeerProtocolError("no challenge")
        proof = self._proof(challenge.nonce, self._identity)
        await stream.send(Hello(*self._identity, proof))
        if not isinstance(await stream.receive(), Welcome):
            raise PeerProtocolError("no welcome")

    def _proof(self, nonce: bytes, identity: PeerIdentity) -> bytes:
        message = nonce + "\0".join(identity).encode()
        return hmac.digest(self._secret, message, "sha256")


async def ask_peer(
    transport: PeerTransport, address: PeerAddress, question: Message, answer: type[Answer]
) -> Answer:
    """Asks one question on a connection of its own; messages of other types are passed over.

    Raises:
        OwnerUnreachable: If there is no connection.
        PeerClosed: If it ends before the answer.
        PeerProtocolError: If a frame can't be read.
    """
    stream = await transport.connect(address)
    try:
        await stream.send(question)
        while True:
            message = await stream.receive()
            if isinstance(message, answer):
                return message
    finally:
        await stream.aclose()


def _decode(data: bytes) -> Message:
    try:
        return decode_message(data)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise PeerProtocolError(f"bad frame: {type(error).__name__}") from error
