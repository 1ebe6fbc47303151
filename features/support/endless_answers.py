"""Endless bytes in place of an answer, as a faulty backend server may send them."""

import itertools
from collections.abc import Iterator
from enum import Enum

import anyio

from briarvale.errors import BriarvaleError
from briarvale.ingress import IngressRequest, Responder
from briarvale.routes import IngressLimits

BLOCK = b"x" * 65_536
TRICKLE_GAP_S = 0.05
# Sending stops here, so that a failing test does not exhaust the memory of the machine.
MAX_SENT_BYTES = 192_000_000

__all__ = ["Endless", "EndlessAnswer", "EndlessServer"]


class Endless(Enum):
    """What an endless answer consists of."""

    HEAD_LINE = "a line of a head"
    HEAD_LINES = "lines of a head"
    INFORMATIONAL = "informational answers"
    STRAY_BODY = "the body of an answer to another request"
    AFTER_ANSWER = "bytes after a complete answer"
    CHUNK_HEAD = "the size line of a chunk"
    TRICKLED_HEAD = "a trickle of lines of a head"
    ONE_EVENT = "one event"
    TRICKLED_EVENT = "a trickle of one event"
    REPEATED_EVENT = "the same event"
    NEW_EVENTS = "ever more events"
    FAILURE_BODY = "the body of a failure"


class EndlessAnswer:
    """One endless answer.

    Attributes:
        sent_bytes: Bytes written to the connection so far.
    """

    def __init__(self, kind: Endless) -> None:
        self.kind = kind
        self.sent_bytes = 0

    async def send(self, headers: tuple[tuple[bytes, bytes], ...], responder: Responder) -> None:
        """Sends until the connection breaks; `headers` are those of the answer."""
        is_trickle = self.kind in (Endless.TRICKLED_HEAD, Endless.TRICKLED_EVENT)
        for data in self._pieces(headers):
            await responder.write_raw(data)
            self.sent_bytes += len(data)
            if is_trickle or self.kind is Endless.REPEATED_EVENT:
                await anyio.sleep(TRICKLE_GAP_S)
            if self.sent_bytes > MAX_SENT_BYTES:
                await anyio.sleep_forever()

    def _pieces(self, headers: tuple[tuple[bytes, bytes], ...]) -> Iterator[bytes]:
        match self.kind:
            case Endless.HEAD_LINE:
                return itertools.chain([b"HTTP/1.1 200 "], itertools.repeat(BLOCK))
            case Endless.HEAD_LINES:
                return itertools.chain(
                    [b"HTTP/1.1 200 OK\r\n"], itertools.repeat(b"a: b\r\n" * 999)
                )
            case Endless.TRICKLED_HEAD:
                return itertools.chain([b"HTTP/1.1 200 OK\r\n"], itertools.repeat(b"a: b\r\n"))
            case Endless.INFORMATIONAL:
                return itertools.repeat(b"HTTP/1.1 102 Processing\r\n\r\n" * 99)
            case Endless.STRAY_BODY:
                stray = ((b"briarvale-request-attempt-id", b"other"),)
                return itertools.chain([head(200, stray)], itertools.repeat(chunk(BLOCK)))
            case Endless.AFTER_ANSWER:
                complete_answer = head(200, headers) + chunk(b"sound") + b"0\r\n\r\n"
                return itertools.chain([complete_answer], itertools.repeat(BLOCK))
            case Endless.CHUNK_HEAD:
                return itertools.chain([head(200, headers) + b"5;"], itertools.repeat(BLOCK))
            case Endless.ONE_EVENT:
                first_part = head(200, headers) + chunk(b"id: 1\ndata: ")
                return itertools.chain([first_part], itertools.repeat(chunk(BLOCK)))
            case Endless.TRICKLED_EVENT:
                first_part = head(200, headers) + chunk(b"id: 1\ndata: ")
                return itertools.chain([first_part], itertools.repeat(chunk(b"x")))
            case Endless.REPEATED_EVENT:
                repeated_event = itertools.repeat(chunk(b"id: 1\ndata: piece 1\n\n"))
                return itertools.chain([head(200, headers)], repeated_event)
            case Endless.NEW_EVENTS:
                events = (chunk(b"id: %d\ndata: %s\n\n" % (n, BLOCK)) for n in itertools.count(1))
                return itertools.chain([head(200, headers)], events)
            case Endless.FAILURE_BODY:
                return itertools.chain([head(500, headers)], itertools.repeat(chunk(BLOCK)))


class EndlessServer:
    """Answers every request with bytes without end.

    Args:
        endless: The answer.
    """

    limits = IngressLimits()

    def __init__(self, endless: EndlessAnswer) -> None:
        self._endless = endless

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Answers a request."""
        await self._endless.send((), responder)

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Answers a request that can't be read."""
        await responder.answer(400, (), b"")


def head(status: int, headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    """Returns the head of an answer with a chunked body."""
    lines = [b"HTTP/1.1 %d Status" % status, b"transfer-encoding: chunked"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
