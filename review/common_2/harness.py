"""Stand-ins of the platform's store, engines and clients, and node processes, on loopback.

Only the standard library. The nodes run as processes of their own, with the command of
`deploy/system.toml`; the stand-ins speak what PROTOCOL.md says.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ID_HEADER = "briarvale-request-attempt-id"
STARTED_S = time.monotonic()
DEADLINE_S = 110.0
PAGE_ITEMS = 500
# Of the stand-ins, and of up to four nodes.
ADDRESSES = ("127.0.0.1", "127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14")
# After this time a process that has ended is started again.
RESTART_S = 1.0
# Rule "Fault": processes end by themselves three times, on two machines at least.
ENDS, MACHINES = 3, 2


def free_ports(count: int) -> int:
    """Returns the first of `count` ports that are free now on all of `ADDRESSES`."""
    while True:
        first = random.SystemRandom().randrange(12_000, 31_000)
        if all(_is_free(first + offset) for offset in range(count)):
            return first


def _is_free(port: int) -> bool:
    for address in ADDRESSES:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
    return True


class Record:
    """What was sent, answered and run; written to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115

    def add(self, text: str) -> None:
        """Writes one line, with the seconds since the start."""
        line = f"{time.monotonic() - STARTED_S:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class Request:
    """A request as a stand-in read it; header names are in lower case."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def id(self) -> str:
        """The id of the client attempt."""
        return self.headers.get(ID_HEADER, "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request with a length; none at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a complete answer with a length."""
    rows = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} X", *rows, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk; the last one if there is no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Store:
    """The platform's store: kinds of objects, one revision, conditional writes and watches."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revision = 10
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self.silent_ports: set[int] = set()
        self.delay_s = 0.002

    async def listen(self) -> int:
        """Listens at one more port and returns it; `silent_ports` turns away those who use it."""
        port = free_ports(1)
        await asyncio.start_server(
            lambda reader, writer: self._serve(port, reader, writer), "127.0.0.1", port
        )
        return port

    def put(self, kind: str, name: str, spec: object) -> float:
        """Writes an object as the operator or an engine; returns when it was acknowledged."""
        stored = self.kinds.setdefault(kind, {}).get(name, {"metadata": {"name": name}})
        self._write(kind, {**stored, "spec": spec})
        return time.monotonic()

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self.kinds[kind].pop(name)
        self.revision += 1
        self._add_event(kind, stored, True)

    async def _serve(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._handle(port, request)
                while port in self.silent_ports:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(self.delay_s)
                content = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, port: int, request: Request) -> tuple[int, dict]:
        while port in self.silent_ports:
            await asyncio.sleep(0.02)
        path, _, query = request.target.partition("?")
        kind, _, name = path.removeprefix("/briarvale/objects/").partition("/")
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        name = unquote(name)
        if request.method == "GET" and name:
            stored = self.kinds.get(kind, {}).get(name)
            return (200, stored) if stored else (404, {})
        if request.method == "GET" and "watch" in fields:
            return await self._watch(kind, fields)
        if request.method == "GET":
            objects = self.kinds.get(kind, {})
            names = sorted(found for found in objects if found > fields.get("after", ""))
            page = [objects[found] for found in names[:PAGE_ITEMS]]
            has_more = len(names) > PAGE_ITEMS
            return 200, {"items": page, "has_more": has_more, "as_of": self.revision}
        body = json.loads(request.body) if request.body else {}
        return self._change(request.method, kind, name, fields, body)

    async def _watch(self, kind: str, fields: dict[str, str]) -> tuple[int, dict]:
        after = int(fields["watch"])
        until_s = time.monotonic() + int(fields["wait_ms"]) / 1_000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, found, stored, deleted in self.history
                if found == kind and revision > after
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self._changed
            await asyncio.wait([asyncio.ensure_future(changed.wait())], timeout=left_s)

    def _change(
        self, method: str, kind: str, name: str, fields: dict[str, str], body: dict
    ) -> tuple[int, dict]:
        objects = self.kinds.setdefault(kind, {})
        name, _, part = name.partition("/")
        name = name or body["metadata"]["name"]
        stored = objects.get(name)
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 201, self._write(kind, {"metadata": {"name": name}, "spec": body["spec"]})
        if stored is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision", fields.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        field = "status" if part == "status" else "spec"
        return 200, self._write(kind, {**stored, field: body[field]})

    def _write(self, kind: str, stored: dict) -> dict:
        self.revision += 1
        stored = {**stored, "metadata": {**stored["metadata"], "revision": self.revision}}
        self.kinds.setdefault(kind, {})[stored["metadata"]["name"]] = stored
        self._add_event(kind, stored, False)
        return stored

    def _add_event(self, kind: str, stored: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()


class Engine:
    """An engine: one request at a time on a connection; subclasses say how it answers.

    Attributes:
        runs: Ids of the requests that it began to run, in order.
    """

    def __init__(self, name: str, service: str, record: Record, slots: int = 6) -> None:
        self.name, self.service, self.record, self.slots = name, service, record, slots
        self.port = 0
        self.runs: list[str] = []
        self.born = int(time.time() * 1_000)

    async def start(self, store: Store, zone: str = "caerdydd") -> None:
        """Listens, and writes its entry."""
        self.port = free_ports(1)
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": zone}
        entry |= {"version": "1", "slots": self.slots, "state": "ready", "cold_left_ms": 0}
        store.put("servers", self.name, entry | {"sequence": 1, "born": self.born})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers a request."""
        if request.target == "/briarvale/report":
            report = {"stage": "both", "models": [], "busy": False, "sequence": 1}
            report |= {"num_waiting": 0, "num_running": 0, "kv_used": 0, "kv_total": 100_000}
            body = json.dumps(report | {"handles": 0, "born": self.born}).encode()
            writer.write(encode_answer(200, {"Content-Type": "application/json"}, body))
            return
        if request.headers.get("briarvale-expect-instance", self.name) != self.name:
            self.record.add(f"engine {self.name}: 421 to {request.id}")
            writer.write(encode_answer(421, {ID_HEADER: request.id, "Briarvale-Not-Executed": "1"}))
            return
        await self.answer(request, writer)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request and answers it."""
        self.begin(request)
        writer.write(encode_answer(200, self.headers(request), f"body of {request.id}".encode()))

    def begin(self, request: Request) -> None:
        """Notes that the engine begins to work on a request."""
        self.runs.append(request.id)
        self.record.add(f"engine {self.name}: runs {request.id}, run {self.runs.count(request.id)}")

    def headers(self, request: Request) -> dict[str, str]:
        """The headers of an answer of its own."""
        signature = f"{self.name}.{request.id}.{len(self.runs)}"
        return {"Briarvale-Request-Attempt-Id": request.id, "Briarvale-Server-Signature": signature}


class Node:
    """A node's process, started with the command of the deploy file."""

    def __init__(self, fleet: "Fleet", index: int, zone: str, store_port: int) -> None:
        self.name, self.ip = f"front-{zone}-{index}", f"127.0.0.{10 + index}"
        self.zone, self.store_port = zone, store_port
        self._fleet = fleet
        self.front, self.ready, self._metrics = (free_ports(1) for _ in range(3))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Writes the settings file and starts the process."""
        folder = self._fleet.folder
        settings = folder / f"{self.name}.toml"
        settings.write_text(self._fleet.settings(self))
        log = open(folder / f"{self.name}.log", "ab")  # noqa: SIM115
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRIARVALE_BOOT": str(settings),
            "BRIARVALE_METRICS_PORT": str(self._metrics),
            # By default the store's address, which may differ here from node to node.
            "BRIARVALE_SHARED_SECRET": "review",
        }
        words = ["-m", "briarvale.programs.node"]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> None:
        """Stops the process with SIGTERM and waits for its end."""
        self.send_signal(signal.SIGTERM)
        if self.process is not None:
            await self.process.wait()

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    def private_memory_mb(self) -> float:
        """Returns the memory of the process that it shares with no other, in MB; 0 if it ended."""
        if self.process is None or self.has_ended:
            return 0.0
        try:
            rows = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        used_kb = [int(row.split()[1]) for row in rows if row.startswith("RssAnon")]
        return sum(used_kb) * 1_024 / 1_000_000

    async def wait_ready(self) -> None:
        """Waits until the node reports itself ready."""
        while True:
            try:
                answer = await call(self, "GET", "/briarvale/readiness", port=self.ready)
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)


class Answer:
    """An answer; `is_whole` is false if its connection ended before it did."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, is_whole: bool) -> None:
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


