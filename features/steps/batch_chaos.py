"""Steps for exactly one result per item: faults, and broken variants that the checker detects."""

from typing import NamedTuple
from unittest.mock import patch

import anyio
from behave import given, then, when
from behave.runner import Context

from benchmarks.chaos import ChaosRun, Fault
from briarvale.batch import BatchProgram
from briarvale.errors import ObjectExists, StoreThrottled, StoreUnavailable
from briarvale.job_results import read_progress, read_results
from briarvale.jobs import JobRecord, JobRequest, JobState
from briarvale.shard_log import ItemResult, LogEntry, ShardLog
from briarvale.shard_runner import RunningShard
from briarvale.standins.checker import Verdict
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from briarvale.submission import RecordWriter
from features.steps.thin_path import job_lines
from features.support.virtual import run_virtual

SEEDS = range(1, 5)
VARIANT_SEEDS = range(1, 25)
RUNNER_SEED_COUNT = 5


def _run_seeds(faults: list[Fault], seeds: range = SEEDS) -> Verdict:
    """Runs the faults with one seed after the other, until the checker finds a violation."""
    total = Verdict()
    for seed in seeds:
        total += run_virtual(ChaosRun(seed, faults).run, seed=seed)
        if not total.is_good:
            break
    return total


@when('batch jobs run while the fault "{kind}" occurs twice')
def when_fault_twice(context: Context, kind: str) -> None:
    context.verdict = _run_seeds([Fault(kind, 0, 5.0, 35.0), Fault(kind, 1, 20.0, 50.0)])


@then("the checker finds nothing lost, doubled, run after its seal or falsely refused")
def then_good(context: Context) -> None:
    assert context.verdict.is_good and context.verdict.accepted > 0, context.verdict


async def _create_unconditionally(self: ShardLog, entry: LogEntry) -> bool:
    """Overwrites an entry that exists; replaces `ShardLog._create`."""
    key = self._key(entry.sequence)
    try:
        await self._budget.call(self._store.create, key, entry.encode())
    except ObjectExists:
        stored = await self._budget.call(self._store.get, key)
        await self._budget.call(self._store.update, key, entry.encode(), stored.version)
    return True


async def _retry_with_other_bytes(self: ShardLog, entry: LogEntry) -> bool:
    """Retries with the next sequence number in the entry; replaces `ShardLog._create`."""
    while True:
        try:
            await self._store.create(self._key(entry.sequence), entry.encode())
            return True
        except ObjectExists:
            return False
        except (StoreUnavailable, StoreThrottled):
            await anyio.sleep(1)
            entry = entry._replace(sequence=entry.sequence + 1)


async def _append_after_seal(
    self: ShardLog, results: list[ItemResult], *, is_seal: bool = False
) -> bool:
    """Creates one more entry after a seal; replaces `ShardLog.append`."""
    is_ours = await _append(self, results, is_seal=is_seal)
    if self.is_sealed:
        entry = LogEntry(self.next_sequence, "again", ())
        await self._create(entry)
    return is_ours


def _ignore_record(self: RunningShard, job: JobRecord) -> None:
    """Ignores the job's changed record; replaces `RunningShard.update`."""


async def _refuse_at_once(self: RecordWriter, record: JobRecord, replaced: object) -> JobRecord:
    """Reports a failed write as void but writes no void record; replaces `write_or_void`."""
    try:
        return await self._write(record, replaced)
    except (StoreUnavailable, StoreThrottled):
        return record._replace(state=JobState.VOID)


_append = ShardLog.append
BROKEN_VARIANTS = {
    "creates without a condition": (ShardLog, "_create", _create_unconditionally),
    "retries with other bytes": (ShardLog, "_create", _retry_with_other_bytes),
    "appends after a seal": (ShardLog, "append", _append_after_seal),
    "continues after a cancel": (RunningShard, "update", _ignore_record),
    "refuses without a void record": (RecordWriter, "write_or_void", _refuse_at_once),
}


class TwoRunnerCounts(NamedTuple):
    """How many results a job with two runners has, and how many runs its items took."""

    result_count: int
    run_count: int


@given('a runner or gateway that "{variant}"')
def given_variant(context: Context, variant: str) -> None:
    context.variant = BROKEN_VARIANTS[variant]


@when("batch jobs run through failures that need the rule")
def when_faults(context: Context) -> None:
    faults = [
        Fault("lost answer", 0, 0.0, 60.0),
        Fault("late write", 0, 0.0, 60.0),
        Fault("cut", 1, 10.0, 40.0),
        Fault("kill", 2, 30.0, 60.0),
    ]
    broken_class, method_name, broken_method = context.variant
    with patch.object(broken_class, method_name, broken_method):
        context.verdict = _run_seeds(faults, VARIANT_SEEDS)


@then('the checker says "{verdict}"')
def then_verdict(context: Context, verdict: str) -> None:
    assert getattr(context.verdict, verdict.replace(" ", "_")) > 0, context.verdict


@given("two batch programs that both regard each shard as their own")
def given_two_runners(context: Context) -> None:
    context.patches = [patch.object(BatchProgram, "is_assigned_here", lambda self, key: True)]


@when("a job of {items:d} items runs on both")
def when_two_runners(context: Context, items: int) -> None:
    async def run(seed: int) -> TwoRunnerCounts:
        fleet = MemoryFleet(FleetSettings(vm_count=2, seed=seed))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            due_at_ms = fleet.clock.now_ms() + 600_000
            request = JobRequest("trust", "greetings", ENGINE_SERVICE, due_at_ms)
            job = await fleet.vms["vm-1"].gateway.jobs.submit(request, job_lines(items))
            while not (await read_progress(fleet.store, job)).is_sealed:
                await anyio.sleep(1)
            results = [row async for row in read_results(fleet.store, job)]
            tasks.cancel_scope.cancel()
        starts = [start for e in fleet.backends.engines.values() for start in e.starts]
        runs = {start.request_id for start in starts if start.prompt.startswith("greeting")}
        return TwoRunnerCounts(len(results), len(runs))

    with context.patches[0]:
        context.outcomes = [run_virtual(run, seed, seed=seed) for seed in range(RUNNER_SEED_COUNT)]
    context.item_count = items


@then("few items run twice and none has two results")
def then_few_duplicates(context: Context) -> None:
    for outcome in context.outcomes:
        assert outcome.result_count == context.item_count, outcome
        assert outcome.run_count <= context.item_count * 1.2, context.outcomes
