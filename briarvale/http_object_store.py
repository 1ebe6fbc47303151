"""The Object API over HTTP."""

import httpx

from . import metrics
from .errors import (
    ObjectExists,
    ObjectNotFound,
    ObjectTooLarge,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import StoredObject, WatchResult
from .traces import inject_headers, tracer

CALL_TIMEOUT_S = 5.0
WATCH_GRACE_S = 5.0

__all__ = ["HttpObjectStore"]


class HttpObjectStore:
    """An `ObjectStore` that calls the Object API over HTTP.

    Args:
        base_url: Base URL of the Object API, with an IP address as its host.
        client: HTTP client; closed by the caller that created it.
    """

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        self._base_url = base_url.rstrip("/")
        self._client = client

    async def get(self, key: str) -> StoredObject:
        """Reads one object."""
        response = await self._call("GET", f"/objects/{key}")
        return StoredObject(key, response.content, int(response.headers["x-version"]))

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object."""
        response = await self._call("PUT", f"/objects/{key}", value, {"if-none-match": "*"})
        return int(response.headers["x-version"])

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object."""
        response = await self._call("PUT", f"/objects/{key}", value, {"if-match": str(version)})
        return int(response.headers["x-version"])

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object."""
        headers = {} if version is None else {"if-match": str(version)}
        await self._call("DELETE", f"/objects/{key}", headers=headers)

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Lists keys."""
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._call("GET", "/keys", params=params)
        keys: list[str] = response.json()["keys"]
        return keys

    async def watch(self, prefix: str, after_version: int, timeout_s: float) -> WatchResult:
        """Waits for writes by a long poll."""
        params = {"prefix": prefix, "after": str(after_version), "timeout_s": str(timeout_s)}
        wait_s = timeout_s + WATCH_GRACE_S
        response = await self._call("GET", "/watch", params=params, timeout_s=wait_s)
        answer = response.json()
        return WatchResult(tuple(answer["keys"]), answer["version"])

    async def _call(
        self,
        verb: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> httpx.Response:
        with tracer.start_as_current_span("store call") as span:
            span.set_attribute("briarvale.store.call", f"{verb} {path}")
            try:
                response = await self._client.request(
                    verb,
                    self._base_url + path,
                    content=content,
                    headers=inject_headers(headers or {}),
                    params=params,
                    timeout=timeout_s,
                )
            except httpx.HTTPError as error:
                metrics.STORE_CALLS.inc({"verb": verb, "result": "unavailable"})
                raise StoreUnavailable(f"Object API: {type(error).__name__}") from error
        metrics.STORE_CALLS.inc({"verb": verb, "result": str(response.status_code)})
        _raise_for_status(response, path)
        return response


def _raise_for_status(response: httpx.Response, path: str) -> None:
    match response.status_code:
        case 200 | 201 | 204:
            return
        case 404:
            raise ObjectNotFound(path)
        case 409:
            raise ObjectExists(path)
        case 412:
            raise VersionConflict(path)
        case 413:
            raise ObjectTooLarge(path)
        case 429:
            raise StoreThrottled("Object API: too many calls")
        case status:
            raise StoreUnavailable(f"Object API: status {status}")
