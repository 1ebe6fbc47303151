"""A stand-in of the platform's store: objects by kind and name, one revision counter, watches."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote

from common.http import Request, send_answer

PREFIX = "/briarvale/objects/"
PAGE_ITEMS = 500

JsonObject = dict[str, Any]


class Store:
    """The store; it answers at once and loses nothing."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, JsonObject]] = {}
        self.revision = 1
        self._history: list[tuple[int, str, JsonObject, bool]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the operator or an engine does; its return is the acknowledgement."""
        stored = self.kinds.setdefault(kind, {}).get(name)
        await self._write(kind, name, {"spec": spec}, stored)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._record(kind, stored, is_deleted=True)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers a call."""
        path, _, query = request.target.partition("?")
        kind, _, rest = path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        if request.method == "GET" and "watch" in fields:
            status, body = await self._watch(kind, int(fields["watch"]), int(fields["wait_ms"]))
        elif request.method == "GET":
            status, body = self._read(kind, unquote(name), fields)
        else:
            content = json.loads(request.body) if request.body else {}
            status, body = await self._change(
                request.method, kind, unquote(name), part, fields, content
            )
        headers = {"Content-Type": "application/json"}
        await send_answer(writer, status, json.dumps(body).encode(), headers)

    def _read(self, kind: str, name: str, fields: dict[str, str]) -> tuple[int, JsonObject]:
        objects = self.kinds.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        names = sorted(key for key in objects if key > fields.get("after", ""))
        items = [objects[key] for key in names[:PAGE_ITEMS]]
        return 200, {"items": items, "has_more": len(names) > PAGE_ITEMS, "as_of": self.revision}

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, JsonObject]:
        try:
            async with asyncio.timeout(wait_ms / 1_000), self._changed:
                await self._changed.wait_for(lambda: bool(self._events(kind, after)))
        except TimeoutError:
            pass
        return 200, {"events": self._events(kind, after), "as_of": self.revision}

    def _events(self, kind: str, after: int) -> list[JsonObject]:
        return [
            {"object": stored, "deleted": is_deleted}
            for revision, event_kind, stored, is_deleted in self._history
            if event_kind == kind and revision > after
        ]

    async def _change(
        self,
        method: str,
        kind: str,
        name: str,
        part: str,
        fields: dict[str, str],
        content: JsonObject,
    ) -> tuple[int, JsonObject]:
        name = name or content["metadata"]["name"]
        stored = self.kinds.setdefault(kind, {}).get(name)
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 201, await self._write(kind, name, {"spec": content.get("spec")}, None)
        if stored is None:
            return 404, {}
        expected = content.get("metadata", {}).get("revision", fields.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        field = "status" if part == "status" else "spec"
        return 200, await self._write(kind, name, {field: content.get(field)}, stored)

    async def _write(
        self, kind: str, name: str, fields: JsonObject, stored: JsonObject | None
    ) -> JsonObject:
        before = stored or {"spec": None, "status": None}
        if stored is not None and all(stored[key] == value for key, value in fields.items()):
            return stored
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        written = {**before, **fields, "metadata": metadata}
        self.kinds.setdefault(kind, {})[name] = written
        await self._record(kind, written, is_deleted=False)
        return written

    async def _record(self, kind: str, stored: JsonObject, *, is_deleted: bool) -> None:
        self._history.append((self.revision, kind, stored, is_deleted))
        async with self._changed:
            self._changed.notify_all()
