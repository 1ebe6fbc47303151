"""Steps for the health of backend servers."""

from collections.abc import Callable

import anyio
import yaml
from behave import given, then, when
from behave.runner import Context

from briarvale._generated.messages import ServerHealth, ServerState
from briarvale.config_head import apply_config
from briarvale.standins.engine import StandinEngine
from briarvale.standins.memory_fleet import MemoryFleet
from briarvale.vm_list import VmEntry, VmStatus
from features.support.online import (
    Answer,
    Attempt,
    ask,
    ask_steadily,
    online_request,
    record_attempts,
    run_on_fleet,
)

LOAD_S = 32.0
REQUESTS_PER_S = 12.0
LONG_STREAM_TOKENS = 250


@given('steady requests on {engines:d} engines, with long streams on "{server}"')
def given_load(context: Context, engines: int, server: str) -> None:
    context.engines = engines


def _run_fault(context: Context, change: Callable[[MemoryFleet], object], at_s: float) -> None:
    """Runs the steady load; applies `change` at `at_s`, 2 s after the start of long streams."""

    async def run_load(fleet: MemoryFleet) -> tuple[list[Attempt], list[Answer], float]:
        started_at_s = anyio.current_time()
        attempts = record_attempts(fleet)
        answers: list[Answer] = []

        async def send_steadily() -> None:
            answers.extend(await ask_steadily(fleet, LOAD_S, REQUESTS_PER_S))

        async def send_long_stream(index: int) -> None:
            request = online_request(fleet, f"long{index}", LONG_STREAM_TOKENS)
            answers.append(await ask(fleet, request))

        async def apply_change() -> None:
            await anyio.sleep(at_s)
            result = change(fleet)
            if hasattr(result, "__await__"):
                await result

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_steadily)
            tasks.start_soon(apply_change)
            await anyio.sleep(at_s - 2)
            for index in range(6):
                tasks.start_soon(send_long_stream, index)
        return attempts, answers, started_at_s

    attempts, context.answers, started_at_s = run_on_fleet(run_load, engine_count=context.engines)
    context.attempts = [a._replace(at_s=a.at_s - started_at_s) for a in attempts]


@when('"{server}" leaves by {signal} at {at_s:d} s')
def when_leaves(context: Context, server: str, signal: str, at_s: int) -> None:
    def change(fleet: MemoryFleet) -> object:
        match signal:
            case "its draining answer":
                fleet.backends.engines[server].faults.is_draining = True
                return None
            case "inventory removal":
                inventory = yaml.safe_load(fleet.inventory_text())
                servers = inventory["backend_servers"]
                inventory["backend_servers"] = [s for s in servers if s["id"] != server]
                text = yaml.safe_dump(inventory)
                return apply_config(fleet.store, text, fleet.rules_text(), 1)
            case _:
                zone = "caerdydd"
                entry = VmEntry(server, "127.0.1.1", "wales", zone, VmStatus.LEAVING)
                fleet.vm_list.lag_s = 0.0
                entries = tuple(fleet._vm_entry(n) for n in range(fleet.settings.vm_count))
                fleet.vm_list.replace((*entries, entry))
                return None

    _run_fault(context, change, at_s)


def _switch_fault(
    context: Context,
    server: str,
    begin_s: float,
    end_s: float,
    switch: Callable[[StandinEngine, bool], None],
) -> None:
    """Runs the steady load while `switch` turns a fault of one engine on and off."""

    async def change(fleet: MemoryFleet) -> None:
        switch(fleet.backends.engines[server], True)
        await anyio.sleep(end_s - begin_s)
        switch(fleet.backends.engines[server], False)

    _run_fault(context, change, begin_s)


@when('"{server}" is down from {begin:d} s to {end:d} s')
def when_down(context: Context, server: str, begin: int, end: int) -> None:
    _switch_fault(context, server, begin, end, lambda e, on: setattr(e.faults, "is_down", on))


@when('"{server}" fails completions from {begin:d} s to {end:d} s')
def when_fails(context: Context, server: str, begin: int, end: int) -> None:
    _switch_fault(
        context, server, begin, end, lambda e, on: setattr(e.faults, "fail_completions", on)
    )


