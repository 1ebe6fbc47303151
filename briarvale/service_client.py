"""Client of plain services, which are backend servers other than model engines."""

from typing import NamedTuple, Protocol

import httpx

from .bounded_answers import read_bounded
from .errors import ServerConnectFailed, ServerLost
from .traces import inject_headers

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 16 * 1_048_576

__all__ = ["HttpPlainService", "PlainService", "ServiceCall", "ServiceAnswer"]


class ServiceCall(NamedTuple):
    """One call to a plain service; `path` includes the query."""

    verb: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str = ""


class ServiceAnswer(NamedTuple):
    """The complete answer of a plain service."""

    status: int
    body: bytes
    content_type: str


class PlainService(Protocol):
    """Interface to a plain service."""

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Makes the call once.

        Raises:
            ServerConnectFailed: If nothing was sent.
            ServerLost: If the answer was lost; `AnswerTooLong` if it is over the size limit.
        """


class HttpPlainService:
    """HTTP client of one plain service.

    Args:
        base_url: Its URL, with an IP address.
        client: HTTP client without retries that reuses no connection; its creator closes it.
    """

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self._base_url = base_url.rstrip("/")
        self._client = client

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Makes the call once."""
        headers = {"content-type": call.content_type}
        if call.idempotency_key:
            headers["idempotency-key"] = call.idempotency_key
        try:
            async with self._client.stream(
                call.verb,
                f"{self._base_url}/{call.path}",
                content=call.body,
                headers=inject_headers(headers),
                timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            ) as response:
                content = await read_bounded(response, MAX_ANSWER_BYTES)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise ServerConnectFailed(f"{self._base_url}: {type(error).__name__}") from error
        except httpx.HTTPError as error:
            raise ServerLost(f"{self._base_url}: {type(error).__name__}") from error
        content_type = response.headers.get("content-type", "application/octet-stream")
        return ServiceAnswer(response.status_code, content, content_type)
