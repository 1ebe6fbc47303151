"""HTTP client of the platform's store, shared by all components of a node.

Keys are `kind/name`. Values of Briarvale's own objects are bytes: the `spec` of the object has them
in the field `text`, or `base64` if they are not UTF-8. Objects of the kinds that operators and
backend servers write have any JSON as their `spec`.

A call whose answer can't be decoded, or has a status that its path can't have, has had no answer.
"""

import base64
import json
from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar
from urllib.parse import quote

import anyio

from .. import metrics
from ..clock import MS_PER_S
from ..errors import (
    BriarvaleError,
    DocumentInvalid,
    HistoryGone,
    ObjectExists,
    ObjectNotFound,
    ObjectTooLarge,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from ..http_wire import ClientConnection, CompleteAnswer, OutgoingRequest
from ..node_settings import StoreSettings
from ..object_feed import ChangeList, FeedObject, ObjectList
from ..object_store import StoredObject, WatchResult
from .store_answers import (
    ObjectPage,
    decode_changes,
    decode_page,
    decode_revision,
    decode_stored,
)
from .store_objects import CONFIG_KIND, FOREIGN_KINDS
from .workspace_entries import digest_keys

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

Parameters = ParamSpec("Parameters")
Decoded = TypeVar("Decoded")

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
        """Reads one object of Briarvale's own kinds; raises `ObjectNotFound`."""
        answer = await self._call("GET", _path(key), may_refuse=(404,))
        return _decoded(decode_stored, answer.body, key)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; raises `ObjectExists` or `ObjectTooLarge`."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "spec": _encode_value(value)}
        try:
            answer = await self._call("POST", f"{OBJECTS_PATH}/{kind}", body, may_refuse=(409,))
        except ObjectExists:
            await self._check_exists(key)
            raise
        return _decoded(decode_revision, answer.body)

    async def _check_exists(self, key: str) -> None:
        """Raises `StoreUnavailable` if an object that the store called existing can't be read.

        Callers take a conflict for the success of an earlier attempt, so it must be certain.
        """
        try:
            await self.get(key)
        except ObjectNotFound as error:
            raise StoreUnavailable("store: an object can neither be created nor read") from error

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object; raises `VersionConflict` if its version differs."""
        _, _, name = key.partition("/")
        body = {"metadata": {"name": name, "revision": version}, "spec": _encode_value(value)}
        try:
            answer = await self._call("PUT", _path(key), body, may_refuse=(404, 409))
        except ObjectExists as error:
            raise VersionConflict(key) from error
        return _decoded(decode_revision, answer.body)

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object; raises `VersionConflict` if a given version differs."""
        query = "" if version is None else f"?revision={version}"
        try:
            await self._call("DELETE", _path(key) + query, may_refuse=(404, 409))
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
        await self._call("PUT", _path(key) + "/status", body, may_refuse=(404,))

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists a kind at the first page's revision; objects of later pages may be newer."""
        page = await self._read_page(kind, "")
        objects, revision = list(page.objects), page.revision
        names = set[str]()
        while page.last_name is not None:
            if page.last_name in names:
                raise StoreUnavailable(f"store: two pages of {kind} end at the same object")
            names.add(page.last_name)
            page = await self._read_page(kind, f"?after={quote(page.last_name, safe='')}")
            objects += page.objects
        return ObjectList(tuple(objects), revision)

    async def _read_page(self, kind: str, query: str) -> ObjectPage:
        answer = await self._call("GET", f"{OBJECTS_PATH}/{kind}{query}")
        page = _decoded(decode_page, answer.body, holds_bytes=kind not in FOREIGN_KINDS)
        return page._replace(objects=tuple(_without_keys(kind, row) for row in page.objects))

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Waits up to `wait_ms` for changes of a kind after a revision; raises `HistoryGone`."""
        path = f"{OBJECTS_PATH}/{kind}?watch={revision}&wait_ms={wait_ms}"
        timeout_s = wait_ms / MS_PER_S + WATCH_GRACE_S
        answer = await self._call("GET", path, may_refuse=(410,), timeout_s=timeout_s)
        found = _decoded(decode_changes, answer.body, holds_bytes=kind not in FOREIGN_KINDS)
        return found._replace(
            changes=tuple(
                change._replace(object=_without_keys(kind, change.object))
                for change in found.changes
            )
        )

    async def _call(
        self,
        verb: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        may_refuse: tuple[int, ...] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> CompleteAnswer:
        """Makes a call and returns its answer.

        Args:
            verb: The HTTP method.
            path: Path and query.
            body: What to send, as JSON.
            may_refuse: The statuses, other than those of success and of throttling, that the store
                gives to such a call.
            timeout_s: Time limit, which grows with the bytes sent and received.

        Raises:
            ObjectNotFound, ObjectExists, HistoryGone: By a status in `may_refuse`.
            ObjectTooLarge: If what would be sent is over the limit; then no call was made.
            StoreThrottled: If the store did nothing.
            StoreUnavailable: If the answer was lost or has another status.
        """
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
                answer = await self._exchange(request, scope)
        except (BriarvaleError, TimeoutError, OSError) as error:
            metrics.STORE_CALLS.inc({"verb": verb, "result": "unavailable"})
            raise _unavailable(error) from error
        metrics.STORE_CALLS.inc({"verb": verb, "result": str(answer.status)})
        _raise_for_status(answer.status, may_refuse, path)
        return answer

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


def _raise_for_status(status: int, may_refuse: tuple[int, ...], path: str) -> None:
    match status:
        case 200 | 201 | 202 | 204:
            return
        case 429 | 503:
            # Both guarantee that the call had no effect.
            raise StoreThrottled(f"store: status {status}")
        case _ if status not in may_refuse:
            raise StoreUnavailable(f"store: status {status}")
        case 404:
            raise ObjectNotFound(path)
        case 409:
            raise ObjectExists(path)
        case 410:
            raise HistoryGone(path)


def _decoded(
    decode: Callable[Parameters, Decoded], *args: Parameters.args, **options: Parameters.kwargs
) -> Decoded:
    """Decodes an answer; raises `StoreUnavailable` in place of `DocumentInvalid`."""
    try:
        return decode(*args, **options)
    except DocumentInvalid as error:
        raise _unavailable(error) from error


def _without_keys(kind: str, row: FeedObject) -> FeedObject:
    """Returns an object without API keys: the configuration holds their digests instead."""
    return row._replace(value=digest_keys(row.value)) if kind == CONFIG_KIND else row


def _path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def _encode_value(value: bytes) -> dict[str, str]:
    try:
        return {"text": value.decode()}
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode()}


def _unavailable(error: Exception) -> StoreUnavailable:
    return StoreUnavailable(f"store: {type(error).__name__}: {error}")
