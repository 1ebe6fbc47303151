"""A small fleet with in-memory stand-ins, all in one event loop, for tests in virtual time."""

import hashlib
from typing import Any, NamedTuple

import anyio
import yaml
from anyio.abc import TaskGroup

from ..batch import BatchProgram
from ..clock import Clock
from ..config import BackendServer
from ..config_head import apply_config
from ..controller import Controller
from ..dispatcher import Dispatcher
from ..environment import Environment
from ..gateway import Gateway
from ..peer import PeerIdentity
from ..settings import Settings
from ..vm_list import VmEntry, VmStatus
from .engine import EngineSettings, StandinEngine
from .memory_network import MemoryNetwork
from .object_api import StandinObjectApi
from .plain_service import StandinPlainService
from .vm_list import StandinVmList

SHARED_SECRET = "memory-fleet-shared-secret"
EPOCH_MS = 1_800_000_000_000
MODEL = "reeds"
ENGINE_SERVICE = "reed-desk"
PLAIN_SERVICE = "orders"
PROGRAMS = ("dispatcher", "gateway", "batch", "controller")
ZONES = ("caerdydd", "abertawe", "wrecsam")

__all__ = ["ENGINE_SERVICE", "FleetSettings", "MemoryFleet", "MemoryVm", "PLAIN_SERVICE"]


class FleetSettings(NamedTuple):
    """Sizes and rules of an in-memory fleet."""

    vm_count: int = 3
    engine_count: int = 3
    plain_count: int = 1
    slots: int = 16
    shares: tuple[tuple[str, float], ...] = (("cyweirio", 60), ("trust", 40))
    rules: tuple[tuple[str, Any], ...] = ()
    seed: int = 0


class MemoryVm:
    """The programs of one VM, each in its own cancel scope."""

    def __init__(self, settings: Settings, environments: dict[str, Environment]) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, environments["dispatcher"])
        self.gateway = Gateway(settings, environments["gateway"])
        self.batch = BatchProgram(settings, environments["batch"])
        self.controller = Controller(settings, environments["controller"])
        self.scopes = {program: anyio.CancelScope() for program in PROGRAMS}

    async def run_program(self, program: str) -> None:
        """Runs one program until it is killed."""
        with self.scopes[program]:
            await getattr(self, program).run()

    def kill(self, program: str) -> None:
        """Cancels one program at once."""
        self.scopes[program].cancel()


class MemoryBackends:
    """Implements `BackendClients`; the clients are the stand-ins themselves."""

    def __init__(self) -> None:
        self.engines: dict[str, StandinEngine] = {}
        self.plain_services: dict[str, StandinPlainService] = {}

    def engine(self, server: BackendServer) -> StandinEngine:
        """Returns the stand-in engine."""
        return self.engines[server.id]

    def plain_service(self, server: BackendServer) -> StandinPlainService:
        """Returns the stand-in plain service."""
        return self.plain_services[server.id]


