"""Batch benchmarks in virtual time, each checked against a bound.

Run as `python -m benchmarks.batch`; exits 1 if a bound is broken.
"""

import json
import random
import sys
import tracemalloc
from collections import Counter
from collections.abc import AsyncIterator
from typing import NamedTuple
from unittest.mock import patch

import anyio
from loguru import logger

from briarvale.batch import BatchProgram
from briarvale.clock import Clock
from briarvale.due_dates import DueDates
from briarvale.environment import Environment
from briarvale.errors import BriarvaleError
from briarvale.jobs import JobRecord, JobRequest
from briarvale.online import OnlineRequest
from briarvale.settings import Settings
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from briarvale.standins.object_api import StandinObjectApi
from briarvale.submission import SubmissionLimits, Submitter
from features.support.batch_jobs import MEMBER, run_on_fleet, submit, wait_final
from features.support.virtual import run_virtual

CALL_ITEMS = 6_000
IDLE_S = 120.0
STREAM_ITEMS = 430_000
OUTAGE_S = 300.0
AFTER_OUTAGE_S = 60.0
BUFFER_BYTES = 20_000
HOUR_MS = 3_600_000
BURST_S = 120.0


class Row(NamedTuple):
    """One measured figure and its bound."""

    measure: str
    value: float
    bound: float
    is_upper: bool = True

    @property
    def is_met(self) -> bool:
        """Whether the value is within its bound."""
        return self.value <= self.bound if self.is_upper else self.value >= self.bound


class FirstComeFirstServed(DueDates):
    """The baseline for least slack first: jobs start in the order of their acceptance."""

    def start_by_ms(self, job: JobRecord) -> int:
        """Returns the time of the job's acceptance."""
        return job.accepted_at_ms


async def store_calls(fleet: MemoryFleet) -> list[Row]:
    """Counts Object API calls for one job, from submission to the end of its retention."""
    await submit(fleet, CALL_ITEMS, tokens=2)
    job = await wait_final(fleet)
    await anyio.sleep(40)
    retained = sum(len(fleet.store.peek_keys(f"{kind}/")) for kind in ("inputs", "logs", "seals"))
    calls = [call for call in fleet.store.calls if job.job_id in call.key or "active" in call.key]
    startup_calls = sum(1 for call in calls if call.at_s == 0)
    # The removal after the retention period takes one call per retained object.
    total = len(calls) - startup_calls + retained
    measure = f"Object API calls per 1,000 items, harm weight {fleet.settings.rules[0][1]}"
    return [Row(measure, total * 1_000 / CALL_ITEMS, 20)]


async def idle_calls(fleet: MemoryFleet) -> list[Row]:
    """Counts all Object API calls of an idle fleet, including those for the configuration."""
    await anyio.sleep(10)
    before = len(fleet.store.calls)
    await anyio.sleep(IDLE_S)
    per_vm = (len(fleet.store.calls) - before) / IDLE_S / len(fleet.vms)
    return [Row("Object API calls per second and VM when idle", per_vm, 1)]


async def outage(fleet: MemoryFleet) -> list[Row]:
    """Runs jobs through an outage; calls after it must stay well below the declared rates."""
    for vm in fleet.vms.values():
        vm.batch.budget._max_buffer_bytes = BUFFER_BYTES
    for number in range(6):
        await submit(fleet, 900, tokens=20, name=f"job-{number}")
    await anyio.sleep(5)
    fleet.store.faults.is_down = True
    await anyio.sleep(OUTAGE_S)
    buffered_bytes = max(vm.batch.budget._buffered_bytes for vm in fleet.vms.values())
    fleet.store.faults.is_down = False
    outage_ended_s = anyio.current_time()
    for number in range(6):
        await wait_final(fleet, f"job-{number}")
    calls = [c for c in fleet.store.calls if 0 <= c.at_s - outage_ended_s < AFTER_OUTAGE_S]
    calls_by_second = Counter(int(call.at_s) for call in calls)
    return [
        Row(
            "busiest second after an outage ÷ rate of writes",
            max(calls_by_second.values()) / 500,
            0.5,
        ),
        Row("results buffered in the outage ÷ bound", buffered_bytes / BUFFER_BYTES, 1.2),
    ]


async def due_jobs(fleet: MemoryFleet) -> float:
    """Submits long jobs due late, then short ones due soon; returns the share done in time."""
    rng = random.Random(1)
    now_ms = fleet.clock.now_ms()
    names = {f"long-{n}": now_ms + 600_000 for n in range(2)}
    for name, due_at_ms in names.items():
        await submit(fleet, 900, tokens=50, name=name, due_at_ms=due_at_ms)
    for number in range(8):
        await anyio.sleep(5)
        name = f"short-{number}"
        names[name] = fleet.clock.now_ms() + rng.randrange(20_000, 60_000)
        await submit(fleet, 60, tokens=50, name=name, due_at_ms=names[name])
    ended = [await wait_final(fleet, name) for name in names]
    return sum(job.finished_at_ms <= job.due_at_ms for job in ended) / len(ended)


