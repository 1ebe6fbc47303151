"""Steps for the quarantine of requests that crash servers."""

import json
import random
from collections.abc import AsyncIterator

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import CrashSite, SuspectNotice
from briarvale.engine_client import Completion, Token
from briarvale.job_results import read_progress, read_results
from briarvale.jobs import JobRequest
from briarvale.standins.engine import CRASH_MARK
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MemoryFleet
from briarvale.suspects import MAX_ENTRIES, SuspectTable, fingerprint_of, merge_notices
from features.support.online import (
    Answer,
    ask,
    crash_busiest,
    online_request,
    run_on_fleet,
    wait_generating,
)

CRASHING_PROMPT = f"low G {CRASH_MARK}"
# Delays of the two resends after the first crash; none: while the first attempt still runs.
DELAYS_S = {
    "at once and 10 s later": (0.0, 10.0),
    "after 30 ms and 300 ms": (0.03, 0.3),
    "after 300 ms and 2 s": (0.3, 2.0),
    "while it runs and 10 s later": (None, 10.0),
}


def _crashes(fleet: MemoryFleet) -> int:
    return sum(engine.crashes for engine in fleet.backends.engines.values())


class _Callers:
    """Callers of a crashing request and of harmless ones, with the answers that they received."""

    def __init__(self, fleet: MemoryFleet) -> None:
        self.fleet = fleet
        self.crashing: list[Answer] = []
        self.harmless: list[Answer] = []

    async def send_crashing(self, vm: str, wait_ms: int = 30_000) -> None:
        """Sends the crashing request once."""
        name = f"culprit-{vm}-{random.random()}"
        request = online_request(self.fleet, name, 40, wait_ms, CRASHING_PROMPT)
        self.crashing.append(await ask(self.fleet, request, vm))

    async def send_harmless(self, index: int) -> None:
        """Sends a harmless request through one of the gateways."""
        request = online_request(self.fleet, f"i{index}", 80, 60_000)
        self.harmless.append(await ask(self.fleet, request, f"vm-{index % 3 + 1}"))


@when("a crashing request and {count:d} harmless ones run, resent {resent}, seed {seed:d}")
def when_crashing(context: Context, count: int, resent: str, seed: int) -> None:
    async def scenario(fleet: MemoryFleet) -> int:
        callers = _Callers(fleet)

        async def resend(vm: str, delay_s: float | None) -> None:
            while delay_s is not None and _crashes(fleet) == 0:
                await anyio.sleep(0.001)
            await anyio.sleep(delay_s or 0.0)
            await callers.send_crashing(vm)

        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(callers.send_harmless, index)
            await wait_generating(fleet)
            tasks.start_soon(callers.send_crashing, "vm-1")
            for vm, delay_s in zip(("vm-2", "vm-3"), DELAYS_S[resent], strict=True):
                tasks.start_soon(resend, vm, delay_s)
        context.crashing, context.harmless = callers.crashing, callers.harmless
        return _crashes(fleet)

    context.crashes = run_on_fleet(scenario, seed, engine_count=5)


@when("a request was quarantined, every VM is replaced and it is sent again")
def when_replaced(context: Context) -> None:
    async def scenario(fleet: MemoryFleet) -> int:
        callers = _Callers(fleet)
        await callers.send_crashing("vm-1")
        await anyio.sleep(2)
        async with anyio.create_task_group() as tasks:
            for vm in list(fleet.vms):
                fleet.kill_vm(vm)
            for index in range(fleet.settings.vm_count):
                fleet.start_vm(index, tasks)
            gateway = fleet.vms["vm-2"].gateway
            while not gateway.is_ready:
                await anyio.sleep(0.1)
            await anyio.sleep(5)
            await callers.send_crashing("vm-2")
            tasks.cancel_scope.cancel()
        context.crashing = callers.crashing
        return _crashes(fleet)

    context.crashes = run_on_fleet(scenario, engine_count=4)


