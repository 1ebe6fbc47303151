"""Steps for leases and orders."""

import itertools
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context

from briarvale.errors import BriarvaleError
from briarvale.online import OnlineRequest
from briarvale.standins.memory_fleet import ENGINE_SERVICE
from features.support.lease_schedules import run_leases
from features.support.orders_fleet import OrdersFleet
from features.support.virtual import run_virtual

FleetAction = Callable[[OrdersFleet, TaskGroup], Awaitable[None]]


def run_on_orders_fleet(context: Context, action: FleetAction) -> None:
    """Runs an action on a started fleet and stores the fleet for the checks."""

    async def run() -> OrdersFleet:
        fleet = OrdersFleet(**context.orders_options)
        async with anyio.create_task_group() as tasks:
            await fleet.start_and_wait_holder(tasks)
            await fleet.wait_settled()
            for engine in fleet.engines:
                engine.applied_orders.clear()
            fleet.min_serving_count = len(fleet.engines)
            await action(fleet, tasks)
            context.all_settled = all(fleet.is_settled(engine) for engine in fleet.engines)
            tasks.cancel_scope.cancel()
        return fleet

    context.orders_fleet = run_virtual(run)


@given(
    "{engines:d} engines with weights of {size_gb:d} GB"
    " and a weight store of {rate_gb_per_s:d} GB/s"
)
def given_weights(context: Context, engines: int, size_gb: int, rate_gb_per_s: int) -> None:
    context.orders_options = {
        "engine_count": engines,
        "size_gb": size_gb,
        "rate_gb_per_s": rate_gb_per_s,
    }


@given("{engines:d} engines")
def given_engines(context: Context, engines: int) -> None:
    context.orders_options = {"engine_count": engines}


@given("{engines:d} engines that {check} the fencing number")
def given_checking(context: Context, engines: int, check: str) -> None:
    context.orders_options = {"engine_count": engines, "checks_fencing": check == "check"}


@when("version 2 is declared")
def when_declared(context: Context) -> None:
    context.load_started_at_s = {}

    async def record_loads(fleet: OrdersFleet) -> None:
        while True:
            for engine in fleet.engines:
                if engine.version == "2":
                    name = engine.settings.name
                    context.load_started_at_s.setdefault(name, anyio.current_time())
            await anyio.sleep(0.1)

    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        tasks.start_soon(record_loads, fleet)
        await fleet.declare("2")
        await fleet.wait_settled()

    run_on_orders_fleet(context, action)


@when("other adapters are declared")
def when_adapters(context: Context) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        await fleet.declare("1", ("reeds-base", "low-g"))
        await fleet.wait_settled(30)

    run_on_orders_fleet(context, action)


@when("version 2 is declared while callers stream")
def when_streams(context: Context) -> None:
    context.request_failures = []
    context.request_count = 0

    async def stream(fleet: OrdersFleet, number: int) -> None:
        gateway = fleet.vms[f"vm-{number % 3 + 1}"].gateway
        deadline_ms = fleet.clock.now_ms() + 30_000
        request = OnlineRequest(f"r{number}", "trust", ENGINE_SERVICE, "low G", 40, deadline_ms)
        try:
            tokens = [token.token_index async for token in gateway.online.stream(request)]
            if tokens != list(range(40)):
                context.request_failures.append(tokens)
        except BriarvaleError as error:
            context.request_failures.append(error)
        context.request_count += 1

    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        await fleet.declare("2")
        async with anyio.create_task_group() as callers:
            number = 0
            while number < 100 or not all(fleet.is_settled(e) for e in fleet.engines):
                assert number < 2_000, [(e.version, e.role) for e in fleet.engines]
                callers.start_soon(stream, fleet, number)
                number += 1
                await anyio.sleep(0.2)

    run_on_orders_fleet(context, action)


@when("version 2 is declared while orders are {fate} for 30 s")
def when_orders_fail(context: Context, fate: str) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        for engine in fleet.engines:
            engine.faults.lose_orders = fate == "lost"
            engine.faults.lose_order_answers = fate != "lost"
        await fleet.declare("2")
        await anyio.sleep(30)
        for engine in fleet.engines:
            engine.faults.lose_orders = engine.faults.lose_order_answers = False
        await fleet.wait_settled()

    run_on_orders_fleet(context, action)


@when("version 2 is declared and the holder dies {delay_s:d} s later")
def when_holder_dies(context: Context, delay_s: int) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        holder = await fleet.wait_holder()
        await fleet.declare("2")
        await anyio.sleep(delay_s)
        fleet.kill_vm(holder)
        del fleet.vms[holder]
        await fleet.wait_settled()

    run_on_orders_fleet(context, action)


@when("the holder freezes while it orders version 2, and resumes after version 3 is in force")
def when_frozen(context: Context) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        holder = await fleet.wait_holder()
        await fleet.declare("2")
        await anyio.sleep(4)
        fleet.freeze(holder)
        context.orders_before = sum(len(engine.applied_orders) for engine in fleet.engines)
        await fleet.wait_holder(excluded=holder)
        await fleet.declare("3")
        await fleet.wait_settled()
        context.old_fencing_number = min(o["fencing_number"] for o in _applied_orders(fleet))
        context.new_fencing_number = max(o["fencing_number"] for o in _applied_orders(fleet))
        await _send_late_order(fleet, context.old_fencing_number)
        fleet.thaw(holder)
        await anyio.sleep(60)

    run_on_orders_fleet(context, action)


