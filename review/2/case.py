"""A batch job whose route the operator removes: can its results still be read, and can it be ended?

The clients read results, bodies and end the job at every node, as the pages tell.
"""

import asyncio
import time
from pathlib import Path

from common.batch import JOBS, call, job_body, listed
from common.deployment import (
    CONFIG_APPLY_S,
    HAS_TROUBLE,
    MODEL,
    PLAIN,
    CannotRun,
    Deployment,
    config_of,
    route,
    run_case,
)
from common.engine import Engine

CASE = Path(__file__).resolve().parent
NODES = 3
ITEMS, LATER_ITEMS = 10, 36
ACK_S, CANCEL_S = 4.0, 3.0


async def main(deployment: Deployment) -> bool:
    """Plays the case; returns whether LOST was broken."""
    jobs = route(
        JOBS,
        "batch",
        MODEL,
        target_latency_ms=400,
        completion_target_ms=18_000,
        retention_s=60,
        max_attempts=3,
        priority=2,
        timeout_ms=15_000,
    )
    orders = route("/puxa403/", "safe", PLAIN, timeout_ms=1_000)
    # Four slots in all: the items of the second job wait for each other.
    engines = [Engine(f"i-m{i}", MODEL, 2, 40, 0.05) for i in range(2)]
    engines.append(Engine("i-p0", PLAIN, 6, 0, 0.03))
    await deployment.start(NODES, engines, config_of([jobs, orders]))
    record, nodes = deployment.record, deployment.nodes
    first, second = "7c41e09b52d6a3f8", "91bd3f06aa20c774"
    answer = await call(
        deployment, nodes[0], "POST", f"{JOBS}{first}", job_body(first, ITEMS, 40), first
    )
    if answer.status != 202:
        raise CannotRun("the first job was not accepted")
    while len(before := await listed(deployment, nodes[1], first)) < ITEMS:
        await asyncio.sleep(0.5)
    record.write(f"job {first}: {len(before)} results were read")
    answer = await call(
        deployment, nodes[1], "POST", f"{JOBS}{second}", job_body(second, LATER_ITEMS, 40), second
    )
    accepted_s = time.time()
    if answer.status != 202:
        raise CannotRun("the second job was not accepted")
    if HAS_TROUBLE:
        await deployment.write_config(config_of([orders]))
    changed_s = time.time()
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    lost = []
    for node in nodes:
        for job in (first, second):
            answer = await call(deployment, node, "GET", f"/briarvale/lots/{job}?after=0")
            if answer.status in (404, 410):
                lost.append(f"results of {job} at {node.name}")
    runs = deployment.runs()
    waiting = [f"{second}i{i:02d}" for i in range(LATER_ITEMS) if f"{second}i{i:02d}" not in runs]
    if waiting:
        answer = await call(
            deployment, nodes[2], "GET", f"/briarvale/items/{second}?id={waiting[-1]}"
        )
        if answer.status in (404, 410):
            lost.append(f"body of the unfinished item {waiting[-1]} at {nodes[2].name}")
    answer = await call(deployment, nodes[0], "DELETE", f"/briarvale/lots/{second}")
    asked_s = time.time()
    is_acknowledged = answer.status == 200
    await asyncio.sleep(ACK_S + CANCEL_S + 5)
    final = [await call(deployment, n, "GET", f"/briarvale/lots/{first}?after=0") for n in nodes]
    lost += [f"results of {first} at the end" for a in final if a.status in (404, 410)]
    for run_id, found in sorted(deployment.runs().items()):
        for run in found:
            record.write(
                f"run of {run_id} at {run.engine}, {run.at_s - accepted_s:.2f} s after 202"
            )
    end_s = asked_s + (0.0 if is_acknowledged else ACK_S)
    late = [
        run.request_id
        for found in deployment.runs().values()
        for run in found
        if run.request_id.startswith(second) and run.at_s > end_s + CANCEL_S
    ]
    record.write(f"the end was acknowledged: {is_acknowledged}")
    record.write(f"UNASKED: items that ran over cancel_ms after the end counts: {sorted(late)}")
    record.write(f"the configuration had been in force for {time.time() - changed_s:.1f} s")
    record.write(f"LOST: 404 or 410 for accepted jobs: {lost}")
    record.write("RESULT: LOST is broken" if lost else "RESULT: the rule held")
    return bool(lost)


run_case(CASE, main)
