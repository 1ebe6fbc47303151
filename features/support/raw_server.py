"""A backend server whose answers are raw bytes, so that a test decides on each byte it sends."""

import json
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream

from briarvale.caller_stream import accept_caller
from briarvale.peer import PeerAddress
from briarvale.tcp_server import TcpServer
from features.support.platform_fleet import PlatformFleet, free_port

__all__ = ["RawAnswers", "RawRequest", "RawServer", "raw_answer"]

REPORT = json.dumps({"num_running": 0, "num_waiting": 0}).encode()
REQUEST_ID = re.compile(rb"(?i)\r\nbriarvale-request-attempt-id: *(\S*)")
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
LAST_EVENT_ID = re.compile(rb"(?i)\r\nlast-event-id: *(\d+)")


class RawRequest(NamedTuple):
    """A request that reached the server.

    Attributes:
        connection: Number of its connection, from 1.
        run: How many requests with this id have reached the server, this one included.
        resume_after: Id of the last event that the caller has; 0 for a new stream.
    """

    id: str
    connection: int
    run: int
    resume_after: int


RawAnswers = Callable[[RawRequest], bytes]


class RawServer:
    """Answers requests one after the other on each connection, which it keeps open.

    Args:
        respond: Returns the bytes to send for a request.

    Attributes:
        seen: The requests, without those for load reports.
    """

    def __init__(self, respond: RawAnswers) -> None:
        self._respond = respond
        self._connections = 0
        self.seen: list[RawRequest] = []

    @asynccontextmanager
    async def serve(self, fleet: PlatformFleet, service: str) -> AsyncIterator[None]:
        """Serves as the fleet's server `i-raw` until the block ends."""
        address = PeerAddress("127.0.0.1", free_port())
        server = TcpServer("test", accept_caller)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address, self._serve_connection)
            while not server.is_listening:
                await anyio.sleep(0.01)
            entry = {"service": service, "zone": "caerdydd", "slots": 4, "state": "ready"}
            entry |= {"address": f"{address.host}:{address.port}", "sequence": 1}
            fleet.store.put("servers", "i-raw", entry | {"born": 1_700_000_000_000})
            await fleet.wait_server("i-raw", tuple(fleet.nodes))
            yield
            tasks.cancel_scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        self._connections += 1
        connection = self._connections
        while (head := await _read_request(stream)) is not None:
            await stream.send(self._answer(head, connection))

    def _answer(self, head: bytes, connection: int) -> bytes:
        if head.startswith(b"GET /briarvale/report "):
            return raw_answer(200, REPORT)
        request_id = _first(REQUEST_ID, head).decode()
        run = 1 + sum(seen.id == request_id for seen in self.seen)
        resume_after = int(_first(LAST_EVENT_ID, head) or 0)
        self.seen.append(RawRequest(request_id, connection, run, resume_after))
        return self._respond(self.seen[-1])


def raw_answer(status: int, body: bytes, request: RawRequest | None = None) -> bytes:
    """Returns an answer that keeps its connection; to a request, it is signed and has its id."""
    head = f"HTTP/1.1 {status} Status\r\nKeep-Alive: timeout=20\r\n"
    if request is not None:
        head += f"Briarvale-Request-Attempt-Id: {request.id}\r\n"
        head += f"Briarvale-Server-Signature: i-raw.{request.id}.{request.run}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def _read_request(stream: SocketStream) -> bytes | None:
    """Returns the head of the next request, and skips its body; none at the connection's end."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        if end and len(body) >= int(_first(CONTENT_LENGTH, head) or 0):
            return head
        try:
            data += await stream.receive(65_536)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return None


def _first(pattern: re.Pattern[bytes], head: bytes) -> bytes:
    found = pattern.search(head)
    return found.group(1) if found else b""
