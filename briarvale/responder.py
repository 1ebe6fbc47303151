"""Sends the answer to a caller's request, and counts what it makes the process hold."""

from collections.abc import Callable

import anyio
import h11
from anyio.abc import SocketStream

from .errors import CallerGone
from .http_wire import AnswerHead, Headers, end_to_end_headers
from .ingress_budget import Holding, Phase

BODILESS_STATUSES = frozenset((204, 304))
SLICE_BYTES = 65_536

__all__ = ["Responder"]


class Responder:
    """Sends the single answer to a request.

    Args:
        connection: The HTTP state machine.
        stream: The caller's connection.
        should_close: Returns whether the connection must close after this answer.
        holding: Counts what the answer makes the process hold.
    """

    def __init__(
        self,
        connection: h11.Connection,
        stream: SocketStream,
        should_close: Callable[[], bool],
        holding: Holding,
    ) -> None:
        self._h11 = connection
        self._stream = stream
        self._should_close = should_close
        self._holding = holding
        # Bytes that were passed to `hold` since the last write.
        self._held_bytes = 0
        # Method of the request; empty while none was read.
        self.method = b""
        self.status = 0
        # Whether the answer was written to its end; if not, the connection is closed.
        self.is_finished = False

    @property
    def has_started(self) -> bool:
        """Whether the head of an answer was sent."""
        return self.status != 0

    async def hold(self, size_bytes: int) -> None:
        """Counts bytes of the answer that are held until the next write.

        Raises:
            IngressExhausted: If there is no room for them.
        """
        self._held_bytes += size_bytes
        self._holding.add(size_bytes)
        await self._holding.wait_for_room()

    async def start(self, head: AnswerHead) -> None:
        """Sends the head; the body follows in chunks."""
        headers = end_to_end_headers(head.headers)
        chunked = (b"transfer-encoding", b"chunked")
        await self._write(self._encode_head(head.status, (*headers, chunked)))

    async def send(self, data: bytes) -> None:
        """Sends bytes of the body."""
        await self._write(self._h11.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Ends the answer as complete."""
        await self._write(self._h11.send(h11.EndOfMessage()))
        self.is_finished = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer in one write, without its body where HTTP allows none."""
        content_length = (b"content-length", str(len(body)).encode())
        data = self._encode_head(status, (*end_to_end_headers(headers), content_length))
        if body and self.method != b"HEAD" and status not in BODILESS_STATUSES:
            data += self._h11.send(h11.Data(data=body)) or b""
        await self._write(data + (self._h11.send(h11.EndOfMessage()) or b""))
        self.is_finished = True

    async def write_raw(self, data: bytes) -> None:
        """Sends bytes without HTTP framing; test stand-ins use it to break the protocol."""
        await self._write(data)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        all_headers = list(headers)
        if self._should_close():
            all_headers.append((b"connection", b"close"))
        self.status = status
        return self._h11.send(h11.Response(status_code=status, headers=all_headers)) or b""

    async def _write(self, data: bytes | None) -> None:
        """Writes data in slices, each of which is progress once the kernel has taken it."""
        if not data:
            return
        phase_before = self._holding.phase
        self._holding.remove(self._held_bytes)
        self._held_bytes = 0
        self._holding.add(len(data))
        self._holding.record_progress()
        self._holding.phase = Phase.WRITING
        try:
            for start in range(0, len(data), SLICE_BYTES):
                await self._stream.send(data[start : start + SLICE_BYTES])
                self._holding.record_progress()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise CallerGone("the caller's connection broke") from error
        finally:
            self._holding.remove(len(data))
            self._holding.phase = phase_before
