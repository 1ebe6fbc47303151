"""HTTP client of the platform's store, shared by all components of a node.

Keys are `kind/name`. Values of Briarvale's own objects are bytes: the `spec` of the object has them
in the field `text`, or `base64` if they are not UTF-8. Other objects have any JSON as their `spec`.
"""

import base64
import json
from typing import Any
from urllib.parse import quote

import anyio

from .. import metrics
from ..errors import (
    HistoryGone,
    ObjectExists,
    ObjectNotFound,
    ObjectTooLarge,
    ServerConnectFailed,
    ServerLost,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from ..http_wire import ClientConnection, CompleteAnswer, OutgoingRequest
from ..node_settings import StoreSettings
from ..object_feed import ChangeList, FeedChange, FeedObject, ObjectList
from ..object_store import StoredObject, WatchResult

CALL_TIMEOUT_S = 1.5
# Minimum transfer rate; a call's timeout grows with the bytes that it sends and receives.
MIN_BYTES_PER_S = 200_000
CONNECT_TIMEOUT_S = 1.0
# Time in addition to the requested wait, for the response to a watch.
WATCH_GRACE_S = 1.0
MAX_IDLE_CONNECTIONS = 4
MAX_IDLE_S = 10.0
# Pages of lists and events of watches hold about one megabyte.
MAX_ANSWER_BYTES = 16 * 1_048_576
OBJECTS_PATH = "/briarvale/objects"

__all__ = ["PlatformStore"]


class PlatformStore:
    """Calls the store. A call whose response is lost raises `StoreUnavailable`.

    Args:
        settings: The store's address and limits.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._idle_connections: list[ClientConnection] = []

    async def get(self, key: str) -> StoredObject:
        """Reads one object of Briarvale's own kinds."""
        encoded = await self._call("GET", _path(key))
        return StoredObject(key, _decode_value(encoded), encoded["metadata"]["revision"])

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; raises `ObjectExists`."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "spec": _encode_value(value)}
        encoded = await self._call("POST", f"{OBJECTS_PATH}/{kind}", body)
        return _revision_of(encoded)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object; raises `VersionConflict` if its version differs."""
        _, _, name = key.partition("/")
        body = {"metadata": {"name": name, "revision": version}, "spec": _encode_value(value)}
        try:
            encoded = await self._call("PUT", _path(key), body)
        except ObjectExists as error:
            raise VersionConflict(key) from error
        return _revision_of(encoded)

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object; raises `VersionConflict` if a given version differs."""
        query = "" if version is None else f"?revision={version}"
        try:
            await self._call("DELETE", _path(key) + query)
        except ObjectExists as error:
            raise VersionConflict(key) from error

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Lists the keys that start with the prefix, which is `kind/` and the start of a name."""
        kind, _, start = prefix.partition("/")
        listed = await self.list_kind(kind)
        keys = [f"{kind}/{found.name}" for found in listed.objects if found.name.startswith(start)]
        return sorted(key for key in keys if key > after)[:limit]

    async def watch(self, prefix: str, after_version: int, timeout_s: float) -> WatchResult:
        """Waits for changes of keys that start with the prefix."""
        kind, _, start = prefix.partition("/")
        found = await self.watch_kind(kind, after_version, round(timeout_s * 1_000))
        names = [change.object.name for change in found.changes]
        keys = tuple(f"{kind}/{name}" for name in names if name.startswith(start))
        return WatchResult(keys, found.revision)

    async def set_status(self, key: str, status: dict[str, Any]) -> None:
        """Replaces the status of an object whose spec Briarvale does not write."""
        _, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "status": status}
        await self._call("PUT", _path(key) + "/status", body)

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists a kind at the first page's revision; objects of later pages may be newer."""
        objects: list[FeedObject] = []
        revision, after = 0, ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            page = await self._call("GET", f"{OBJECTS_PATH}/{kind}{query}")
            objects += [_feed_object(encoded) for encoded in page["items"]]
            revision = revision or page["as_of"]
            if not page.get("has_more") or not page["items"]:
                return ObjectList(tuple(objects), revision)
            after = page["items"][-1]["metadata"]["name"]

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Waits up to `wait_ms` for changes of a kind after a revision."""
        path = f"{OBJECTS_PATH}/{kind}?watch={revision}&wait_ms={wait_ms}"
        response = await self._call("GET", path, timeout_s=wait_ms / 1_000 + WATCH_GRACE_S)
        changes = tuple(
            FeedChange(_feed_object(event["object"]), bool(event.get("deleted")))
            for event in response.get("events", ())
        )
        return ChangeList(changes, response["as_of"])

    async def _call(
        self,
        verb: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        content = b"" if body is None else json.dumps(body).encode()
        if len(content) > self._settings.max_value_bytes:
            raise ObjectTooLarge(path)
        address = self._settings.address
        headers: list[tuple[bytes, bytes]] = [(b"Host", f"{address.host}:{address.port}".encode())]
        if content:
            headers.append((b"Content-Type", b"application/json"))
        request = OutgoingRequest(verb.encode(), path.encode(), tuple(headers), content)
        try:
            with anyio.fail_after(timeout_s + len(content) / MIN_BYTES_PER_S) as scope:
                status, data = await self._exchange(request, scope)
        except (ServerConnectFailed, ServerLost, TimeoutError) as error:
            metrics.STORE_CALLS.inc({"verb": verb, "result": "unavailable"})
            raise StoreUnavailable(f"store: {type(error).__name__}") from error
        metrics.STORE_CALLS.inc({"verb": verb, "result": str(status)})
        _raise_for_status(status, path)
        try:
            response = json.loads(data) if data.strip() else {}
        except ValueError as error:
            raise StoreUnavailable("store: the response is not JSON") from error
        return response if isinstance(response, dict) else {}

    async def _exchange(self, request: OutgoingRequest, scope: anyio.CancelScope) -> CompleteAnswer:
        """Makes a call; each received byte extends the deadline of the scope."""

        def extend(size_bytes: int) -> None:
            scope.deadline += size_bytes / MIN_BYTES_PER_S

        connection = await self._connect()
        can_reuse = False
        try:
            answer = await connection.exchange(request, MAX_ANSWER_BYTES, extend)
            can_reuse = connection.finish() and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
            return answer
        finally:
            if can_reuse:
                self._idle_connections.append(connection)
            else:
                await connection.aclose()

    async def _connect(self) -> ClientConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if (
                connection.is_reusable
                and anyio.current_time() - connection.idle_since_s < MAX_IDLE_S
            ):
                return connection
            await connection.aclose()
        return await ClientConnection.open(self._settings.address, CONNECT_TIMEOUT_S)


def _raise_for_status(status: int, path: str) -> None:
    match status:
        case 200 | 201 | 202 | 204:
            return
        case 404:
            raise ObjectNotFound(path)
        case 409:
            raise ObjectExists(path)
        case 410:
            raise HistoryGone(path)
        case 413:
            raise ObjectTooLarge(path)
        case 429 | 503:
            # Both guarantee that the call had no effect.
            raise StoreThrottled(f"store: status {status}")
        case _:
            raise StoreUnavailable(f"store: status {status}")


def _path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def _encode_value(value: bytes) -> dict[str, str]:
    try:
        return {"text": value.decode()}
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode()}


def _decode_value(encoded: dict[str, Any]) -> bytes:
    spec = encoded.get("spec") or {}
    if "base64" in spec:
        return base64.b64decode(spec["base64"])
    return str(spec.get("text", "")).encode()


def _revision_of(encoded: dict[str, Any]) -> int:
    revision = encoded.get("metadata", {}).get("revision", 0)
    return int(revision)


def _feed_object(encoded: dict[str, Any]) -> FeedObject:
    metadata = encoded["metadata"]
    spec = encoded.get("spec")
    has_bytes = isinstance(spec, dict) and spec.keys() <= {"text", "base64"} and len(spec) == 1
    value = _decode_value(encoded) if has_bytes else spec
    return FeedObject(metadata["name"], value, int(metadata.get("revision", 0)))