@when('"{server}" is {factor:d} times slower from {begin:d} s to {end:d} s')
def when_slow(context: Context, server: str, factor: int, begin: int, end: int) -> None:
    def switch(engine: StandinEngine, on: bool) -> None:
        engine.faults.slow_factor = factor if on else 1.0

    _switch_fault(context, server, begin, end, switch)


@when('"{server}" has another version from {begin:d} s to {end:d} s')
def when_version(context: Context, server: str, begin: int, end: int) -> None:
    async def change(fleet: MemoryFleet) -> None:
        # Without controllers, which would restore the version before the end.
        for vm in fleet.vms.values():
            vm.kill("controller")
        fleet.backends.engines[server].version = "2"

    _run_fault(context, change, begin)


def _sent(context: Context, server: str, begin_s: float, end_s: float) -> list[Attempt]:
    """Returns the attempts that were sent to a server in a span of time."""
    attempts = context.attempts
    return [a for a in attempts if a.server == server and begin_s <= a.at_s < end_s]


@then('"{server}" was sent nothing between {begin:d} s and the end')
def then_nothing_more(context: Context, server: str, begin: int) -> None:
    assert _sent(context, server, 0, begin), "the server was sent nothing before"
    assert not _sent(context, server, begin, LOAD_S), _sent(context, server, begin, LOAD_S)


@then('"{server}" was sent nothing between {begin:d} s and {end:d} s')
def then_nothing(context: Context, server: str, begin: int, end: int) -> None:
    assert not _sent(context, server, begin, end), _sent(context, server, begin, end)


@then('"{server}" was sent at most {count:d} requests between {begin:d} s and {end:d} s')
def then_few(context: Context, server: str, count: int, begin: int, end: int) -> None:
    assert len(_sent(context, server, begin, end)) <= count, _sent(context, server, begin, end)


@then('"{server}" was sent work between {begin:d} s and the end')
def then_work(context: Context, server: str, begin: int) -> None:
    assert _sent(context, server, begin, LOAD_S)


@then("every answer of the steady load is complete")
def then_all_whole(context: Context) -> None:
    broken = [answer for answer in context.answers if not answer.is_complete]
    assert not broken, (len(broken), broken[:3])


@when("all of {engines:d} engines owned by {vms:d} VMs fail for {seconds:d} s")
def when_all_fail(context: Context, engines: int, vms: int, seconds: int) -> None:
    async def run_load(fleet: MemoryFleet) -> list[int]:
        for engine in fleet.backends.engines.values():
            engine.faults.fail_completions = True
        ejected_counts: list[int] = []

        async def record_ejected() -> None:
            while True:
                await anyio.sleep(0.1)
                ejected_counts.extend(_ejected(vm.gateway.view) for vm in fleet.vms.values())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_ejected)
            await ask_steadily(fleet, seconds, 30)
            tasks.cancel_scope.cancel()
        return ejected_counts

    context.ejected = run_on_fleet(run_load, engine_count=engines, vm_count=vms)


def _ejected(view: object) -> int:
    """Returns how many servers are ejected in a gateway's view."""
    states = view._servers.values()  # type: ignore[attr-defined]
    return sum(state.health is ServerHealth.EJECTED for state in states)


@then("at most {count:d} servers were ejected at once in every view")
def then_bounded(context: Context, count: int) -> None:
    assert 1 <= max(context.ejected) <= count, max(context.ejected)


@when("a later rumor says draining and an older one says ready")
def when_rumors(context: Context) -> None:
    async def apply_rumors(fleet: MemoryFleet) -> ServerHealth:
        health = fleet.vms["vm-2"].dispatcher.server_health
        now_ms = fleet.clock.now_ms() + 60_000
        later = ServerState("bs-1", "", ServerHealth.DRAINING, observed_at_ms=now_ms)
        health.apply_rumor(later)
        health.apply_rumor(later._replace(health=ServerHealth.READY, observed_at_ms=now_ms - 1))
        return health.health("bs-1")

    context.health = run_on_fleet(apply_rumors)


@then("the server is draining")
def then_draining(context: Context) -> None:
    assert context.health is ServerHealth.DRAINING
