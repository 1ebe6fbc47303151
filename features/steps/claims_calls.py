"""Steps of calls to plain services that run at most once."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import given, then, when
from behave.runner import Context

from features.support.claims_world import ClaimsGateway, ClaimsWorld, Reply
from features.support.virtual import run_virtual

KEY, BODY = "till-7", b'{"card": 7}'

Action = Callable[[ClaimsWorld, list[ClaimsGateway]], Awaitable[None]]


@given("two gateways in front of a register service")
def given_gateways(context: Context) -> None:
    context.claim_actions = []
    context.claim_replies = {}
    context.claim_world = None


def add_action(context: Context, function: Action) -> None:
    context.claim_actions.append(function)


def run_actions(context: Context) -> ClaimsWorld:
    """Runs the scenario's actions in virtual time, unless they have run already."""

    async def run() -> ClaimsWorld:
        world = ClaimsWorld()
        async with anyio.create_task_group() as tasks:
            gateways = [await world.start_gateway(tasks) for _ in range(2)]
            for function in context.claim_actions:
                await function(world, gateways)
            tasks.cancel_scope.cancel()
        return world

    if context.claim_world is None:
        context.claim_world = run_virtual(run)
    return context.claim_world


def send(context: Context, index: int, name: str, key: str = KEY, body: bytes = BODY) -> Action:
    """Returns an action that sends a call and stores its reply under a name."""

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        context.claim_replies[name] = await gateways[index].send(key, name, "register", body)

    return run


def wait(seconds: float) -> Action:
    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        await anyio.sleep(seconds)

    return run


@when("the first gateway is killed {moment} of a keyed call")
def when_killed(context: Context, moment: str) -> None:
    async def kill_at(gateway: ClaimsGateway, kill_point: str, store_call: str) -> None:
        if store_call == kill_point:
            gateway.kill()
            await anyio.sleep(0)

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        first = gateways[0]
        kill_points = {"after the claim": "create", "before the outcome's write": "before update"}
        if moment in kill_points:
            first.store.on_write = lambda store_call: kill_at(
                first, kill_points[moment], store_call
            )
        world.services["bs-1"].faults.latency_s = 0.2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send(context, 0, "first"), world, gateways)
            await anyio.sleep(0.1 if moment == "during the run" else 0.5)
            first.kill()

    add_action(context, run)


@when("the keyed call is sent again through the second gateway {later:g} s later")
def when_resent(context: Context, later: float) -> None:
    add_action(context, wait(later))
    add_action(context, send(context, 1, "resend"))


@when("a keyed call runs for 2 s and is sent again meanwhile through the second gateway")
def when_overlap(context: Context) -> None:
    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        world.services["bs-1"].faults.latency_s = 2.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send(context, 0, "first"), world, gateways)
            await anyio.sleep(1)
            await send(context, 1, "resend")(world, gateways)

    add_action(context, run)
    add_action(context, send(context, 1, "after the end"))


@when("a keyed call is followed by another call with the same key")
def when_reused(context: Context) -> None:
    add_action(context, send(context, 0, "first"))
    add_action(context, send(context, 1, "resend", body=b'{"card": 8}'))


@when("a keyed call is made while {fault}")
def when_refused(context: Context, fault: str) -> None:
    async def set_servers_down(world: ClaimsWorld, is_down: bool) -> None:
        for service in world.services.values():
            service.faults.is_down = is_down

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        faults = world.store.faults
        match fault:
            case "no server can be connected to":
                await set_servers_down(world, True)
            case "no slot is granted":
                world.is_overloaded = True
            case "the store is down":
                faults.is_down = True
            case "the store is down from after the claim":
                await set_servers_down(world, True)

                async def fail_store(store_call: str) -> None:
                    faults.is_down = True

                gateways[0].store.on_write = fail_store
            case _:
                # Both faults with writes that take effect late.
                faults.late_write_probability, faults.late_write_s = 1.0, 10.0
        await send(context, 0, "first")(world, gateways)
        if fault == "the store's writes take effect late, then it fails":
            faults.is_down = True
        gateways[0].store.on_write = None
        if faults.is_down and fault != "the store is down":
            await anyio.sleep(20)
        faults.is_down, faults.late_write_probability = False, 0.0
        world.is_overloaded = False
        await set_servers_down(world, False)

    add_action(context, run)


@when("the store is unavailable for 300 s during a keyed call")
def when_store_unavailable(context: Context) -> None:
    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        world.services["bs-1"].faults.latency_s = 0.2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send(context, 0, "first"), world, gateways)
            await anyio.sleep(0.1)
            world.store.faults.is_down = True
        await send(context, 1, "resend")(world, gateways)
        await anyio.sleep(300)
        world.store.faults.is_down = False
        await anyio.sleep(120)

    add_action(context, run)
    add_action(context, send(context, 1, "after the end"))


