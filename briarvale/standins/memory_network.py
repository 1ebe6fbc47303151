"""An in-memory network of peers with injected faults, for tests and benchmarks in virtual time."""

import math
import random

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from .._generated.messages import Message
from ..datagrams import DatagramHandler
from ..errors import OwnerUnreachable, PeerClosed
from ..peer import MessageStream, PeerAddress, PeerHandler, PeerIdentity

# One-way latency between two hosts.
HOP_S = 0.0005

__all__ = ["MemoryDatagrams", "MemoryNetwork", "MemoryTransport"]


class MemoryNetwork:
    """The listening peers, the open streams and the injected faults."""

    def __init__(self) -> None:
        self.handlers: dict[PeerAddress, PeerHandler] = {}
        self.streams: list[MemoryStream] = []
        self.datagram_handlers: dict[PeerAddress, DatagramHandler] = {}
        self.datagram_bytes: dict[str, int] = {}
        self.datagram_count: dict[str, int] = {}
        self.frozen_hosts: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.hop_s = HOP_S
        self.extra_latency_s: dict[str, float] = {}
        self.datagram_loss = 0.0
        self.random = random.Random(0)

    def transport(self, host: str, identity: PeerIdentity) -> "MemoryTransport":
        """Returns the transport of a process on this host."""
        return MemoryTransport(self, host, identity)

    def datagrams(self, host: str) -> "MemoryDatagrams":
        """Returns the datagram endpoint of a process on this host."""
        return MemoryDatagrams(self, host)

    def close_host(self, host: str) -> None:
        """Closes all connections of a host, as if it had died."""
        self.handlers = {a: h for a, h in self.handlers.items() if a.host != host}
        self.datagram_handlers = {a: h for a, h in self.datagram_handlers.items() if a.host != host}
        for stream in [s for s in self.streams if host in (s.host, s.peer_host)]:
            stream.close_now()

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from source to target are lost: a cut link or a frozen host."""
        return (source, target) in self.cut_links or bool(self.frozen_hosts & {source, target})

    def delay_s(self, source: str, target: str) -> float:
        """Returns the latency of a datagram, with the extra latency of both hosts."""
        extra_s = self.extra_latency_s
        return self.hop_s + extra_s.get(source, 0.0) + extra_s.get(target, 0.0)

    def is_lost(self) -> bool:
        """Whether the next datagram is lost, with probability `datagram_loss`."""
        return self.datagram_loss > 0 and self.random.random() < self.datagram_loss


class MemoryStream:
    """One side of an in-memory connection."""

    def __init__(
        self,
        network: MemoryNetwork,
        host: str,
        peer_host: str,
        sender: MemoryObjectSendStream[Message],
        receiver: MemoryObjectReceiveStream[Message],
    ) -> None:
        self.host = host
        self.peer_host = peer_host
        self._network = network
        self._sender = sender
        self._receiver = receiver

    async def send(self, message: Message) -> None:
        """Sends one message; drops it if the link is cut."""
        await anyio.sleep(self._network.hop_s)
        if self._network.is_cut(self.host, self.peer_host):
            return
        try:
            self._sender.send_nowait(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise PeerClosed("the connection is closed") from error

    async def receive(self) -> Message:
        """Receives one message."""
        try:
            return await self._receiver.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
            raise PeerClosed("the connection is closed") from error

    async def aclose(self) -> None:
        """Closes both directions."""
        self.close_now()

    def close_now(self) -> None:
        """Closes both directions without waiting."""
        self._sender.close()
        self._receiver.close()
        if self in self._network.streams:
            self._network.streams.remove(self)


class MemoryTransport:
    """Implements `PeerTransport` for one process.

    Args:
        network: The network to use.
        host: The process's host.
        identity: Identity of the process.
    """

    def __init__(self, network: MemoryNetwork, host: str, identity: PeerIdentity) -> None:
        self._network = network
        self._host = host
        self._identity = identity

    async def connect(self, address: PeerAddress) -> MessageStream:
        """Connects to a listening peer."""
        await anyio.sleep(2 * self._network.hop_s)
        handler = self._network.handlers.get(address)
        if handler is None or self._network.is_cut(self._host, address.host):
            raise OwnerUnreachable(f"{address.host}:{address.port}")
        to_server, from_client = anyio.create_memory_object_stream[Message](math.inf)
        to_client, from_server = anyio.create_memory_object_stream[Message](math.inf)
        local_stream = MemoryStream(self._network, self._host, address.host, to_server, from_server)
        remote_stream = MemoryStream(
            self._network, address.host, self._host, to_client, from_client
        )
        self._network.streams += [local_stream, remote_stream]
        await handler(remote_stream, self._identity)
        return local_stream

    async def serve(self, address: PeerAddress, handler: PeerHandler) -> None:
        """Accepts connections until cancelled, one task for each."""
        async with anyio.create_task_group() as tasks:

            async def accept(stream: MessageStream, identity: PeerIdentity) -> None:
                tasks.start_soon(self._serve_connection, stream, identity, handler)

            self._network.handlers[address] = accept
            try:
                await anyio.sleep_forever()
            finally:
                if self._network.handlers.get(address) is accept:
                    del self._network.handlers[address]

    async def _serve_connection(
        self, stream: MessageStream, identity: PeerIdentity, handler: PeerHandler
    ) -> None:
        try:
            await handler(stream, identity)
        except PeerClosed:
            return
        finally:
            await stream.aclose()


class MemoryDatagrams:
    """Implements `Datagrams` for one host and counts the bytes that it sends.

    Args:
        network: The network to use.
        host: The process's host.
    """

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        self._network = network
        self._host = host
        self._address = PeerAddress(host, 0)
        self._tasks: TaskGroup | None = None

    async def serve(self, address: PeerAddress, handler: DatagramHandler) -> None:
        """Receives until cancelled."""
        self._address = address
        self._network.datagram_handlers[address] = handler
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            if self._network.datagram_handlers.get(address) is handler:
                del self._network.datagram_handlers[address]

    async def send(self, address: PeerAddress, data: bytes) -> None:
        """Sends one datagram, which is delivered after the latency of the link or lost."""
        if self._tasks is None:
            return
        network = self._network
        network.datagram_bytes[self._host] = network.datagram_bytes.get(self._host, 0) + len(data)
        network.datagram_count[self._host] = network.datagram_count.get(self._host, 0) + 1
        self._tasks.start_soon(self._deliver, address, data)

    async def _deliver(self, address: PeerAddress, data: bytes) -> None:
        network = self._network
        await anyio.sleep(network.delay_s(self._host, address.host))
        handler = network.datagram_handlers.get(address)
        is_cut = network.is_cut(self._host, address.host)
        if handler is not None and not is_cut and not network.is_lost():
            handler(data, self._address)
