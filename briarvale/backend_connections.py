"""A pool of keep-alive connections to backend servers, each to one incarnation of a server.

A faulty server may send an answer again where the next one is due. Only the request's id tells the
copy from the answer that is due, so no connection carries two requests with the same id.
"""

import anyio

from .forward_request import AnswerMetadata
from .http_wire import ClientConnection
from .live_servers import LiveServer

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_SERVER = 16
# An idle connection is reused until this fraction of the server's own idle timeout has passed.
IDLE_TIMEOUT_FRACTION = 0.5
# Idle timeout of a server that states none.
DEFAULT_IDLE_S = 1.0
CLOSE_INTERVAL_S = 1.0
# Bounds the ids that are remembered for each connection.
MAX_REQUESTS_PER_CONNECTION = 256

__all__ = ["BackendConnections"]


class BackendConnections:
    """Opens connections to backend servers and keeps idle ones for reuse."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def acquire(self, server: LiveServer, request_id: str) -> ClientConnection:
        """Returns an idle connection that has carried no request with this id, or a new one."""
        id_hash = hash(request_id)
        connection = await self._take_idle(server, id_hash)
        if connection is None:
            connection = await ClientConnection.open(server.address, CONNECT_TIMEOUT_S)
        connection.carried_id_hashes.add(id_hash)
        return connection

    async def _take_idle(self, server: LiveServer, id_hash: int) -> ClientConnection | None:
        """Removes a usable connection from the idle ones and returns it; none if there is none."""
        idle = self._idle.get(server.incarnation, [])
        while found := [other for other in idle if id_hash not in other.carried_id_hashes]:
            connection = found[-1]
            idle.remove(connection)
            if connection.is_reusable and anyio.current_time() < connection.keep_alive_until_s:
                return connection
            await connection.aclose()
        return None

    async def release(
        self, server: LiveServer, connection: ClientConnection, metadata: AnswerMetadata | None
    ) -> None:
        """Keeps the connection for reuse if possible, else closes it.

        Args:
            metadata: Metadata of the complete answer; none if the answer was not read to its end.
        """
        if metadata is None or not self._may_keep(server, connection, metadata):
            await connection.aclose()
            return
        idle_s = metadata.keep_alive_s if metadata.keep_alive_s is not None else DEFAULT_IDLE_S
        connection.keep_alive_until_s = anyio.current_time() + idle_s * IDLE_TIMEOUT_FRACTION
        self._idle.setdefault(server.incarnation, []).append(connection)

    def _may_keep(
        self, server: LiveServer, connection: ClientConnection, metadata: AnswerMetadata
    ) -> bool:
        """Ends the exchange; returns whether the connection may carry another request."""
        if metadata.is_closing or metadata.is_draining:
            return False
        if not metadata.request_id:
            # Nothing would tell a late copy of this answer from the next one.
            return False
        if len(self._idle.get(server.incarnation, [])) >= MAX_IDLE_PER_SERVER:
            return False
        if len(connection.carried_id_hashes) >= MAX_REQUESTS_PER_CONNECTION:
            return False
        return connection.finish()

    async def run(self) -> None:
        """Closes connections that have been idle for too long to be reused, until cancelled.

        Those to servers that are gone would otherwise stay open, and use up descriptors.
        """
        while True:
            await anyio.sleep(CLOSE_INTERVAL_S)
            now_s = anyio.current_time()
            for incarnation, idle in list(self._idle.items()):
                expired = [found for found in idle if found.keep_alive_until_s <= now_s]
                idle[:] = [found for found in idle if found.keep_alive_until_s > now_s]
                if not idle:
                    del self._idle[incarnation]
                for connection in expired:
                    await connection.aclose()
