"""A simulated platform store over HTTP: conditional writes, watches, history and faults."""

import json
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import anyio

from briarvale.errors import BriarvaleError, CallerGone
from briarvale.ingress import IngressRequest, Responder
from briarvale.notifier import Notifier
from briarvale.routes import IngressLimits

PREFIX = "/briarvale/objects/"
# Few, so that lists in tests have several pages.
PAGE_ITEMS = 3

JsonObject = dict[str, Any]


class StoreEvent(NamedTuple):
    """One change of the history."""

    revision: int
    kind: str
    object: JsonObject
    is_deleted: bool


class ConcurrentCreate(NamedTuple):
    """Another writer's create, stored just before the next create of a kind with this marker."""

    kind: str
    marker: str
    spec: Callable[[JsonObject], JsonObject]


class StoreFaults:
    """Faults to inject; none at the start."""

    def __init__(self) -> None:
        self.refuse_status = 0
        self.refused_verbs: set[bytes] = {b"GET", b"POST", b"PUT", b"DELETE"}
        self.lose_next_writes = 0
        # Only writes of this kind are lost; of all kinds if it is empty.
        self.lose_kind = ""
        self.drop_watch_events = False
        self.watch_cuts = 0
        self.refused_hosts: set[str] = set()
        self.concurrent_create: ConcurrentCreate | None = None
        # Status and body of the answers to lists and watches.
        self.odd_answer: tuple[int, bytes] | None = None


class PlatformStoreStandin:
    """A store of objects by kind and name, with one revision counter and a history of changes."""

    limits = IngressLimits(max_body_bytes=8_000_000)

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, JsonObject]] = {}
        self.revision = 1
        self.oldest_revision = 0
        self.history: list[StoreEvent] = []
        self.faults = StoreFaults()
        self.calls = 0
        # Calls by verb, or `LIST` or `WATCH` for these reads, and kind; refused ones too.
        self.calls_by_kind: Counter[str] = Counter()
        # Objects that no JSON library would write, by the text that stands for them.
        self._encoded: dict[str, bytes] = {}
        self._changed = Notifier()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as an operator or a backend server would."""
        stored = self.kinds.setdefault(kind, {}).get(name)
        if not isinstance(stored, dict):
            stored = {"metadata": {"name": name}}
        self._write(kind, {**stored, "spec": spec})

    def put_encoded(self, kind: str, name: str, encoded: bytes) -> None:
        """Writes an object that is sent exactly as it is given, with its metadata."""
        placeholder = f"object {kind}/{name}"
        self._encoded[placeholder] = encoded
        self.kinds.setdefault(kind, {})[name] = placeholder  # type: ignore[assignment]
        self.revision += 1
        self.history.append(StoreEvent(self.revision, kind, placeholder, False))  # type: ignore[arg-type]
        self._changed.notify()

    def remove_encoded(self, kind: str, name: str) -> None:
        """Removes an object that `put_encoded` wrote."""
        self.kinds[kind].pop(name)
        stored = {"metadata": {"name": name, "revision": self.revision}, "spec": None}
        self._record_event(kind, stored, is_deleted=True)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object, as if its entry had expired."""
        stored = self.kinds[kind].pop(name)
        self._record_event(kind, stored, is_deleted=True)

    def cut_watches(self) -> None:
        """Breaks the connections of all waiting watches."""
        self.faults.watch_cuts += 1
        self._changed.notify()

    def compact(self) -> None:
        """Drops the history, so that older watches end with 410."""
        self.oldest_revision = self.revision
        self._changed.notify()

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return sorted(self.kinds.get(kind, {}))

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Responds with 400 to a malformed request."""
        await responder.answer(400, (), b"{}")

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Handles a call."""
        self.calls += 1
        self.calls_by_kind[_call_name(request)] += 1
        if self.faults.refuse_status and request.method in self.faults.refused_verbs:
            await _answer(responder, self.faults.refuse_status, {})
            return
        path, _, query = request.target.decode().partition("?")
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        if self.faults.odd_answer and request.method == b"GET" and not name:
            status, content = self.faults.odd_answer
            await responder.answer(status, (), content)
            return
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        if request.method == b"GET":
            await self._read(kind, unquote(name), fields, responder)
            return
        status, response = self._change(request.method, kind, unquote(name), fields, body)
        if self.faults.lose_next_writes and self.faults.lose_kind in ("", kind):
            self.faults.lose_next_writes -= 1
            raise BriarvaleError("the store's answer is lost")
        await _answer(responder, status, response)

    async def _read(
        self, kind: str, name: str, fields: dict[str, str], responder: Responder
    ) -> None:
        objects = self.kinds.get(kind, {})
        if name:
            stored = objects.get(name)
            await _answer(responder, 200 if stored else 404, stored or {})
        elif "watch" in fields:
            await self._watch(kind, fields, responder)
        else:
            names = sorted(key for key in objects if key > fields.get("after", ""))
            page = {
                "items": [objects[key] for key in names[:PAGE_ITEMS]],
                "has_more": len(names) > PAGE_ITEMS,
                "as_of": self.revision,
            }
            await _answer(responder, 200, page, self._encoded)

    async def _watch(self, kind: str, fields: dict[str, str], responder: Responder) -> None:
        after_revision, cuts_before = int(fields["watch"]), self.faults.watch_cuts
        with anyio.move_on_after(int(fields["wait_ms"]) / 1_000):
            while after_revision >= self.oldest_revision and not self._events(kind, after_revision):
                await self._changed.wait()
                if cuts_before != self.faults.watch_cuts:
                    raise CallerGone("the watch is cut")
        if after_revision < self.oldest_revision:
            await _answer(responder, 410, {})
            return
        events = [
            {"object": event.object, "deleted": event.is_deleted}
            for event in self._events(kind, after_revision)
        ]
        await _answer(responder, 200, {"events": events, "as_of": self.revision}, self._encoded)

    def _events(self, kind: str, after_revision: int) -> list[StoreEvent]:
        if self.faults.drop_watch_events:
            return []
        return [e for e in self.history if e.kind == kind and e.revision > after_revision]

    def _change(
        self, verb: bytes, kind: str, name: str, fields: dict[str, str], body: JsonObject
    ) -> tuple[int, JsonObject]:
        """Applies a write; returns the response's status and body."""
        objects = self.kinds.setdefault(kind, {})
        name, _, subresource = name.partition("/")
        name = name or body["metadata"]["name"]
        stored = objects.get(name)
        if verb == b"POST":
            concurrent = self.faults.concurrent_create
            if concurrent and concurrent.kind == kind and concurrent.marker in json.dumps(body):
                self.faults.concurrent_create = None
                stored = self._write(
                    kind, {"metadata": {"name": name}, "spec": concurrent.spec(body["spec"])}
                )
            if stored is not None:
                return 409, stored
            return 201, self._write(kind, {"metadata": {"name": name}, "spec": body["spec"]})
        if stored is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision", fields.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if verb == b"DELETE":
            self._record_event(kind, objects.pop(name), is_deleted=True)
            return 200, {}
        field = "status" if subresource == "status" else "spec"
        return 200, self._write(kind, {**stored, field: body[field]})

    def _write(self, kind: str, stored: JsonObject) -> JsonObject:
        self.revision += 1
        stored = {**stored, "metadata": {**stored["metadata"], "revision": self.revision}}
        self.kinds.setdefault(kind, {})[stored["metadata"]["name"]] = stored
        self._record_event(kind, stored, is_deleted=False)
        return stored

    def _record_event(self, kind: str, stored: JsonObject, *, is_deleted: bool) -> None:
        if is_deleted:
            self.revision += 1
        self.history.append(StoreEvent(self.revision, kind, stored, is_deleted))
        self._changed.notify()


