"""Steps for single items: failing, invalid, interrupted and revoked ones."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest.mock import patch

import anyio
from behave import given, then, when
from behave.runner import Context

from briarvale.engine_client import Completion, Token
from briarvale.errors import InvalidRequest, ServerLost, ServerRefused
from briarvale.job_results import read_progress, read_results
from briarvale.jobs import JobRequest
from briarvale.online import OnlineRequest
from briarvale.shard_log import ItemResult
from briarvale.standins.engine import StandinEngine, token_text
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

ITEM_COUNT = 40
ONLINE_REQUEST_COUNT = 24
FAILING_PROMPT = "item 7"

Disturbance = Callable[[MemoryFleet], Awaitable[None]]
_complete = StandinEngine.complete


async def _crash_engine(self: StandinEngine, completion: Completion) -> AsyncIterator[Token]:
    """Crashes the engine at the first token of the failing prompt."""
    async for token in _complete(self, completion):
        if completion.prompt == FAILING_PROMPT:
            self.crash()
            raise ServerLost("crashed")
        yield token


async def _refuse_prompt(self: StandinEngine, completion: Completion) -> AsyncIterator[Token]:
    """Refuses the failing prompt, which may then be tried at another server."""
    if completion.prompt == FAILING_PROMPT:
        raise ServerRefused("status 500")
    async for token in _complete(self, completion):
        yield token


async def _refuse_invalid(self: StandinEngine, completion: Completion) -> AsyncIterator[Token]:
    """Refuses the failing prompt as an invalid request, which isn't retried."""
    if completion.prompt == FAILING_PROMPT:
        raise InvalidRequest("refused as invalid")
    async for token in _complete(self, completion):
        yield token


async def _item_lines(tokens: int) -> AsyncIterator[bytes]:
    for number in range(ITEM_COUNT):
        yield json.dumps({"prompt": f"item {number}", "max_tokens": tokens}).encode()


async def _no_disturbance(fleet: MemoryFleet) -> None:
    return


async def _interrupt_servers(fleet: MemoryFleet) -> None:
    """Takes all backend servers down for 7 s, then lets them drain for 3 s, six times."""
    for _ in range(6):
        for engine in fleet.backends.engines.values():
            engine.faults.is_down = True
        await anyio.sleep(7)
        for engine in fleet.backends.engines.values():
            engine.faults.is_down = False
            engine.faults.is_draining = True
        await anyio.sleep(3)
        for engine in fleet.backends.engines.values():
            engine.faults.is_draining = False
        await anyio.sleep(0.5)


async def _send_online_requests(fleet: MemoryFleet) -> None:
    """Sends groups of 8 online requests, each 4 s after the group before has its answers."""

    async def send(number: int) -> None:
        deadline_ms = fleet.clock.now_ms() + 30_000
        request = OnlineRequest(f"r{number}", "cyweirio", ENGINE_SERVICE, "low G", 20, deadline_ms)
        async for _ in fleet.vms["vm-1"].gateway.online.stream(request):
            pass

    for start in range(0, ONLINE_REQUEST_COUNT, 8):
        await anyio.sleep(4)
        async with anyio.create_task_group() as tasks:
            for number in range(start, start + 8):
                tasks.start_soon(send, number)


def _record_scenario(
    context: Context,
    complete: Callable[..., AsyncIterator[Token]] = _complete,
    disturb: Disturbance = _no_disturbance,
    tokens: int = 8,
    settings: FleetSettings = FleetSettings(),
) -> None:
    """Records what `when_run` needs: replaced `complete`, disturbance, tokens an item, settings."""
    context.complete, context.disturb = complete, disturb
    context.tokens, context.settings = tokens, settings


@given("a job with an item that crashes each backend server")
def given_crashing(context: Context) -> None:
    _record_scenario(context, _crash_engine, tokens=40)


@given("a job with an item that each backend server refuses")
def given_refused(context: Context) -> None:
    _record_scenario(context, _refuse_prompt)


@then("backend servers crashed {count:d} times")
def then_crashes(context: Context, count: int) -> None:
    assert sum(engine.crashes for engine in context.fleet.backends.engines.values()) == count


@given("a job with an item that engines refuse as invalid")
def given_invalid(context: Context) -> None:
    _record_scenario(context, _refuse_invalid)


@given("a job whose backend servers become unavailable again and again")
def given_interruptions(context: Context) -> None:
    _record_scenario(context, disturb=_interrupt_servers, tokens=200)


@given("a job of long items on one backend server with 8 slots")
def given_long(context: Context) -> None:
    settings = FleetSettings(engine_count=1, slots=8)
    _record_scenario(context, disturb=_send_online_requests, tokens=150, settings=settings)


@when("the job has run")
@when("online requests take its slots back")
def when_run(context: Context) -> None:
    async def run() -> MemoryFleet:
        fleet = MemoryFleet(context.settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            due_at_ms = fleet.clock.now_ms() + 600_000
            request = JobRequest("trust", "greetings", ENGINE_SERVICE, due_at_ms)
            job = await fleet.vms["vm-1"].gateway.jobs.submit(request, _item_lines(context.tokens))
            tasks.start_soon(context.disturb, fleet)
            with anyio.fail_after(3_600):
                while not (await read_progress(fleet.store, job)).is_sealed:
                    await anyio.sleep(1)
            context.results = [r async for _, r in read_results(fleet.store, job)]
            tasks.cancel_scope.cancel()
        return fleet

    with patch.object(StandinEngine, "complete", context.complete):
        context.fleet = run_virtual(run)


@then('that item has one result with the error "{code}" after {runs:d} runs')
def then_error(context: Context, code: str, runs: int) -> None:
    assert [r for r in context.results if r.item_index == 7] == [ItemResult(7, "", code)]
    engines = context.fleet.backends.engines.values()
    starts = [
        start for engine in engines for start in engine.starts if start.prompt == FAILING_PROMPT
    ]
    assert len(starts) == runs, len(starts)


@then("all other items have their complete text")
def then_others(context: Context) -> None:
    _check_texts(context, [n for n in range(ITEM_COUNT) if n != 7])


@then("all items have their complete text")
def then_all(context: Context) -> None:
    _check_texts(context, list(range(ITEM_COUNT)))


@then("the items resume after the tokens that they had received")
def then_resumed(context: Context) -> None:
    engine = context.fleet.backends.engines["bs-1"]
    resumed_runs = sum(count - 1 for count in engine.run_counts.values())
    assert resumed_runs > 0
    needed_tokens = ITEM_COUNT * context.tokens + ONLINE_REQUEST_COUNT * 20
    # A token that is in flight when the slot is revoked is generated twice.
    assert engine.tokens_generated <= needed_tokens + resumed_runs, (
        engine.tokens_generated,
        needed_tokens,
        resumed_runs,
    )


def _check_texts(context: Context, indexes: list[int]) -> None:
    texts = {r.item_index: r.text for r in context.results}
    assert len(context.results) == ITEM_COUNT
    for n in indexes:
        tokens = range(context.tokens)
        assert texts[n] == "".join(token_text(f"item {n}", k) for k in tokens), (n, texts[n])
