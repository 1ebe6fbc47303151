"""Client of model engines: streamed completions, cancel, load, cache events, KV cache, orders.

Other modules use only the `Engine` protocol. A node does not use this client: it forwards requests
unchanged with `forward_client.py`.
"""

import json
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, TypedDict

import httpx

from .bounded_answers import read_bounded, read_bounded_lines
from .errors import InvalidRequest, ServerConnectFailed, ServerLost, ServerRefused, StaleOrder
from .traces import inject_headers

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 16 * 1_048_576
MAX_KV_BYTES = 4 * 1_073_741_824
MAX_LINE_BYTES = 1_048_576
SSE_PREFIX = "data: "
SSE_END = "[DONE]"

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "Completion",
    "Engine",
    "EngineLoad",
    "HttpEngine",
    "Order",
    "Token",
]


class Completion(NamedTuple):
    """One completion to run.

    `resume_tokens` are the tokens that the caller already has; the engine continues after them.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    adapter: str = ""
    resume_tokens: tuple[str, ...] = ()


class Token(NamedTuple):
    """One generated token and its index in the complete answer, from 0."""

    token_index: int
    text: str


class EngineLoad(NamedTuple):
    """The state that an engine reports, with a lag."""

    streams: int
    waiting: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    fencing_number: int
    is_draining: bool


class CacheEvent(NamedTuple):
    """A prefix block that was stored in or evicted from the engine's cache."""

    sequence: int
    block_hash: str
    is_stored: bool


class CacheEvents(NamedTuple):
    """Events after a sequence number; a missing number means a lost event."""

    events: tuple[CacheEvent, ...]
    last_sequence: int


class Order(TypedDict):
    """The state that the controller wants an engine in."""

    fencing_number: int
    model: str
    version: str
    adapters: list[str]
    role: str


class Engine(Protocol):
    """Interface to a model engine."""

    def complete(self, completion: Completion) -> AsyncIterator[Token]:
        """Streams tokens; raises `ServerConnectFailed`, `ServerLost` or `ServerRefused`."""

    async def cancel(self, request_id: str) -> None:
        """Stops a completion; no error if it has ended."""

    async def load(self) -> EngineLoad:
        """Reads the load; raises `ServerConnectFailed` or `ServerLost`."""

    async def cache_events(self, after: int) -> CacheEvents:
        """Reads the cache events after a sequence number."""

    async def order(self, order: Order) -> None:
        """Sends an order; raises `StaleOrder` if the engine rejects its fencing number."""

    async def export_kv(self, request_id: str) -> bytes:
        """Reads the KV cache of a completion that is running or was just cancelled."""

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Loads KV cache for a completion that will be resumed here."""


class HttpEngine:
    """Client of an engine with an OpenAI-style HTTP API.

    Args:
        base_url: The engine's URL, with an IP address.
        client: HTTP client that reuses no connection; its creator closes it.
    """

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self._base_url = base_url.rstrip("/")
        self._client = client

    async def complete(self, completion: Completion) -> AsyncIterator[Token]:
        """Streams tokens as server-sent events."""
        body = completion._asdict() | {"stream": True}
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._client.stream(
                "POST",
                f"{self._base_url}/v1/completions",
                json=body,
                headers=inject_headers({}),
                timeout=timeout,
            ) as response:
                await _raise_for_status(response)
                async for token in _read_tokens(response):
                    yield token
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise ServerConnectFailed(f"{self._base_url}: {type(error).__name__}") from error
        except httpx.HTTPError as error:
            raise ServerLost(f"{self._base_url}: {type(error).__name__}") from error

    async def cancel(self, request_id: str) -> None:
        """Cancels a completion."""
        await self._call("POST", "/cancel", {"request_id": request_id})

    async def load(self) -> EngineLoad:
        """Reads the load."""
        report = json.loads(await self._call("GET", "/load"))
        return EngineLoad(**report | {"adapters": tuple(report["adapters"])})

    async def cache_events(self, after: int) -> CacheEvents:
        """Reads cache events."""
        answer = json.loads(await self._call("GET", f"/events?after={after}"))
        events = tuple(CacheEvent(*row) for row in answer["events"])
        return CacheEvents(events, answer["last_sequence"])

    async def order(self, order: Order) -> None:
        """Sends an order."""
        await self._call("POST", "/orders", dict(order))

    async def export_kv(self, request_id: str) -> bytes:
        """Exports KV cache."""
        return await self._call("GET", f"/kv/{request_id}", max_bytes=MAX_KV_BYTES)

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Imports KV cache."""
        await self._call("PUT", f"/kv/{request_id}", {"data": data.hex()})

    async def _call(
        self,
        verb: str,
        path: str,
        body: dict[str, object] | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        """Makes a call; returns the body of its answer."""
        try:
            async with self._client.stream(
                verb, self._base_url + path, json=body, timeout=CALL_TIMEOUT_S
            ) as response:
                content = await read_bounded(response, max_bytes)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise ServerConnectFailed(f"{self._base_url}: {type(error).__name__}") from error
        except httpx.HTTPError as error:
            raise ServerLost(f"{self._base_url}: {type(error).__name__}") from error
        if response.status_code == 409:
            raise StaleOrder(f"{self._base_url}: stale fencing number")
        if response.status_code != 200:
            raise ServerRefused(f"{self._base_url}: status {response.status_code}")
        return content


async def _raise_for_status(response: httpx.Response) -> None:
    if response.status_code == 400:
        content = await read_bounded(response, MAX_LINE_BYTES)
        raise InvalidRequest(content.decode(errors="replace"))
    if response.status_code != 200:
        raise ServerRefused(f"status {response.status_code}")


async def _read_tokens(response: httpx.Response) -> AsyncIterator[Token]:
    async for line in read_bounded_lines(response, MAX_LINE_BYTES):
        if not line.startswith(SSE_PREFIX):
            continue
        data = line.removeprefix(SSE_PREFIX)
        if data == SSE_END:
            return
        choice = json.loads(data)["choices"][0]
        yield Token(choice["token_index"], choice["text"])
    raise ServerLost("the stream ended without the event [DONE]")