class StreamEngine(Engine):
    """An engine whose answers are streams of events.

    Attributes:
        finished: Ids of the streams that it sent to their end.
    """

    event_count = 6
    event_gap_s = 0.02

    def __init__(self, name: str, service: str, record: Record, slots: int = 6) -> None:
        super().__init__(name, service, record, slots)
        self.finished: list[str] = []

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Streams events, from the one after `Last-Event-Id` on."""
        self.begin(request)
        after = int(request.headers.get("last-event-id") or 0)
        writer.write(self.stream_head(request))
        for number in range(after + 1, self.event_count + 1):
            writer.write(chunk(self.event(request, number)))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(chunk(b""))
        await writer.drain()
        self.finished.append(request.id)

    def stream_head(self, request: Request) -> bytes:
        """Returns the head of a stream in chunks."""
        rows = self.headers(request) | {"Content-Type": "text/event-stream"}
        rows |= {"Transfer-Encoding": "chunked"}
        head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
        return f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()

    def event(self, request: Request, number: int) -> bytes:
        """Returns the bytes of one event."""
        return f"id: {number}\ndata: {self.data(request, number)}\n\n".encode()

    def data(self, request: Request, number: int) -> str:
        """Returns the data of one event."""
        return f"{request.id} piece {number}"


async def call(
    node: Node,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    *,
    port: int = 0,
    timeout_s: float = 10.0,
) -> Answer:
    """Sends a request on a new connection and reads its answer; status 0 if there is none."""
    reader, writer = await asyncio.open_connection(node.ip, port or node.front)
    rows = {"Host": HOST} | (headers or {})
    if body or method == "POST":
        rows["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads an answer that has a length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rows = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(status, headers, body, True)
    parts = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = (await reader.readexactly(size + 2))[:-2]
            if not size:
                return Answer(status, headers, parts, True)
            parts += data
    except (ConnectionError, asyncio.IncompleteReadError):
        return Answer(status, headers, parts, False)


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Returns a route of the operator's configuration."""
    fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind}
    fields |= {"service": service, "timeout_ms": 5_000, "target_latency_ms": 300}
    return fields | {"max_attempts": 2, "priority": 0} | more


