"""A TCP proxy on loopback whose connections share one link of a fixed rate in each direction."""

import anyio
from anyio.abc import SocketStream

from briarvale.peer import PeerAddress

CHUNK_BYTES = 16_384
BITS_PER_BYTE = 8

__all__ = ["NarrowLink"]


class _Direction:
    """One direction of a link; the chunks of all connections are sent one after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    async def transfer(self, size_bytes: int) -> None:
        """Waits until the link has transferred this many bytes."""
        now_s = anyio.current_time()
        self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self._bytes_per_s
        await anyio.sleep(self._free_at_s - now_s)


class NarrowLink:
    """A proxy that forwards connections to a target at a limited rate.

    Args:
        target: Address that connections are forwarded to.
        rate_bits_per_s: Rate in each direction, shared by all connections.
    """

    def __init__(self, target: PeerAddress, rate_bits_per_s: float) -> None:
        self._target = target
        self._to_target = _Direction(rate_bits_per_s / BITS_PER_BYTE)
        self._to_caller = _Direction(rate_bits_per_s / BITS_PER_BYTE)

    async def serve(self, address: PeerAddress) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, caller: SocketStream) -> None:
        server = await anyio.connect_tcp(self._target.host, self._target.port)
        async with caller, server, anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, caller, server, self._to_target, tasks.cancel_scope)
            await self._forward(server, caller, self._to_caller, tasks.cancel_scope)

    async def _forward(
        self,
        source: SocketStream,
        sink: SocketStream,
        direction: _Direction,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await direction.transfer(len(data))
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()
