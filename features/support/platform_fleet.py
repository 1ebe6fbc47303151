"""Real nodes and stand-ins of the platform, on loopback, in one event loop."""

import base64
import json
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup

from briarvale.ingress import Ingress
from briarvale.node_settings import NodeSettings, NodeTimeLimits, StoreSettings
from briarvale.peer import PeerAddress
from briarvale.platform.node import Node
from briarvale.settings import Settings
from features.support.platform_engine import PlatformEngineStandin
from features.support.platform_store import PlatformStoreStandin, StoreProxy

HOST = "desk.example"
MODEL, PLAIN = "desk", "orders"
# Tokens of each item of `job_body`.
TOKENS_PER_ITEM = 150
START_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 15.0
GRACE_MS = 5_000
# Time for which a crashed backend server is down.
CRASH_S = 0.6
# Below the ephemeral ports, which an outgoing connection could take before a test listens there.
FIRST_PORT, LAST_PORT = 12_000, 32_000
_used_ports: set[int] = set()


class Answer(NamedTuple):
    """A response; `is_whole` is false if the connection ended before the response did."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True

    def json(self) -> Any:
        """Returns the body's JSON."""
        return json.loads(self.body)


class FleetNode:
    """One running node; `kill` ends it without a graceful stop."""

    def __init__(self, name: str, settings: NodeSettings) -> None:
        self.name = name
        self.settings = settings
        self.stop_requested = anyio.Event()
        self.ended = anyio.Event()
        self.scope = anyio.CancelScope()
        self.node: Node | None = None

    async def run(self) -> None:
        """Runs the node until it ends."""
        with self.scope:
            self.node = Node(self.settings, self.stop_requested)
            await self.node.run()
        self.ended.set()

    def kill(self) -> None:
        """Cancels the node at once."""
        self.scope.cancel()


class PlatformFleet:
    """The stand-ins and nodes of one test; each node has its own proxy of the store."""

    def __init__(self, tasks: TaskGroup, node_count: int) -> None:
        self._tasks = tasks
        self.store = PlatformStoreStandin()
        self.engines: dict[str, PlatformEngineStandin] = {}
        self.nodes: dict[str, FleetNode] = {}
        self._node_count = node_count
        self.store_proxies: dict[str, StoreProxy] = {}
        self._routes: list[dict[str, Any]] = []
        self.version = 3

    async def start(self) -> None:
        """Starts the store and the nodes, and waits until all are ready."""
        self.store.put("config", "main", self.config())
        for index in range(self._node_count):
            self.start_node(f"vm-{index + 1}", f"127.0.0.{index + 11}")
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(self._is_settled(node) for node in self.nodes.values()):
                await anyio.sleep(0.02)

    def start_node(self, name: str, host: str, *, processor_cores: float = 0.5) -> FleetNode:
        """Starts one node; all nodes have the same peer ports, as each has its own host."""
        vm_settings = Settings(
            vm=name,
            region="cymru",
            availability_zone="caerdydd",
            host=host,
            shared_secret="test",
            object_api_url="",
            vm_list_url="",
            peer_port=free_port(),
            heartbeat_port=free_port(),
            log_level="ERROR",
        )
        first = next(iter(self.nodes.values()), None)
        if first is not None:
            ports = first.settings.vm_settings
            vm_settings = vm_settings._replace(
                peer_port=ports.peer_port, heartbeat_port=ports.heartbeat_port
            )
        settings = NodeSettings(
            vm_settings=vm_settings,
            store=StoreSettings(self._open_store_proxy(name)),
            time_limits=NodeTimeLimits(grace_ms=GRACE_MS),
            processor_cores=processor_cores,
            caller_address=PeerAddress(host, free_port()),
            readiness_address=PeerAddress(host, free_port()),
        )
        node = FleetNode(name, settings)
        self.nodes[name] = node
        self._tasks.start_soon(node.run)
        return node

    def _open_store_proxy(self, name: str) -> PeerAddress:
        address = PeerAddress("127.0.0.1", free_port())
        self.store_proxies[name] = StoreProxy(self.store)
        self._tasks.start_soon(Ingress(self.store_proxies[name]).serve, address)
        return address

    def restart(self, node: FleetNode) -> FleetNode:
        """Restarts a node that has ended, at the same addresses."""
        restarted = FleetNode(node.name, node.settings)
        self.nodes[node.name] = restarted
        self._tasks.start_soon(restarted.run)
        return restarted

    async def add_engine(
        self,
        server_id: str,
        service: str,
        *,
        slots: int = 4,
        event_count: int = 6,
        wait_for_nodes: tuple[str, ...] = (),
    ) -> PlatformEngineStandin:
        """Starts a backend server, writes its entry and waits until nodes have it.

        The nodes are those named in `wait_for_nodes`, or all if it is empty.
        """
        is_model = service == MODEL
        engine = PlatformEngineStandin(server_id, is_model=is_model, event_count=event_count)
        address = PeerAddress("127.0.0.1", free_port())
        self._tasks.start_soon(self._serve_engine, engine, address)
        self.engines[server_id] = engine
        self.store.put(
            "servers",
            server_id,
            {
                "service": service,
                "address": f"{address.host}:{address.port}",
                "zone": "caerdydd",
                "slots": slots,
                "state": "ready",
                "sequence": 1,
                "born": 1_700_000_000_000,
            },
        )
        await self.wait_server(server_id, wait_for_nodes or tuple(self.nodes))
        return engine

    async def _serve_engine(self, engine: PlatformEngineStandin, address: PeerAddress) -> None:
        """Serves until the engine crashes, and again once it is back."""
        while True:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(Ingress(engine).serve, address)
                await engine.crashed.wait()
                tasks.cancel_scope.cancel()
            engine.crashed = anyio.Event()
            await anyio.sleep(CRASH_S)

    async def wait_server(self, server_id: str, names: tuple[str, ...]) -> None:
        """Waits until these nodes have a server's entry."""
        nodes = [self.nodes[name] for name in names]
        with anyio.fail_after(START_TIMEOUT_S):
            while any(n.node and n.node.servers.get(server_id) is None for n in nodes):
                await anyio.sleep(0.02)

    def config(self, **changes: Any) -> dict[str, Any]:
        """Returns a configuration with one route of each kind."""

        def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
            row = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind}
            row |= {"service": service, "timeout_ms": 5_000, "target_latency_ms": 300}
            return row | {"max_attempts": 3, "priority": 0} | more

        routes = [
            route("look", "safe", PLAIN),
            route("pay", "unsafe", PLAIN),
            route("ask", "streaming", MODEL, gap_aim_ms=300),
            route("go-on", "streaming", MODEL, resumable=True, gap_aim_ms=300),
            route("brief", "safe", PLAIN, timeout_ms=300),
            route("lot", "batch", MODEL, completion_target_ms=8_000, retention_s=30, priority=2),
        ]
        return {"version": self.version, "routes": routes, "services": [], "limits": {}} | changes

    def _is_settled(self, node: FleetNode) -> bool:
        """Returns whether a node is ready and has discovered all other nodes."""
        if node.node is None or not node.node.is_ready:
            return False
        return len(node.node.cluster.live_nodes()) == len(self.nodes)


