"""Steps of jobs that other nodes claim and run again when their runner is lost."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.rendezvous import first_by_rendezvous
from features.support.platform_fleet import PlatformFleet, job_body
from features.support.platform_jobs import JOB, read_all, run_on_fleet, runner_of, submit_job
from features.support.runner_fleet import RunnerFleet
from features.support.virtual import run_virtual

# The loss of the runner is detected after 3 s, and the job then runs for 3 s.
MAX_COMPLETION_S = 12.0
FAULT_FREE_S = 10.0


@when("a job's runner is killed, and the first of the two others to claim it can't reach the store")
def when_no_store(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.4
        await submit_job(fleet.nodes["vm-1"], job_body(["item-a", "item-b"]))
        runner = await runner_of(fleet, facts)
        others = [name for name in fleet.nodes if name != runner.name]
        first = first_by_rendezvous(JOB, others, 1)[0]
        other = next(name for name in others if name != first)
        runner.kill()
        fleet.store_proxies[first].is_refusing = True
        started_s = anyio.current_time()
        with anyio.move_on_after(MAX_COMPLETION_S):
            await read_all(fleet.nodes[other], 2)
        facts["done after s"] = anyio.current_time() - started_s

    run_on_fleet(context, scenario, nodes=3)


@then("the job is done within 12 s after the runner was killed")
def then_done(context: Context) -> None:
    assert context.facts["done after s"] < MAX_COMPLETION_S, context.facts["done after s"]


@when("{count:d} short schedules of faults are run in virtual time, each with 6 jobs")
def when_schedules(context: Context, count: int) -> None:
    context.open_jobs = {}
    context.accepted = 0
    for seed in range(count):
        fleet = RunnerFleet(seed)
        open_jobs = run_virtual(fleet.run_with_faults, FAULT_FREE_S, seed=seed)
        context.accepted += len(fleet.accepted)
        if open_jobs:
            context.open_jobs[seed] = (open_jobs, fleet.events)


@then("all items of all accepted jobs are listed 10 s after the last fault")
def then_all_listed(context: Context) -> None:
    assert context.accepted > 0
    assert not context.open_jobs, context.open_jobs
