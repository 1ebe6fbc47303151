"""Fetches the load report of a backend server."""

from typing import Annotated

import msgspec

from ..errors import DocumentInvalid, ServerGarbled
from ..http_wire import ClientConnection, OutgoingRequest
from ..live_servers import LiveServer
from ..pool_server import ServerRuns
from ..strict_json import decode_json

REPORT_PATH = b"/briarvale/report"
CONNECT_TIMEOUT_S = 0.3
MAX_REPORT_BYTES = 1_048_576

MAX_RUNS = 1_000_000

__all__ = ["fetch_runs"]

RunCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_RUNS)]


class _Report(msgspec.Struct):
    num_running: RunCount
    num_waiting: RunCount


_REPORT = msgspec.json.Decoder(_Report)


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
    if answer.status != 200:
        raise ServerGarbled(f"{server.id}: no load report: status {answer.status}")
    try:
        report = decode_json(_REPORT, answer.body)
    except DocumentInvalid as error:
        raise ServerGarbled(f"{server.id}: the response is not a load report: {error}") from error
    return ServerRuns(server.id, report.num_running, report.num_waiting)
