"""Steps for submission: invalid and resent jobs, store failures at the job record, retention."""

from collections.abc import Awaitable, Callable
from unittest.mock import patch

import anyio
from behave import given, then, when
from behave.runner import Context

from briarvale import retention
from briarvale.errors import BriarvaleError, StoreThrottled, StoreUnavailable
from briarvale.jobs import JobRecord, JobState
from briarvale.object_store import StoredObject
from briarvale.retention import Retention
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from briarvale.standins.object_api import StandinObjectApi
from briarvale.submission import RecordWriter
from features.support.batch_jobs import MEMBER, check, run_on_fleet, submit, wait_final

KEY_PREFIXES = ("inputs/", "active/", "logs/", "seals/", "late/")
LATE_WRITE_S = 60.0
TWO_DAYS_S = 172_800.0

_create, _get = StandinObjectApi.create, StandinObjectApi.get


def _leftovers(fleet: MemoryFleet) -> list[str]:
    """Returns the keys of all objects of submissions and jobs, except records."""
    return [key for prefix in KEY_PREFIXES for key in fleet.store.peek_keys(prefix)]


async def _error_of(submission: Awaitable[JobRecord]) -> BriarvaleError | None:
    try:
        await submission
    except BriarvaleError as error:
        return error
    return None


def _run_with_rules(context: Context, action: Callable[[MemoryFleet], Awaitable[None]]) -> None:
    run_on_fleet(action, FleetSettings(rules=tuple(getattr(context, "rules", {}).items())))


@given('rules with "{rule}" of {limit:d}')
def given_rules(context: Context, rule: str, limit: int) -> None:
    context.rules = {rule: limit}


