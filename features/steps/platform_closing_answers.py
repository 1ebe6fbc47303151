"""Steps for answers that end with their connection, on a real node."""

import socket
import struct
from typing import Any

import anyio
from anyio.abc import SocketAttribute
from behave import then, when
from behave.runner import Context

from briarvale.errors import CallerGone
from briarvale.ingress import Responder
from features.support.platform_engine import (
    Behaviour,
    PlatformEngineStandin,
    SeenRequest,
    event,
    expected_text,
)
from features.support.platform_fleet import (
    MODEL,
    PLAIN,
    Caller,
    PlatformFleet,
    job_body,
    platform_fleet,
)

EVENT_COUNT = 6
HALF = EVENT_COUNT // 2
BODY = b"the body of an answer " * 40
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
HALF_OF_EVENTS = b"".join(event(number) for number in range(1, HALF + 1))
# Closing a socket that lingers for no time resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ITEM_TIMEOUT_S = 10.0
PLAIN_ROUTES = ("look", "pay")
ANSWERS = {
    "a body that ends with its connection": BODY,
    "half a body that ends with a reset": BODY[: len(BODY) // 2],
    "all events, which end with their connection": ALL_EVENTS,
    "events that end inside one, with their connection": HALF_OF_EVENTS + b"id: 99\ndata: pi",
    "events that end with a reset": HALF_OF_EVENTS,
    "a head and no event, which end with their connection": b"",
    "the end of one event's id, with its connection": b"id: 1\n",
}


class ClosingServer:
    """The first of two servers, which ends its first answer by closing or resetting the connection.

    Args:
        engine: The server.
        answer: What its first answer is, a key of `ANSWERS`.

    Attributes:
        may_end: Set to let the first answer end.
    """

    def __init__(self, engine: PlatformEngineStandin, answer: str) -> None:
        self._answer = answer
        self._serve = engine._answer
        self.has_begun = anyio.Event()
        self.may_end = anyio.Event()
        engine._answer = self._respond  # type: ignore[method-assign]

    async def _respond(self, behaviour: Behaviour, seen: SeenRequest, responder: Responder) -> None:
        if self.has_begun.is_set():
            await self._serve(behaviour, seen, responder)
            return
        self.has_begun.set()
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Briarvale-Request-Attempt-Id: {seen.request_id}\r\n"
            f"Briarvale-Server-Signature: first.{seen.request_id}\r\n\r\n"
        )
        await responder.write_raw(head.encode() + ANSWERS[self._answer])
        await self.may_end.wait()
        # The bytes must arrive before the connection ends, as a reset discards what is unread.
        await anyio.sleep(0.05)
        if self._answer.endswith("reset"):
            raw = responder._stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raise CallerGone("ends its connection")


async def add_first(fleet: PlatformFleet, service: str, answer: str) -> ClosingServer:
    """Adds the only server so far."""
    engine = await fleet.add_engine("i-first", service, event_count=EVENT_COUNT)
    return ClosingServer(engine, answer)


async def add_second(fleet: PlatformFleet, service: str, first: ClosingServer) -> None:
    """Adds a server for a further run, once the first one answers; then lets its answer end."""
    await first.has_begun.wait()
    await fleet.add_engine("i-second", service, event_count=EVENT_COUNT)
    first.may_end.set()


@when("the first of two servers gives a request on the route {route} {answer}, on {loop}")
def when_request(context: Context, route: str, answer: str, loop: str) -> None:
    async def scenario() -> None:
        async with platform_fleet() as fleet:
            service = PLAIN if route in PLAIN_ROUTES else MODEL
            first = await add_first(fleet, service, answer)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(add_second, fleet, service, first)
                caller = Caller(fleet.nodes["vm-1"])
                path = f"/{route}/a"
                context.answer = await caller.call("POST", path, b"body", request_id="req-1")

    options: dict[str, Any] = {"use_uvloop": loop == "uvloop"}
    anyio.run(scenario, backend_options=options)


@then("the call ends with {outcome}")
def then_outcome(context: Context, outcome: str) -> None:
    answer = context.answer
    match outcome:
        case "the first server's answer":
            assert (answer.status, answer.body, answer.is_whole) == (200, BODY, True), answer
            assert answer.headers["briarvale-server-signature"] == "first.req-1", answer
        case "the second server's answer":
            assert answer.status == 200 and answer.is_whole, answer
            assert answer.headers["briarvale-server-signature"].startswith("i-second"), answer
        case "all events and the end":
            assert (answer.status, answer.body, answer.is_whole) == (200, ALL_EVENTS, True), answer
        case "half of the events, cut off":
            expected = (200, HALF_OF_EVENTS, False)
            assert (answer.status, answer.body, answer.is_whole) == expected, answer
        case "status 502":
            assert answer.status == 502, answer
        case _:
            raise AssertionError(outcome)


@when("the first of two servers gives an item {answer}")
def when_item(context: Context, answer: str) -> None:
    async def scenario() -> None:
        async with platform_fleet() as fleet:
            first = await add_first(fleet, MODEL, answer)
            caller = Caller(fleet.nodes["vm-1"])
            accepted = await caller.call("POST", "/lot/job-1", job_body(["a"]), request_id="job-1")
            assert accepted is not None and accepted.status == 202, accepted
            await add_second(fleet, MODEL, first)
            with anyio.fail_after(ITEM_TIMEOUT_S):
                while not (results := await read_results(caller)):
                    await anyio.sleep(0.1)
            context.results = results

    anyio.run(scenario)


async def read_results(caller: Caller) -> list[dict[str, Any]]:
    """Reads the results of the job."""
    answer = await caller.call("GET", "/briarvale/lots/job-1?after=0")
    assert answer is not None
    return list(answer.json()["results"]) if answer.status == 200 else []


@then("the item is done, with its whole text")
def then_done(context: Context) -> None:
    (result,) = context.results
    assert result["state"] == "done", result
    assert result["text"] == expected_text(EVENT_COUNT), result
