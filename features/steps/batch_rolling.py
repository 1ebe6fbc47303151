"""Steps for planned stops of VMs that run a job, in virtual time."""

import json
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context

from briarvale.job_results import read_progress, read_results
from briarvale.jobs import JobRequest
from briarvale.standins.engine import token_text
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from briarvale.vm_list import VmStatus
from features.support.virtual import run_virtual

ITEM_TOKENS = 60
JOB_TIMEOUT_S = 600
LEAVING_S = 30

FleetAction = Callable[[MemoryFleet, TaskGroup], Awaitable[None]]


class Outcome(NamedTuple):
    """The results of a job, and how often engines generated the first token of each item."""

    results: dict[int, str]
    first_tokens: Counter[str]


@given("a job of {items:d} items on {vms:d} VMs and {engines:d} engines, seed {seed:d}")
def given_job(context: Context, items: int, vms: int, engines: int, seed: int) -> None:
    context.item_count = items
    context.seed = seed
    context.fleet_settings = FleetSettings(vm_count=vms, engine_count=engines, seed=seed)


async def item_lines(items: int) -> AsyncIterator[bytes]:
    """Yields a job's input lines."""
    for index in range(items):
        yield json.dumps({"prompt": f"card {index}", "max_tokens": ITEM_TOKENS}).encode()


def run_job(context: Context, action: FleetAction) -> None:
    """Runs the job on a fleet, and `action` 3 s after its submission; records the outcome."""

    async def run() -> Outcome:
        fleet = MemoryFleet(context.fleet_settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            due_at_ms = fleet.clock.now_ms() + 3_600_000
            request = JobRequest("trust", "cards", ENGINE_SERVICE, due_at_ms)
            job = await fleet.vms["vm-1"].gateway.jobs.submit(
                request, item_lines(context.item_count)
            )
            await anyio.sleep(3)
            await action(fleet, tasks)
            with anyio.fail_after(JOB_TIMEOUT_S):
                while not (await read_progress(fleet.store, job)).is_sealed:
                    await anyio.sleep(1)
            results = {r.item_index: r.text async for _, r in read_results(fleet.store, job)}
            tasks.cancel_scope.cancel()
        first_tokens = sum((e.first_tokens for e in fleet.backends.engines.values()), Counter())
        return Outcome(results, first_tokens)

    context.outcome = run_virtual(run, seed=context.seed)


@when("each VM is restarted gracefully, one after the other")
def when_restarted(context: Context) -> None:
    async def action(fleet: MemoryFleet, tasks: TaskGroup) -> None:
        for index, name in enumerate(list(fleet.vms)):
            vm = fleet.vms[name]
            async with anyio.create_task_group() as draining:
                for program in (vm.dispatcher, vm.gateway, vm.batch, vm.controller):
                    draining.start_soon(program.drain)
            fleet.kill_vm(name)
            await anyio.sleep(1)
            fleet.start_vm(index, tasks)
            await anyio.sleep(3)

    run_job(context, action)


@when('the VM list marks "{vm}" as leaving and later as live again')
def when_leaving(context: Context, vm: str) -> None:
    async def action(fleet: MemoryFleet, tasks: TaskGroup) -> None:
        entries = await fleet.vm_list.fetch()
        leaving = [e._replace(status=VmStatus.LEAVING) if e.vm == vm else e for e in entries]
        fleet.vm_list.replace(tuple(leaving))
        await anyio.sleep(fleet.vm_list.lag_s + 3)
        started_before = fleet.vms[vm].batch.started_count
        await anyio.sleep(LEAVING_S)
        context.started_while_leaving = fleet.vms[vm].batch.started_count - started_before
        fleet.vm_list.replace(entries)

    run_job(context, action)


@then("every item has one result and was started once")
def then_started_once(context: Context) -> None:
    outcome: Outcome = context.outcome
    assert sorted(outcome.results) == list(range(context.item_count))
    last = context.item_count - 1
    assert outcome.results[last] == "".join(
        token_text(f"card {last}", index) for index in range(ITEM_TOKENS)
    )
    repeated = {prompt: count for prompt, count in outcome.first_tokens.items() if count > 1}
    assert not repeated, (len(repeated), list(repeated.items())[:3])


@then('"{vm}" started no item between 3 s after the list marked it and its return')
def then_none_started(context: Context, vm: str) -> None:
    assert context.started_while_leaving == 0
