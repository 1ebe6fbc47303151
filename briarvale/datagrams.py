"""Datagrams between VMs, for heartbeats; they may be lost, duplicated or reordered.

A datagram is an authentication tag followed by one encoded envelope. The tag is a truncated HMAC of
the envelope, keyed with the shared secret.
"""

import hmac
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import UDPSocket

from . import logs
from ._generated.messages import Message, encode_message
from .containment import contain
from .errors import PeerProtocolError
from .peer import PeerAddress, decode_peer_message

MAX_DATAGRAM_BYTES = 1_400
TAG_BYTES = 16
# Pause before the next try to bind an address that is taken.
BIND_RETRY_S = 0.3

log = logs.component_logger("datagrams")

__all__ = [
    "DatagramHandler",
    "DatagramCodec",
    "Datagrams",
    "MAX_DATAGRAM_BYTES",
    "TAG_BYTES",
    "UdpDatagrams",
]

DatagramHandler = Callable[[bytes, PeerAddress], None]


class Datagrams(Protocol):
    """Transport for heartbeats; tests use an in-memory implementation."""

    async def serve(self, address: PeerAddress, handler: DatagramHandler) -> None:
        """Receives datagrams at the address until cancelled."""

    async def send(self, address: PeerAddress, data: bytes) -> None:
        """Sends one datagram from the served address; failures are silent, as for any lost one."""


class UdpDatagrams:
    """A `Datagrams` over UDP."""

    def __init__(self) -> None:
        self._socket: UDPSocket | None = None
        self._send_lock = anyio.Lock()

    async def serve(self, address: PeerAddress, handler: DatagramHandler) -> None:
        """Receives until cancelled; tries again for as long as the address is taken."""
        async with await self._bind(address) as socket:
            self._socket = socket
            try:
                async for data, (host, port) in socket:
                    with contain("datagrams of peers"):
                        handler(data, PeerAddress(host, port))
            finally:
                self._socket = None

    async def _bind(self, address: PeerAddress) -> UDPSocket:
        while True:
            try:
                return await anyio.create_udp_socket(
                    local_host=address.host, local_port=address.port
                )
            except OSError as error:
                log.warning("Can't receive at {}:{} yet: {}.", *address, error)
            await anyio.sleep(BIND_RETRY_S)

    @property
    def is_receiving(self) -> bool:
        """Whether the address is bound."""
        return self._socket is not None

    async def send(self, address: PeerAddress, data: bytes) -> None:
        """Sends one datagram."""
        if self._socket is None:
            return
        try:
            async with self._send_lock:
                await self._socket.sendto(data, address.host, address.port)
        except (OSError, anyio.ClosedResourceError) as error:
            log.debug("Could not send a datagram to {}: {}.", address.host, error)


class DatagramCodec:
    """Encodes and decodes datagrams, authenticated with the shared secret.

    Args:
        shared_secret: Secret shared by all VMs of the fleet.
    """

    def __init__(self, shared_secret: str) -> None:
        self._secret = shared_secret.encode()

    def pack(self, message: Message) -> bytes:
        """Encodes a message and prepends its authentication tag."""
        body = encode_message(message)
        return self._tag(body) + body

    def unpack(self, data: bytes) -> Message:
        """Checks the tag and returns the message; raises `PeerProtocolError`."""
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise PeerProtocolError("datagram with an invalid authentication tag")
        return decode_peer_message(body)

    def _tag(self, body: bytes) -> bytes:
        return hmac.digest(self._secret, body, "sha256")[:TAG_BYTES]
