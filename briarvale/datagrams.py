"""Datagrams between dispatchers, for heartbeats; they may be lost, doubled or reordered."""

from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import UDPSocket

from . import logs
from .peer import PeerAddress

MAX_DATAGRAM_BYTES = 1_400

log = logs.part("datagrams")

__all__ = ["DatagramHandler", "Datagrams", "MAX_DATAGRAM_BYTES", "UdpDatagrams"]

DatagramHandler = Callable[[bytes, PeerAddress], None]


class Datagrams(Protocol):
    """How dispatchers send heartbeats; tests put an in-memory one in its place."""

    async def serve(self, address: PeerAddress, handler: DatagramHandler) -> None:
        """Receives at the address until cancelled."""

    async def send(self, address: PeerAddress, data: bytes) -> None:
        """Sends one datagram from the served address; a failure is silent, as on a network."""


class UdpDatagrams:
    """Datagrams over UDP."""

    def __init__(self) -> None:
        self._socket: UDPSocket | None = None

    async def serve(self, address: PeerAddress, handler: DatagramHandler) -> None:
        """Receives until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=address.host, local_port=address.port
        ) as socket:
            self._socket = socket
            async for data, (host, port) in socket:
                handler(data, PeerAddress(host, port))

    async def send(self, address: PeerAddress, data: bytes) -> None:
        """Sends one datagram."""
        if self._socket is None:
            return
        try:
            await self._socket.sendto(data, address.host, address.port)
        except OSError as error:
            log.debug("Could not send to {}: {}.", address.host, error)
