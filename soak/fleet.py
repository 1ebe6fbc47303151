"""Node processes, with a stand-in store and backend servers that they reach through proxies."""

import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from briarvale.ingress import Ingress, IngressHandler
from briarvale.node_settings import NodeSettings, NodeTimeLimits, StoreSettings
from briarvale.opaque_jobs import JOBS_KIND
from briarvale.peer import PeerAddress
from briarvale.settings import Settings
from features.support.job_writes import JobWrite, JobWrites
from features.support.platform_engine import PlatformEngineStandin
from features.support.platform_fleet import (
    HOST,
    MODEL,
    PLAIN,
    Caller,
    FleetNode,
    free_port,
)
from features.support.platform_settings_file import settings_file_text
from features.support.platform_store import PlatformStoreStandin
from soak.proxy import FaultyProxy

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
SHARED_SECRET = "soak"
FIRST_HOST = 11
ZONES = ("caerdydd", "abertawe")
GRACE_MS = 5_000
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
MODEL_SERVERS, PLAIN_SERVERS = 3, 2
SERVER_SLOTS = 6
EVENT_COUNT = 8
# Time for which a crashed server is down.
CRASH_S = 0.6
# Servers crash when they begin to answer a prompt with this part.
DEADLY_PART = "dead1e55"
# On the limited route: as many tokens as two of the callers' jobs have.
MAX_WAITING_TOKENS = 1_200
RETENTION_S = 600

__all__ = ["DEADLY_PART", "EVENT_COUNT", "SHARED_SECRET", "NodeProcess", "SoakFleet"]


class Exit(NamedTuple):
    """The end of a node's process; it was requested if it had been sent a signal to end."""

    name: str
    code: int
    at_s: float
    was_requested: bool


