"""Steps of forwarding while servers, configurations or the node itself change."""

import time
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.platform.node import Node
from features.support.platform_calls import (
    BODY,
    Observations,
    one_call,
    run_on_node,
)
from features.support.platform_engine import Behaviour
from features.support.platform_fleet import (
    GRACE_MS,
    MODEL,
    PLAIN,
    Caller,
    PlatformFleet,
    platform_fleet,
)


@when("malformed server entries of every kind are written")
def when_bad_entries(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        good = dict(fleet.store.kinds["servers"]["i-0"]["spec"])
        for name in good:
            fleet.store.put(
                "servers", f"without-{name}", {k: v for k, v in good.items() if k != name}
            )
            fleet.store.put("servers", f"odd-{name}", good | {name: [1.5, None]})
        for number, spec in enumerate((None, "text", [], 7, good | {"state": "asleep"})):
            fleet.store.put("servers", f"bad-{number}", spec)
        await anyio.sleep(0.2)
        await one_call("POST", "/look/a")(fleet, caller, observed)

    run_on_node(context, scenario, server_count=1)


@when("one of two servers is draining")
def when_draining(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        spec = fleet.store.kinds["servers"]["i-0"]["spec"]
        fleet.store.put("servers", "i-0", spec | {"state": "draining"})
        await anyio.sleep(0.2)
        for _ in range(6):
            answer = await caller.call("POST", "/look/a", BODY)
            assert answer is not None and answer.status == 200, answer

    run_on_node(context, scenario)


@then("only the other server gets requests")
def then_other(context: Context) -> None:
    assert [len(engine.seen) for engine in context.observed.engines] == [0, 6]


@when("a newer, an older and several malformed configurations are written")
def when_configs(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        newer = fleet.config(version=9)
        newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
        for spec in (
            newer,
            fleet.config(version=5),
            {"version": "x"},
            None,
            {"version": 11, "routes": [3]},
        ):
            fleet.store.put("config", "main", spec)
            await anyio.sleep(0.1)
        await one_call("POST", "/new/a")(fleet, caller, observed)

    run_on_node(context, scenario)


@then("the newer one stays in force")
def then_newer(context: Context) -> None:
    assert context.observed.answers[0].status == 200


@when("a node stops while a caller keeps its connection")
def when_stops(context: Context) -> None:
    stop_while_served(context, lambda node: None)


@when("a node stops that can neither hand over its jobs nor say that it leaves")
def when_stops_with_failures(context: Context) -> None:
    failing = mock.AsyncMock(side_effect=ZeroDivisionError("nobody foresaw this"))

    def break_parts(node: Node) -> None:
        assert node._runner is not None
        node._runner.drain = failing  # type: ignore[method-assign]
        node.cluster.membership.leave = failing  # type: ignore[method-assign]

    stop_while_served(context, break_parts)


def stop_while_served(context: Context, prepare: Callable[[Node], None]) -> None:
    """Stops a node while one caller is served and another keeps its connection."""

    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]
        assert node.node is not None
        prepare(node.node)
        kept_caller = Caller(node)
        first = await kept_caller.call("POST", "/look/a", BODY)
        assert first is not None and first.status == 200
        observed.engines[0].event_gap_s = 0.7
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one_call("POST", "/ask/a"), fleet, caller, observed)
            await anyio.sleep(0.3)
            started_s = time.monotonic()
            node.stop_requested.set()
            await anyio.sleep(3.1)
            refused = await kept_caller.call("POST", "/look/a", BODY)
            assert refused is not None
            observed.facts["refused"] = refused
            await node.ended.wait()
            observed.facts["ended after s"] = time.monotonic() - started_s

    async def with_both(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        observed.engines.append(await fleet.add_engine("i-plain", PLAIN))
        await scenario(fleet, caller, observed)

    run_on_node(context, with_both, server_count=1, service=MODEL)


@then("the running request gets its complete answer, and the connection then closes")
def then_stop_complete(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 200 and answer.is_whole, answer


@then("later requests on open connections are refused as not run")
def then_refused(context: Context) -> None:
    refused = context.observed.facts["refused"]
    assert refused.status == 503 and refused.json()["not_run"], refused
    assert refused.headers["connection"] == "close"


@then("the node exits within its grace period")
def then_grace(context: Context) -> None:
    assert context.observed.facts["ended after s"] < GRACE_MS / 1_000


@when("a node stops while a request waits there for the only slot, which another node's run holds")
def when_stops_waiting(context: Context) -> None:
    async def run() -> Observations:
        observed = Observations()
        async with platform_fleet(2) as fleet:
            engine = await fleet.add_engine("i-0", PLAIN, slots=1)
            engine.default_behaviour = Behaviour.HANG
            long_config = fleet.config(version=9)
            for route in long_config["routes"]:
                route["timeout_ms"] = 12_000
            fleet.store.put("config", "main", long_config)
            await anyio.sleep(0.5)
            observed.engines.append(engine)
            some_node = fleet.nodes["vm-1"].node
            assert some_node is not None
            owner = some_node.cluster.pool_owner(PLAIN)
            # The pool's owner keeps running, so that the request stays in its queue.
            node = next(other for name, other in fleet.nodes.items() if name != owner)
            holder = Caller(fleet.nodes[owner or ""])

            async def wait_there() -> None:
                answer = await Caller(node).call("POST", "/pay/b", BODY)
                assert answer is not None
                observed.answers.append(answer)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.call, "POST", "/pay/a", BODY)
                await anyio.sleep(0.3)
                tasks.start_soon(wait_there)
                await anyio.sleep(0.3)
                started_s = time.monotonic()
                node.stop_requested.set()
                await node.ended.wait()
                observed.facts["ended after s"] = time.monotonic() - started_s
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        return observed

    context.observed = anyio.run(run)


@then("the waiting request is refused as not run")
def then_waiting_refused(context: Context) -> None:
    assert context.observed.reached_count == 1, context.observed.reached_count
    answer = context.observed.answers[0]
    assert answer.status == 503 and answer.is_whole, answer
    assert answer.json()["not_run"], answer


@when("the store refuses one of two nodes, and a route and a server are added")
def when_store_refuses(context: Context) -> None:
    async def run() -> Observations:
        observed = Observations()
        async with platform_fleet(2) as fleet:
            observed.engines.append(await fleet.add_engine("i-old", PLAIN))
            fleet.store_proxies["vm-2"].is_refusing = True
            newer = fleet.config(version=9)
            newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
            fleet.store.put("config", "main", newer)
            fleet.store.remove("servers", "i-old")
            await anyio.sleep(0.2)
            observed.engines.append(
                await fleet.add_engine("i-new", PLAIN, wait_for_nodes=("vm-1",))
            )
            until_s = time.monotonic() + 4
            while time.monotonic() < until_s:
                await anyio.sleep(0.1)
                answer = await Caller(fleet.nodes["vm-2"]).call("POST", "/new/a", BODY)
                assert answer is not None
                observed.answers.append(answer)
        return observed

    context.observed = anyio.run(run)


@then("the node serves the new route at the new server within 4 s")
def then_learned(context: Context) -> None:
    # The old server's entry may merely have lapsed, so it is used until its renewal is overdue.
    for answer in context.observed.answers[-3:]:
        assert answer.status == 200, answer
        assert answer.headers["briarvale-server-signature"].startswith("i-new"), answer


@when("the same request is sent again and again, and each server that runs it crashes")
def when_crashes(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        for engine in observed.engines:
            serve = engine._answer

            async def answer(
                behaviour: Behaviour, request: Any, responder: Any, serve: Any = serve
            ) -> None:
                must_crash = request.body == b"crashes"
                await serve(Behaviour.CRASH if must_crash else behaviour, request, responder)

            engine._answer = answer  # type: ignore[method-assign]
        for _ in range(6):
            crash_answer = await Caller(fleet.nodes["vm-1"]).call("POST", "/look/a", b"crashes")
            assert crash_answer is not None
            observed.answers.append(crash_answer)
        observed.facts["crashed"] = observed.reached_count
        other = await caller.call("POST", "/look/a", b"harmless")
        assert other is not None
        observed.facts["other"] = other.status

    run_on_node(context, scenario, server_count=4)


@then("it reaches at most 3 servers and is refused as quarantined, and other requests are served")
def then_quarantined(context: Context) -> None:
    assert context.observed.facts["crashed"] <= 3, context.observed.facts
    assert context.observed.answers[-1].status == 422, context.observed.answers[-1]
    assert context.observed.facts["other"] == 200


@when("a configuration is written while watches report no changes, and the watches are cut")
def when_no_changes_reported(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        fleet.store.faults.drop_watch_events = True
        newer = fleet.config(version=9)
        newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
        fleet.store.put("config", "main", newer)
        await anyio.sleep(0.1)
        fleet.store.cut_watches()
        await anyio.sleep(1)
        await one_call("POST", "/new/a")(fleet, caller, observed)

    run_on_node(context, scenario)


@then("the configuration is in force within 1 s, though watches still report no changes")
def then_in_force_within_1_s(context: Context) -> None:
    assert context.observed.answers[0].status == 200, context.observed.answers[0]
