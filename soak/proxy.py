"""A TCP proxy on loopback that delays, withholds or resets what passes through it."""

import socket
import struct
from enum import Enum

import anyio
from anyio.abc import SocketAttribute, SocketStream

from briarvale.notifier import Notifier
from briarvale.peer import PeerAddress

CHUNK_BYTES = 65_536
DELAY_S = 0.3
# Closing with this option sends a reset in place of an orderly end.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

__all__ = ["FaultyProxy", "ProxyMode"]


class ProxyMode(Enum):
    """What becomes of the bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_REQUESTS = "no requests"
    NO_ANSWERS = "no answers"


class FaultyProxy:
    """Passes connections on to a target; withheld bytes follow once the mode ends.

    Args:
        target: Where connections go.
    """

    def __init__(self, target: PeerAddress) -> None:
        self._target = target
        self._mode = ProxyMode.PASS
        self._changed = Notifier()

    @property
    def mode(self) -> ProxyMode:
        """The mode now."""
        return self._mode

    @mode.setter
    def mode(self, mode: ProxyMode) -> None:
        self._mode = mode
        self._changed.notify()

    async def serve(self, address: PeerAddress) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, caller: SocketStream) -> None:
        try:
            if self._mode is ProxyMode.RESET:
                return
            server = await anyio.connect_tcp(self._target.host, self._target.port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._end_at_reset, tasks.cancel_scope)
                tasks.start_soon(self._pump, caller, server, ProxyMode.NO_REQUESTS)
                await self._pump(server, caller, ProxyMode.NO_ANSWERS)
                tasks.cancel_scope.cancel()
            await _close(server, is_reset=self._mode is ProxyMode.RESET)
        except OSError:
            # The target is gone; so is the connection.
            return
        finally:
            await _close(caller, is_reset=self._mode is ProxyMode.RESET)

    async def _end_at_reset(self, scope: anyio.CancelScope) -> None:
        while self._mode is not ProxyMode.RESET:
            await self._changed.wait()
        scope.cancel()

    async def _pump(self, source: SocketStream, sink: SocketStream, withheld_in: ProxyMode) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                while self._mode in (ProxyMode.SILENT, withheld_in):
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
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    with anyio.move_on_after(1, shield=True):
        await anyio.aclose_forcefully(stream)