async def _send_late_order(fleet: OrdersFleet, fencing_number: int) -> None:
    """Sends version 2 with the old fencing number, as the frozen holder's pending order."""
    for engine in fleet.engines[:2]:
        order = {"fencing_number": fencing_number, "model": "reeds", "version": "2"}
        try:
            await engine.order(order | {"adapters": [], "role": "mixed"})  # type: ignore[arg-type]
        except BriarvaleError:
            continue


@when(
    "version 2 is declared and the Object API is unavailable"
    " for {outage_s:d} s from {delay_s:d} s later"
)
def when_store_unavailable(context: Context, outage_s: int, delay_s: int) -> None:
    context.orders_in_outage = []

    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        await fleet.declare("2")
        await anyio.sleep(delay_s)
        fleet.store.faults.is_down = True
        await anyio.sleep(20)
        before = len(_applied_orders(fleet))
        await anyio.sleep(outage_s - 20)
        context.orders_in_outage = _applied_orders(fleet)[before:]
        fleet.store.faults.is_down = False
        await fleet.wait_settled()

    run_on_orders_fleet(context, action)


@when("the holder stops gracefully")
def when_stops(context: Context) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        holder = await fleet.wait_holder()
        await fleet.vms[holder].controller.drain()
        stopped_at_s = anyio.current_time()
        await fleet.wait_holder(excluded=holder)
        context.handover_s = anyio.current_time() - stopped_at_s

    run_on_orders_fleet(context, action)


@when("an engine is ordered to version 9 by another client")
def when_other_client(context: Context) -> None:
    async def action(fleet: OrdersFleet, tasks: TaskGroup) -> None:
        engine = fleet.engines[0]
        order = {"fencing_number": 0, "model": "reeds", "version": "9", "adapters": []}
        await engine.order(order | {"role": "mixed"})  # type: ignore[arg-type]
        context.settle_timeout_s = 40
        await fleet.wait_settled(40)

    run_on_orders_fleet(context, action)


@when(
    "{seeds:d} seeded schedules of freezes, lost answers, late writes and outages hit 3 claimants"
)
def when_lease_schedules(context: Context, seeds: int) -> None:
    context.lease_reports = [run_leases(seed) for seed in range(1, seeds + 1)]


def _applied_orders(fleet: OrdersFleet) -> list[dict[str, object]]:
    """Returns the orders that engines applied, engine by engine."""
    return [dict(order) for engine in fleet.engines for order in engine.applied_orders]


@then("each engine loaded version 2 once, and {serving:d} of them served at any time")
def then_rolled_out(context: Context, serving: int) -> None:
    fleet = context.orders_fleet
    assert [fleet.load_count(engine) for engine in fleet.engines] == [1] * len(fleet.engines)
    assert fleet.min_serving_count >= serving, fleet.min_serving_count


@then("loads were at least {spacing_s:d} s apart")
def then_spaced(context: Context, spacing_s: int) -> None:
    started_at_s = sorted(context.load_started_at_s.values())
    gaps_s = [b - a for a, b in itertools.pairwise(started_at_s)]
    assert len(gaps_s) == 3 and min(gaps_s) >= spacing_s - 0.1, gaps_s


@then(
    "every engine has the new adapters without loading weights,"
    " and {serving:d} of them served at any time"
)
def then_adapters(context: Context, serving: int) -> None:
    fleet = context.orders_fleet
    assert [fleet.load_count(engine) for engine in fleet.engines] == [0] * len(fleet.engines)
    assert fleet.min_serving_count >= serving


@then("no request failed, and each engine loaded version 2 once")
def then_no_failure(context: Context) -> None:
    fleet = context.orders_fleet
    assert not context.request_failures, context.request_failures[:3]
    assert context.request_count >= 100
    assert [fleet.load_count(engine) for engine in fleet.engines] == [1] * len(fleet.engines)


@then("the next holder's orders have a higher fencing number, and the lease never had two holders")
def then_higher(context: Context) -> None:
    numbers = {order["fencing_number"] for order in _applied_orders(context.orders_fleet)}
    assert len(numbers) == 2, numbers
    assert context.orders_fleet.max_holder_count == 1


@then("the frozen holder's late orders were {fate}, and every engine serves version 3 in the end")
def then_late(context: Context, fate: str) -> None:
    fleet = context.orders_fleet
    assert context.old_fencing_number < context.new_fencing_number
    late = [o for o in _applied_orders(fleet) if o["version"] == "2" and o["adapters"] == []]
    assert len(late) == (0 if fate == "refused" else 2), late
    assert context.all_settled


@then("the lease never had two holders")
def then_one_holder(context: Context) -> None:
    assert context.orders_fleet.max_holder_count == 1


@then("no order was sent while no lease could be renewed")
def then_no_orders(context: Context) -> None:
    assert context.orders_in_outage == []


@then("another controller holds the lease within {bound_s:d} s")
def then_handed_over(context: Context, bound_s: int) -> None:
    assert context.handover_s <= bound_s, context.handover_s


@then("every engine serves version 1 within {bound_s:d} s")
def then_corrected(context: Context, bound_s: int) -> None:
    assert context.settle_timeout_s == bound_s
    assert context.orders_fleet.engines[0].version == "1"


@then("the lease never had two holders, and no order took effect after one with a higher epoch")
def then_leases_safe(context: Context) -> None:
    unsafe = [r for r in context.lease_reports if r.double_holdings or r.old_epochs]
    assert not unsafe, unsafe[:3]
    assert sum(report.holders for report in context.lease_reports) > len(context.lease_reports)


@then("one claimant holds the lease in the end, for at most {calls:g} store call a second")
def then_lease_cost(context: Context, calls: float) -> None:
    reports = context.lease_reports
    assert all(report.held_in_the_end == 1 for report in reports)
    assert max(report.store_calls_per_s for report in reports) <= calls
