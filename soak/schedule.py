"""Which faults come when: a seeded schedule, and how each fault is put in force and taken back."""

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
# Work that operators plan; nothing may be lost around it.
PLANNED = frozenset(("node terminate", "node reload", "config change"))
MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0
MEAN_GAP_S = 1.2

__all__ = ["Fault", "FaultRecord", "PLANNED", "draw_schedule", "play_faults"]


class Fault(NamedTuple):
    """One disruption; `target` is drawn among the things of its sort when it comes."""

    at_s: float
    sort: str
    kind: str
    for_s: float
    target: float

    @property
    def name(self) -> str:
        """Sort and kind, as counted in reports."""
        return f"{self.sort} {self.kind}"


class FaultRecord(NamedTuple):
    """A disruption that came, with instants of the event loop's clock."""

    name: str
    target: str
    from_s: float
    until_s: float


def draw_schedule(seed: int, length_s: float) -> list[Fault]:
    """Draws faults that overlap and come in series."""
    rng = random.Random(seed)
    sorts: dict[str, tuple[str, ...]] = {
        "node": NODE_KINDS,
        "store way": PROXY_KINDS,
        "store": STORE_KINDS,
        "server": tuple(SERVER_KINDS),
        "server way": PROXY_KINDS,
        "config": ("change",),
    }
    faults: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / MEAN_GAP_S)) < length_s:
        sort = rng.choice(list(sorts))
        for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        faults.append(Fault(at_s, sort, rng.choice(sorts[sort]), for_s, rng.random()))
    return faults


async def play_faults(
    fleet: SoakFleet, faults: list[Fault], note: Callable[[FaultRecord], None]
) -> None:
    """Plays a schedule to its end, with everything sound again after it."""
    began_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for fault in faults:
            await anyio.sleep(max(0.0, began_s + fault.at_s - anyio.current_time()))
            _start_fault(fleet, fault, tasks, note)


def _start_fault(
    fleet: SoakFleet, fault: Fault, tasks: TaskGroup, note: Callable[[FaultRecord], None]
) -> None:
    from_s = anyio.current_time()

    def record(target: str, until_s: float = from_s + fault.for_s) -> None:
        note(FaultRecord(fault.name, target, from_s, until_s))

    node = fleet.nodes[int(fault.target * len(fleet.nodes))]
    server_id = sorted(fleet.servers)[int(fault.target * len(fleet.servers))]
    match fault.sort:
        case "node":
            record(node.name)
            tasks.start_soon(_disturb_node, node, fault)
        case "store way":
            record(node.name)
            tasks.start_soon(_set_for, node.store_proxy, "mode", ProxyMode(fault.kind), fault)
        case "server way":
            record(server_id)
            proxy = fleet.server_proxies[server_id]
            tasks.start_soon(_set_for, proxy, "mode", ProxyMode(fault.kind), fault)
        case "server":
            record(server_id)
            server, behaviour = fleet.servers[server_id], SERVER_KINDS[fault.kind]
            tasks.start_soon(_set_for, server, "usual", behaviour, fault)
        case "store":
            record("store")
            tasks.start_soon(_disturb_store, fleet, fault)
        case "config":
            record("store", from_s)
            fleet.put_config()


async def _set_for(thing: object, field: str, value: object, fault: Fault) -> None:
    """Sets a switch for a while; of overlapping faults the last to end resets it."""
    setattr(thing, field, value)
    await anyio.sleep(fault.for_s)
    setattr(thing, field, ProxyMode.PASS if field == "mode" else Behaviour.SERVE)


async def _disturb_node(node: NodeProcess, fault: Fault) -> None:
    match fault.kind:
        case "kill":
            node.restart_after_s = fault.for_s
            node.send(signal.SIGKILL)
        case "terminate":
            node.restart_after_s = fault.for_s
            node.send(signal.SIGTERM)
        case "reload":
            node.send(signal.SIGHUP)
        case "pause":
            paused = node.process
            node.send(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            if paused.poll() is None:
                paused.send_signal(signal.SIGCONT)


async def _disturb_store(fleet: SoakFleet, fault: Fault) -> None:
    faults = fleet.store.faults
    match fault.kind:
        case "refuse" | "refuse writes":
            faults.refused_verbs = {b"POST", b"PUT", b"DELETE"}
            faults.refused_verbs |= {b"GET"} if fault.kind == "refuse" else set()
            faults.refuse_status = 503
            await anyio.sleep(fault.for_s)
            faults.refuse_status = 0
        case "lose answers":
            faults.lose_next_writes += 3
        case "cut watches":
            fleet.store.cut_watches()
        case "drop history":
            fleet.store.compact()
