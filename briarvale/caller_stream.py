"""Connections of callers whose bytes stay with the kernel until they are asked for.

The streams of event loops read as much as has arrived into memory, and go on reading until the
first pause. Here a receive takes at most the bytes that it asks for, and a send returns once the
kernel has taken all bytes, so that a process holds only what its own code holds.
"""

import select
import socket

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketListener, SocketStream

# Not defined on all systems; without it, only a reset of a paused connection is noticed.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)

__all__ = ["CallerStream", "accept_caller", "is_peer_gone"]


class CallerStream(SocketStream):
    """A connected socket as a stream.

    Args:
        raw: The socket, which is not blocking; the stream closes it.
    """

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw

    @property
    def _raw_socket(self) -> socket.socket:
        return self._raw

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receives at most `max_bytes`; raises `EndOfStream` once the peer has closed."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        while True:
            self._check_open()
            try:
                data = self._raw.recv(max_bytes)
            except (BlockingIOError, InterruptedError):
                await anyio.wait_readable(self._raw)
                continue
            except OSError as error:
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, item: bytes) -> None:
        """Returns once the kernel has taken all bytes."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        remaining = memoryview(item)
        while remaining:
            self._check_open()
            try:
                remaining = remaining[self._raw.send(remaining) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self._raw)
            except OSError as error:
                raise anyio.BrokenResourceError from error
        await anyio.lowlevel.cancel_shielded_checkpoint()

    async def send_eof(self) -> None:
        """Shuts down the sending side."""
        self._check_open()
        self._raw.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Closes the socket; tasks that wait for it fail."""
        if self._raw.fileno() >= 0:
            anyio.notify_closing(self._raw)
            self._raw.close()
        await anyio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._raw.fileno() < 0:
            raise anyio.ClosedResourceError


async def accept_caller(listener: SocketListener) -> CallerStream:
    """Accepts a connection; raises `OSError` if it can't, as when no descriptor is left."""
    listening = listener.extra(SocketAttribute.raw_socket)
    # Connections that are closed to make room need their turn between two that are accepted.
    await anyio.lowlevel.checkpoint()
    while True:
        try:
            raw, _ = listening.accept()
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(listening)
            continue
        raw.setblocking(False)
        return CallerStream(raw)


def is_peer_gone(stream: SocketStream) -> bool:
    """Whether the peer has closed or reset the connection, even if unread bytes precede that."""
    poll = select.poll()
    poll.register(stream.extra(SocketAttribute.raw_socket), PEER_CLOSED)
    return bool(poll.poll(0))
