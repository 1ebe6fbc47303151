"""`python -m soak`: runs seeds, and prints a summary and the broken promises of each.

The exit code is 1 if a promise was broken; the settings files and logs of such a seed are kept.
"""

import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import anyio
import typer
from loguru import logger

from features.support.platform_fleet import Caller
from soak.callers import KINDS, Callers, CallKind, send_request
from soak.fleet import NodeProcess, SoakFleet
from soak.promises import (
    BrokenPromise,
    check_calls,
    check_deadly_calls,
    check_exits,
    check_jobs,
    check_limit,
)
from soak.schedule import FaultRecord, draw_schedule, inject_faults
from soak.seeds import play_seeds

REGRESSIONS = Path(__file__).parent / "regressions.toml"
CALLER_COUNT = 10
DEFAULT_SCHEDULE_LENGTH_S = 20.0
# Time for nodes to detect lost nodes, take over their jobs and finish them.
JOB_FINISH_TIMEOUT_S = 40.0
RECOVERY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.2
# Number of nodes by divisor of the seed; the first divisor that fits applies.
NODE_COUNTS = {10: 24, 3: 8, 1: 4}
# Seeds with this rest have requests with a deadly part, whose crashes excuse broken streams.
DEADLY_DIVISOR, DEADLY_REST = 4, 3

app = typer.Typer(add_completion=False)


class SoakResult(NamedTuple):
    """Counts and broken promises of one seed's run."""

    seed: int
    nodes: int
    peak_mb: int
    requests: int
    jobs: int
    faults: Counter[str]
    broken: list[BrokenPromise]


def node_count(seed: int) -> int:
    """Returns the number of nodes that a seed runs."""
    return next(count for divisor, count in NODE_COUNTS.items() if seed % divisor == 0)


async def run_seed(seed: int, length_s: float, folder: Path) -> SoakResult:
    """Runs one seed: callers and faults together, then recovery, then the checks."""
    faults: list[FaultRecord] = []
    async with anyio.create_task_group() as tasks:
        fleet = SoakFleet(folder, tasks)
        try:
            await fleet.start(node_count(seed))
            callers = Callers(fleet, seed)
            async with anyio.create_task_group() as caller_tasks:
                for _ in range(CALLER_COUNT):
                    caller_tasks.start_soon(callers.call)
                caller_tasks.start_soon(callers.run_jobs)
                if seed % DEADLY_DIVISOR == DEADLY_REST:
                    caller_tasks.start_soon(callers.call_deadly)
                await inject_faults(fleet, draw_schedule(seed, length_s), faults.append)
                callers.is_stopping = True
                broken = await _check_recovery(fleet)
                await _await_jobs(callers)
                caller_tasks.cancel_scope.cancel()
            crashes = [FaultRecord("server crash", "servers", s, s) for s in fleet.crashed_at_s]
            broken += check_calls(callers.calls, fleet, faults + crashes)
            broken += check_deadly_calls(callers.deadly_calls, fleet, faults)
            broken += check_jobs(callers.jobs) + check_exits(fleet)
            broken += check_limit([*callers.waiting_counts, callers.count_stored()])
            peak_mb = fleet.peak_kb // 1024
        finally:
            fleet.end()
        tasks.cancel_scope.cancel()
    names = Counter(fault.name for fault in faults + crashes)
    counts = len(callers.calls), len(callers.jobs)
    return SoakResult(seed, len(fleet.nodes), peak_mb, *counts, names, broken)


async def _check_recovery(fleet: SoakFleet) -> list[BrokenPromise]:
    """Checks that each node serves all kinds of requests and the newest route again in time."""
    broken: list[BrokenPromise] = []
    async with anyio.create_task_group() as tasks:
        for node in fleet.nodes:
            tasks.start_soon(_check_node_recovery, node, fleet.config_version, broken)
    return broken


async def _check_node_recovery(
    node: NodeProcess, config_version: int, broken: list[BrokenPromise]
) -> None:
    newest_route = CallKind("newest route", f"/v{config_version}/", False)
    deadline_s = anyio.current_time() + RECOVERY_TIMEOUT_S
    for kind in (*KINDS, newest_route):
        attempts = status = 0
        while status != 200 and anyio.current_time() < deadline_s:
            attempts += 1
            request_id = f"{node.name}-{kind.name.replace(' ', '-')}-{attempts}"
            record = await send_request(Caller(node.endpoint), node.name, kind, request_id)
            status = record.status if record.is_complete and record.is_correct else 0
            await anyio.sleep(POLL_INTERVAL_S if status != 200 else 0)
        if status != 200:
            detail = f"{kind.name} at {node.name}: status {status} at attempt {attempts}"
            broken.append(BrokenPromise("every request is served again after the faults", detail))


async def _await_jobs(callers: Callers) -> None:
    """Waits until all jobs are done, then reads all their results again from the start."""
    with anyio.move_on_after(JOB_FINISH_TIMEOUT_S):
        while not all(job.is_done for job in callers.jobs):
            await anyio.sleep(POLL_INTERVAL_S)
    for job in callers.jobs:
        await callers.read_results(job, 0)


def report(result: SoakResult) -> None:
    """Prints one line for a seed, and one for each broken promise."""
    faults = ", ".join(f"{name} {count}" for name, count in sorted(result.faults.items()))
    print(
        f"seed {result.seed}: {result.nodes} processes, {result.peak_mb} MB at their peaks, "
        f"{result.requests} requests, {result.jobs} jobs, {len(result.broken)} broken; {faults}",
        flush=True,
    )
    for promise, detail in result.broken:
        print(f"  BROKEN: {promise}: {detail}", flush=True)


def regression_seeds() -> list[int]:
    """Returns the seeds that broke a promise in an earlier run."""
    return [case["seed"] for case in tomllib.loads(REGRESSIONS.read_text()).get("case", [])]


@app.command()
def main(
    seeds: int = 50,
    first_seed: int = 1,
    length_s: float = DEFAULT_SCHEDULE_LENGTH_S,
    regressions: bool = False,
) -> None:
    """Runs seeds one after another."""
    logger.remove()
    chosen = list(range(first_seed, first_seed + seeds))
    total: Counter[str] = Counter()

    def play(seed: int, folder: Path) -> bool:
        result = anyio.run(run_seed, seed, length_s, folder)
        report(result)
        total.update(seeds=1, requests=result.requests, jobs=result.jobs)
        total.update(faults=result.faults.total(), broken=len(result.broken))
        return bool(result.broken)

    play_seeds("soak", (regression_seeds() if regressions else []) + chosen, play)
    print(", ".join(f"{count} {name}" for name, count in total.items()))
    sys.exit(1 if total["broken"] else 0)


if __name__ == "__main__":
    app()
