"""Draws a seeded schedule of faults, and injects and removes them."""

import random
import signal
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from features.support.platform_engine import Behaviour
from soak.fleet import NodeProcess, SoakFleet
from soak.proxy import ProxyMode

NODE_KINDS = ("kill", "pause", "terminate", "reload")
PROXY_KINDS = tuple(mode.value for mode in ProxyMode if mode is not ProxyMode.PASS)
STORE_KINDS = ("refuse", "refuse writes", "lose answers", "cut watches", "drop history")
SERVER_KINDS = {
    "hang": Behaviour.HANG,
    "fail": Behaviour.FAIL,
    "break": Behaviour.BREAK_MIDWAY,
    "unsigned": Behaviour.UNSIGNED,
}
# Planned maintenance, which may interrupt no request.
PLANNED_FAULTS = frozenset(("node terminate", "node reload", "config change"))
MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0
MEAN_FAULT_GAP_S = 1.2

__all__ = ["Fault", "FaultRecord", "PLANNED_FAULTS", "draw_schedule", "inject_faults"]


class Fault(NamedTuple):
    """One scheduled fault.

    Attributes:
        target_draw: From 0 to 1; selects the target among those of its kind when the fault starts.
    """

    at_s: float
    target_kind: str
    kind: str
    duration_s: float
    target_draw: float

    @property
    def name(self) -> str:
        """Kind of target and kind of fault, as counted in reports."""
        return f"{self.target_kind} {self.kind}"


class FaultRecord(NamedTuple):
    """An injected fault; timestamps are of the event loop's clock."""

    name: str
    target: str
    injected_at_s: float
    removed_at_s: float


def draw_schedule(seed: int, length_s: float) -> list[Fault]:
    """Draws faults with random gaps and durations; they may overlap."""
    rng = random.Random(seed)
    kinds_by_target: dict[str, tuple[str, ...]] = {
        "node": NODE_KINDS,
        "store link": PROXY_KINDS,
        "store": STORE_KINDS,
        "server": tuple(SERVER_KINDS),
        "server link": PROXY_KINDS,
        "config": ("change",),
    }
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / MEAN_FAULT_GAP_S)) < length_s:
        target_kind = rng.choice(list(kinds_by_target))
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        faults.append(
            Fault(
                at_s,
                target_kind,
                rng.choice(kinds_by_target[target_kind]),
                duration_s,
                rng.random(),
            )
        )
    return faults


async def inject_faults(
    fleet: SoakFleet, faults: list[Fault], record_fault: Callable[[FaultRecord], None]
) -> None:
    """Injects the faults on schedule, and returns once those with a duration have been removed."""
    started_at_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for fault in faults:
            await anyio.sleep(max(0.0, started_at_s + fault.at_s - anyio.current_time()))
            _start_fault(fleet, fault, tasks, record_fault)


def _start_fault(
    fleet: SoakFleet, fault: Fault, tasks: TaskGroup, record_fault: Callable[[FaultRecord], None]
) -> None:
    injected_at_s = anyio.current_time()

    def record(target: str, removed_at_s: float = injected_at_s + fault.duration_s) -> None:
        record_fault(FaultRecord(fault.name, target, injected_at_s, removed_at_s))

    node = fleet.nodes[int(fault.target_draw * len(fleet.nodes))]
    server_id = sorted(fleet.servers)[int(fault.target_draw * len(fleet.servers))]
    match fault.target_kind:
        case "node":
            record(node.name)
            tasks.start_soon(_inject_node_fault, node, fault)
        case "store link":
            record(node.name)
            tasks.start_soon(
                _set_temporarily, node.store_proxy, "mode", ProxyMode(fault.kind), fault
            )
        case "server link":
            record(server_id)
            proxy = fleet.server_proxies[server_id]
            tasks.start_soon(_set_temporarily, proxy, "mode", ProxyMode(fault.kind), fault)
        case "server":
            record(server_id)
            server, behaviour = fleet.servers[server_id], SERVER_KINDS[fault.kind]
            tasks.start_soon(_set_temporarily, server, "default_behaviour", behaviour, fault)
        case "store":
            record("store")
            tasks.start_soon(_inject_store_fault, fleet, fault)
        case "config":
            record("store", injected_at_s)
            fleet.put_config()


async def _set_temporarily(target: object, field: str, value: object, fault: Fault) -> None:
    """Sets a field for the fault's duration, then resets it, even if another fault set it too."""
    setattr(target, field, value)
    await anyio.sleep(fault.duration_s)
    setattr(target, field, ProxyMode.PASS if field == "mode" else Behaviour.SERVE)


async def _inject_node_fault(node: NodeProcess, fault: Fault) -> None:
    match fault.kind:
        case "kill":
            node.restart_after_s = fault.duration_s
            node.send_signal(signal.SIGKILL)
        case "terminate":
            node.restart_after_s = fault.duration_s
            node.send_signal(signal.SIGTERM)
        case "reload":
            node.send_signal(signal.SIGHUP)
        case "pause":
            process = node.process
            node.send_signal(signal.SIGSTOP)
            await anyio.sleep(fault.duration_s)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)


async def _inject_store_fault(fleet: SoakFleet, fault: Fault) -> None:
    store_faults = fleet.store.faults
    match fault.kind:
        case "refuse" | "refuse writes":
            store_faults.refused_verbs = {b"POST", b"PUT", b"DELETE"}
            store_faults.refused_verbs |= {b"GET"} if fault.kind == "refuse" else set()
            store_faults.refuse_status = 503
            await anyio.sleep(fault.duration_s)
            store_faults.refuse_status = 0
        case "lose answers":
            store_faults.lose_next_writes += 3
        case "cut watches":
            fleet.store.cut_watches()
        case "drop history":
            fleet.store.compact()
