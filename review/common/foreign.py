"""Plays entries of another writer among the engines' entries, one kind after the other.

Lookups go to every node meanwhile. Fault is counted for each kind of entry.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from common.deployment import (
    HAS_TROUBLE,
    HOST,
    LOOPBACK,
    PLAIN,
    Deployment,
    Process,
    config_of,
    free_port,
    route,
)
from common.engine import Engine
from common.http import Client

NODES = 3
ORDERS = "/puxa403/"
# Long enough for a process to end three times.
PHASE_S = 8.0
RECOVERY_S = 12.0
# Fault: on two machines at least, processes end by themselves three times.
MIN_MACHINES, MIN_ENDS = 2, 3


class Phase(NamedTuple):
    """One kind of entry, and what was seen while it stood in the store."""

    name: str
    ends: Mapping[str, int]
    sent: int
    served: int


def sound_entry() -> dict[str, Any]:
    """Returns an entry as an engine writes it; nothing listens at its address."""
    entry = {"service": PLAIN, "address": f"{LOOPBACK}:{free_port()}", "zone": "caerdydd"}
    entry |= {"version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1}
    return entry | {"born": int(time.time() * 1_000)}


async def keep_asking(deployment: Deployment, node: Process, log: list[tuple[float, bool]]) -> None:
    """Sends lookups to a node, each on a new connection."""
    count = 0
    while True:
        count += 1
        client = Client(node.ip, node.front)
        request_id = f"{node.name[-1]}o{count:04d}"
        headers = {"Host": HOST, "Briarvale-Request-Attempt-Id": request_id}
        headers["Briarvale-Deadline-Ms"] = "1000"
        answer = await client.call("POST", f"{ORDERS}2f", headers, b"order", timeout_s=1.0)
        client.close()
        log.append((time.time(), answer.status == 200))
        if answer.status != 200:
            deployment.record.write(f"lookup {request_id} at {node.name}: {answer.status}")
        await asyncio.sleep(0.25)


async def play(
    deployment: Deployment, name: str, entry: Any, log: list[tuple[float, bool]]
) -> Phase:
    """Writes an entry, waits, removes it, and waits until the nodes are back."""
    began_s = time.time()
    if HAS_TROUBLE:
        await deployment.store.put("servers", "i-0000aaaa", entry)
        deployment.record.write(f"another writer's entry: {name}: {entry!a}")
    await asyncio.sleep(PHASE_S)
    await deployment.store.remove("servers", "i-0000aaaa")
    ended_s = time.time()
    deployment.record.write("the entry is removed")
    ends = {node.name: 0 for node in deployment.nodes}
    for end in deployment.ends:
        if end.name in ends and began_s <= end.at_s <= ended_s:
            ends[end.name] += 1
    seen = [is_served for at_s, is_served in log if began_s <= at_s <= ended_s]
    for _ in range(int(RECOVERY_S / 0.5)):
        if all([await deployment.is_ready(node) for node in deployment.nodes]):
            break
        await asyncio.sleep(0.5)
    return Phase(name, ends, len(seen), sum(seen))


async def play_all(deployment: Deployment, entries: Mapping[str, Any]) -> bool:
    """Plays all entries, by what is wrong with them; returns whether Fault was broken."""
    orders = route(ORDERS, "safe", PLAIN, timeout_ms=1_000, target_latency_ms=200)
    engines = [Engine(f"i-p{i}", PLAIN, 6, 0, 0.03) for i in range(3)]
    await deployment.start(NODES, engines, config_of([orders]))
    log: list[tuple[float, bool]] = []
    askers = [asyncio.create_task(keep_asking(deployment, n, log)) for n in deployment.nodes]
    phases = [await play(deployment, *entry, log) for entry in entries.items()]
    for asker in askers:
        asker.cancel()
    broken = []
    for phase in phases:
        hit = [name for name, count in phase.ends.items() if count >= MIN_ENDS]
        if len(hit) >= MIN_MACHINES:
            broken.append(phase.name)
        deployment.record.write(
            f"Fault, {phase.name}: processes that ended by themselves {dict(phase.ends)};"
            f" lookups served {phase.served} of {phase.sent}"
        )
    deployment.record.write(f"RESULT: Fault is broken by: {broken}" if broken else "RESULT: held")
    return bool(broken)
