"""`python -m soak`: plays seeds, prints what was done and which promises broke.

Exit code 1 means that a promise broke. Settings files and logs of a broken seed are kept.
"""

import shutil
import sys
import tempfile
import tomllib
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import anyio
import typer
from loguru import logger

from features.support.platform_fleet import Caller
from soak.callers import KINDS, Callers, CallKind, ask
from soak.fleet import NodeProcess, SoakFleet
from soak.promises import Broken, check_calls, check_exits, check_jobs
from soak.schedule import FaultRecord, draw_schedule, play_faults

REGRESSIONS = Path(__file__).parent / "regressions.toml"
CALLERS = 10
# Faults go on this long, unless a seed is to be played at another length.
LENGTH_S = 20.0
# Nodes detect losses, take over jobs and finish them.
FINISH_S = 40.0
RECOVERY_S = 15.0
LOOK_INTERVAL_S = 0.2
# Every third seed plays more nodes, and every tenth many.
NODE_COUNTS = {10: 24, 3: 8, 1: 4}

app = typer.Typer(add_completion=False)


class SoakResult(NamedTuple):
    """What one seed gave."""

    seed: int
    nodes: int
    peak_mb: int
    requests: int
    jobs: int
    faults: Counter[str]
    broken: list[Broken]


def node_count(seed: int) -> int:
    """Returns how many nodes a seed plays."""
    return next(count for every, count in NODE_COUNTS.items() if seed % every == 0)


async def play(seed: int, length_s: float, folder: Path) -> SoakResult:
    """Plays one seed."""
    faults: list[FaultRecord] = []
    async with anyio.create_task_group() as tasks:
        fleet = SoakFleet(folder, tasks)
        try:
            await fleet.start(node_count(seed))
            callers = Callers(fleet, seed)
            async with anyio.create_task_group() as calling:
                for _ in range(CALLERS):
                    calling.start_soon(callers.call)
                calling.start_soon(callers.run_jobs)
                await play_faults(fleet, draw_schedule(seed, length_s), faults.append)
                callers.is_closing = True
                broken = await _recover(fleet)
                await _finish_jobs(callers)
                calling.cancel_scope.cancel()
            broken += check_calls(callers.calls, fleet, faults)
            broken += check_jobs(callers.jobs) + check_exits(fleet)
            peak_mb = fleet.peak_kb // 1024
        finally:
            fleet.end()
        tasks.cancel_scope.cancel()
    names = Counter(fault.name for fault in faults)
    counts = len(callers.calls), len(callers.jobs)
    return SoakResult(seed, len(fleet.nodes), peak_mb, *counts, names, broken)


async def _recover(fleet: SoakFleet) -> list[Broken]:
    """Checks that each node serves each kind of request, and the newest route, soon after."""
    broken: list[Broken] = []
    async with anyio.create_task_group() as tasks:
        for node in fleet.nodes:
            tasks.start_soon(_recover_node, node, fleet.config_version, broken)
    return broken


async def _recover_node(node: NodeProcess, config_version: int, broken: list[Broken]) -> None:
    newest = CallKind("newest route", f"/v{config_version}/", False)
    until_s = anyio.current_time() + RECOVERY_S
    for kind in (*KINDS, newest):
        tries = status = 0
        while status != 200 and anyio.current_time() < until_s:
            tries += 1
            request_id = f"{node.name}-{kind.name.replace(' ', '-')}-{tries}"
            record = await ask(Caller(node.door), node.name, kind, request_id)
            status = record.status if record.is_whole and record.is_right else 0
            await anyio.sleep(LOOK_INTERVAL_S if status != 200 else 0)
        if status != 200:
            what = f"{kind.name} at {node.name}: status {status} at try {tries}"
            broken.append(Broken("all is served again after the faults", what))


async def _finish_jobs(callers: Callers) -> None:
    """Waits until all jobs are done, and reads them all once more from the start."""
    with anyio.move_on_after(FINISH_S):
        while not all(job.is_done for job in callers.jobs):
            await anyio.sleep(LOOK_INTERVAL_S)
    for job in callers.jobs:
        await callers.read(job, 0)


def report(result: SoakResult) -> None:
    """Prints one line for a seed, and one for each broken promise."""
    faults = ", ".join(f"{name} {count}" for name, count in sorted(result.faults.items()))
    print(
        f"seed {result.seed}: {result.nodes} processes, {result.peak_mb} MB at their peaks, "
        f"{result.requests} requests, {result.jobs} jobs, {len(result.broken)} broken; {faults}",
        flush=True,
    )
    for promise, what in result.broken:
        print(f"  BROKEN: {promise}: {what}", flush=True)


def regression_seeds() -> list[int]:
    """Returns the seeds that once broke a promise."""
    return [row["seed"] for row in tomllib.loads(REGRESSIONS.read_text()).get("case", [])]


@app.command()
def main(
    seeds: int = 50, first_seed: int = 1, length_s: float = LENGTH_S, regressions: bool = False
) -> None:
    """Plays seeds one after another."""
    logger.remove()
    chosen = list(range(first_seed, first_seed + seeds))
    total: Counter[str] = Counter()
    for seed in (regression_seeds() if regressions else []) + chosen:
        folder = Path(tempfile.mkdtemp(prefix=f"briarvale-soak-{seed}-"))
        result = anyio.run(play, seed, length_s, folder)
        report(result)
        total.update(seeds=1, requests=result.requests, jobs=result.jobs)
        total.update(faults=result.faults.total(), broken=len(result.broken))
        if result.broken:
            print(f"  settings and logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(", ".join(f"{count} {name}" for name, count in total.items()))
    sys.exit(1 if total["broken"] else 0)


if __name__ == "__main__":
    app()