def job_body(items: list[dict]) -> bytes:
    """Returns the body that submits a batch job."""
    return json.dumps({"items": items}).encode()


def job_item(item_id: str, path: str, body: bytes, tokens: int = 650) -> dict:
    """Returns one item of a batch job."""
    usage = f"{tokens // 2},{tokens - tokens // 2}"
    headers = {"Briarvale-Model": "m", "Briarvale-Token-Usage": usage}
    headers |= {"Briarvale-Prompt-Prefix": f"9c2e41:{tokens // 4},{item_id[:6]}:{tokens // 4}"}
    fields = {"id": item_id, "path": path, "headers": headers, "tokens": tokens}
    return fields | {"body": base64.b64encode(body).decode()}


class Fleet:
    """The nodes and stand-ins of one case, with the bounds of the site `cyrs-hub`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.nodes: list[Node] = []
        self.services: list[dict] = []
        self.max_header_bytes = 16_384
        self._internal_port = free_ports(16)

    async def start(self, zones: list[str], routes: list[dict], version: int = 3) -> None:
        """Starts a node for each named zone, and waits until all are ready and settled."""
        self.put_config(routes, version)
        for index, zone in enumerate(zones):
            port = await self.store.listen()
            self.nodes.append(Node(self, index + 1, zone, port))
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        # Nodes own nothing in their first seconds; traffic starts later than that on the sites.
        await asyncio.sleep(5.0)
        self.record.add(f"{len(self.nodes)} nodes are ready")

    def put_config(self, routes: list[dict], version: int) -> float:
        """Writes a version of the configuration; returns when it was acknowledged."""
        limits = {"max_header_bytes": self.max_header_bytes, "max_body_bytes": 4_194_304}
        limits |= {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}
        config = {"version": version, "routes": routes, "services": self.services}
        config |= {"limits": limits}
        return self.store.put("config", "main", config)

    def settings(self, node: Node) -> str:
        """Returns the text of a node's settings file."""
        first = self._internal_port
        return f"""
node_name = "{node.name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{node.ip}"
zone = "{node.zone}"
region = "cymru"
internal_ports = [{first}, {first + 15}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
[zones]
caerdydd = "cymru"
abertawe = "cymru"
wrecsam = "cymru"
[listen]
front = "{node.ip}:{node.front}"
ready = "{node.ip}:{node.ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_extension_ms = 5000
recovery_s = 12
finish_s = 18
status_s = 120
cancel_ms = 3000
settle_ms = 1000
[platform]
address = "127.0.0.1:{node.store_port}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_retention_s = 20
value_bytes = 1048576
"""

    async def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes:
            await node.kill()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """Kills a process that uses more than `memory_mb`, and restarts each that has ended.

    Attributes:
        ends: Ends of processes for their memory, by node.
        peak_mb: The most memory that a process of a node has used.
    """

    def __init__(self, fleet: Fleet, record: Record, memory_mb: int) -> None:
        self._fleet, self._record, self._memory_mb = fleet, record, memory_mb
        self.ends = {node.name: 0 for node in fleet.nodes}
        self.peak_mb = dict.fromkeys(self.ends, 0.0)

    async def run(self, until_s: float) -> None:
        """Watches all nodes until then, or until the rule is broken."""
        tasks = [asyncio.ensure_future(self._watch(node, until_s)) for node in self._fleet.nodes]
        await asyncio.gather(*tasks)

    @property
    def is_broken(self) -> bool:
        """Whether so many processes have ended that the rule is broken."""
        return sum(count >= ENDS for count in self.ends.values()) >= MACHINES

    async def _watch(self, node: Node, until_s: float) -> None:
        while time.monotonic() < until_s and not self.is_broken:
            await asyncio.sleep(0.05)
            used_mb = node.private_memory_mb()
            self.peak_mb[node.name] = max(self.peak_mb[node.name], used_mb)
            is_over = used_mb > self._memory_mb
            if is_over:
                self._record.add(f"{node.name}: uses {used_mb:.0f} MB of {self._memory_mb}; killed")
                await node.kill()
            if node.has_ended:
                self.ends[node.name] += 1
                await asyncio.sleep(RESTART_S)
                await node.start()


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_file: str, play) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        case_file: Path of the case's program; the record goes into its folder.
        play: Coroutine function that plays the case and returns whether the rule was broken.
    """
    record = Record(Path(case_file).resolve().parent)

    async def main() -> int:
        fleet = Fleet(record)
        # Tasks that still run at the end are dropped with the process.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            is_broken = await asyncio.wait_for(play(fleet, record), DEADLINE_S)
            record.add("the rule was broken" if is_broken else "the rule held")
            return 1 if is_broken else 0
        except Exception as error:
            record.add(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await fleet.end()

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    sys.stdout.flush()
    # Stand-ins may still wait for something; nothing of them is needed any more.
    os._exit(code)
