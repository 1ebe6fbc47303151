"""Steps for answers that a backend server sends twice, on a real node."""

import anyio
from behave import then, when
from behave.runner import Context

from features.support.platform_engine import event, expected_text
from features.support.platform_fleet import (
    MODEL,
    PLAIN,
    Answer,
    Caller,
    PlatformFleet,
    job_body,
    platform_fleet,
)
from features.support.platform_jobs import read_all, submit_job
from features.support.raw_server import RawRequest, RawServer, raw_answer

EVENT_COUNT = 6
FAILED_RUNS = 2
ITEM = "item-a"
BODY = b"body"
FAILURE = b"failed"
IN_ONE_PIECE = "in one piece with the first"
CUT = "cut, before the next answer"
# After which bytes a failure breaks off.
CUTS = {"its reason": b"HTTP/1.1 500 Sta", "a header": b"timeout=2", "its body": b"\r\n\r\nans"}


def stream(request: RawRequest, end: bytes = b"", until: int = EVENT_COUNT) -> bytes:
    """Returns an answer with the events that the caller lacks, up to number `until`."""
    numbers = range(request.resume_after + 1, until + 1)
    return raw_answer(200, b"".join(event(number) for number in numbers) + end, request)


@when(
    "a server answers two runs of an item with {status:d} and sends the second answer again, {copy}"
)
def when_item(context: Context, status: int, copy: str) -> None:
    def respond(request: RawRequest) -> bytes:
        failure = raw_answer(status, FAILURE, request)
        earlier = raw_answer(status, FAILURE, request._replace(run=FAILED_RUNS))
        if request.run < FAILED_RUNS:
            return failure
        if request.run == FAILED_RUNS:
            return failure + earlier if copy == IN_ONE_PIECE else failure
        is_same_connection = request.connection == server.seen[FAILED_RUNS - 1].connection
        if request.run > FAILED_RUNS + 1 or copy == IN_ONE_PIECE or not is_same_connection:
            return stream(request)
        return (earlier[: -len(FAILURE) // 2] if copy == CUT else earlier) + stream(request)

    server = RawServer(respond)

    async def run() -> None:
        async with platform_fleet() as fleet, server.serve(fleet, MODEL):
            await submit_job(fleet.nodes["vm-1"], job_body([ITEM]))
            context.results = await read_all(fleet.nodes["vm-1"], 1)

    anyio.run(run)
    context.server = server


@then("the item is done after {runs:d} runs, with its complete text")
def then_done(context: Context, runs: int) -> None:
    expected = {"id": ITEM, "state": "done", "text": expected_text(EVENT_COUNT)}
    assert context.results == [expected], context.results
    assert len(context.server.seen) == runs, context.server.seen


async def calls(fleet: PlatformFleet, path: str, *request_ids: str) -> list[Answer]:
    """Sends requests one after the other, on one connection, and returns their answers."""
    caller = Caller(fleet.nodes["vm-1"])
    answers = [await caller.call("POST", path, BODY, request_id=name) for name in request_ids]
    return [answer for answer in answers if answer is not None]


def call_raw(context: Context, server: RawServer, service: str, path: str, *ids: str) -> None:
    """Sends requests with these ids; a raw server is the only one of the service."""

    async def run() -> None:
        async with platform_fleet() as fleet, server.serve(fleet, service):
            context.answers = await calls(fleet, path, *ids)

    anyio.run(run)


@when(
    "a server breaks off two runs of a resumable stream within an event "
    "and sends the second again late"
)
def when_resumed(context: Context) -> None:
    def respond(request: RawRequest) -> bytes:
        if request.run <= FAILED_RUNS:
            return stream(request, b"id: 99\nda", until=request.run)
        earlier = server.seen[FAILED_RUNS - 1]
        is_same_connection = request.connection == earlier.connection
        copy = stream(earlier, b"id: 99\nda", until=earlier.run) if is_same_connection else b""
        return copy + stream(request)

    server = RawServer(respond)
    call_raw(context, server, MODEL, "/go-on/a", "req-1")


@then("the caller gets all events and the end of the stream")
def then_stream(context: Context) -> None:
    expected = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
    assert [answer.body for answer in context.answers] == [expected], context.answers
    assert context.answers[0].is_whole


@when("the first of two answers to one id comes again before the second")
def when_same_id(context: Context) -> None:
    def respond(request: RawRequest) -> bytes:
        answer = raw_answer(200, b"answer %d" % request.run, request)
        earlier = server.seen[0]
        is_late = request.run > 1 and request.connection == earlier.connection
        return (raw_answer(200, b"answer 1", earlier) if is_late else b"") + answer

    server = RawServer(respond)
    call_raw(context, server, PLAIN, "/pay/a", "req-1", "req-1")


@when("the first of two answers states no id and comes again before the second")
def when_no_id(context: Context) -> None:
    def respond(request: RawRequest) -> bytes:
        unidentified = raw_answer(400, b"answer 1")
        if request.id == "req-1":
            return unidentified
        is_late = request.connection == server.seen[0].connection
        return (unidentified if is_late else b"") + raw_answer(200, b"answer 2", request)

    server = RawServer(respond)
    call_raw(context, server, PLAIN, "/pay/a", "req-1", "req-2")


@when(
    "a server sends its failure again, up to {part}, "
    "before it answers a request on the route {route}"
)
def when_cut_copy(context: Context, part: str, route: str) -> None:
    def respond(request: RawRequest) -> bytes:
        failure = raw_answer(500, b"answer 1", server.seen[0])
        if request.id == "req-1":
            return failure
        cut = failure.index(CUTS[part]) + len(CUTS[part])
        is_late = request.connection == server.seen[0].connection
        return (failure[:cut] if is_late else b"") + raw_answer(200, b"answer 2", request)

    server = RawServer(respond)
    call_raw(context, server, PLAIN, f"/{route}/a", "req-1", "req-2")


@then("the second request ends with status {status:d}, and not with the failure of the first")
def then_status(context: Context, status: int) -> None:
    answer = context.answers[1]
    assert answer.status == status, answer
    assert (answer.body == b"answer 2") == (status == 200), answer


@then("each request gets its own answer")
def then_own(context: Context) -> None:
    bodies = [answer.body for answer in context.answers]
    assert bodies == [b"answer 1", b"answer 2"], bodies