class MemoryFleet:
    """Stand-ins and VMs; `start` runs them in a task group and waits until they are ready.

    Args:
        settings: Sizes and rules.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.clock = Clock(EPOCH_MS)
        self.store = StandinObjectApi(settings.seed)
        self.network = MemoryNetwork()
        self.backends = MemoryBackends()
        self.vms: dict[str, MemoryVm] = {}
        self.vm_list = StandinVmList(tuple(self._vm_entry(n) for n in range(settings.vm_count)))

    async def start(self, tasks: TaskGroup) -> None:
        """Stores the configuration, and starts engines and VMs; returns when all are ready."""
        for index in range(self.settings.engine_count):
            engine = StandinEngine(EngineSettings(f"bs-{index + 1}", MODEL))
            self.backends.engines[engine.settings.name] = engine
            tasks.start_soon(engine.run)
        for index in range(self.settings.plain_count):
            name = f"bs-plain-{index + 1}"
            self.backends.plain_services[name] = StandinPlainService(name)
        await apply_config(self.store, self.inventory_text(), self.rules_text(), 0)
        for index in range(self.settings.vm_count):
            self.start_vm(index, tasks)
        for vm in self.vms.values():
            await vm.gateway.view.wait_ready()
        await self._wait_all_owned()

    def start_vm(self, index: int, tasks: TaskGroup) -> MemoryVm:
        """Starts or restarts the VM of this index."""
        entry = self._vm_entry(index)
        settings = settings_of(entry)
        environments = {program: self._environment(settings, program) for program in PROGRAMS}
        vm = MemoryVm(settings, environments)
        self.vms[settings.vm] = vm
        for program in environments:
            tasks.start_soon(vm.run_program, program)
        return vm

    def kill_vm(self, vm: str) -> None:
        """Cancels all programs of a VM and closes its connections at once."""
        for program in self.vms[vm].scopes:
            self.vms[vm].kill(program)
        self.network.close_host(self.vms[vm].settings.host)

    def environment(self, vm: str, program: str) -> Environment:
        """Returns the environment of an additional process on a VM."""
        return self._environment(self.vms[vm].settings, program)

    def inventory_text(self) -> str:
        """Returns the inventory as YAML."""
        return yaml.safe_dump(
            {
                "members": [
                    {"id": member, "api_key_sha256": [_api_key_sha256(member)]}
                    for member, _ in self.settings.shares
                ],
                "models": [{"id": MODEL, "version": "1"}],
                "services": [
                    {"id": ENGINE_SERVICE, "kind": "model", "model": MODEL},
                    {"id": PLAIN_SERVICE, "kind": "plain"},
                ],
                "backend_servers": [
                    *(
                        self._server_row(f"bs-{n + 1}", ENGINE_SERVICE, n)
                        for n in range(self.settings.engine_count)
                    ),
                    *(
                        self._server_row(f"bs-plain-{n + 1}", PLAIN_SERVICE, n)
                        for n in range(self.settings.plain_count)
                    ),
                ],
            }
        )

    def rules_text(self) -> str:
        """Returns the rules as YAML."""
        shares = [{"member": m, "percent": percent} for m, percent in self.settings.shares]
        return yaml.safe_dump({"shares": shares} | dict(self.settings.rules))

    async def _wait_all_owned(self) -> None:
        """Waits until the first VM's gateway has an owner for each backend server."""
        view = next(iter(self.vms.values())).gateway.view
        while not all(view.owner_address(server) for server in view.config.servers):
            await view.wait_changed()

    def _environment(self, settings: Settings, program: str) -> Environment:
        identity = PeerIdentity(settings.vm, program, f"{settings.vm}-{program}")
        return Environment(
            clock=self.clock,
            store=self.store,
            vm_list=self.vm_list,
            backends=self.backends,
            transport=self.network.transport(settings.host, identity),
            datagrams=self.network.datagrams(settings.host),
            identity=identity,
        )

    def _vm_entry(self, index: int) -> VmEntry:
        zone = ZONES[index % len(ZONES)]
        return VmEntry(f"vm-{index + 1}", f"127.0.0.{index + 1}", "wales", zone, VmStatus.LIVE)

    def _server_row(self, name: str, service: str, index: int) -> dict[str, Any]:
        return {
            "id": name,
            "service": service,
            "url": "http://127.0.0.1:9100",
            "slots": self.settings.slots,
            "region": "wales",
            "availability_zone": ZONES[index % len(ZONES)],
        }


def _api_key_sha256(member: str) -> str:
    return hashlib.sha256(f"key-{member}".encode()).hexdigest()


def settings_of(entry: VmEntry) -> Settings:
    """Returns the settings of a VM of an in-memory fleet."""
    return Settings(
        vm=entry.vm,
        region=entry.region,
        availability_zone=entry.availability_zone,
        host=entry.host,
        shared_secret=SHARED_SECRET,
        object_api_url="http://127.0.0.1:9000",
        vm_list_url="http://127.0.0.1:9001/vms",
    )
