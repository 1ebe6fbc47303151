"""An in-memory fleet whose controllers can be frozen and whose inventory can change."""

import itertools
from typing import Any

import anyio
import yaml

from briarvale.config import BackendServer
from briarvale.config_head import apply_config
from briarvale.environment import Environment
from briarvale.settings import Settings
from briarvale.standins.engine import StandinEngine
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MODEL, FleetSettings, MemoryFleet

from .lease_schedules import Freezable

CHECK_INTERVAL_S = 0.1

__all__ = ["OrdersFleet"]


class _FreezableBackends:
    """One controller's clients of the engines, each behind a proxy that can be frozen."""

    def __init__(self, fleet: "OrdersFleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def engine(self, server: BackendServer) -> Freezable:
        proxies = self._fleet.proxies[self._vm]
        if server.id not in proxies:
            proxies[server.id] = Freezable(self._fleet.backends.engines[server.id])
        return proxies[server.id]


class OrdersFleet(MemoryFleet):
    """A fleet whose controllers roll out changes of the model's version and adapters.

    Args:
        engine_count: Number of engines, all of one service.
        checks_fencing: Whether engines refuse old fencing numbers.
        size_gb: Size of the model's weights.
        rate_gb_per_s: Rate of the weight store; 0 for no limit.

    Attributes:
        proxies: Each controller's access to the store and the engines, by VM and name.
    """

    def __init__(
        self,
        engine_count: int = 4,
        *,
        checks_fencing: bool = True,
        size_gb: float = 0.0,
        rate_gb_per_s: float = 0.0,
    ) -> None:
        rules = (("weight_store_gb_per_s", rate_gb_per_s),)
        self.version, self.adapters = "1", ["reeds-base"]
        self.checks_fencing, self.size_gb = checks_fencing, size_gb
        self.proxies: dict[str, dict[str, Freezable]] = {}
        self.min_serving_count = engine_count
        self.max_holder_count = 0
        super().__init__(FleetSettings(vm_count=3, engine_count=engine_count, rules=rules))

    @property
    def engines(self) -> list[StandinEngine]:
        """All engines."""
        return list(self.backends.engines.values())

    def inventory_text(self) -> str:
        """Returns the inventory as YAML."""
        inventory = yaml.safe_load(super().inventory_text())
        inventory["models"] = [
            {
                "id": MODEL,
                "version": self.version,
                "adapters": self.adapters,
                "size_gb": self.size_gb,
            }
        ]
        for server in inventory["backend_servers"]:
            server["checks_fencing"] = self.checks_fencing
        return yaml.safe_dump(inventory)

    async def start_and_wait_holder(self, tasks: Any) -> None:
        """Starts the fleet and waits until one controller holds the lease."""
        await self.start(tasks)
        for engine in self.engines:
            engine.settings = engine.settings._replace(checks_fencing=self.checks_fencing)
        tasks.start_soon(self._record_extremes)
        await self.wait_holder()

    async def declare(self, version: str, adapters: tuple[str, ...] = ("reeds-base",)) -> None:
        """Applies an inventory with this version and these adapters of the model."""
        expected_revision = next(iter(self.vms.values())).controller.view.config.revision
        self.version, self.adapters = version, list(adapters)
        await apply_config(self.store, self.inventory_text(), self.rules_text(), expected_revision)

    def holder(self, excluded: str = "") -> str:
        """Returns the VM, other than `excluded`, that holds the lease; empty if none does."""
        for name, vm in self.vms.items():
            if name != excluded and ENGINE_SERVICE in vm.controller.held_services:
                return name
        return ""

    async def wait_holder(self, excluded: str = "") -> str:
        """Waits until a VM other than `excluded` holds the lease, and returns it."""
        with anyio.fail_after(120):
            while not self.holder(excluded):
                await anyio.sleep(CHECK_INTERVAL_S)
        return self.holder(excluded)

    async def wait_settled(self, timeout_s: float = 600) -> None:
        """Waits until every engine has its declared state."""
        with anyio.fail_after(timeout_s):
            while not all(self.is_settled(engine) for engine in self.engines):
                await anyio.sleep(CHECK_INTERVAL_S)

    def is_settled(self, engine: StandinEngine) -> bool:
        """Whether an engine serves the declared version and adapters."""
        actual = (engine.version, engine.adapters, engine.role, engine._is_loading())
        return actual == (self.version, tuple(self.adapters), "mixed", False)

    def freeze(self, vm: str) -> None:
        """Blocks the store and engine calls of a VM's controller, as SIGSTOP would."""
        for proxy in self.proxies[vm].values():
            proxy.freeze()

    def thaw(self, vm: str) -> None:
        """Lets a frozen controller continue."""
        for proxy in self.proxies[vm].values():
            proxy.thaw()

    def load_count(self, engine: StandinEngine) -> int:
        """Returns how often an engine was ordered to load other weights than it had."""
        versions = ["1", *(order["version"] for order in engine.applied_orders)]
        return sum(a != b for a, b in itertools.pairwise(versions))

    def _environment(self, settings: Settings, program: str) -> Environment:
        environment = super()._environment(settings, program)
        if program != "controller":
            return environment
        store = Freezable(self.store)
        self.proxies[settings.vm] = {"store": store}
        backends: Any = _FreezableBackends(self, settings.vm)
        return environment._replace(store=store, backends=backends)  # type: ignore[arg-type]

    async def _record_extremes(self) -> None:
        """Records the fewest engines that served, and the most controllers that held the lease."""
        while True:
            serving_count = sum(
                not (engine._is_loading() or engine.role == "draining") for engine in self.engines
            )
            self.min_serving_count = min(self.min_serving_count, serving_count)
            holder_count = sum(
                ENGINE_SERVICE in vm.controller.held_services for vm in self.vms.values()
            )
            self.max_holder_count = max(self.max_holder_count, holder_count)
            await anyio.sleep(CHECK_INTERVAL_S)
