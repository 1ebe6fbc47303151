"""Steps for store outages, due dates and downloads of results."""

import random
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

import anyio
import httpx
from behave import given, then, when
from behave.runner import Context
from typer.testing import CliRunner

from briarvale import metrics
from briarvale.commands import job as job_commands
from briarvale.job_http import SEALED_HEADER, SHARD_COUNT_HEADER
from briarvale.job_results import read_progress
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from briarvale.standins.object_api import StandinObjectApi
from briarvale.store_budget import StoreBudget
from features.support.batch_jobs import check, run_on_fleet, submit, wait_final
from features.support.virtual import run_virtual

ADAPT_S = 30.0
JOB_NAMES = ("job-1", "job-2", "job-3")
_throttle = StandinObjectApi._throttle


@given("batch jobs that may buffer {size_kb:d} KB of results a VM")
def given_buffer(context: Context, size_kb: int) -> None:
    context.buffer_bytes = size_kb * 1_000


async def _submit_jobs(context: Context, fleet: MemoryFleet) -> None:
    for vm in fleet.vms.values():
        vm.batch.budget._max_buffer_bytes = context.buffer_bytes
    for name in JOB_NAMES:
        await submit(fleet, 900, tokens=20, name=name)


async def _wait_for_jobs(context: Context, fleet: MemoryFleet) -> None:
    for name in JOB_NAMES:
        await wait_final(fleet, name)
    await anyio.sleep(5)
    context.verdict = check(fleet, *JOB_NAMES)


def _count_throttled(context: Context) -> Callable[..., None]:
    """Returns a replacement of `_throttle` that counts the calls which it refuses with an error."""
    context.throttled = 0

    def throttle(self: StandinObjectApi, is_write: bool) -> None:
        context.throttled += 1
        _throttle(self, is_write)
        context.throttled -= 1

    return throttle


def _generated_tokens(fleet: MemoryFleet) -> int:
    return sum(engine.tokens_generated for engine in fleet.backends.engines.values())


