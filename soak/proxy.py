"""A TCP proxy on loopback that delays or withholds bytes, or resets connections."""

import socket
import struct
from enum import Enum

import anyio
from anyio.abc import SocketAttribute, SocketStream

from briarvale.notifier import Notifier
from briarvale.peer import PeerAddress

CHUNK_BYTES = 65_536
DELAY_S = 0.3
# SO_LINGER with a timeout of 0: closing sends RST in place of FIN.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

__all__ = ["FaultyProxy", "ProxyMode"]


class ProxyMode(Enum):
    """What the proxy does with the bytes of a connection."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"


class FaultyProxy:
    """Forwards connections to a target; withheld bytes are sent once the mode changes.

    Args:
        target: Address that connections are forwarded to.
    """

    def __init__(self, target: PeerAddress) -> None:
        self._target = target
        self._mode = ProxyMode.PASS
        self._changed = Notifier()

    @property
    def mode(self) -> ProxyMode:
        """The current mode, of all connections."""
        return self._mode

    @mode.setter
    def mode(self, mode: ProxyMode) -> None:
        self._mode = mode
        self._changed.notify()

    async def serve(self, address: PeerAddress) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, client: SocketStream) -> None:
        try:
            if self._mode is ProxyMode.RESET:
                return
            target_stream = await anyio.connect_tcp(self._target.host, self._target.port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_at_reset, tasks.cancel_scope)
                tasks.start_soon(self._forward, client, target_stream, ProxyMode.NO_REQUESTS)
                await self._forward(target_stream, client, ProxyMode.NO_ANSWERS)
                tasks.cancel_scope.cancel()
            await _close(target_stream, is_reset=self._mode is ProxyMode.RESET)
        except OSError:
            # The target is unreachable or gone; the client's connection is closed too.
            return
        finally:
            await _close(client, is_reset=self._mode is ProxyMode.RESET)

    async def _cancel_at_reset(self, scope: anyio.CancelScope) -> None:
        while self._mode is not ProxyMode.RESET:
            await self._changed.wait()
        scope.cancel()

    async def _forward(
        self, source: SocketStream, sink: SocketStream, withholding_mode: ProxyMode
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                while self._mode in (ProxyMode.SILENT, withholding_mode):
                    await self._changed.wait()
                if self._mode is ProxyMode.DELAY:
                    await anyio.sleep(DELAY_S)
                await sink.send(data)
        except anyio.EndOfStream:
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


async def _close(stream: SocketStream, *, is_reset: bool) -> None:
    if is_reset:
        tcp_socket = stream.extra(SocketAttribute.raw_socket)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    with anyio.move_on_after(1, shield=True):
        await anyio.aclose_forcefully(stream)