class NodeProcess:
    """One node's process; `supervise` restarts it whenever it has ended.

    Args:
        settings: The content of its settings file.
        path: Path of its settings file.
        store_proxy: The proxy between the node and the store.
    """

    def __init__(self, settings: NodeSettings, path: Path, store_proxy: FaultyProxy) -> None:
        self.name = settings.vm_settings.vm
        # Not run; it has the addresses that a `Caller` calls.
        self.endpoint = FleetNode(self.name, settings)
        self.store_proxy = store_proxy
        self.is_ready = False
        self.metrics_port = free_port()
        self.is_end_requested = False
        # Whether it was ended or hindered on purpose, so that it may fail to serve.
        self.is_excused = False
        self.peak_kb = 0
        self.restart_after_s = 0.3
        self.settings_path = path
        self.log_path = path.with_suffix(".log")
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        variables = {
            "BRIARVALE_BOOT": str(self.settings_path),
            # By default the store's address, which differs here, as each node has its own proxy.
            "BRIARVALE_SHARED_SECRET": SHARED_SECRET,
            "BRIARVALE_METRICS_PORT": str(self.metrics_port),
            "PYTHONPATH": str(ROOT),
        }
        with open(self.log_path, "ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", "briarvale.programs.node"],
                cwd=ROOT,
                env=os.environ | variables,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_end_requested = True
        if self.process.poll() is None:
            self.process.send_signal(number)

    def restart(self) -> None:
        """Kills the process; `supervise` starts the next one."""
        self.is_excused = True
        self.send_signal(signal.SIGKILL)

    def tcp_addresses(self) -> tuple[PeerAddress, ...]:
        """Returns the addresses for callers, readiness checks, peers and metrics."""
        settings, vm = self.endpoint.settings, self.endpoint.settings.vm_settings
        assert settings.caller_address is not None and settings.readiness_address is not None
        peers, metrics = (PeerAddress(vm.host, port) for port in (vm.peer_port, self.metrics_port))
        return settings.caller_address, settings.readiness_address, peers, metrics

    def datagram_address(self) -> PeerAddress:
        """Returns the address for heartbeats: the second of the two internal ports."""
        vm = self.endpoint.settings.vm_settings
        return PeerAddress(vm.host, vm.peer_port + 1)

    def open_files(self) -> int:
        """Returns the number of the process's open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def _record_peak_memory(self) -> None:
        """Records the largest resident set of all processes that this node has had."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return
        peaks = [int(line.split()[1]) for line in lines if line.startswith("VmHWM")]
        self.peak_kb = max([self.peak_kb, *peaks])

    async def supervise(self, record_exit: Callable[[Exit], None]) -> None:
        """Restarts the process `restart_after_s` after each end, until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            code = self.process.poll()
            if code is None:
                self._record_peak_memory()
                continue
            self.is_ready = False
            record_exit(Exit(self.name, code, anyio.current_time(), self.is_end_requested))
            await anyio.sleep(self.restart_after_s)
            self.is_end_requested = False
            self.process = self._start()

    async def poll_readiness(self) -> None:
        """Polls the node's readiness as the load balancer does, until cancelled."""
        address = self.endpoint.settings.readiness_address
        assert address is not None
        endpoint = FleetNode(self.name, self.endpoint.settings._replace(caller_address=address))
        while True:
            try:
                with anyio.fail_after(1):
                    answer = await Caller(endpoint).call("GET", "/")
                self.is_ready = answer is not None and answer.status == 200
            except (OSError, TimeoutError, anyio.BrokenResourceError):
                self.is_ready = False
            await anyio.sleep(0.5)

    def end(self) -> None:
        """Kills the process if it still runs, and waits for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class SoakFleet:
    """The nodes, store, backend servers and proxies of one soak.

    Args:
        folder: Where settings files and logs go.
        tasks: Runs the stand-ins and proxies.
    """

    def __init__(self, folder: Path, tasks: TaskGroup) -> None:
        self._folder = folder
        self._tasks = tasks
        self.store = PlatformStoreStandin()
        # Answers the nodes' calls of the store.
        self.store_handler: IngressHandler = self.store
        self.nodes: list[NodeProcess] = []
        self.servers: dict[str, PlatformEngineStandin] = {}
        self.server_proxies: dict[str, FaultyProxy] = {}
        self.exits: list[Exit] = []
        # When requests with the deadly part crashed servers.
        self.crashed_at_s: list[float] = []
        self.config_version = 1

    async def start(self, node_count: int) -> None:
        """Starts all parts, and waits until the nodes are ready and cooperate."""
        self.put_config()
        store = PeerAddress(LOOPBACK, free_port())
        self._tasks.start_soon(Ingress(self.store_handler).serve, store)
        for index in range(MODEL_SERVERS + PLAIN_SERVERS):
            await self._add_server(f"i-{index}", MODEL if index < MODEL_SERVERS else PLAIN)
        peer_port = free_port()
        for index in range(node_count):
            self._add_node(index, peer_port, store)
        with anyio.fail_after(START_TIMEOUT_S):
            while not (all(node.is_ready for node in self.nodes) and self._do_cooperate()):
                await anyio.sleep(POLL_INTERVAL_S)

    def _do_cooperate(self) -> bool:
        """Whether any node gets changes from another one, which takes a common secret."""
        return any("Receives store changes" in node.log_path.read_text() for node in self.nodes)

    def put_config(self) -> None:
        """Stores the next configuration version, with a route that no other version has."""
        self.config_version += 1
        common = {"host": HOST, "timeout_ms": 5_000, "target_latency_ms": 300, "max_attempts": 3}

        def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
            fields = {"name": name, "path_prefix": f"/{name}/", "kind": kind, "service": service}
            return common | fields | {"priority": 0} | more

        batch_options = {"completion_target_ms": 20_000, "retention_s": RETENTION_S, "priority": 2}
        routes = [
            route("look", "safe", PLAIN),
            route("pay", "unsafe", PLAIN),
            route("ask", "streaming", MODEL, gap_aim_ms=300),
            route("go-on", "streaming", MODEL, resumable=True, gap_aim_ms=300),
            route("lot", "batch", MODEL, **batch_options),
            route("few", "batch", MODEL, max_count=MAX_WAITING_TOKENS, **batch_options),
            route(f"v{self.config_version}", "safe", PLAIN),
        ]
        config = {"version": self.config_version, "routes": routes, "services": [], "limits": {}}
        self.store.put("config", "main", config)

    async def _add_server(self, server_id: str, service: str) -> None:
        server = PlatformEngineStandin(
            server_id, is_model=service == MODEL, event_count=EVENT_COUNT
        )
        server.event_gap_s = 0.04
        server.deadly_part = DEADLY_PART
        server_address, proxy_address = (PeerAddress(LOOPBACK, free_port()) for _ in range(2))
        self.servers[server_id] = server
        self.server_proxies[server_id] = FaultyProxy(server_address)
        self._tasks.start_soon(self._serve_server, server, server_address, proxy_address)
        entry = {"service": service, "address": f"{proxy_address.host}:{proxy_address.port}"}
        entry |= {"zone": ZONES[0], "state": "ready"}
        numbers = {"slots": SERVER_SLOTS, "sequence": 1, "born": 1_700_000_000_000}
        self.store.put("servers", server_id, entry | numbers)

    async def _serve_server(
        self, server: PlatformEngineStandin, address: PeerAddress, proxy_address: PeerAddress
    ) -> None:
        """Serves behind the server's proxy until the server crashes, and again once it is back."""
        while True:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(Ingress(server).serve, address)
                tasks.start_soon(self.server_proxies[server.id].serve, proxy_address)
                await server.crashed.wait()
                # Before the connections end, so that no caller sees a crash that has no time yet.
                self.crashed_at_s.append(anyio.current_time())
                tasks.cancel_scope.cancel()
            await anyio.sleep(CRASH_S)
            server.crashed = anyio.Event()

    def _add_node(self, index: int, peer_port: int, store: PeerAddress) -> None:
        name, host = f"vm-{index + 1}", f"127.0.0.{FIRST_HOST + index}"
        zone = ZONES[index % len(ZONES)]
        proxy, proxy_address = FaultyProxy(store), PeerAddress(LOOPBACK, free_port())
        self._tasks.start_soon(proxy.serve, proxy_address)
        caller_address, readiness_address = (PeerAddress(host, free_port()) for _ in range(2))
        vm_settings = Settings(name, "cymru", zone, host, "", "", "", peer_port=peer_port)
        settings = NodeSettings(
            vm_settings,
            StoreSettings(proxy_address),
            NodeTimeLimits(grace_ms=GRACE_MS),
            caller_address=caller_address,
            readiness_address=readiness_address,
        )
        settings_path = self._folder / f"{name}.toml"
        settings_path.write_text(settings_file_text(settings))
        node = NodeProcess(settings, settings_path, proxy)
        self.nodes.append(node)
        self._tasks.start_soon(node.supervise, self.exits.append)
        self._tasks.start_soon(node.poll_readiness)

    def job_writes(self, route: str) -> JobWrites:
        """Returns what the store's writes so far say of the jobs of a route."""
        replayed = JobWrites(route)
        replayed.apply(
            JobWrite(event.object["metadata"]["name"], event.object["spec"]["text"].encode())
            for event in self.store.history
            if event.kind == JOBS_KIND and not event.is_deleted
        )
        return replayed

    @property
    def peak_kb(self) -> int:
        """The sum of the nodes' peak memory."""
        return sum(node.peak_kb for node in self.nodes)

    def end(self) -> None:
        """Kills all node processes."""
        for node in self.nodes:
            node.end()
