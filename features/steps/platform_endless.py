"""Steps of servers that send endless bytes: real nodes and stand-ins, on loopback."""

import time
from typing import Any
from unittest import mock

import anyio
import anyio.lowlevel
from behave import then, when
from behave.runner import Context

from briarvale.errors import AnswerTooLong
from briarvale.event_stream import EventSplitter
from briarvale.http_wire import AnswerHead, ClientConnection, OutgoingRequest
from briarvale.ingress import Ingress, Responder, _CallerConnection
from briarvale.ingress_budget import IngressBudget
from briarvale.live_servers import LiveServer
from briarvale.peer import PeerAddress
from briarvale.platform.engine_report import fetch_runs
from briarvale.routes import IngressLimits
from features.support.endless_answers import Endless, EndlessAnswer, EndlessServer
from features.support.platform_engine import (
    PlatformEngineStandin,
    SeenRequest,
    event,
    expected_text,
)
from features.support.platform_fleet import (
    MODEL,
    PLAIN,
    Answer,
    Caller,
    PlatformFleet,
    free_port,
    job_body,
    platform_fleet,
)
from features.support.platform_jobs import read_all, submit_job

BODY = b"look"
EVENT_COUNT = 6
# Read limit of one answer plus the buffers of a loopback connection.
MAX_READ_BYTES = 24_000_000
RUN_END_WAIT_S = 0.3
LONG_EVENT = b"x" * 200_000
LONG_EVENT_COUNT = 40
LONG_BODY = b"y" * 8_000_000


class Observations:
    """What one run of a scenario observed."""

    def __init__(self, endless: EndlessAnswer) -> None:
        self.endless = endless
        self.answers: list[Answer] = []
        self.results: list[dict[str, str]] = []
        self.took_s = 0.0
        self.still_running = 0


def answer_first_without_end(engines: list[PlatformEngineStandin], endless: EndlessAnswer) -> None:
    """Makes the first request that reaches a server get an endless answer."""
    is_first_answered = False

    def wrap(engine: PlatformEngineStandin) -> None:
        serve = engine._answer

        async def answer(behaviour: Any, seen: SeenRequest, responder: Responder) -> None:
            nonlocal is_first_answered
            if is_first_answered:
                await serve(behaviour, seen, responder)
                return
            is_first_answered = True
            headers = ((b"briarvale-request-attempt-id", seen.request_id.encode()),)
            headers += ((b"briarvale-server-signature", b"spoiled"),)
            await endless.send(headers, responder)

        engine._answer = answer  # type: ignore[method-assign]

    for engine in engines:
        wrap(engine)


def run_endless(context: Context, path: str, name: str, service: str = PLAIN) -> None:
    """Runs a fleet and sends one request, whose first run gets an endless answer."""
    observed = Observations(EndlessAnswer(Endless(name)))

    async def run() -> None:
        async with platform_fleet() as fleet:
            engines = [await fleet.add_engine(f"i-{n}", service) for n in range(2)]
            caller = Caller(fleet.nodes["vm-1"])
            for _ in range(6):
                await caller.call("POST", path, BODY)
            answer_first_without_end(engines, observed.endless)
            started_s = time.monotonic()
            answer = await caller.call("POST", path, BODY, request_id="req-1")
            assert answer is not None
            observed.answers.append(answer)
            observed.took_s = time.monotonic() - started_s
            await anyio.sleep(RUN_END_WAIT_S)
            observed.still_running = sum(engine.running for engine in engines)

    anyio.run(run)
    context.observed = observed


@when("one of two servers answers an idempotent request with {name} without end")
def when_idempotent(context: Context, name: str) -> None:
    run_endless(context, "/look/a", name)


@when("one of two servers answers a non-idempotent request with {name} without end")
def when_non_idempotent(context: Context, name: str) -> None:
    run_endless(context, "/pay/a", name)


@when("one of two servers answers a resumable stream with {name} without end")
def when_resumable(context: Context, name: str) -> None:
    run_endless(context, "/go-on/a", name, MODEL)


@when("one of two servers answers a stream with {name} without end")
def when_stream(context: Context, name: str) -> None:
    run_endless(context, "/ask/a", name, MODEL)


@then("the caller gets the other server's answer within {limit_s:d} s")
def then_other(context: Context, limit_s: int) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 200 and answer.body == b"body of req-1", (
        answer,
        context.observed.took_s,
    )
    assert context.observed.took_s < limit_s, context.observed.took_s