@when("a job whose line {line:d} is invalid is submitted")
def when_invalid_line(context: Context, line: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        context.error = await _error_of(submit(fleet, 2_000, invalid_line=line))
        context.leftovers = _leftovers(fleet)
        context.record = fleet.store.peek(f"jobs/{MEMBER}/greeting")

    _run_with_rules(context, action)


@when("a job of {items:d} items is submitted")
def when_submitted(context: Context, items: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        context.error = await _error_of(submit(fleet, items))
        context.leftovers = _leftovers(fleet)
        context.record = fleet.store.peek(f"jobs/{MEMBER}/greeting")
        await anyio.sleep(2 * LATE_WRITE_S)
        fleet.store.peek("")
        value = fleet.store.peek(f"jobs/{MEMBER}/greeting")
        context.later_state = JobRecord.decode(value).state if value else JobState.VOID
        context.starts = sum(len(e.starts) for e in fleet.backends.engines.values())

    with patch.object(StandinObjectApi, "create", getattr(context, "failing_create", _create)):
        _run_with_rules(context, action)


@then('the job is refused with the code "{code}"')
@then('the job is refused with the code "{code}" and a message with "{text}"')
def then_refused(context: Context, code: str, text: str = "") -> None:
    assert context.error is not None and context.error.code == code, context.error
    assert text in str(context.error) and context.error.not_run, context.error


@then("nothing of the submission is left in the store")
def then_nothing_left(context: Context) -> None:
    assert not context.leftovers, context.leftovers
    assert context.record is None


@when("the same job of {items:d} items is submitted by three gateways at once and once more later")
def when_resent(context: Context, items: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        jobs: list[JobRecord] = []

        async def send(vm: str) -> None:
            jobs.append(await submit(fleet, items, vm=vm))

        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                tasks.start_soon(send, vm)
        await send("vm-2")
        context.inputs = fleet.store.peek_keys("inputs/")
        context.uploads = {job.upload_id for job in jobs}
        await wait_final(fleet)
        context.verdict = check(fleet, "greeting")
        starts = [s for e in fleet.backends.engines.values() for s in e.starts]
        runs = {(start.prompt, start.request_id) for start in starts}
        context.extra_runs = len(runs) - len({start.prompt for start in starts})

    _run_with_rules(context, action)


@then("all get the same job and its items ran once")
def then_same(context: Context) -> None:
    assert len(context.uploads) == 1
    assert context.verdict.is_good and context.verdict.accepted == 2_500, context.verdict
    assert context.extra_runs == 0, context.extra_runs


@then("only the accepted upload's inputs are in the store")
def then_inputs(context: Context) -> None:
    assert len(context.inputs) == 3, context.inputs
    assert all(next(iter(context.uploads)) in key for key in context.inputs)


@when("a job is submitted, and then another with its id and other content")
def when_conflict(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await submit(fleet, 10)
        context.error = await _error_of(submit(fleet, 11, vm="vm-2"))

    _run_with_rules(context, action)


@when("a VM is lost right after it accepted a job")
def when_lost(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await submit(fleet, 60)
        fleet.kill_vm("vm-1")
        context.job = await wait_final(fleet)
        context.verdict = check(fleet, "greeting")

    _run_with_rules(context, action)


@then("the job completes")
def then_completes(context: Context) -> None:
    assert context.job.state is JobState.COMPLETED and context.verdict.is_good, context.verdict


def _is_acceptance(key: str, value: bytes) -> bool:
    """Whether the creation of this object accepts a job."""
    return key.startswith("jobs/") and JobRecord.decode(value).state is JobState.RUNNING


def _failing_create(failure: str) -> Callable[..., Awaitable[int]]:
    """Returns a replacement of `create` that fails as described while it writes a job's record."""
    calls: list[float] = []

    async def create(self: StandinObjectApi, key: str, value: bytes) -> int:
        is_blocked = key.startswith("jobs/") and "everything" in failure
        if not _is_acceptance(key, value) and not is_blocked:
            return await _create(self, key, value)
        calls.append(anyio.current_time())
        match failure:
            case "loses its answer once" if len(calls) == 1:
                await _create(self, key, value)
                raise StoreUnavailable("lost")
            case "is throttled for a while" if calls[-1] - calls[0] < 3:
                raise StoreThrottled("slow down")
            case "takes effect late, the store answers meanwhile" if len(calls) == 1:
                self._late_writes.append((anyio.current_time() + 1, key, value, None))
                raise StoreUnavailable("late")
            case "fails until the gateway gives up":
                raise StoreUnavailable("down")
            case "takes effect after a void record" | "takes effect after an outage of everything":
                self._late_writes.append((anyio.current_time() + LATE_WRITE_S, key, value, None))
                raise StoreUnavailable("late")
        return await _create(self, key, value)

    return create


@given('a store whose record write "{failure}"')
def given_failing(context: Context, failure: str) -> None:
    context.failing_create = _failing_create(failure)


@then('the caller gets "{answer}" and a late write does not change that')
def then_answered(context: Context, answer: str) -> None:
    outcome = context.error.code if context.error else "accepted"
    assert outcome == answer, outcome
    if context.error is not None and context.error.not_run:
        assert context.later_state is JobState.VOID and context.starts == 0
    else:
        assert context.later_state is JobState.COMPLETED


@given("an upload whose gateway was lost before the acceptance")
def given_upload(context: Context) -> None:
    async def write_never(
        self: RecordWriter, record: JobRecord, replaced: StoredObject | None
    ) -> None:
        await anyio.sleep_forever()

    async def submit_unaccepted(fleet: MemoryFleet) -> None:
        with patch.object(RecordWriter, "write_or_void", write_never), anyio.move_on_after(5):
            await submit(fleet, 2_000)

    context.submit_unaccepted = submit_unaccepted


@when("the upload timeout of {seconds:d} s passes")
def when_timeout_passes(context: Context, seconds: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await context.submit_unaccepted(fleet)
        assert _leftovers(fleet)
        await anyio.sleep(seconds)
        context.leftovers = _leftovers(fleet)
        value = fleet.store.peek(f"jobs/{MEMBER}/greeting")
        is_void = value is not None and JobRecord.decode(value).state is JobState.VOID
        context.record = None if is_void else value

    with patch.multiple(retention, UPLOAD_TIMEOUT_MS=seconds * 500, SWEEP_INTERVAL_S=seconds / 5):
        _run_with_rules(context, action)


@when("a job has completed and two days pass")
def when_two_days_pass(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await submit(fleet, 60)
        await wait_final(fleet)
        await anyio.sleep(5)
        batch = fleet.vms["vm-1"].batch
        sweeper = Retention(batch._environment, batch.budget, batch.view, lambda key: True)
        await sweeper.remove_expired()
        assert _leftovers(fleet)
        sweeper._clock = fleet.clock._replace(offset_ms=fleet.clock.offset_ms + TWO_DAYS_S * 1_000)
        await sweeper.remove_expired()
        context.leftovers = _leftovers(fleet) + fleet.store.peek_keys("expiring/")
        context.record = fleet.store.peek(f"jobs/{MEMBER}/greeting")
        context.resubmitted = await submit(fleet, 70)

    _run_with_rules(context, action)


@then("nothing of the job is left in the store")
def then_job_gone(context: Context) -> None:
    then_nothing_left(context)


@then("the same id is accepted again")
def then_accepted_again(context: Context) -> None:
    assert context.resubmitted.state is JobState.RUNNING and context.resubmitted.item_count == 70
