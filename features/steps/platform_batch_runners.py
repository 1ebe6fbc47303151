"""Steps for jobs that end or lose their runner: real nodes on loopback, stand-ins otherwise."""

import json
from collections.abc import Callable
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.opaque_jobs import JOBS_KIND
from features.support.platform_engine import expected_text
from features.support.platform_fleet import (
    MODEL,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
)
from features.support.platform_jobs import (
    DONE_TIMEOUT_S,
    ITEMS,
    JOB,
    FleetAction,
    large_job,
    other_than,
    read_all,
    read_page,
    run_on_fleet,
    runner_of,
    runs_of,
    submit_job,
)
from features.support.platform_store import ConcurrentCreate

# The empty runner in the log entry that releases a job, escaped as in the stored object's text.
EMPTY_RUNNER = r"\"runner\": [\"\", \"\"]"


@when("a caller ends a running job twice, at a node that doesn't run it")
def when_ended(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 1.0
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        runner = await runner_of(fleet, facts)
        other = other_than(fleet, runner)
        ends = [await Caller(other).call("DELETE", f"/briarvale/lots/{JOB}") for _ in range(2)]
        facts["ends"] = [end.status for end in ends if end]
        await anyio.sleep(0.5)
        facts["running"] = sum(engine.running for engine in facts["engines"])
        runs = [len(runs_of(facts, item_id)) for item_id in ITEMS]
        await anyio.sleep(1.5)
        facts["more runs"] = [len(runs_of(facts, item_id)) for item_id in ITEMS] != runs
        facts["page"] = (await read_page(runner)).json()

    run_on_fleet(context, action)


def subscriber_of(fleet: PlatformFleet) -> FleetNode:
    """Returns a node that receives the store's changes from another node."""
    nodes = fleet.nodes.values()
    return next(n for n in nodes if n.node and n.node.cluster.feed_publisher_address() is not None)


@when("a job ends whose runner gets no answer from the store, after 4 large jobs were submitted")
def when_ended_with_silent_store(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 1.0
        runner = subscriber_of(fleet)
        other = other_than(fleet, runner)
        await submit_job(runner, job_body(ITEMS))
        await runner_of(fleet, facts)
        fleet.store_proxies[runner.name].is_silent = True
        for number in range(4):
            await submit_job(other, large_job(f"big-{number}"), f"job-big-{number}")
        await anyio.sleep(0.3)
        await Caller(other).call("DELETE", f"/briarvale/lots/{JOB}")
        ended_s = anyio.current_time()
        with anyio.fail_after(DONE_TIMEOUT_S):
            while facts["engines"][0].running_ids & set(ITEMS):
                await anyio.sleep(0.01)
        facts["stopped after s"] = anyio.current_time() - ended_s

    run_on_fleet(context, action, engines=1, slots=16)


@then("its items stop at the backend servers within 1 s")
def then_stopped_soon(context: Context) -> None:
    assert context.facts["stopped after s"] <= 1, context.facts["stopped after s"]


@then("its items stop at the backend servers and nothing more is listed")
def then_stopped(context: Context) -> None:
    facts = context.facts
    assert facts["ends"] == [200, 200]
    assert facts["running"] == 0 and not facts["more runs"], facts
    assert facts["page"]["results"] == []


def lose_runner(lose: Callable[[FleetNode], None], body: bytes = job_body(ITEMS)) -> FleetAction:
    """Returns an action: submits a job, loses its runner, and reads the results at another node."""

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.4
        await submit_job(fleet.nodes["vm-1"], body)
        runner = await runner_of(fleet, facts)
        facts["lost"] = runner.name
        lose(runner)
        facts["results"] = await read_all(other_than(fleet, runner))

    return action


@when("the node that runs a job is killed")
def when_killed(context: Context) -> None:
    run_on_fleet(context, lose_runner(FleetNode.kill), nodes=3)


@when("the node that runs a job larger than one object is killed")
def when_large_killed(context: Context) -> None:
    run_on_fleet(context, lose_runner(FleetNode.kill, large_job()), nodes=3)


@when("every node is killed while a job runs, and all but its runner start again")
def when_all_killed(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.4
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        runner = await runner_of(fleet, facts)
        for node in list(fleet.nodes.values()):
            node.kill()
            await node.ended.wait()
        for node in list(fleet.nodes.values()):
            if node is not runner:
                fleet.restart(node)
        del fleet.nodes[runner.name]
        with anyio.move_on_after(2):
            while not any(
                n.node and n.node.cluster.pools.granter(MODEL) for n in fleet.nodes.values()
            ):
                await anyio.sleep(0.02)
        nodes = [node.node for node in fleet.nodes.values() if node.node]
        facts["owners"] = sum(node.cluster.pools.granter(MODEL) is not None for node in nodes)
        facts["results"] = await read_all(next(iter(fleet.nodes.values())))

    run_on_fleet(context, action, nodes=3)


@when("every node is killed while jobs run, and all start again")
def when_all_restart(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.5
        jobs = {f"job-{name}": [f"{item}-{name}" for item in ITEMS[:2]] for name in fleet.nodes}
        for node, (job_id, items) in zip(fleet.nodes.values(), jobs.items(), strict=True):
            await submit_job(node, job_body(items), job_id)
        await runner_of(fleet, facts)
        await anyio.sleep(1)
        for node in list(fleet.nodes.values()):
            node.kill()
            await node.ended.wait()
        for node in list(fleet.nodes.values()):
            fleet.restart(node)
            await anyio.sleep(0.2)
        reader = next(iter(fleet.nodes.values()))
        for job_id, items in jobs.items():
            await read_all(reader, len(items), job_id)
        entries = fleet.store.kinds["workjobs"]
        claims = dict.fromkeys(jobs, 0)
        for name, row in entries.items():
            job_id, _, suffix = name.partition(".")
            claims[job_id] += suffix.startswith("log.") and '"runner": [' in row["spec"]["text"]
        facts["claims"] = claims
        facts["runs"] = {i: len(runs_of(facts, i)) for items in jobs.values() for i in items}

    run_on_fleet(context, action, nodes=3, engines=3)


@then("each job is claimed at most once, and no item runs more than twice")
def then_claimed_once(context: Context) -> None:
    assert max(context.facts["claims"].values()) <= 1, context.facts
    assert max(context.facts["runs"].values()) <= 2, context.facts


@when("5 nodes are killed and start again at the same moment")
def when_five_restart(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for node in list(fleet.nodes.values()):
            node.kill()
            await node.ended.wait()
        restarted = [fleet.restart(node) for node in list(fleet.nodes.values())]
        await anyio.sleep(1)
        running = [node.node for node in restarted if node.node]
        facts["owners"] = sum(node.cluster.pools.granter(MODEL) is not None for node in running)

    run_on_fleet(context, action, nodes=5, engines=1)


@then("after 1 s just one of them owns the pool")
def then_one_owner(context: Context) -> None:
    assert context.facts["owners"] == 1, context.facts["owners"]


@then("a node owns the pool within 2 s of the start")
def then_has_owner(context: Context) -> None:
    assert context.facts["owners"] >= 1


@when("the node that runs a job stops gracefully")
def when_stopped(context: Context) -> None:
    run_on_fleet(context, lose_runner(lambda node: node.stop_requested.set()), nodes=3)


def foreign_entry(spec: dict[str, Any]) -> dict[str, Any]:
    """Returns an empty log entry to be stored in place of one that releases a job."""
    entry = json.loads(spec["text"])
    entry |= {"nonce": "another", "results": [], "progress": [], "runner": None}
    return {**spec, "text": json.dumps(entry)}


@when("the node that runs a job stops gracefully just as another entry takes its log position")
def when_overtaken(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        fleet.store.faults.concurrent_create = ConcurrentCreate(
            JOBS_KIND, EMPTY_RUNNER, foreign_entry
        )
        await lose_runner(lambda node: node.stop_requested.set())(fleet, facts)
        entries = fleet.store.kinds["workjobs"].values()
        texts = [json.loads(row["spec"]["text"]) for row in entries]
        facts["handed over"] = sum(text.get("runner") == ["", ""] for text in texts)

    run_on_fleet(context, action, nodes=3)


@then("the job is released in the next entry, and another node finishes it")
def then_released(context: Context) -> None:
    assert context.facts["handed over"] == 1, context.facts
    then_finishes(context)


@then("another node finishes it")
def then_finishes(context: Context) -> None:
    results = context.facts["results"]
    assert sorted(row["id"] for row in results) == ITEMS
    assert all(row["text"] == expected_text(6) for row in results), results
