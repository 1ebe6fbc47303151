"""Steps for answers that end before they are complete, sent as raw bytes."""

import re
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream
from behave import then, when
from behave.runner import Context

from briarvale.caller_stream import accept_caller
from briarvale.errors import ServerLost
from briarvale.http_wire import ClientConnection, CompleteAnswer, OutgoingRequest
from briarvale.peer import PeerAddress
from briarvale.tcp_server import TcpServer
from features.support.platform_engine import event
from features.support.platform_fleet import MODEL, PLAIN, Caller, free_port, platform_fleet

LOOPBACK = "127.0.0.1"
MAX_ANSWER_BYTES = 8_000_000
TIMEOUT_S = 10.0
UPLOAD = b"u" * 4_000_000
PLAIN_ROUTES = ("look", "pay")
# Closing a socket that lingers for no time resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The answer must arrive before the connection ends, as a reset discards what is unread.
BEFORE_END_S = 0.2
# The answer's end arrives this long before the reset.
SHUTDOWN = "shutdown of its sending side"
AFTER_SHUTDOWN_S = 1.0
OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "status 000": b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
    "status 099": b"HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok",
    "status abc": b"HTTP/1.1 abc None\r\nContent-Length: 2\r\n\r\nok",
    "status 1000": b"HTTP/1.1 1000 None\r\nContent-Length: 2\r\n\r\nok",
    "half a body by length": OK + b"Content-Length: 20\r\n\r\nhalf a bod",
    "half a body by chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhalf \r\n",
    "half of the last chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf \r\n",
}


class EarlyServer:
    """Answers each request once its head has arrived, without reading its body.

    Args:
        answer: The answer to a request with an id; without an id, requests get an empty report.
        end: How the connection ends after the answer: `reset`, `close` or `SHUTDOWN`.
    """

    def __init__(self, answer: bytes, end: str) -> None:
        self._answer = answer
        self._end = end

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[PeerAddress]:
        """Serves until the block ends."""
        address = PeerAddress(LOOPBACK, free_port())
        # The streams of event loops would read the body before anything asks for it.
        server = TcpServer("test", accept_caller)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address, self._respond)
            while not server.is_listening:
                await anyio.sleep(0.01)
            yield address
            tasks.cancel_scope.cancel()

    async def _respond(self, stream: SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            try:
                head += await stream.receive(4_096)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
        found = re.search(rb"(?i)briarvale-request-attempt-id: *(\S+)", head)
        request_id = found.group(1) if found else b""
        with anyio.move_on_after(TIMEOUT_S):
            await stream.send(self._answer.replace(b"REQUEST_ID", request_id))
            await anyio.sleep(BEFORE_END_S)
        if self._end == SHUTDOWN:
            await stream.send_eof()
            await anyio.sleep(AFTER_SHUTDOWN_S)
        if self._end in ("reset", SHUTDOWN):
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await anyio.aclose_forcefully(stream)


def number(text: str) -> int:
    return int(text.replace(",", ""))


def exchange(
    context: Context, server: EarlyServer, body: bytes, options: dict[str, Any] | None = None
) -> None:
    """Sends one request; records its answer, or that it was lost."""

    async def run() -> CompleteAnswer | ServerLost:
        async with server.serve() as address:
            connection = await ClientConnection.open(address, TIMEOUT_S)
            request = OutgoingRequest(b"POST", b"/", ((b"Host", b"a"),), body)
            try:
                with anyio.fail_after(TIMEOUT_S):
                    return await connection.exchange(request, MAX_ANSWER_BYTES)
            except ServerLost as error:
                return error
            finally:
                await connection.aclose()

    context.outcome = anyio.run(run, backend_options=options or {})


@when(
    "a server answers an upload of {upload} bytes at once with {answer} bytes, "
    "and ends it with a {end}, on {loop}"
)
def when_early(context: Context, upload: str, answer: str, end: str, loop: str) -> None:
    server = EarlyServer(OK + b"\r\n" + b"a" * number(answer), end)
    exchange(context, server, b"u" * number(upload), {"use_uvloop": loop == "uvloop"})


@when("a server answers with {answer}")
def when_answered(context: Context, answer: str) -> None:
    exchange(context, EarlyServer(ANSWERS[answer], "close"), b"small")


@then("the exchange fails as lost")
def then_lost(context: Context) -> None:
    assert isinstance(context.outcome, ServerLost), str(context.outcome)[:200]


@when("the only server answers an upload on the route {route} at once and ends it with a {end}")
def when_caller_uploads(context: Context, route: str, end: str) -> None:
    is_plain = route in PLAIN_ROUTES
    head = OK + b"Briarvale-Request-Attempt-Id: REQUEST_ID\r\n"
    head += b"Briarvale-Server-Signature: i-0.REQUEST_ID\r\n\r\n"
    body = b"a part of the answer" if is_plain else event(1) + event(2)

    async def run() -> None:
        async with EarlyServer(head + body, end).serve() as address, platform_fleet() as fleet:
            entry = {"service": PLAIN if is_plain else MODEL, "zone": "caerdydd", "slots": 4}
            entry |= {"address": f"{address.host}:{address.port}", "state": "ready"}
            fleet.store.put("servers", "i-0", entry | {"sequence": 1, "born": 1_700_000_000_000})
            await fleet.wait_server("i-0", ("vm-1",))
            caller = Caller(fleet.nodes["vm-1"])
            context.answer = await caller.call("POST", f"/{route}/a", UPLOAD, request_id="req-1")

    anyio.run(run, backend_options={"use_uvloop": True})


@then("the caller gets no complete success")
def then_no_success(context: Context) -> None:
    answer = context.answer
    assert answer.status in (502, 503, 504) or not answer.is_whole, answer
