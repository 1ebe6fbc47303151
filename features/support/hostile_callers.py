"""Callers that make a node hold as much as they can, and what its process holds meanwhile.

What they send is bounded in bytes, in time and by the memory of the process, so that a node without
limits can't exhaust the machine that runs the test.
"""

import socket
import subprocess
from collections.abc import Iterator
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream

from briarvale.peer import PeerAddress
from features.support.platform_fleet import HOST

# No caller sends for longer than this, or once the process holds this much memory.
MAX_SEND_S = 15.0
STOP_SENDING_BYTES = 400_000_000
WATCH_INTERVAL_S = 0.1
# With a small receive buffer, unread responses soon stay with the process.
RECEIVE_BUFFER_BYTES = 16_384
CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 65_536

__all__ = [
    "HostileCallers",
    "ProcessUse",
    "chunked_body",
    "half_head",
    "pipelined_requests",
    "process_use",
]


class ProcessUse(NamedTuple):
    """What a process has used: its peak resident memory, and its open descriptors now."""

    peak_bytes: int
    descriptors: int


def process_use(process: "subprocess.Popen[bytes]") -> ProcessUse:
    """Reads what a live process uses; raises `OSError` if it has ended."""
    folder = Path(f"/proc/{process.pid}")
    rows = (folder / "status").read_text().splitlines()
    peak = next(row for row in rows if row.startswith("VmHWM:"))
    return ProcessUse(int(peak.split()[1]) * 1_024, len(list((folder / "fd").iterdir())))


def chunked_body(size_bytes: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yields a request with a chunked body, without the chunk that ends it."""
    yield (
        f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nBriarvale-Request-Attempt-Id: hostile\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    chunks_a_piece = max(1, PIECE_BYTES // len(chunk))
    for _ in range(size_bytes // (chunk_bytes * chunks_a_piece)):
        yield chunk * chunks_a_piece


def pipelined_requests(size_bytes: int, path: str) -> Iterator[bytes]:
    """Yields many small requests."""
    request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    requests_a_piece = PIECE_BYTES // len(request)
    for _ in range(size_bytes // (len(request) * requests_a_piece)):
        yield request * requests_a_piece


def half_head(size_bytes: int) -> Iterator[bytes]:
    """Yields the beginning of a head."""
    yield f"GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Long: ".encode() + b"x" * size_bytes


class HostileCallers:
    """Opens connections that read nothing, and keeps them open until the block ends."""

    def __init__(self, process: "subprocess.Popen[bytes]") -> None:
        self._process = process
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "HostileCallers":
        return self

    async def __aexit__(self, *details: object) -> None:
        with anyio.CancelScope(shield=True):
            await self._stack.aclose()

    async def attack(self, address: PeerAddress, pieces: list[Iterator[bytes]]) -> None:
        """Sends each sequence of pieces on a connection of its own, until a bound is reached."""
        async with anyio.create_task_group() as tasks:
            tasks.cancel_scope.deadline = anyio.current_time() + MAX_SEND_S
            async with anyio.create_task_group() as senders:
                tasks.start_soon(self._watch_memory, tasks.cancel_scope)
                for sequence in pieces:
                    senders.start_soon(self._send, address, sequence)
            tasks.cancel_scope.cancel()

    async def _send(self, address: PeerAddress, pieces: Iterator[bytes]) -> None:
        with suppress(OSError, TimeoutError, anyio.BrokenResourceError):
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await _connect(address)
            self._stack.push_async_callback(anyio.aclose_forcefully, stream)
            for piece in pieces:
                await stream.send(piece)

    async def _watch_memory(self, scope: anyio.CancelScope) -> None:
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            with suppress(OSError, StopIteration):
                if process_use(self._process).peak_bytes < STOP_SENDING_BYTES:
                    continue
            scope.cancel()


async def _connect(address: PeerAddress) -> SocketStream:
    """Connects with a small receive buffer, which must be set before the connection is made."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw.setblocking(False)
    with suppress(BlockingIOError):
        raw.connect((address.host, address.port))
    await anyio.wait_writable(raw)
    error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raw.close()
        raise OSError(error, "can't connect")
    return await SocketStream.from_socket(raw)