@asynccontextmanager
async def platform_fleet(node_count: int = 1) -> AsyncIterator[PlatformFleet]:
    """Runs a fleet until the block ends."""
    async with anyio.create_task_group() as tasks:
        fleet = PlatformFleet(tasks, node_count)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()


class Caller:
    """A caller's connection to a node, reused for several requests."""

    def __init__(self, node: FleetNode) -> None:
        self._node = node
        self.stream: SocketStream | None = None
        self._h11 = h11.Connection(h11.CLIENT)
        self._request_count = 0

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        request_id: str = "",
        headers: dict[str, str] | None = None,
        disconnect_after_s: float | None = None,
    ) -> Answer | None:
        """Sends a request and returns its answer; `None` if the caller disconnects first."""
        if self.stream is None:
            address = self._node.settings.caller_address
            assert address is not None
            self.stream = await anyio.connect_tcp(address.host, address.port)
        self._request_count += 1
        sent_headers = {
            "Host": HOST,
            "Briarvale-Request-Attempt-Id": request_id or f"r{id(self)}{self._request_count}",
        }
        sent_headers |= {"Briarvale-Deadline-Ms": "10000"} | (headers or {})
        if body:
            sent_headers["Content-Length"] = str(len(body))
        request = h11.Request(method=method, target=path, headers=list(sent_headers.items()))
        data = (self._h11.send(request) or b"") + (self._h11.send(h11.Data(data=body)) or b"")
        await self.stream.send(data + (self._h11.send(h11.EndOfMessage()) or b""))
        if disconnect_after_s is not None:
            await anyio.sleep(disconnect_after_s)
            await self.stream.aclose()
            return None
        with anyio.fail_after(CALL_TIMEOUT_S):
            return await self._read()

    async def _read(self) -> Answer:
        """Reads an answer; closes the connection unless it can be reused."""
        assert self.stream is not None
        status, headers, chunks, is_whole = 0, {}, [], False
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                break
            if event is h11.NEED_DATA:
                try:
                    self._h11.receive_data(await self.stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    self._h11.receive_data(b"")
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                is_whole = True
                break
            elif isinstance(event, h11.ConnectionClosed):
                break
        if is_whole and self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        else:
            await self.stream.aclose()
            self.stream, self._h11 = None, h11.Connection(h11.CLIENT)
        return Answer(status, headers, b"".join(chunks), is_whole)


def job_body(item_ids: list[str]) -> bytes:
    """Returns the body of a batch job."""
    items = [
        {
            "id": item_id,
            "path": f"/lot/{item_id}",
            "headers": {"Briarvale-Model": "m", "Briarvale-Token-Usage": "100,50"},
            "body": base64.b64encode(f"prompt of {item_id}".encode()).decode(),
            "tokens": TOKENS_PER_ITEM,
        }
        for item_id in item_ids
    ]
    return json.dumps({"items": items}).encode()


def free_port() -> int:
    """Returns a port that is free now, as is the one after it, on all addresses that tests use."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT, 2)
        if port not in _used_ports and _is_free(port) and _is_free(port + 1):
            _used_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True
