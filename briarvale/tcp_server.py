"""Accepts TCP connections at an address, also where the address is taken or descriptors run out."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import Listener, SocketListener, SocketStream, TaskGroup
from anyio.streams.stapled import MultiListener

from . import logs
from .containment import run_contained
from .peer_address import PeerAddress

BACKLOG = 1_024
# Pause before the next try to listen at an address that is taken.
LISTEN_RETRY_S = 0.3
# Pause after a connection that can't be accepted, as when no descriptor is left.
ACCEPT_RETRY_S = 0.05

log = logs.component_logger("listener")

__all__ = ["TcpServer"]

ConnectionHandler = Callable[[SocketStream], Awaitable[None]]
Acceptor = Callable[[SocketListener], Awaitable[SocketStream]]


class TcpServer:
    """Listens at one address and passes each connection to a handler in a task of its own.

    Args:
        name: What the connections are for, for log lines.
        accept: Accepts one connection of a listener; by default as the event loop does.

    Attributes:
        is_listening: Whether connections are accepted.
    """

    def __init__(self, name: str, accept: Acceptor | None = None) -> None:
        self._name = name
        self._accept = accept or _accept_by_event_loop
        self.is_listening = False

    async def serve(self, address: PeerAddress, handle: ConnectionHandler) -> None:
        """Accepts connections until cancelled; tries again for as long as the address is taken.

        An unexpected error of the handler ends its connection only.
        """
        listener = await self._listen(address)
        self.is_listening = True
        try:
            # Cancelling alone would leave the port in use until the listener is collected.
            async with listener, anyio.create_task_group() as tasks:
                for single in listener.listeners:
                    tasks.start_soon(self._accept_all, single, handle, tasks)
        finally:
            self.is_listening = False

    async def _listen(self, address: PeerAddress) -> MultiListener[SocketStream]:
        tries = 0
        while True:
            try:
                return await anyio.create_tcp_listener(
                    local_host=address.host,
                    local_port=address.port,
                    backlog=BACKLOG,
                    reuse_port=False,
                )
            except OSError as error:
                tries += 1
                log.warning(
                    "Can't listen at {}:{} for {} yet: {}.",
                    address.host,
                    address.port,
                    self._name,
                    error,
                    tries=tries,
                )
                await anyio.sleep(LISTEN_RETRY_S)

    async def _accept_all(
        self, listener: Listener[SocketStream], handle: ConnectionHandler, tasks: TaskGroup
    ) -> None:
        assert isinstance(listener, SocketListener)
        while True:
            try:
                stream = await self._accept(listener)
            except OSError as error:
                log.warning("Can't accept a connection for {}: {}.", self._name, error)
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            tasks.start_soon(run_contained, self._name, handle, stream)


async def _accept_by_event_loop(listener: SocketListener) -> SocketStream:
    return await listener.accept()
