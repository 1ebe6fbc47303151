"""Fetches the load report of a backend server."""

import json

from ..errors import ServerGarbled
from ..http_wire import ClientConnection, OutgoingRequest
from ..live_servers import LiveServer
from ..pool_server import ServerRuns

REPORT_PATH = b"/briarvale/report"
CONNECT_TIMEOUT_S = 0.3
MAX_REPORT_BYTES = 1_048_576

__all__ = ["fetch_runs"]


async def fetch_runs(server: LiveServer) -> ServerRuns:
    """Returns how many requests a server ran and queued; reports are a few hundred ms old.

    Raises:
        ServerConnectFailed, ServerLost: If the server doesn't respond.
        ServerGarbled: If the response is not a report, as from a plain service, or is too long.
    """
    connection = await ClientConnection.open(server.address, CONNECT_TIMEOUT_S)
    try:
        host = f"{server.address.host}:{server.address.port}".encode()
        request = OutgoingRequest(b"GET", REPORT_PATH, ((b"host", host),))
        answer = await connection.exchange(request, MAX_REPORT_BYTES)
    finally:
        await connection.aclose()
    try:
        report = json.loads(answer.body) if answer.status == 200 else {}
        return ServerRuns(server.id, int(report["num_running"]), int(report["num_waiting"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ServerGarbled(f"{server.id}: the response is not a load report: {error!r}") from error
