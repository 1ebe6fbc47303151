"""Steps of the streams of online requests."""

import random

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.standins.engine import EngineSettings
from briarvale.standins.memory_fleet import MODEL, MemoryFleet
from features.support.online import (
    Answer,
    TamperingEngine,
    ask,
    ask_all,
    crash_busiest,
    online_request,
    run_count,
    run_on_fleet,
    slots_held,
    wait_generating,
)


@when("{count:d} answers stream and the busiest engine crashes")
def when_crash(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> list[Answer]:
        async def inject_fault() -> None:
            await wait_generating(fleet)
            await crash_busiest(fleet)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject_fault)
            answers = await ask_all(fleet, [online_request(fleet, f"r{n}") for n in range(count)])
        context.runs = sum(run_count(fleet, f"r{n}") for n in range(count))
        return answers

    context.answers = run_on_fleet(scenario)


@when("{count:d} answers stream and the busiest engine is stuck")
def when_stuck(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> list[Answer]:
        async def inject_fault() -> None:
            await wait_generating(fleet)
            engines = fleet.backends.engines.values()
            max(engines, key=lambda engine: engine.stream_count).faults.is_stuck = True

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(inject_fault)
            return await ask_all(fleet, [online_request(fleet, f"r{n}") for n in range(count)])

    context.answers = run_on_fleet(scenario)


@when("an engine delivers its tokens duplicated and in reverse order")
def when_reversed(context: Context) -> None:
    async def scenario(fleet: MemoryFleet) -> list[Answer]:
        async with anyio.create_task_group() as tasks:
            engine = TamperingEngine(EngineSettings("bs-1", MODEL))
            fleet.backends.engines["bs-1"] = engine
            tasks.start_soon(engine.run)
            answers = await ask_all(fleet, [online_request(fleet, f"r{n}", 41) for n in range(5)])
            tasks.cancel_scope.cancel()
        return answers

    context.answers = run_on_fleet(scenario, engine_count=1)


@then("each caller has every token once and in order")
def then_complete(context: Context) -> None:
    assert all(answer.is_complete for answer in context.answers), context.answers


@then("the lost answers were retried")
def then_retried(context: Context) -> None:
    assert context.runs > len(context.answers)


@then("each answer ended before its deadline")
def then_in_time(context: Context) -> None:
    assert all(a.ended_ms < a.request.deadline_ms for a in context.answers)


@when("a caller closes its stream after {count:d} tokens")
def when_closed(context: Context, count: int) -> None:
    async def scenario(fleet: MemoryFleet) -> tuple[int, int]:
        in_use = (-1, -1)
        stream = fleet.vms["vm-1"].gateway.online.stream(online_request(fleet, "r1", 4_000))
        for _ in range(count):
            await anext(stream)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stream.aclose)
            await anyio.sleep(0.1)
            streams = sum(e.stream_count for e in fleet.backends.engines.values())
            in_use = (streams, slots_held(fleet))
        return in_use

    context.in_use = run_on_fleet(scenario)


@then("the engine runs nothing and no slot is held 100 ms later")
def then_freed(context: Context) -> None:
    assert context.in_use == (0, 0), context.in_use


@when("a caller of {tokens:d} tokens reads nothing and another caller requests the only slot")
def when_unread(context: Context, tokens: int) -> None:
    async def scenario(fleet: MemoryFleet) -> Answer:
        request = online_request(fleet, "slow", tokens, 600_000)
        stream = fleet.vms["vm-1"].gateway.online.stream(request)
        texts = [(await anext(stream)).text]
        await anyio.sleep(30)
        other = await ask(fleet, online_request(fleet, "other", 10, 5_000))
        context.generated = fleet.backends.engines["bs-1"].tokens_generated - len(other.tokens)
        texts += [token.text async for token in stream]
        context.slow = Answer(request, texts, None, fleet.clock.now_ms())
        return other

    context.other = run_on_fleet(scenario, engine_count=1, slots=1)


@then("the other answer is complete before its deadline")
def then_other(context: Context) -> None:
    assert context.other.is_complete, context.other.error


@then("at most {limit:d} tokens are buffered for the slow caller")
def then_bounded(context: Context, limit: int) -> None:
    read = 1
    assert context.generated <= limit + read, context.generated


@then("the slow caller gets its complete answer once it reads")
def then_slow_complete(context: Context) -> None:
    assert context.slow.is_complete


@when("every engine is stuck and a caller's deadline is {wait_ms:d} ms away")
def when_all_stuck(context: Context, wait_ms: int) -> None:
    async def scenario(fleet: MemoryFleet) -> Answer:
        for engine in fleet.backends.engines.values():
            engine.faults.is_stuck = True
        return await ask(fleet, online_request(fleet, "r1", 40, wait_ms))

    context.answer = run_on_fleet(scenario)


@then("the call fails at the deadline, with a retry time and without not_run")
def then_fails_at_deadline(context: Context) -> None:
    error, deadline_ms = context.answer.error, context.answer.request.deadline_ms
    assert context.answer.ended_ms <= deadline_ms + 10
    assert error and error["retry_at_ms"] > deadline_ms - 4_000 and not error["not_run"], error


@when("engines fail at random under {seeds:d} seeds of {count:d} requests each")
def when_random(context: Context, seeds: int, count: int) -> None:
    context.refusals = []
    for seed in range(seeds):
        context.refusals += run_on_fleet(
            lambda fleet, s=seed: _run_with_random_faults(fleet, s, count), seed
        )


async def _run_with_random_faults(
    fleet: MemoryFleet, seed: int, count: int
) -> list[tuple[bool, int]]:
    """Returns `not_run` and the number of runs of each request that failed."""
    rng = random.Random(seed)

    async def inject_fault() -> None:
        while True:
            await anyio.sleep(rng.uniform(0.05, 0.4))
            engine = rng.choice(list(fleet.backends.engines.values()))
            match rng.randrange(4):
                case 0:
                    engine.crash()
                case 1:
                    engine.faults.is_down = not engine.faults.is_down
                case 2:
                    engine.faults.fail_completions = not engine.faults.fail_completions
                case _:
                    engine.faults.is_stuck = not engine.faults.is_stuck

    refusals: list[tuple[bool, int]] = []

    async def send_one(name: str) -> None:
        await anyio.sleep(rng.uniform(0, 5))
        answer = await ask(fleet, online_request(fleet, name, 20, rng.choice((300, 2_000))))
        if answer.error:
            refusals.append((answer.error["not_run"], run_count(fleet, name)))
        else:
            assert answer.is_complete

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inject_fault)
        async with anyio.create_task_group() as callers:
            for index in range(count):
                callers.start_soon(send_one, f"r{index}")
        tasks.cancel_scope.cancel()
    return refusals


@then("every refusal with not_run has no run in the engines' records")
def then_not_run(context: Context) -> None:
    assert not [runs for not_run, runs in context.refusals if not_run and runs]


@then("some refusals said not_run and some did not")
def then_both(context: Context) -> None:
    assert {not_run for not_run, _ in context.refusals} == {True, False}
