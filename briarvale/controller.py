"""One VM's controller: holds leases of services and reconciles their engines."""

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from ._generated.messages import VmHealth
from .environment import Environment
from .fleet_view import FleetView
from .leases import Lease
from .orders import EngineReconciler
from .rendezvous import rank_by_rendezvous
from .settings import Settings
from .weight_store import WeightStoreBudget

RECONCILE_INTERVAL_S = 2.0
STOP_CHECK_S = 0.05
CLAIMANTS_PER_LEASE = 3
MODEL_KIND = "model"

log = logs.component_logger("controller")

__all__ = ["Controller"]


class Controller:
    """The controller of one VM; `run` runs it until cancelled.

    Args:
        settings: This VM's settings.
        environment: External interfaces: clock, store, engines and connections to peers.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self._budget = WeightStoreBudget(environment.store, environment.clock)
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._leases: dict[str, Lease] = {}
        self._stopping = anyio.Event()
        self.view = FleetView(settings, environment)

    @property
    def is_ready(self) -> bool:
        """Whether the view of the fleet is ready."""
        return self.view.is_ready

    @property
    def held_services(self) -> list[str]:
        """Services whose leases this controller holds."""
        return [service for service, lease in self._leases.items() if lease.is_held]

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.view.run)
            while True:
                await self.view.wait_ready()
                self._update_services(tasks)
                await self.view.wait_changed()

    async def drain(self) -> None:
        """Finishes pending orders and releases all leases, so that their next holders can start."""
        self._stopping.set()
        while self._scopes:
            await anyio.sleep(STOP_CHECK_S)
        for lease in self._leases.values():
            await lease.release()

    def _update_services(self, tasks: TaskGroup) -> None:
        """Starts a task for each added service, and cancels the tasks of removed services."""
        services = self.view.config.services.values()
        model_services = {service.id for service in services if service.kind == MODEL_KIND}
        for service in model_services - self._scopes.keys():
            if not self._stopping.is_set():
                self._scopes[service] = anyio.CancelScope()
                tasks.start_soon(self._reconcile_service, service, self._scopes[service])
        for service in self._scopes.keys() - model_services:
            self._scopes[service].cancel()

    async def _reconcile_service(self, service: str, scope: anyio.CancelScope) -> None:
        lease = Lease(self._environment.store, service, self._settings.vm)
        reconciler = EngineReconciler(service, self._environment.backends, lease, self._budget)
        self._leases[service] = lease
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._maintain_lease, service, lease)
                while not self._stopping.is_set():
                    await reconciler.reconcile(self.view.config)
                    metrics.LEASES_HELD.set({"service": service}, int(lease.is_held))
                    with anyio.move_on_after(RECONCILE_INTERVAL_S):
                        await self._stopping.wait()
                tasks.cancel_scope.cancel()
        del self._scopes[service]

    async def _maintain_lease(self, service: str, lease: Lease) -> None:
        while True:
            if lease.epoch or self._is_claimant(service):
                await lease.renew_or_claim()
            await anyio.sleep(lease.times.renew_interval_s)

    def _is_claimant(self, service: str) -> bool:
        """Whether this VM is among the few that may claim the service's lease."""
        live = (VmHealth.ALIVE, VmHealth.SUSPECT)
        vms = [vm.vm for vm in self.view.vms if vm.health in live]
        ranked = rank_by_rendezvous(f"lease:{service}", vms)
        return self._settings.vm in ranked[:CLAIMANTS_PER_LEASE]