@when("the store is unavailable for {seconds:d} s")
def when_store_away(context: Context, seconds: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await _submit_jobs(context, fleet)
        await anyio.sleep(8)
        fleet.store.faults.is_down = True
        tokens = [_generated_tokens(fleet)]
        for _ in range(2):
            await anyio.sleep(seconds / 2)
            tokens.append(_generated_tokens(fleet))
        context.first_half, context.second_half = tokens[1] - tokens[0], tokens[2] - tokens[1]
        budgets = [vm.batch.budget for vm in fleet.vms.values()]
        context.buffered_bytes = max(budget._buffered_bytes for budget in budgets)
        fleet.store.faults.is_down = False
        outage_ended_s = anyio.current_time()
        await _wait_for_jobs(context, fleet)
        calls = [c for c in fleet.store.calls if outage_ended_s <= c.at_s < outage_ended_s + 60]
        context.busiest_second_calls = max(Counter(int(call.at_s) for call in calls).values())

    with patch.object(StandinObjectApi, "_throttle", _count_throttled(context)):
        run_on_fleet(action, FleetSettings(slots=8))


@then("items ran in the outage until the buffer was full, and no longer")
def then_ran_until_full(context: Context) -> None:
    assert context.first_half > 0 and context.second_half == 0
    assert context.buffer_bytes <= context.buffered_bytes <= context.buffer_bytes * 1.5


@then("no call was throttled after the outage and the busiest second had at most {calls:d} calls")
def then_no_storm(context: Context, calls: int) -> None:
    assert context.throttled == 0
    assert context.busiest_second_calls <= calls, context.busiest_second_calls


@when("the store allows {writes:d} writes and {reads:d} reads a second")
def when_throttled(context: Context, writes: int, reads: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        await _submit_jobs(context, fleet)
        fleet.store.faults.writes_per_s = float(writes)
        fleet.store.faults.reads_per_s = float(reads)
        calls_before = len(fleet.store.calls)
        await _wait_for_jobs(context, fleet)
        context.calls = len(fleet.store.calls) - calls_before

    with patch.object(StandinObjectApi, "_throttle", _count_throttled(context)):
        run_on_fleet(action, FleetSettings(slots=8))


@when(
    "{tasks:d} tasks of one process read constantly from a store of {reads:d} reads a second, "
    "30 s to adapt and {seconds:d} s more"
)
def when_reading(context: Context, tasks: int, reads: int, seconds: int) -> None:
    async def run() -> None:
        store, budget = StandinObjectApi(), StoreBudget()
        store.faults.reads_per_s = float(reads)

        async def read() -> None:
            while True:
                await budget.call(store.list_keys, "jobs/")

        with anyio.move_on_after(ADAPT_S + seconds):
            async with anyio.create_task_group() as group:
                for _ in range(tasks):
                    group.start_soon(read)
                await anyio.sleep(ADAPT_S)
                context.throttled, calls_before = 0, len(store.calls)
        context.calls = len(store.calls) - calls_before
        context.used_rate_share = context.calls / (seconds * reads)

    random.seed(1)
    with patch.object(StandinObjectApi, "_throttle", _count_throttled(context)):
        run_virtual(run)


@then("at least half of the store's rate is used")
def then_used(context: Context) -> None:
    assert context.used_rate_share >= 0.5, context.used_rate_share


@then("at most a quarter of the calls are throttled")
def then_few_throttled(context: Context) -> None:
    attempted = context.calls + context.throttled
    assert context.throttled <= attempted / 4, (context.throttled, attempted)


@given("a running long job that is due in an hour")
def given_long_job(context: Context) -> None:
    context.due_s = 3_600


@when("a short job that is due in {seconds:d} s is submitted")
def when_short(context: Context, seconds: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        due_at_ms = fleet.clock.now_ms() + context.due_s * 1_000
        await submit(fleet, 900, tokens=100, name="long", due_at_ms=due_at_ms)
        await anyio.sleep(20)
        due_at_ms = fleet.clock.now_ms() + seconds * 1_000
        await submit(fleet, 60, tokens=100, name="short", due_at_ms=due_at_ms)
        context.short = await wait_final(fleet, "short")
        context.long = await wait_final(fleet, "long")

    run_on_fleet(action, FleetSettings(engine_count=1, slots=8))


@then("the short job ends before it is due and before the long one")
def then_in_time(context: Context) -> None:
    assert context.short.finished_at_ms <= context.short.due_at_ms
    assert context.short.finished_at_ms < context.long.finished_at_ms


@given("a long job that is due in 30 s")
def given_late(context: Context) -> None:
    context.due_s = 30


@when("{seconds:d} s have passed")
def when_passed(context: Context, seconds: int) -> None:
    async def action(fleet: MemoryFleet) -> None:
        due_at_ms = fleet.clock.now_ms() + context.due_s * 1_000
        job = await submit(fleet, 900, tokens=100, name="long", due_at_ms=due_at_ms)
        await anyio.sleep(seconds)
        context.progress = await read_progress(fleet.store, job)
        context.late_vms = sum(bool(vm.batch.due_dates.late) for vm in fleet.vms.values())
        context.late_metric = metrics.JOBS_LATE.get({})
        context.job = await wait_final(fleet, "long")

    run_on_fleet(action, FleetSettings(vm_count=1, engine_count=1, slots=8))


@then("the metric of late jobs counts it and its status predicts its end within a factor of two")
def then_predicted(context: Context) -> None:
    late_until_ms = context.progress.late_until_ms
    assert late_until_ms > context.job.due_at_ms, context.progress
    assert (context.late_vms, context.late_metric) == (1, 1), (
        context.late_vms,
        context.late_metric,
    )
    took_ms = context.job.finished_at_ms - context.job.accepted_at_ms
    predicted_ms = late_until_ms - context.job.accepted_at_ms
    assert took_ms / 2 <= predicted_ms <= took_ms * 2, (predicted_ms, took_ms)


def _given_gateway(context: Context, failing_shard: int, unsealed_shard: int) -> None:
    """Serves shards of two lines; one answer fails or one shard is unsealed at first (-1: none)."""
    context.requested_shards = []

    def answer(request: httpx.Request) -> httpx.Response:
        shard = int(request.url.params["shard"])
        context.requested_shards.append(shard)
        if shard == failing_shard and context.requested_shards.count(shard) == 1:
            raise httpx.ReadError("the connection broke")
        is_sealed = shard != unsealed_shard or context.requested_shards.count(shard) > 1
        headers = {SHARD_COUNT_HEADER: "3", SEALED_HEADER: "true" if is_sealed else "false"}
        return httpx.Response(200, headers=headers, text=f"{2 * shard}\n{2 * shard + 1}\n")

    context.transport = httpx.MockTransport(answer)


@given("a gateway that serves 3 shards of results and fails during the second")
def given_failing_gateway(context: Context) -> None:
    _given_gateway(context, failing_shard=1, unsealed_shard=-1)


@given("a gateway whose third shard is sealed only later")
def given_unsealed(context: Context) -> None:
    _given_gateway(context, failing_shard=-1, unsealed_shard=2)


@when("an operator downloads the results twice")
def when_downloaded(context: Context) -> None:
    def client(gateway: str, api_key: str) -> httpx.Client:
        return httpx.Client(base_url=gateway, transport=context.transport)

    with (
        tempfile.TemporaryDirectory() as folder,
        patch.object(job_commands, "_client", client),
    ):
        output = Path(folder) / "out.jsonl"
        arguments = ["results", "greetings", str(output)]
        options = ["--gateway", "http://127.0.0.1:1", "--api-key", "key"]
        for _ in range(2):
            CliRunner().invoke(job_commands.app, arguments + options)
        context.downloaded = output.read_text()


@then("the file holds each result once and the first shard was requested once")
def then_whole_file(context: Context) -> None:
    assert context.downloaded == "".join(f"{n}\n" for n in range(6)), context.downloaded
    assert context.requested_shards.count(0) == 1