def _call_name(request: IngressRequest) -> str:
    """Returns the verb and kind of a call; `LIST` and `WATCH` stand for reads of a whole kind."""
    path, _, query = request.target.decode().partition("?")
    kind, _, name = path.removeprefix(PREFIX).partition("/")
    verb = request.method.decode()
    if verb == "GET" and not name:
        verb = "WATCH" if "watch=" in query else "LIST"
    return f"{verb} {kind}"


class StoreProxy:
    """One node's proxy for the store; it can refuse, block or delay that node's calls."""

    limits = PlatformStoreStandin.limits

    def __init__(self, store: PlatformStoreStandin) -> None:
        self._store = store
        self.is_refusing = False
        self.is_silent = False
        # Calls whose path contains this text are never answered; no such calls if it is empty.
        self.silent_path = ""
        # Responses to calls whose path contains this text are delayed by `late_s`.
        self.late_path, self.late_s = "", 0.0
        self.watch_calls = 0
        # By path: reads other than watches, bytes of all responses, and watches.
        self.read_calls: Counter[str] = Counter()
        self.response_bytes: Counter[str] = Counter()
        self.watches: Counter[str] = Counter()

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Responds with 400 to a malformed request."""
        await self._store.refuse(error, responder)

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Forwards or refuses a call; waiting watches end when the proxy starts refusing."""
        path = request.target.decode().partition("?")[0]
        is_watch = b"?watch=" in request.target
        self.watch_calls += is_watch
        if is_watch:
            self.watches[path] += 1
        elif request.method == b"GET":
            self.read_calls[path] += 1
        if self.is_refusing:
            await _answer(responder, 503, {})
            return
        if self.silent_path and self.silent_path in request.target.decode():
            await anyio.sleep_forever()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_once_refusing, tasks.cancel_scope)
            await self._store.handle(request, _DelayedResponder(responder, self, path))
            tasks.cancel_scope.cancel()
        if not responder.has_started:
            await _answer(responder, 503, {})

    async def _cancel_once_refusing(self, scope: anyio.CancelScope) -> None:
        while not self.is_refusing:
            await anyio.sleep(0.05)
        scope.cancel()


class _DelayedResponder:
    """Blocks responses while the proxy is silent, delays late ones, and counts their bytes."""

    def __init__(self, responder: Responder, proxy: StoreProxy, path: str) -> None:
        self._responder = responder
        self._proxy = proxy
        self._path = path

    async def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Sends a complete response once the proxy allows it."""
        while self._proxy.is_silent:
            await anyio.sleep(0.05)
        if self._proxy.late_path and self._proxy.late_path in self._path:
            await anyio.sleep(self._proxy.late_s)
        self._proxy.response_bytes[self._path] += len(body)
        await self._responder.answer(status, headers, body)


async def _answer(
    responder: Responder, status: int, body: JsonObject, encoded: Mapping[str, bytes] | None = None
) -> None:
    content = json.dumps(body).encode()
    for placeholder, value in (encoded or {}).items():
        content = content.replace(json.dumps(placeholder).encode(), value)
    await responder.answer(status, ((b"content-type", b"application/json"),), content)