async def batch_tokens(fleet: MemoryFleet, bursts_per_s: float) -> float:
    """Returns the batch tokens generated in `BURST_S` beside online requests with bursts."""
    online_tokens = 0

    async def send_online(number: int) -> None:
        nonlocal online_tokens
        deadline_ms = fleet.clock.now_ms() + 30_000
        request = OnlineRequest(
            f"r{number}", "cyweirio", ENGINE_SERVICE, f"reed {number}", 60, deadline_ms
        )
        try:
            async for _ in fleet.vms["vm-1"].gateway.online.stream(request):
                online_tokens += 1
        except BriarvaleError:
            return

    for name in ("a", "b", "c"):
        await submit(fleet, 900, tokens=400, name=name)
    await anyio.sleep(10)
    engines = fleet.backends.engines.values()
    before = sum(engine.tokens_generated for engine in engines)
    stop_s = anyio.current_time() + BURST_S
    number = 0
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < stop_s:
            is_burst = anyio.current_time() % 40 < 6
            for _ in range(int(bursts_per_s * (4 if is_burst else 1))):
                tasks.start_soon(send_online, number)
                number += 1
            await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    return sum(engine.tokens_generated for engine in engines) - before - online_tokens


def submission_memory() -> list[Row]:
    """Measures the peak memory of submitting the largest job, without the stored objects."""

    class DiscardingObjectApi(StandinObjectApi):
        async def create(self, key: str, value: bytes) -> int:
            return await super().create(key, value if key.startswith("jobs/") else b"")

    async def lines() -> AsyncIterator[bytes]:
        for number in range(STREAM_ITEMS):
            item = {"prompt": f"greeting {number} " + "x" * 500, "max_tokens": 100}
            yield json.dumps(item).encode()

    async def run() -> int:
        store = DiscardingObjectApi()
        clock = Clock(1_800_000_000_000)
        request = JobRequest(MEMBER, "largest", ENGINE_SERVICE, HOUR_MS)
        limits = SubmissionLimits(1 << 30, 1_000)
        tracemalloc.start()
        job = await Submitter(store, clock).submit(request, lines(), limits)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert job.item_count == STREAM_ITEMS
        return peak_bytes

    return [Row("peak memory of a submission of 430,000 items, MB", run_virtual(run) / 1e6, 32)]


def due_dates() -> list[Row]:
    """Compares the shares of jobs done in time: least slack first and first come first served."""
    settings = FleetSettings(engine_count=2, slots=8)
    least_slack_share = run_on_fleet(due_jobs, settings)
    init = BatchProgram.__init__

    def init_first_come_first_served(
        batch: BatchProgram, settings: Settings, environment: Environment
    ) -> None:
        init(batch, settings, environment, FirstComeFirstServed(environment.clock))

    with patch.object(BatchProgram, "__init__", init_first_come_first_served):
        first_come_share = run_on_fleet(due_jobs, settings)
    return [
        Row("jobs in time, least slack first", least_slack_share, 1.0, False),
        Row(
            "jobs in time, first come first served, below least slack",
            first_come_share,
            least_slack_share - 0.01,
        ),
    ]


def throughput() -> list[Row]:
    """Compares batch tokens beside online bursts with the capacity left by online requests."""
    rules = (("harm_weight", 0.0), ("batch_budget_percent", 100))
    settings = FleetSettings(slots=32, rules=rules)
    without_online = run_on_fleet(lambda fleet: batch_tokens(fleet, 0), settings)
    with_bursts = run_on_fleet(lambda fleet: batch_tokens(fleet, 4), settings)
    # 4 requests a second of 60 tokens; in 3 bursts of 6 s four times as many.
    online_tokens = 4 * (BURST_S + 3 * 18) * 60
    return [
        Row(
            "batch tokens beside bursts ÷ idle capacity",
            with_bursts / (without_online - online_tokens),
            0.9,
            False,
        )
    ]


def main() -> None:
    """Measures all rows and prints them."""
    logger.remove()
    random.seed(1)
    rows: list[Row] = []
    for harm_weight in (0.0, 0.5):
        rules = (("harm_weight", harm_weight),)
        rows += run_on_fleet(store_calls, FleetSettings(slots=64, rules=rules))
    rows += run_on_fleet(idle_calls, FleetSettings())
    rows += run_on_fleet(outage, FleetSettings(slots=8, rules=(("harm_weight", 0.0),)))
    rows += due_dates()
    rows += throughput()
    rows += submission_memory()
    for row in rows:
        sign = "<=" if row.is_upper else ">="
        suffix = "" if row.is_met else "  BROKEN"
        print(f"{row.measure}: {row.value:.3f} ({sign} {row.bound:.3f}){suffix}", flush=True)
    broken = sum(not row.is_met for row in rows)
    print(f"{len(rows)} rows, {broken} broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
