"""Steps for the retry budget."""

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.standins.memory_fleet import MemoryFleet
from features.support.online import Answer, ask, online_request, record_attempts, run_on_fleet

WARM_UP_REQUESTS = 20


@when("all engines {fault} for {seconds:d} s, at {rate:d} requests a second")
def when_outage(context: Context, fault: str, seconds: int, rate: int) -> None:
    async def scenario(fleet: MemoryFleet) -> list[Answer]:
        answers: list[Answer] = []

        async def send_one(name: str) -> None:
            answers.append(await ask(fleet, online_request(fleet, name, 10)))

        for index in range(WARM_UP_REQUESTS):
            await send_one(f"w{index}")
        answers.clear()
        for engine in fleet.backends.engines.values():
            engine.faults.is_down = fault == "are down"
            engine.faults.fail_completions = fault == "fail completions"
        attempts = record_attempts(fleet)
        async with anyio.create_task_group() as callers:
            for index in range(seconds * rate):
                callers.start_soon(send_one, f"r{index}")
                await anyio.sleep(1 / rate)
        context.attempts_per_request = len(attempts) / len(answers)
        return answers

    context.request_timeout_ms = 30_000
    context.answers = run_on_fleet(scenario)


@then("attempts per request are at most {bound:f}")
def then_attempts(context: Context, bound: float) -> None:
    assert context.attempts_per_request <= bound, context.attempts_per_request


@then("each request got its final answer within {limit_ms:d} ms, with a retry time")
def then_refused_soon(context: Context, limit_ms: int) -> None:
    for answer in context.answers:
        started_at_ms = answer.request.deadline_ms - context.request_timeout_ms
        assert answer.ended_ms - started_at_ms <= limit_ms, answer
        assert answer.error and answer.error["retry_at_ms"] > answer.ended_ms, answer
