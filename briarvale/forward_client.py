"""Runs a node's requests at backend servers: sends a request and reads its answer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from . import logs, metrics
from .backend_connections import BackendConnections
from .clock import Clock
from .errors import DeadlineExceeded, ServerFull, ServerLost, ServerNotReady
from .forward_request import AnswerMetadata, BackendHeaderCodec, ForwardRequest
from .http_wire import AnswerHead, ClientConnection, OutgoingRequest
from .live_servers import LiveServer, LiveServers

# A run is lost after this many answers to other requests.
MAX_STRAY_ANSWERS = 3

log = logs.component_logger("gateway")

__all__ = ["ForwardClient", "ForwardRun"]


class ForwardRun:
    """One run of a request at a backend server; the head of its answer has arrived.

    Attributes:
        is_complete: Whether the body of the answer has been read to its end.
    """

    def __init__(
        self, connection: ClientConnection, head: AnswerHead, metadata: AnswerMetadata
    ) -> None:
        self._connection = connection
        self.head = head
        self.metadata = metadata
        self.is_complete = False

    async def read(self) -> bytes:
        """Reads the next bytes of the body; empty at its end. Raises `ServerLost`."""
        data = await self._connection.read_body()
        if not data:
            self.is_complete = True
        return data

    async def read_full_body(self, max_bytes: int) -> bytes:
        """Reads the body to its end; raises `AnswerTooLong` if it exceeds `max_bytes`."""
        body = await self._connection.read_full_body(max_bytes)
        self.is_complete = True
        return body


class ForwardClient:
    """Runs requests at backend servers that are not draining.

    Args:
        connections: Pool of connections to backend servers.
        servers: Updated when an answer announces that its server is draining.
        header_codec: Encodes and decodes the headers.
        clock: Source of timestamps.
    """

    def __init__(
        self,
        connections: BackendConnections,
        servers: LiveServers,
        header_codec: BackendHeaderCodec,
        clock: Clock,
    ) -> None:
        self._connections = connections
        self._servers = servers
        self._header_codec = header_codec
        self._clock = clock

    @asynccontextmanager
    async def run(
        self, request: ForwardRequest, server: LiveServer, resume_after: int | None = None
    ) -> AsyncIterator[ForwardRun]:
        """Sends the request and waits for the head of its answer.

        Leaving the block before the answer is complete closes the connection, so that the server
        stops running the request.

        Raises:
            ServerConnectFailed: If no byte was sent.
            ServerFull: If the answer says that the server did not run the request.
            ServerLost: If the connection broke or carried no answer to this request.
            ServerNotReady: If the server is draining; nothing was sent.
            DeadlineExceeded: If the deadline has passed before anything was sent.
        """
        self._check_ready(server)
        remaining_ms = request.deadline_at_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise DeadlineExceeded("the deadline passed before the request was sent")
        headers = self._header_codec.backend_headers(
            request, server.id, int(remaining_ms), resume_after
        )
        outgoing = OutgoingRequest(request.method, request.target, headers, request.body)
        connection = await self._connections.acquire(server, request.request_id)
        run: ForwardRun | None = None
        try:
            # An answer to another request may have announced a drain while the connection opened.
            self._check_ready(server)
            await connection.send(outgoing)
            run = await self._find_answer(connection, request, server)
            if run.metadata.was_not_run:
                raise ServerFull(f"{server.id} did not run the request: status {run.head.status}")
            yield run
        finally:
            metadata = run.metadata if run is not None and run.is_complete else None
            with anyio.CancelScope(shield=True):
                await self._connections.release(server, connection, metadata)

    def _check_ready(self, server: LiveServer) -> None:
        if self._servers.is_draining(server):
            raise ServerNotReady(f"{server.id} is draining")

    async def _find_answer(
        self, connection: ClientConnection, request: ForwardRequest, server: LiveServer
    ) -> ForwardRun:
        """Reads the answer to this request; skips answers to earlier requests."""
        for _ in range(MAX_STRAY_ANSWERS):
            head = await connection.read_head()
            metadata = self._header_codec.answer_metadata(head)
            if metadata.is_draining:
                self._servers.record_draining(server)
            if metadata.request_id in ("", request.request_id):
                return ForwardRun(connection, head, metadata)
            metrics.STRAY_ANSWERS.inc({"service": request.service})
            log.info(
                "Skipped an answer to another request.",
                request_id=request.request_id,
                answered_id=metadata.request_id,
                backend_server=server.id,
                status=head.status,
            )
            await connection.skip_answer()
        raise ServerLost("only answers to other requests arrived")
