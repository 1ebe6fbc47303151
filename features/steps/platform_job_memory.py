"""Steps for the memory of jobs: the policy alone, and jobs that wait on real nodes."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.job_memory import JobMemory, item_bytes, job_memory_capacity
from briarvale.opaque_job_runner import OpaqueJobRunner
from briarvale.opaque_jobs import OpaqueItem
from features.support.platform_fleet import FleetNode, PlatformFleet, job_body
from features.support.platform_jobs import ITEMS, other_than, read_all, run_on_fleet, submit_job

BODY_BYTES = 15_400
ITEM_COUNT = 200
MB = 1_000_000
JOBS = [f"job-{number}" for number in range(4)]
TAKE_OVER_S = 2.0


def large_items() -> list[OpaqueItem]:
    """Returns the items of one large job."""
    body = "x" * (BODY_BYTES * 4 // 3)
    return [OpaqueItem(f"item-{index}", "/lot/", (), body) for index in range(ITEM_COUNT)]


@when("{jobs:d} jobs of 200 items of 15 kB come at once to a node with memory for 27 MB of them")
def when_burst(context: Context, jobs: int) -> None:
    memory, items = JobMemory(27 * MB), large_items()
    job_bytes = sum(map(item_bytes, items))
    waiting = [f"job-{number}" for number in range(jobs)]
    context.peak_bytes, context.ended = 0, []
    running: list[str] = []
    while waiting or running:
        while waiting and memory.may_start("desk", job_bytes):
            running.append(waiting.pop(0))
            memory.start(running[-1], "desk", job_bytes)
        context.peak_bytes = max(context.peak_bytes, memory.used_bytes)
        for item in items:
            memory.release(running[0], item_bytes(item))
        context.ended.append(running.pop(0))
        memory.end(context.ended[-1])
    context.left_bytes = memory.used_bytes


@then("at most 27 MB run at a time, and all {jobs:d} have run once their items have finished")
def then_bounded(context: Context, jobs: int) -> None:
    assert 0 < context.peak_bytes <= 27 * MB, context.peak_bytes
    assert len(context.ended) == jobs and context.left_bytes == 0


@when(
    "jobs of a service that has no server fill the memory of a node, "
    "and a job of another service comes"
)
def when_filled(context: Context) -> None:
    context.memory = JobMemory(27 * MB)
    context.memory.start("job-0", "without-server", 27 * MB)


@then("the job of the other service runs, and no further one of the first")
def then_other_runs(context: Context) -> None:
    assert context.memory.may_start("desk", MB)
    assert not context.memory.may_start("without-server", MB)


@then("a machine of {machine:d} MB may run jobs of {jobs:d} MB at a time")
def then_capacity(context: Context, machine: int, jobs: int) -> None:
    assert job_memory_capacity(machine * MB) == jobs * MB


def runner_with_memory_for_one(node: FleetNode) -> OpaqueJobRunner:
    """Leaves a node memory for one job of each service, and returns its runner of jobs."""
    assert node.node is not None
    runner = node.node._runner
    assert runner is not None
    runner._memory = JobMemory(1)
    return runner


async def submit_jobs(fleet: PlatformFleet) -> OpaqueJobRunner:
    """Submits the jobs to the first node, which has memory for one."""
    node = fleet.nodes["vm-1"]
    runner = runner_with_memory_for_one(node)
    for engine in fleet.engines.values():
        engine.event_gap_s = 0.1
    for job_id in JOBS:
        answer = await submit_job(node, job_body(ITEMS), job_id)
        assert answer.status == 202, answer
    return runner


@when("4 jobs come to a node that has memory for one")
def when_waiting(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        runner = await submit_jobs(fleet)
        counts: set[int] = set()
        held: set[int] = set()

        async def observe() -> None:
            while True:
                counts.add(runner.running_count)
                held.add(sum(replica.full_job is not None for replica in runner._directory))
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(observe)
            for job_id in JOBS:
                facts[job_id] = await read_all(fleet.nodes["vm-1"], job_id=job_id)
            tasks.cancel_scope.cancel()
        facts["running"], facts["held"] = max(counts), max(held)

    run_on_fleet(context, action, nodes=1)


@then("one runs at a time, no other is held in memory, and all are done")
def then_one_at_a_time(context: Context) -> None:
    facts = context.facts
    assert (facts["running"], facts["held"]) == (1, 0), (facts["running"], facts["held"])
    assert all(row["state"] == "done" for job_id in JOBS for row in facts[job_id])


@when("4 jobs come to a node that has memory for one, and it stops gracefully")
def when_stopped(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await submit_jobs(fleet)
        node = fleet.nodes["vm-1"]
        other = other_than(fleet, node)
        node.stop_requested.set()
        await node.ended.wait()
        assert other.node is not None and other.node._runner is not None
        facts["runner"] = other.node._runner
        await anyio.sleep(TAKE_OVER_S)
        runners = {replica.runner.vm for replica in facts["runner"]._directory}
        facts["runners"], facts["other"] = runners, other.name

    run_on_fleet(context, action)


@then("another node has all 4 jobs at once")
def then_taken_over(context: Context) -> None:
    assert context.facts["runners"] == {context.facts["other"]}, context.facts["runners"]
