"""Many dispatchers in one event loop, to test failures and measure costs in virtual time."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
import yaml
from anyio.abc import TaskGroup

from .._generated.messages import VmHealth
from ..clock import Clock
from ..config_head import apply_config
from ..dispatcher import Dispatcher
from ..environment import Environment
from ..peer import PeerIdentity
from ..settings import Settings
from ..vm_list import VmEntry, VmStatus
from .engine import EngineSettings, StandinEngine
from .memory_fleet import EPOCH_MS, MemoryBackends, settings_of
from .memory_network import MemoryNetwork
from .object_api import StandinObjectApi
from .vm_list import StandinVmList

MEMBER = "cyweirio"
MODEL = "reeds"
SERVICE = "reed-desk"

__all__ = ["DispatcherFleet", "DispatcherFleetSettings", "inventory_of", "rules_of"]


class DispatcherFleetSettings(NamedTuple):
    """Sizes of a fleet of dispatchers, and the seed of its random faults."""

    vm_count: int = 6
    zone_count: int = 3
    server_count: int = 3
    seed: int = 0


class DispatcherFleet:
    """One dispatcher for each VM, without the VM's other programs, over an in-memory network.

    Args:
        settings: Sizes of the fleet, and the seed of its random faults.
        make_dispatcher: Builds the dispatcher of a VM.
    """

    def __init__(
        self,
        settings: DispatcherFleetSettings,
        make_dispatcher: Callable[[Settings, Environment], Dispatcher] = Dispatcher,
    ) -> None:
        self.settings = settings
        self._make_dispatcher = make_dispatcher
        self.clock = Clock(EPOCH_MS)
        self.store = StandinObjectApi(settings.seed)
        self.network = MemoryNetwork()
        self.network.random.seed(settings.seed)
        self.backends = MemoryBackends()
        self.dispatchers: dict[str, Dispatcher] = {}
        self.entries = {f"vm-{n + 1}": self._vm_entry(n) for n in range(settings.vm_count)}
        self.vm_list = StandinVmList(tuple(self.entries.values()))
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._start_count = 0
        for index in range(settings.server_count):
            name = f"bs-{index + 1}"
            self.backends.engines[name] = StandinEngine(EngineSettings(name, MODEL))

    async def start_with_config(self, tasks: TaskGroup) -> None:
        """Stores an initial configuration and starts all engines and dispatchers."""
        settings = self.settings
        inventory = inventory_of(settings.server_count, settings.zone_count)
        await apply_config(self.store, inventory, rules_of(), 0)
        self.start(tasks)

    def start(self, tasks: TaskGroup) -> None:
        """Starts all engines and dispatchers."""
        for engine in self.backends.engines.values():
            tasks.start_soon(engine.run)
        for vm in self.entries:
            self.start_vm(vm, tasks)

    def start_vm(self, vm: str, tasks: TaskGroup) -> Dispatcher:
        """Starts or restarts the dispatcher of a VM."""
        self._start_count += 1
        settings = settings_of(self.entries[vm])
        identity = PeerIdentity(vm, "dispatcher", f"boot-{self.settings.seed}-{self._start_count}")
        environment = Environment(
            clock=self.clock,
            store=self.store,
            vm_list=self.vm_list,
            backends=self.backends,
            transport=self.network.transport(settings.host, identity),
            datagrams=self.network.datagrams(settings.host),
            identity=identity,
        )
        dispatcher = self.dispatchers[vm] = self._make_dispatcher(settings, environment)
        scope = self._scopes[vm] = anyio.CancelScope()
        tasks.start_soon(_run_within, scope, dispatcher)
        return dispatcher

    def kill_vm(self, vm: str) -> None:
        """Cancels the dispatcher of a VM and closes its connections at once."""
        self._scopes[vm].cancel()
        self.network.close_host(self.entries[vm].host)
        del self.dispatchers[vm]

    def health(self, observer: str, vm: str) -> VmHealth | None:
        """Returns the health of a VM as another VM sees it."""
        states = self.dispatchers[observer].membership.vms
        return next((state.health for state in states if state.vm == vm), None)

    def host(self, vm: str) -> str:
        """Returns the host of a VM."""
        return self.entries[vm].host

    def vms_in_zone(self, zone: str) -> list[str]:
        """Returns the names of the VMs in an availability zone."""
        return [vm for vm, entry in self.entries.items() if entry.availability_zone == zone]

    def cut_off(self, vms: list[str], *, incoming: bool = True, outgoing: bool = True) -> None:
        """Cuts the network between these VMs and all others, in one or both directions."""
        inside = {self.host(vm) for vm in vms}
        outside = {entry.host for entry in self.entries.values()} - inside
        if outgoing:
            self.network.cut_links |= {(source, target) for source in inside for target in outside}
        if incoming:
            self.network.cut_links |= {(source, target) for source in outside for target in inside}

    def _vm_entry(self, index: int) -> VmEntry:
        zone = f"zone-{index % self.settings.zone_count + 1}"
        host = f"10.{index // 62_500}.{index // 250 % 250}.{index % 250 + 1}"
        return VmEntry(f"vm-{index + 1}", host, "wales", zone, VmStatus.LIVE)


def inventory_of(server_count: int, zone_count: int = 3, slots: int = 16) -> str:
    """Returns an inventory with this many engines."""
    servers = [
        {
            "id": f"bs-{n + 1}",
            "service": SERVICE,
            "url": "http://127.0.0.1:9100",
            "slots": slots,
            "region": "wales",
            "availability_zone": f"zone-{n % zone_count + 1}",
        }
        for n in range(server_count)
    ]
    return yaml.safe_dump(
        {
            "members": [{"id": MEMBER, "api_key_sha256": ["0" * 64]}],
            "models": [{"id": MODEL, "version": "1"}],
            "services": [{"id": SERVICE, "kind": "model", "model": MODEL}],
            "backend_servers": servers,
        }
    )


def rules_of(percent: float = 100) -> str:
    """Returns rules that give the only member this share in percent."""
    return yaml.safe_dump({"shares": [{"member": MEMBER, "percent": percent}]})


async def _run_within(scope: anyio.CancelScope, dispatcher: Dispatcher) -> None:
    with scope:
        await dispatcher.run()