@then("the caller gets the complete answer and the faulty run was ended")
def then_complete(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 200 and answer.body == b"sound", answer
    then_ended(context)


@then("the caller gets 502 within {limit_s:d} s")
def then_502(context: Context, limit_s: int) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 502, (answer, context.observed.took_s)
    assert context.observed.took_s < limit_s, context.observed.took_s


@then("the caller gets every event once and the end of the stream within {limit_s:d} s")
def then_events(context: Context, limit_s: int) -> None:
    answer = context.observed.answers[0]
    assert answer.is_whole, (answer.status, len(answer.body), context.observed.took_s)
    assert answer.body == b"".join(event(n) for n in range(1, EVENT_COUNT + 1)), answer.body[:500]
    assert context.observed.took_s < limit_s, context.observed.took_s


@then("the faulty run was ended after a bounded number of bytes")
def then_ended(context: Context) -> None:
    assert context.observed.still_running == 0
    assert (
        0 < context.observed.endless.sent_bytes < MAX_READ_BYTES
    ), context.observed.endless.sent_bytes


@when("one of two servers answers an item with {name} without end")
def when_item(context: Context, name: str) -> None:
    observed = Observations(EndlessAnswer(Endless(name)))

    async def run() -> None:
        async with platform_fleet() as fleet:
            engines = [await fleet.add_engine(f"i-{n}", MODEL) for n in range(2)]
            answer_first_without_end(engines, observed.endless)
            await submit_job(fleet.nodes["vm-1"], job_body(["item-a"]))
            started_s = time.monotonic()
            with anyio.move_on_after(12):
                observed.results = await read_all(fleet.nodes["vm-1"], 1)
            observed.took_s = time.monotonic() - started_s
            observed.still_running = sum(engine.running for engine in engines)

    anyio.run(run)
    context.observed = observed


@then("the item is done by the other server within {limit_s:d} s, with its complete text")
def then_item(context: Context, limit_s: int) -> None:
    assert (
        context.observed.results
    ), f"not done, {context.observed.endless.sent_bytes} bytes were sent"
    result = context.observed.results[0]
    assert result["state"] == "done" and result["text"] == expected_text(EVENT_COUNT), result
    assert context.observed.took_s < limit_s, context.observed.took_s


@when("a server answers a request for its load with a body without end")
def when_report(context: Context) -> None:
    observed = Observations(EndlessAnswer(Endless.ONE_EVENT))
    context.error = None

    async def run() -> None:
        address = PeerAddress("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Ingress(EndlessServer(observed.endless)).serve, address)
            await anyio.sleep(0.1)
            try:
                with anyio.fail_after(3):
                    await fetch_runs(LiveServer("i-0", MODEL, address, "a", 4))
            except (AnswerTooLong, TimeoutError) as error:
                context.error = error
            tasks.cancel_scope.cancel()

    anyio.run(run)
    context.observed = observed


@then("the load request fails as an answer that is too long, after a bounded number of bytes")
def then_report(context: Context) -> None:
    assert isinstance(context.error, AnswerTooLong), repr(context.error)
    then_ended(context)


@when("a caller that reads slowly asks for a stream of 40 events of 200 kB and a body of 8 MB")
def when_long(context: Context) -> None:
    context.answers = []

    async def run() -> None:
        async with platform_fleet() as fleet:
            for name, service, serve in (
                ("i-stream", MODEL, send_long_events),
                ("i-plain", PLAIN, send_long_body),
            ):
                engine = await fleet.add_engine(name, service)
                engine._answer = serve  # type: ignore[method-assign]
            for path in ("/go-on/a", "/look/a"):
                context.answers.append(await read_slowly(fleet, path))

    anyio.run(run)


def _head(headers: tuple[tuple[bytes, bytes], ...]) -> AnswerHead:
    return AnswerHead(200, (*headers, (b"content-type", b"text/event-stream")))


async def send_long_events(behaviour: Any, seen: SeenRequest, responder: Responder) -> None:
    """Streams `LONG_EVENT_COUNT` long events."""
    headers = ((b"briarvale-server-signature", b"sound"),)
    await responder.start(_head(headers))
    for number in range(1, LONG_EVENT_COUNT + 1):
        await responder.send(b"id: %d\ndata: %s\n\n" % (number, LONG_EVENT))
    await responder.finish()


async def send_long_body(behaviour: Any, seen: SeenRequest, responder: Responder) -> None:
    """Answers with a long body."""
    await responder.answer(200, ((b"briarvale-server-signature", b"sound"),), LONG_BODY)


async def read_slowly(fleet: PlatformFleet, path: str) -> Answer:
    """Sends a request and reads the answer after longer than a stream may pause."""
    caller = Caller(fleet.nodes["vm-1"])
    read = caller._read

    async def read_late() -> Answer:
        await anyio.sleep(1.5)
        return await read()

    caller._read = read_late  # type: ignore[method-assign]
    answer = await caller.call("POST", path, BODY)
    assert answer is not None
    return answer


@then("it gets both completely")
def then_long(context: Context) -> None:
    stream, plain = context.answers
    assert stream.status == 200 and stream.is_whole, (stream.status, len(stream.body))
    assert stream.body.count(b"data: ") == LONG_EVENT_COUNT
    assert plain.status == 200 and plain.body == LONG_BODY, (plain.status, len(plain.body))


PATTERN_BYTES = 262_144
PATTERNS = {
    "line ends": (b"\n", 65_536),
    "line ends with carriage return": (b"\r\n", 65_536),
    "events without data": (b":\n\n", 65_536),
    "one event in parts of 16 bytes": (b"data: xy\n", 16),
    "ends that are cut apart": (b"id: 1\r\ndata: a\r\n\r\ndata: b\n\n\r\n\r\n", 7),
}


@when("256 KiB of {pattern} are split into events")
def when_split(context: Context, pattern: str) -> None:
    unit, part_bytes = PATTERNS[pattern]
    data = (unit * (PATTERN_BYTES // len(unit) + 1))[:PATTERN_BYTES]
    splitter = EventSplitter()
    started_s = time.process_time()
    parts = [data[start : start + part_bytes] for start in range(0, len(data), part_bytes)]
    context.events = [event for part in parts for event in splitter.feed(part)]
    context.took_s = time.process_time() - started_s
    context.data = data


@then("the same events come out as when they are split one byte after the other")
def then_same_events(context: Context) -> None:
    expected, start = [], 0
    for end in range(len(context.data) + 1):
        if context.data[max(start, end - 4) : end].endswith((b"\n\n", b"\r\n\r\n")):
            expected.append(context.data[start:end])
            start = end
    assert [event.raw for event in context.events] == expected


@then("it takes less than 2 s")
def then_soon(context: Context) -> None:
    assert context.took_s < 2, context.took_s


CHUNKS = 10_000
CHUNKED_BODY = b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
CHUNKED_ANSWER = b"HTTP/1.1 200 OK\r\n" + CHUNKED_BODY
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\n" + CHUNKED_BODY


class ReceivedStream:
    """A connection on which everything has arrived already."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def send(self, data: bytes) -> None:
        """Sends nothing."""

    async def receive(self, max_bytes: int) -> bytes:
        """Returns everything at once."""
        data, self._data = self._data, b""
        if not data:
            raise anyio.EndOfStream
        return data


async def read_answer() -> int:
    """Reads a chunked answer; returns the size of its body in bytes."""
    connection = ClientConnection(ReceivedStream(CHUNKED_ANSWER))  # type: ignore[arg-type]
    answer = await connection.exchange(OutgoingRequest(b"GET", b"/", ((b"Host", b"a"),)), CHUNKS)
    return len(answer.body)


async def read_request() -> int:
    """Reads a chunked request; returns the size of its body in bytes."""
    handler = mock.Mock(limits=IngressLimits())
    holding = IngressBudget().open(mock.Mock())
    connection = _CallerConnection(ReceivedStream(CHUNKED_REQUEST), handler, mock.Mock(), holding)
    request = await connection._read_request(mock.Mock())
    assert request is not None
    return len(request.body)


@when("10,000 chunks of one byte from {who} arrive in one go while another task is ready to run")
def when_chunks(context: Context, who: str) -> None:
    read = read_answer if who == "a server" else read_request

    async def run() -> tuple[int, int]:
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                await anyio.lowlevel.checkpoint()
                turns += 1

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take_turns)
            size_bytes = await read()
            tasks.cancel_scope.cancel()
        return turns, size_bytes

    context.turns, context.size_bytes = anyio.run(run)


@then("the other task runs at least 50 times before the last chunk is read")
def then_other_ran(context: Context) -> None:
    assert context.size_bytes == CHUNKS, context.size_bytes
    assert context.turns >= 50, context.turns
