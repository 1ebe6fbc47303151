"""Runs a fleet of dispatchers and records the health of each VM as each dispatcher reports it."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import anyio
from anyio.abc import TaskGroup

from briarvale._generated.messages import VmHealth
from briarvale.fleet_status import ReportUnavailable
from briarvale.standins.memory_dispatchers import DispatcherFleet, DispatcherFleetSettings
from briarvale.vm_list import VmEntry
from briarvale.vm_report import VmReport, vm_report

SAMPLE_S = 0.1
SETTLE_S = 10.03

T = TypeVar("T")

__all__ = ["Fault", "FleetReports", "HealthChange", "Timeline", "run_on_fleet", "run_with_fault"]

Fault = Callable[[DispatcherFleet, TaskGroup], Awaitable[None]]


class HealthChange(NamedTuple):
    """A VM's new health as reported by one observer, `at_s` seconds after the fault."""

    at_s: float
    observer: str
    vm: str
    health: VmHealth | None


class Timeline(NamedTuple):
    """All changes of health since the fault, and the final owners of backend servers by VM."""

    health_changes: list[HealthChange]
    owners: dict[str, dict[str, str]]
    fleet: DispatcherFleet

    def final_health(self, vm: str, observers: list[str]) -> dict[str, VmHealth | None]:
        """Returns the final health of a VM by observer."""
        return {observer: self.fleet.health(observer, vm) for observer in observers}

    def detection_s(self, vm: str, observers: list[str]) -> float:
        """Returns the seconds until all observers reported a VM dead; infinity if one never did."""
        first: dict[str, float] = {}
        for change in self.health_changes:
            if change.vm == vm and change.health is VmHealth.DEAD:
                first.setdefault(change.observer, change.at_s)
        return max(first.get(observer, float("inf")) for observer in observers)

    def deaths_of(self, vms: list[str], observers: list[str]) -> list[HealthChange]:
        """Returns the changes in which an observer first reported one of the VMs as dead."""
        return [
            change
            for change in self.health_changes
            if change.vm in vms and change.observer in observers and change.health is VmHealth.DEAD
        ]


async def run_with_fault(
    settings: DispatcherFleetSettings, fault: Fault, watch_s: float
) -> Timeline:
    """Starts a fleet, injects the fault after `SETTLE_S` and records for `watch_s`."""
    fleet = DispatcherFleet(settings)
    async with anyio.create_task_group() as tasks:
        await fleet.start_with_config(tasks)
        await anyio.sleep(SETTLE_S)
        started_s = anyio.current_time()
        reported = _health_by_observer(fleet)
        health_changes: list[HealthChange] = []
        tasks.start_soon(fault, fleet, tasks)
        while anyio.current_time() < started_s + watch_s:
            await anyio.sleep(SAMPLE_S)
            current = _health_by_observer(fleet)
            at_s = anyio.current_time() - started_s
            health_changes += [
                HealthChange(at_s, *key, health)
                for key, health in current.items()
                if reported.get(key) is not health
            ]
            reported |= current
        owners = {vm: _owners(fleet, vm) for vm in fleet.dispatchers}
        tasks.cancel_scope.cancel()
    return Timeline(health_changes, owners, fleet)


def _health_by_observer(fleet: DispatcherFleet) -> dict[tuple[str, str], VmHealth | None]:
    return {
        (observer, state.vm): state.health
        for observer, dispatcher in fleet.dispatchers.items()
        for state in dispatcher.membership.vms
    }


def _owners(fleet: DispatcherFleet, vm: str) -> dict[str, str]:
    view = fleet.dispatchers[vm].view()
    return {server.backend_server: server.owner for server in view.servers}


async def run_on_fleet(settings: DispatcherFleetSettings, action: Callable[..., Awaitable[T]]) -> T:
    """Starts a fleet and returns the result of an action that runs after `SETTLE_S`."""
    fleet = DispatcherFleet(settings)
    async with anyio.create_task_group() as tasks:
        await fleet.start_with_config(tasks)
        await anyio.sleep(SETTLE_S)
        result = await action(fleet, tasks)
        tasks.cancel_scope.cancel()
    return result


class FleetReports:
    """Implements `Reports` with the dispatchers of a fleet; a frozen or killed one has none."""

    def __init__(self, fleet: DispatcherFleet) -> None:
        self._fleet = fleet

    async def fetch(self, entry: VmEntry) -> VmReport:
        """Returns a report."""
        await anyio.sleep(SAMPLE_S)
        is_frozen = entry.host in self._fleet.network.frozen_hosts
        if is_frozen or entry.vm not in self._fleet.dispatchers:
            raise ReportUnavailable(entry.vm)
        return vm_report(self._fleet.dispatchers[entry.vm])
