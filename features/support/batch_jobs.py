"""Jobs on a fleet in memory, for the batch features."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio

from briarvale.jobs import JobRecord, JobRequest, JobState, job_key
from briarvale.standins.checker import CallerRecord, Verdict, check_run
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

MEMBER = "trust"
DUE_AFTER_MS = 600_000

T = TypeVar("T")

__all__ = ["MEMBER", "check", "item_lines", "run_on_fleet", "submit", "wait_final"]


def run_on_fleet(
    action: Callable[[MemoryFleet], Awaitable[T]], settings: FleetSettings, seed: int = 1
) -> T:
    """Runs `action` on a fleet in virtual time and returns its result."""

    async def run() -> T:
        fleet = MemoryFleet(settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            result = await action(fleet)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run, seed=seed)


async def item_lines(
    items: int, tokens: int = 8, name: str = "greeting", invalid_line: int = 0
) -> AsyncIterator[bytes]:
    """Yields a job's input lines; line `invalid_line`, counted from 1, is invalid."""
    for index in range(items):
        max_tokens = 0 if index + 1 == invalid_line else tokens
        yield json.dumps({"prompt": f"{name} {index}", "max_tokens": max_tokens}).encode()


async def submit(
    fleet: MemoryFleet,
    items: int,
    tokens: int = 8,
    vm: str = "vm-1",
    name: str = "greeting",
    due_at_ms: int = 0,
    invalid_line: int = 0,
) -> JobRecord:
    """Submits a job through a VM's gateway; by default due 10 min after the last full hour."""
    due_at_ms = due_at_ms or fleet.clock.now_ms() // 3_600_000 * 3_600_000 + DUE_AFTER_MS
    request = JobRequest(MEMBER, name, ENGINE_SERVICE, due_at_ms)
    lines = item_lines(items, tokens, name, invalid_line)
    return await fleet.vms[vm].gateway.jobs.submit(request, lines)


async def wait_final(
    fleet: MemoryFleet, name: str = "greeting", timeout_s: float = 900
) -> JobRecord:
    """Waits until the job has ended."""
    with anyio.fail_after(timeout_s):
        while True:
            value = fleet.store.peek(job_key(MEMBER, name))
            job = JobRecord.decode(value) if value is not None else None
            if job is not None and job.state.is_final and job.state is not JobState.VOID:
                return job
            await anyio.sleep(0.2)


def check(fleet: MemoryFleet, *names: str, cancelled_at_s: float = 0.0) -> Verdict:
    """Runs the invariant checker on accepted jobs, which may have been cancelled."""
    callers = [CallerRecord(MEMBER, name, 1.0, False, cancelled_at_s) for name in names]
    return check_run(fleet.store, fleet.backends.engines.values(), callers)
