"""A simulated backend server of the platform, whose behaviour is set for each request."""

import json
from collections import deque
from enum import Enum
from typing import NamedTuple

import anyio

from briarvale.errors import BriarvaleError, CallerGone
from briarvale.http_wire import AnswerHead, find_header
from briarvale.ingress import IngressRequest, Responder
from briarvale.routes import IngressLimits

EVENT_GAP_S = 0.01
# An event whose id is a digit to `str.isdigit`, but no number to `int`.
ODD_EVENT = "id: \N{SUPERSCRIPT TWO}\ndata: piece\n\n".encode()


class Behaviour(Enum):
    """How a backend server answers one request."""

    SERVE = "serve"
    BREAK_MIDWAY = "break midway"
    PAUSE_MIDWAY = "pause midway"
    BREAK_AT_ONCE = "break at once"
    REFUSE_FULL = "refuse as full"
    STRAY_ANSWER = "stray answer first"
    FAIL = "fail"
    UNPROCESSABLE = "refuse as unprocessable"
    HANG = "hang"
    UNSIGNED = "unsigned"
    CRASH = "crash"
    ODD_EVENT_ID = "send an event id that is not a number"
    SEND_NO_EVENT = "send endless bytes that form no event"


class SeenRequest(NamedTuple):
    """A request that reached the server."""

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    at_s: float

    def header(self, name: bytes) -> str:
        """Returns a header's value; empty if absent."""
        return (find_header(self.headers, name) or b"").decode()


class PlatformEngineStandin:
    """One backend server; a model engine sends `event_count` events, a plain service one body."""

    limits = IngressLimits()

    def __init__(self, server_id: str, *, is_model: bool, event_count: int = 6) -> None:
        self.id = server_id
        self.is_model = is_model
        self.event_count = event_count
        self.event_gap_s = EVENT_GAP_S
        # Text appended to the data of each event.
        self.padding = ""
        self.behaviours: deque[Behaviour] = deque()
        self.default_behaviour = Behaviour.SERVE
        # A part of prompts that crashes the server; empty if none does.
        self.deadly_part = ""
        self.is_draining = False
        # The load report, in place of the true one; the true one if it is empty.
        self.report = b""
        self.seen: list[SeenRequest] = []
        self.running = 0
        self.running_ids: set[str] = set()
        self.finished = 0
        # Ids of streams that were sent to their end.
        self.finished_ids: set[str] = set()
        self.crashed = anyio.Event()

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Responds with 400 to a malformed request."""
        await responder.answer(400, (), b"")

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Answers with the next queued behaviour, or else with the default one."""
        seen = SeenRequest(
            (find_header(request.headers, b"briarvale-request-attempt-id") or b"").decode(),
            request.method,
            request.target,
            request.headers,
            request.body,
            anyio.current_time(),
        )
        if request.target == b"/briarvale/report":
            report = {"num_running": self.running, "num_waiting": 0}
            await responder.answer(200, (), self.report or json.dumps(report).encode())
            return
        if seen.header(b"briarvale-expect-instance") != self.id:
            headers = ((b"briarvale-instance-id", self.id.encode()), *self._draining_headers)
            await responder.answer(421, headers, b"")
            return
        self.seen.append(seen)
        behaviour = self.behaviours.popleft() if self.behaviours else self.default_behaviour
        if self.deadly_part and self.deadly_part in seen.header(b"briarvale-prompt-prefix"):
            behaviour = Behaviour.CRASH
        self.running += 1
        self.running_ids.add(seen.request_id)
        try:
            await self._answer(behaviour, seen, responder)
            self.finished += 1
        finally:
            self.running -= 1
            self.running_ids.discard(seen.request_id)

    @property
    def _draining_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Headers that announce draining; none if the server is not draining."""
        return ((b"server-leaving", b"1"),) if self.is_draining else ()

    async def _answer(self, behaviour: Behaviour, seen: SeenRequest, responder: Responder) -> None:
        headers = ((b"briarvale-request-attempt-id", seen.request_id.encode()),)
        headers += ((b"briarvale-server-signature", f"{self.id}.{seen.request_id}".encode()),)
        draining = self._draining_headers
        headers += draining
        match behaviour:
            case Behaviour.REFUSE_FULL:
                await responder.answer(503, ((b"briarvale-not-executed", b"1"), *draining), b"")
            case Behaviour.BREAK_AT_ONCE:
                raise CallerGone("breaks off")
            case Behaviour.FAIL:
                await responder.answer(500, headers, b"failed")
            case Behaviour.UNPROCESSABLE:
                await responder.answer(422, headers, b"never")
            case Behaviour.CRASH:
                self.crashed.set()
                await anyio.sleep_forever()
            case Behaviour.HANG:
                await anyio.sleep_forever()
            case Behaviour.UNSIGNED:
                await responder.answer(200, headers[:1], b"forged")
            case Behaviour.STRAY_ANSWER:
                await responder.write_raw(
                    b"HTTP/1.1 200 OK\r\nBriarvale-Request-Attempt-Id: other\r\n"
                    b"Briarvale-Server-Signature: other\r\nContent-Length: 5\r\n\r\nstray"
                )
                await self._serve(seen, headers, responder, self.event_count)
            case Behaviour.ODD_EVENT_ID:
                await responder.start(AnswerHead(200, headers))
                await responder.send(ODD_EVENT)
                await responder.finish()
            case Behaviour.SEND_NO_EVENT:
                await responder.start(AnswerHead(200, headers))
                while True:
                    await responder.send(b"no event ")
                    await anyio.sleep(self.event_gap_s)
            case Behaviour.BREAK_MIDWAY:
                await self._serve(seen, headers, responder, self.event_count // 2)
                raise CallerGone("breaks off")
            case Behaviour.PAUSE_MIDWAY:
                await self._serve(seen, headers, responder, self.event_count // 2)
                await anyio.sleep_forever()
            case _:
                await self._serve(seen, headers, responder, self.event_count)

    async def _serve(
        self,
        seen: SeenRequest,
        headers: tuple[tuple[bytes, bytes], ...],
        responder: Responder,
        until: int,
    ) -> None:
        """Sends the events up to number `until`; a plain service only answers if it is the last."""
        if not self.is_model:
            body = b"body of " + seen.request_id.encode()
            if until == self.event_count:
                await responder.answer(200, headers, body)
            return
        await responder.start(AnswerHead(200, (*headers, (b"content-type", b"text/event-stream"))))
        after = int(seen.header(b"last-event-id") or 0)
        for number in range(after + 1, until + 1):
            await responder.send(event(number, self.padding))
            await anyio.sleep(self.event_gap_s)
        if until == self.event_count:
            await responder.finish()
            self.finished_ids.add(seen.request_id)
        else:
            await responder.send(b"id: 99\nda")


def event(number: int, padding: str = "") -> bytes:
    """Returns the bytes of one event."""
    return f"id: {number}\ndata: piece {number}{padding}\n\n".encode()


def expected_text(event_count: int) -> str:
    """Returns the result text of a finished item."""
    return "\n".join(f"piece {number}" for number in range(1, event_count + 1))