@when("the store is down, a crashing request runs among {count:d} harmless ones and is resent")
def when_store_down(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> int:
        callers = _Callers(fleet)
        fleet.store.faults.is_down = True
        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(callers.send_harmless, index)
            await wait_generating(fleet)
            tasks.start_soon(callers.send_crashing, "vm-1")
            await anyio.sleep(10)
            await callers.send_crashing("vm-3")
        context.crashing, context.harmless = callers.crashing, callers.harmless
        return _crashes(fleet)

    context.crashes = run_on_fleet(scenario, 7, engine_count=5)


@when("a request was quarantined online and a job has it as one of {items:d} items")
def when_job(context: Context, items: int) -> None:
    prompts = [CRASHING_PROMPT, *(f"greeting {index}" for index in range(items - 1))]

    async def lines() -> AsyncIterator[bytes]:
        for prompt in prompts:
            yield json.dumps({"prompt": prompt, "max_tokens": 8}).encode()

    async def scenario(fleet: MemoryFleet) -> int:
        fingerprint = fingerprint_of(ENGINE_SERVICE, CRASHING_PROMPT)
        request = online_request(fleet, "c", 40, 30_000, CRASHING_PROMPT)._replace(
            fingerprint=fingerprint
        )
        await ask(fleet, request)
        await anyio.sleep(2)
        gateway = fleet.vms["vm-2"].gateway
        due_at_ms = fleet.clock.now_ms() + 600_000
        job_request = JobRequest("trust", "greetings", ENGINE_SERVICE, due_at_ms)
        job = await gateway.jobs.submit(job_request, lines())
        with anyio.fail_after(300):
            while not (await read_progress(fleet.store, job)).is_sealed:
                await anyio.sleep(1)
        context.results = [row async for _, row in read_results(fleet.store, job)]
        return _crashes(fleet)

    context.crashes = run_on_fleet(scenario, engine_count=4)


@then("the job's results are {texts:d} texts and one quarantined")
def then_results(context: Context, texts: int) -> None:
    codes = sorted(row.error_code for row in context.results)
    assert codes == [""] * texts + ["quarantined"], codes


@then("at most {count:d} crashes happened")
def then_crashes(context: Context, count: int) -> None:
    assert 1 <= context.crashes <= count, context.crashes


@then("every harmless request gets its complete answer")
def then_harmless(context: Context) -> None:
    broken = [(a.request.request_id, a.error) for a in context.harmless if not a.is_complete]
    assert not broken, broken


@then("each caller of the crashing request got the error quarantined, without a retry time")
def then_quarantined(context: Context) -> None:
    errors = [answer.error for answer in context.crashing]
    for error in errors:
        assert error and error["code"] == "quarantined" and error["retry_at_ms"] is None, errors


@when("a server with {count:d} streams crashes for another reason")
def when_other_crash(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> int:
        callers = _Callers(fleet)
        peaks: dict[str, int] = {}
        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(callers.send_harmless, index)
            await wait_generating(fleet)
            for name in fleet.backends.engines:
                _record_peak(fleet, name, peaks)
            await crash_busiest(fleet)
        context.harmless = callers.harmless
        return max(peaks.values())

    context.peak_run_count = run_on_fleet(scenario, engine_count=2)


def _record_peak(fleet: MemoryFleet, name: str, peaks: dict[str, int]) -> None:
    """Records how many completions that start from now on run at once on an engine, at the peak."""
    engine = fleet.backends.engines[name]
    complete = engine.complete
    running: set[str] = set()

    async def watched(completion: Completion) -> AsyncIterator[Token]:
        running.add(completion.request_id)
        peaks[name] = max(peaks.get(name, 0), len(running))
        try:
            async for token in complete(completion):
                yield token
        finally:
            running.discard(completion.request_id)

    engine.complete = watched  # type: ignore[method-assign]


@when("{count:d} copies of one request run through 3 gateways and one of their servers crashes")
def when_copies(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> int:
        peak = 0
        context.harmless = []

        async def copy(index: int) -> None:
            request = online_request(fleet, f"c{index}", 80, 60_000, "the same reed")
            context.harmless.append(await ask(fleet, request, f"vm-{index % 3 + 1}"))

        async def count_running() -> None:
            nonlocal peak
            while not context.harmless:
                engines = fleet.backends.engines.values()
                peak = max(peak, sum(engine.stream_count for engine in engines))
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as callers:
                for index in range(count):
                    callers.start_soon(copy, index)
                await wait_generating(fleet)
                await crash_busiest(fleet)
                await anyio.sleep(0.6)
                tasks.start_soon(count_running)
            tasks.cancel_scope.cancel()
        return peak

    context.peak_run_count = run_on_fleet(scenario, engine_count=3)


@then("each copy gets its complete answer, and one ran at a time until the first had finished")
def then_one_copy(context: Context) -> None:
    then_alone(context)


@then("every answer is complete, and no two suspects ran on one server at once")
def then_alone(context: Context) -> None:
    then_harmless(context)
    assert context.peak_run_count == 1, context.peak_run_count


@when("{count:d} random sets of notices are merged in two orders")
def when_merged(context: Context, count: int) -> None:
    rng = random.Random(0)
    context.pairs, context.suspects = [], SuspectTable()
    for index in range(count):
        notices = [_random_notice(rng, f"f{index}") for _ in range(6)]
        context.pairs.append((_merge_all(notices), _merge_all(notices[::-1])))
    for index in range(2 * MAX_ENTRIES):
        notice = SuspectNotice(f"t{index}", 1, False, 1_000 + index, (CrashSite("bs-1", 1),))
        context.suspects.merge(notice, 0)


def _random_notice(rng: random.Random, fingerprint: str) -> SuspectNotice:
    site = CrashSite(f"bs-{rng.randrange(2)}", rng.randrange(10) * 3_000)
    return SuspectNotice(fingerprint, 1, False, rng.randrange(100), (site,))


def _merge_all(notices: list[SuspectNotice]) -> SuspectNotice:
    entry = notices[0]
    for notice in notices[1:]:
        entry = merge_notices(entry, notice)
    return entry


@then("the entries are equal and the table stays within its bound")
def then_equal(context: Context) -> None:
    assert all(one == other for one, other in context.pairs)
    assert len(list(context.suspects)) <= MAX_ENTRIES