@when("the store is unavailable for 20 s during a keyed call, and its gateway stops gracefully")
def when_stops_gracefully(context: Context) -> None:
    async def restore_store(world: ClaimsWorld) -> None:
        await anyio.sleep(20)
        world.store.faults.is_down = False
        context.store_up_at_s = anyio.current_time()

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        world.services["bs-1"].faults.latency_s = 0.2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send(context, 0, "first"), world, gateways)
            await anyio.sleep(0.1)
            world.store.faults.is_down = True
            tasks.start_soon(restore_store, world)
            await anyio.sleep(2)
            await gateways[0].calls.flush()
            context.stopped_at_s = anyio.current_time()
            gateways[0].kill()

    add_action(context, run)
    add_action(context, send(context, 1, "after the end"))


@then("the gateway stopped after the store was available again")
def then_stopped(context: Context) -> None:
    run_actions(context)
    assert context.stopped_at_s >= context.store_up_at_s


@when("the answer of a keyed call is lost")
@when("the answer of a call without a key is lost")
def when_answer_lost(context: Context) -> None:
    is_keyed = "a keyed call" in context.scenario.steps[1].name

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        world.services["bs-1"].faults.lose_answers = True
        await send(context, 0, "first", KEY if is_keyed else "")(world, gateways)

    add_action(context, run)


@when("the first server of an idempotent service loses its answer, and the second is down")
@when("the first server of an idempotent service loses its answer")
def when_idempotent(context: Context) -> None:
    is_second_down = "second is down" in context.scenario.steps[1].name

    async def run(world: ClaimsWorld, gateways: list[ClaimsGateway]) -> None:
        world.services["bs-1"].faults.lose_answers = True
        world.services["bs-2"].faults.is_down = is_second_down
        reply = await gateways[0].send("", "first", "catalogue", BODY)
        context.claim_replies["first"] = reply

    add_action(context, run)


@then("the register ran the key {runs:d} times")
def then_ran(context: Context, runs: int) -> None:
    count = run_actions(context).run_count(KEY)
    assert count == runs, count


@then("the resend received {result}")
def then_resend_received(context: Context, result: str) -> None:
    run_actions(context)
    reply: Reply = context.claim_replies["resend"]
    if result == "the same answer":
        assert reply.answer is not None, reply
        assert reply.answer == context.claim_replies["first"].answer, reply
        return
    assert reply.error is not None and reply.error.code == result, reply
    if result == "in_progress":
        assert reply.error.retry_at_ms is not None


@then("a resend after the end gets the same answer")
def then_same_answer(context: Context) -> None:
    run_actions(context)
    first, last = context.claim_replies["first"], context.claim_replies["after the end"]
    assert first.answer is not None and last.answer == first.answer, last


@then("the refusal says not run, with a retry time, and the register ran nothing")
def then_refused(context: Context) -> None:
    world = run_actions(context)
    reply: Reply = context.claim_replies["first"]
    assert reply.is_not_run and reply.error is not None, reply
    assert reply.error.retry_at_ms is not None, reply.error.code
    assert world.run_count(KEY) == 0


@then("a resend through the second gateway {later:g} s later runs once")
def then_resend_runs(context: Context, later: float) -> None:
    # Runs all actions again, now with a resend at the end.
    context.claim_world = None
    add_action(context, wait(later))
    add_action(context, send(context, 1, "resend"))
    world = run_actions(context)
    reply: Reply = context.claim_replies["resend"]
    assert reply.answer is not None, (reply, getattr(reply.error, "code", ""))
    assert world.run_count(KEY) == 1 and world.attempt_run_count("first") == 0


@then("the caller still got its answer")
def then_answered(context: Context) -> None:
    run_actions(context)
    assert context.claim_replies["first"].answer is not None, context.claim_replies["first"]


@then("a resend while the store is unavailable is refused as not run")
def then_resend_refused(context: Context) -> None:
    reply: Reply = context.claim_replies["resend"]
    assert reply.is_not_run and reply.error is not None, reply
    assert run_actions(context).attempt_run_count("resend") == 0


@then("its caller gets server_lost, and it ran {runs:d} times")
def then_lost(context: Context, runs: int) -> None:
    world = run_actions(context)
    error: Any = context.claim_replies["first"].error
    assert error.code == "server_lost" and not error.not_run, error
    assert world.run_count("") == runs


@then("its caller gets the answer of the second server")
def then_second(context: Context) -> None:
    world = run_actions(context)
    assert b"bs-2" in context.claim_replies["first"].answer.body
    assert [len(service.runs) for service in world.services.values()] == [1, 1]


@when("{calls:d} keyed calls are made")
def when_many(context: Context, calls: int) -> None:
    for number in range(calls):
        add_action(context, send(context, 0, "first", f"till-{number}"))


@then("the store received {writes:d} writes and {reads:d} reads")
def then_store_calls(context: Context, writes: int, reads: int) -> None:
    calls = run_actions(context).store.calls
    assert sum(call.is_write for call in calls) == writes, len(calls)
    assert sum(not call.is_write for call in calls) == reads, len(calls)
