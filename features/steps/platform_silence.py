"""Steps for the timeout on silent servers: a forwarder with fakes, and one connection."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import SlotRequest
from briarvale.answer_times import MIN_SAMPLES
from briarvale.clock import Clock
from briarvale.crash_guard import CrashGuard
from briarvale.crash_table import CrashTable
from briarvale.errors import BriarvaleError, ServerStalled
from briarvale.forward_request import AnswerMetadata, ForwardRequest
from briarvale.forwarding import Forwarder
from briarvale.http_wire import AnswerHead, Headers
from briarvale.ingress import Ingress, IngressRequest, Responder
from briarvale.live_servers import LiveServer, LiveServers
from briarvale.peer import PeerAddress
from briarvale.routes import IdempotentRoute, IngressLimits, Route, ServiceWeight
from briarvale.serving_components import ServingComponents
from briarvale.slot_client import HeldGrant, HeldSlot
from features.support.platform_calls import ends_within
from features.support.platform_fleet import free_port

TARGET_MS = 100
# Half of the target latency, since the mean time to an answer is 0 here.
TIMEOUT_S = 0.05
BODY = b"whole"
METADATA = AnswerMetadata("r", False, "s", False, False, None)


class BlockedLoopEngines:
    """Engines whose answer's head arrives in the event loop iteration in which the timeout ends.

    Args:
        is_silent: Whether the head never arrives.
    """

    def __init__(self, *, is_silent: bool = False) -> None:
        self.runs = 0
        self._is_silent = is_silent
        self._arrived = asyncio.Event()

    @asynccontextmanager
    async def run(self, *args: Any) -> AsyncIterator["BlockedLoopEngines"]:
        """Waits for the head."""
        self.runs += 1
        if not self._is_silent:
            asyncio.get_running_loop().call_later(TIMEOUT_S / 2, self._block)
        await self._arrived.wait()
        yield self

    def _block(self) -> None:
        """Blocks the event loop until the timeout has ended; then the head arrives."""
        time.sleep(TIMEOUT_S)
        asyncio.get_running_loop().call_soon(self._arrived.set)

    head = AnswerHead(200, ())
    metadata = METADATA

    async def read(self) -> bytes:
        """Reads the body, then its end."""
        await anyio.sleep(0)
        body, self.body = self.body, b""
        return body

    body = BODY


class UnlimitedSlots:
    """Grants a slot to each request."""

    @asynccontextmanager
    async def hold(self, request: SlotRequest) -> AsyncIterator[HeldSlot]:
        """Holds a slot."""
        yield HeldSlot(HeldGrant("g", "i-0", "", request.work_class, 1, 1))


class RecordingResponder:
    """Stores an answer after a short write."""

    def __init__(self) -> None:
        self.has_started = False
        self.body = b""

    async def hold(self, size_bytes: int) -> None:
        """Has room for all bytes."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Stores a complete answer."""
        self.has_started = True
        await anyio.sleep(0.01)
        self.body = body


def lookup_request(clock: Clock) -> ForwardRequest:
    """Returns a request that may run twice."""
    services = (ServiceWeight("orders", 1.0),)
    route = Route("look", "h", "/", IdempotentRoute(), services, 2, 5_000, TARGET_MS)
    now_ms = clock.now_ms()
    return ForwardRequest(
        request_id="r",
        method=b"GET",
        target=b"/",
        headers=(),
        body=b"",
        route=route,
        service="orders",
        deadline_at_ms=now_ms + 5_000,
        received_at_ms=now_ms,
        fingerprint="f",
    )


async def forward_lookup(engines: BlockedLoopEngines, responder: RecordingResponder) -> None:
    """Forwards a lookup whose server usually answers at once."""
    clock = Clock.from_system()
    servers = LiveServers(clock.now_ms, 0)
    servers.put(LiveServer("i-0", "orders", PeerAddress("127.0.0.1", 1), "z", 4))
    crash_guard = CrashGuard(clock, CrashTable(), lambda notice: None)
    components = ServingComponents(
        clock, servers, cast(Any, UnlimitedSlots()), cast(Any, engines), crash_guard, "z"
    )
    forwarder = Forwarder(components)
    for _ in range(MIN_SAMPLES):
        forwarder._answer_times.record("orders", 0.0)
    await forwarder.forward(lookup_request(clock), cast(Any, responder))


@when("the head of a lookup's answer reaches a busy node just as the timeout ends")
def when_at_once(context: Context) -> None:
    context.engines, context.responder = BlockedLoopEngines(), RecordingResponder()
    anyio.run(forward_lookup, context.engines, context.responder)


@then("the caller gets the complete answer, and the request does not run again")
def then_whole(context: Context) -> None:
    assert context.responder.body == BODY, context.responder.body
    assert context.engines.runs == 1, context.engines.runs


@when("a server sends nothing until the timeout ends, and another run is allowed")
def when_silent(context: Context) -> None:
    context.engines = BlockedLoopEngines(is_silent=True)

    async def run() -> None:
        with anyio.move_on_after(1.0):
            await forward_lookup(context.engines, RecordingResponder())

    try:
        anyio.run(run)
    except ServerStalled as error:
        context.error = error


@then("the run ends as stalled")
def then_stalled(context: Context) -> None:
    assert context.engines.runs > 1, context.engines.runs


class CancelledWriteHandler:
    """A handler that fails before its complete answer is written."""

    limits = IngressLimits()

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Is cancelled while it writes the answer."""
        with anyio.CancelScope() as scope:
            scope.cancel()
            await responder.answer(200, (), BODY)
        raise BriarvaleError("cut")

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Answers with status 500."""
        await responder.answer(500, (), b"")


@when("the handler of a request fails while its complete answer is being written")
def when_cut(context: Context) -> None:
    async def run() -> bool:
        address = PeerAddress("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Ingress(CancelledWriteHandler()).serve, address)
            await anyio.sleep(0.1)
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                has_ended = await ends_within(stream, 1.0)
            tasks.cancel_scope.cancel()
        return has_ended

    context.has_ended = anyio.run(run)


@then("the connection ends within a second")
def then_ends(context: Context) -> None:
    assert context.has_ended
