"""Control plane cost of one VM's dispatcher, a "daemon" in the printed rows, by fleet size."""

import time
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from briarvale._generated.messages import ServerHealth, ServerState, VmHealth
from briarvale.config_head import apply_config
from briarvale.dispatcher import Dispatcher
from briarvale.peer import PeerAddress
from briarvale.standins.memory_dispatchers import (
    DispatcherFleet,
    DispatcherFleetSettings,
    inventory_of,
    rules_of,
)
from features.support.virtual import run_virtual

SIZES = (6, 50, 200, 1_100)
SMALL_SIZES = (6, 50)
ZONE_COUNT = 16
SETTLE_S = 5.03
STEADY_S = 5.0
TIMEOUT_S = 20.0
SAMPLE_S = 0.1
UDP_HEADER_BYTES = 28
SERVER = "bs-1"
KILLED_VM = "vm-2"

__all__ = ["NodeCost", "measure_nodes"]


class NodeCost(NamedTuple):
    """Cost of one dispatcher at a fleet size, and how long changes take to reach all nodes."""

    nodes: int
    bytes_per_s: float
    datagrams_per_s: float
    cpu_ms_per_s: float
    store_calls_per_s: float
    detection_s: float
    rumor_s: float
    config_s: float


class ControlDispatcher(Dispatcher):
    """A dispatcher that runs only membership and configuration."""

    def _start(self, tasks: TaskGroup) -> None:
        address = PeerAddress(self._settings.host, self._settings.peer_port)
        tasks.start_soon(self._environment.transport.serve, address, self._serve_peer)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.config_sync.run)


def measure_nodes(nodes: int) -> NodeCost:
    """Runs a fleet of this size and returns the mean cost of one dispatcher."""
    return run_virtual(_measure, nodes, seed=nodes)


async def _measure(nodes: int) -> NodeCost:
    settings = DispatcherFleetSettings(
        nodes, min(ZONE_COUNT, nodes // 2), server_count=0, seed=nodes
    )
    fleet = DispatcherFleet(settings, ControlDispatcher)
    async with anyio.create_task_group() as tasks:
        await fleet.start_with_config(tasks)
        await anyio.sleep(SETTLE_S)
        steady_costs = await _measure_steady(fleet)
        rumor_s = await _rumor_time(fleet)
        config_s = await _config_time(fleet)
        detection_s = await _detection_time(fleet)
        tasks.cancel_scope.cancel()
    return NodeCost(nodes, *steady_costs, detection_s, rumor_s, config_s)


async def _measure_steady(fleet: DispatcherFleet) -> tuple[float, float, float, float]:
    """Returns a dispatcher's bytes, datagrams, processor ms and store calls, each per second."""
    network = fleet.network
    bytes_before = sum(network.datagram_bytes.values())
    count_before = sum(network.datagram_count.values())
    calls_before = len(fleet.store.calls)
    cpu_before_s = time.process_time()
    await anyio.sleep(STEADY_S)
    cpu_s = time.process_time() - cpu_before_s
    dispatcher_seconds = len(fleet.dispatchers) * STEADY_S
    datagrams = sum(network.datagram_count.values()) - count_before
    payload_bytes = sum(network.datagram_bytes.values()) - bytes_before
    calls = len(fleet.store.calls) - calls_before
    return (
        (payload_bytes + datagrams * UDP_HEADER_BYTES) / dispatcher_seconds,
        datagrams / dispatcher_seconds,
        cpu_s * 1_000 / dispatcher_seconds,
        calls / dispatcher_seconds,
    )


async def _rumor_time(fleet: DispatcherFleet) -> float:
    now_ms = fleet.clock.now_ms()
    rumor = ServerState(SERVER, "vm-1", ServerHealth.DOWN, 0, 0, 0, now_ms)
    reached_vms: set[str] = {"vm-1"}
    for vm, dispatcher in fleet.dispatchers.items():
        dispatcher.membership.subscribe(lambda _, vm=vm: reached_vms.add(vm))
    fleet.dispatchers["vm-1"].membership.publish(rumor)
    return await _time_until(lambda: len(reached_vms) == len(fleet.dispatchers))


async def _config_time(fleet: DispatcherFleet) -> float:
    revision = await apply_config(fleet.store, inventory_of(0), rules_of(50), 1)
    syncs = [dispatcher.config_sync for dispatcher in fleet.dispatchers.values()]
    return await _time_until(lambda: all(sync.revision >= revision for sync in syncs))


async def _detection_time(fleet: DispatcherFleet) -> float:
    fleet.kill_vm(KILLED_VM)
    observers = list(fleet.dispatchers)
    return await _time_until(
        lambda: all(fleet.health(o, KILLED_VM) is VmHealth.DEAD for o in observers)
    )


async def _time_until(condition) -> float:
    """Returns the seconds until the condition holds; infinity if it doesn't in `TIMEOUT_S`."""
    started_s = anyio.current_time()
    while not condition() and anyio.current_time() < started_s + TIMEOUT_S:
        await anyio.sleep(SAMPLE_S)
    return anyio.current_time() - started_s if condition() else float("inf")
