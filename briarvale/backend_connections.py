"""A pool of keep-alive connections to backend servers, each to one incarnation of a server."""

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

__all__ = ["BackendConnections"]


class BackendConnections:
    """Opens connections to backend servers and keeps idle ones for reuse."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def acquire(self, server: LiveServer) -> ClientConnection:
        """Returns an idle connection that is still usable, or a new one."""
        idle = self._idle.get(server.incarnation, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and anyio.current_time() < connection.keep_alive_until_s:
                return connection
            await connection.aclose()
        return await ClientConnection.open(server.address, CONNECT_TIMEOUT_S)

    async def release(
        self, server: LiveServer, connection: ClientConnection, metadata: AnswerMetadata | None
    ) -> None:
        """Keeps the connection for reuse if possible, else closes it.

        Args:
            metadata: Metadata of the complete answer; none if the answer was not read to its end.
        """
        idle = self._idle.get(server.incarnation, [])
        must_close = metadata is None or metadata.is_closing or metadata.is_draining
        if (
            metadata is None
            or must_close
            or len(idle) >= MAX_IDLE_PER_SERVER
            or not connection.finish()
        ):
            await connection.aclose()
            return
        idle_s = metadata.keep_alive_s if metadata.keep_alive_s is not None else DEFAULT_IDLE_S
        connection.keep_alive_until_s = anyio.current_time() + idle_s * IDLE_TIMEOUT_FRACTION
        self._idle.setdefault(server.incarnation, []).append(connection)

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
