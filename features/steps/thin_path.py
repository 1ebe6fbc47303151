"""Steps of one completion, one plain call and one job, from caller to backend server."""

import json
from collections.abc import AsyncIterator

import anyio
from behave import given, then, when
from behave.runner import Context

from briarvale.job_results import read_progress, read_results
from briarvale.jobs import JobRequest
from briarvale.online import OnlineRequest
from briarvale.plain_calls import PlainRequest
from briarvale.service_client import ServiceCall
from briarvale.standins.engine import token_text
from briarvale.standins.memory_fleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    FleetSettings,
    MemoryFleet,
)
from features.support.virtual import run_virtual


@given("a fleet of {vms:d} VMs and {engines:d} engines")
def given_fleet(context: Context, vms: int, engines: int) -> None:
    context.fleet_settings = FleetSettings(vm_count=vms, engine_count=engines)
    context.actions = {}


@when("a caller streams a completion of {tokens:d} tokens")
def when_stream(context: Context, tokens: int) -> None:
    async def action(fleet: MemoryFleet) -> list[str]:
        gateway = fleet.vms["vm-1"].gateway
        deadline_ms = fleet.clock.now_ms() + 10_000
        request = OnlineRequest("r1", "cyweirio", ENGINE_SERVICE, "low G", tokens, deadline_ms)
        return [token.text async for token in gateway.online.stream(request)]

    context.actions["stream"] = action
    context.token_count = tokens


@when("a caller makes a plain service call")
def when_call(context: Context) -> None:
    async def action(fleet: MemoryFleet) -> int:
        call = ServiceCall("POST", "lookup", b"{}", "application/json")
        deadline_ms = fleet.clock.now_ms() + 10_000
        request = PlainRequest("cyweirio", PLAIN_SERVICE, call, deadline_ms)
        return (await fleet.vms["vm-2"].gateway.plain_calls.call(request)).status

    context.actions["call"] = action


@when("a caller submits a job of {items:d} items")
def when_job(context: Context, items: int) -> None:
    async def action(fleet: MemoryFleet) -> dict[int, str]:
        gateway = fleet.vms["vm-3"].gateway
        due_at_ms = fleet.clock.now_ms() + 600_000
        request = JobRequest("trust", "greetings", ENGINE_SERVICE, due_at_ms)
        job = await gateway.jobs.submit(request, job_lines(items))
        while not (await read_progress(fleet.store, job)).is_sealed:
            await anyio.sleep(1)
        return {r.item_index: r.text async for _, r in read_results(fleet.store, job)}

    context.actions["job"] = action
    context.item_count = items


async def job_lines(items: int) -> AsyncIterator[bytes]:
    for index in range(items):
        yield json.dumps({"prompt": f"greeting {index}", "max_tokens": 8}).encode()


@then("each answer is complete and each item has one result")
def then_complete(context: Context) -> None:
    async def run() -> dict[str, object]:
        fleet = MemoryFleet(context.fleet_settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            answers = {name: await action(fleet) for name, action in context.actions.items()}
            tasks.cancel_scope.cancel()
        return answers

    answers = run_virtual(run)
    assert answers["stream"] == [token_text("low G", n) for n in range(context.token_count)]
    assert answers["call"] == 200
    expected = "".join(token_text("greeting 7", n) for n in range(8))
    assert len(answers["job"]) == context.item_count and answers["job"][7] == expected
