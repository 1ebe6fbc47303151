"""Steps for cancelled jobs."""

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.errors import BriarvaleError
from briarvale.jobs import JobState
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from features.support.batch_jobs import MEMBER, check, run_on_fleet, submit, wait_final

MAX_STOP_S = 5.0
SETTINGS = FleetSettings(slots=4)
DELAY_COUNT = 24


async def _disturb(fleet: MemoryFleet, disturbance: str) -> None:
    match disturbance:
        case "a runner is killed":
            fleet.vms["vm-2"].kill("batch")
        case "answers of the store are lost":
            fleet.store.faults.lose_answer_probability = 0.5


async def _cancel(fleet: MemoryFleet, name: str = "greeting", vm: str = "vm-1") -> JobState:
    while True:
        try:
            return (await fleet.vms[vm].gateway.jobs.cancel(MEMBER, name)).state
        except BriarvaleError:
            await anyio.sleep(0.5)


async def _record_end(context: Context, fleet: MemoryFleet) -> None:
    """Records the time, the ended job and, 60 s later, the starts of items and the verdict."""
    context.acknowledged_s = anyio.current_time()
    context.job = await wait_final(fleet)
    await anyio.sleep(60)
    starts = [start for e in fleet.backends.engines.values() for start in e.starts]
    # Engines also run the health check's trial requests.
    context.starts = [start.at_s for start in starts if start.prompt.startswith("greeting")]
    context.verdict = check(fleet, "greeting", cancelled_at_s=context.acknowledged_s)


@when('a running job is cancelled {times:d} times, with the disturbance "{disturbance}"')
def when_cancelled(context: Context, times: int, disturbance: str) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await submit(fleet, 3_000, tokens=100)
        await anyio.sleep(30)
        await _disturb(fleet, disturbance)
        for _ in range(times):
            await _cancel(fleet)
        await _record_end(context, fleet)

    run_on_fleet(action, SETTINGS)


@then("no item starts later than 5 s after the acknowledgement")
def then_no_start(context: Context) -> None:
    assert len(context.starts) > 20
    assert max(context.starts) <= context.acknowledged_s + MAX_STOP_S, max(context.starts)


@then("the job ends as cancelled with exact counts and nothing is appended later")
def then_cancelled(context: Context) -> None:
    assert context.job.state is JobState.CANCELLED
    assert context.job.counts.done_count > 0 and context.job.counts.cancelled_count > 0
    assert context.verdict.is_good, context.verdict


@when("a job is cancelled at every moment around its completion")
def when_cancelled_around_end(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> None:
        context.ended_jobs = []
        for delay_index in range(DELAY_COUNT):
            name = f"job-{delay_index}"
            await submit(fleet, 12, name=name)
            await anyio.sleep(delay_index * 0.05)
            await _cancel(fleet, name)
            context.ended_jobs.append(await wait_final(fleet, name))
        verdicts = [check(fleet, job.job_id) for job in context.ended_jobs]
        context.verdicts = verdicts

    run_on_fleet(action, SETTINGS)


@then("each job ends as completed or cancelled with exact counts")
def then_final_states(context: Context) -> None:
    states = {job.state for job in context.ended_jobs}
    assert states == {JobState.COMPLETED, JobState.CANCELLED}, states
    assert all(verdict.is_good for verdict in context.verdicts), context.verdicts
    assert all(sum(job.counts) == job.item_count for job in context.ended_jobs)


@when("a job is cancelled during an outage and again after it")
def when_cancelled_in_outage(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await submit(fleet, 3_000, tokens=100)
        await anyio.sleep(30)
        fleet.store.faults.is_down = True
        try:
            await fleet.vms["vm-1"].gateway.jobs.cancel(MEMBER, "greeting")
        except BriarvaleError as error:
            context.first_code = error.code
        await anyio.sleep(30)
        fleet.store.faults.is_down = False
        context.second_state = await _cancel(fleet)
        await _record_end(context, fleet)

    run_on_fleet(action, SETTINGS)


@then('the first cancel is answered with "{code}" and the second is acknowledged')
def then_unknown(context: Context, code: str) -> None:
    assert context.first_code == code
    assert context.second_state is JobState.CANCELLING
