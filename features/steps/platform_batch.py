"""Steps for jobs of opaque items: real nodes on loopback, stand-in backend servers and store."""

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.forward_request import ForwardRequest
from briarvale.opaque_item_runner import ItemDecoder
from briarvale.opaque_jobs import JOBS_KIND, PARTS_KIND, OpaqueItem, OpaqueJob
from features.support.platform_engine import Behaviour, expected_text
from features.support.platform_fleet import (
    CRASH_S,
    MODEL,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
    platform_fleet,
)
from features.support.platform_store import ConcurrentCreate

JOB = "job-1"
# The empty runner in the log entry that releases a job, escaped as in the stored object's text.
EMPTY_RUNNER = r"\"runner\": [\"\", \"\"]"
ITEMS = ["item-a", "item-b", "item-c"]
DONE_TIMEOUT_S = 25.0
# Longer than the longest back-off between two runs of an item.
RERUN_TIMEOUT_S = 12.0
DONE_SOON_TIMEOUT_S = 5.0
LONG_ITEM_EVENTS = 16
# With the slow gap between events an item gets one event per run, so it outlasts all disturbances.
SLOW_GAP_S, USUAL_GAP_S = 1.0, 0.01
LARGE_JOB_ITEM_BYTES = 100_000
LARGE_JOB_ITEMS = 15
LARGE_BODY = b"prompt" * 150_000

FleetAction = Callable[[PlatformFleet, dict[str, Any]], Awaitable[None]]


def run_on_fleet(
    context: Context, action: FleetAction, *, nodes: int = 2, engines: int = 2, slots: int = 4
) -> None:
    """Runs an action on a fleet; `context.facts` keeps what the action recorded for the checks."""

    async def run() -> dict[str, Any]:
        facts: dict[str, Any] = {}
        async with platform_fleet(nodes) as fleet:
            facts["engines"] = [
                await fleet.add_engine(f"i-{n}", MODEL, slots=slots) for n in range(engines)
            ]
            await action(fleet, facts)
            facts["ended nodes"] = [n.name for n in fleet.nodes.values() if n.ended.is_set()]
        return facts

    context.facts = anyio.run(run)


async def submit_job(node: FleetNode, body: bytes, job_id: str = JOB) -> Answer:
    """Submits a job on a new connection."""
    answer = await Caller(node).call("POST", "/lot/", body, request_id=job_id)
    assert answer is not None
    return answer


async def read_page(node: FleetNode, after: int = 0, job_id: str = JOB) -> Answer:
    """Reads a job's results on a new connection."""
    headers = {"Briarvale-Wait-Ms": "1000"}
    path = f"/briarvale/lots/{job_id}?after={after}"
    answer = await Caller(node).call("GET", path, headers=headers)
    assert answer is not None
    return answer


async def read_all(
    node: FleetNode, count: int = len(ITEMS), job_id: str = JOB
) -> list[dict[str, str]]:
    """Reads pages of results until `count` results are listed."""
    results: list[dict[str, str]] = []
    with anyio.fail_after(DONE_TIMEOUT_S):
        while len(results) < count:
            answer = await read_page(node, len(results), job_id)
            if answer.status != 200:
                await anyio.sleep(0.2)
                continue
            page = answer.json()
            assert page["total"] == count and page["next_token"] == len(results) + len(
                page["results"]
            )
            results += page["results"]
    return results


def runs_of(facts: dict[str, Any], item_id: str) -> list[Any]:
    """Returns the requests for an item that any engine received."""
    return [seen for e in facts["engines"] for seen in e.seen if seen.request_id == item_id]


async def runner_of(fleet: PlatformFleet, facts: dict[str, Any]) -> FleetNode:
    """Waits until an item of a job runs, and returns the node that runs the job."""
    with anyio.fail_after(DONE_TIMEOUT_S):
        while True:
            for node in fleet.nodes.values():
                runner = node.node._runner if node.node else None
                if runner and runner.running_count and any(e.running for e in facts["engines"]):
                    return node
            await anyio.sleep(0.01)


def other_than(fleet: PlatformFleet, node: FleetNode) -> FleetNode:
    """Returns the first node that isn't the given one."""
    return next(other for other in fleet.nodes.values() if other is not node)


@when("a caller submits a job to two nodes at once and reads it at both")
def when_submitted_twice(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        nodes = list(fleet.nodes.values())
        answers: list[Answer] = []

        async def send(node: FleetNode) -> None:
            answers.append(await submit_job(node, job_body(ITEMS)))

        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(send, node)
        path = f"/briarvale/items/{JOB}?id=item-b"
        body = await Caller(nodes[1]).call("GET", path)
        facts["body"] = body
        facts["statuses"] = [answer.status for answer in answers]
        facts["lists"] = [await read_all(node) for node in nodes]

    run_on_fleet(context, action)


@then("both accept it, each item runs once, and both list the same results in the same positions")
def then_same_results(context: Context) -> None:
    facts = context.facts
    assert facts["statuses"] == [202, 202]
    assert facts["lists"][0] == facts["lists"][1]
    assert sorted(row["id"] for row in facts["lists"][0]) == ITEMS
    for row in facts["lists"][0]:
        assert row["state"] == "done" and row["text"] == expected_text(6), row
    for item_id in ITEMS:
        runs = runs_of(facts, item_id)
        assert len(runs) == 1, (item_id, len(runs))
        assert runs[0].body == f"prompt of {item_id}".encode()
        assert runs[0].target == f"/lot/{item_id}".encode()
        assert runs[0].header(b"host") == "desk.example"


@then("the bodies of items come back byte for byte before the end")
def then_bodies(context: Context) -> None:
    body = context.facts["body"]
    assert body.status == 200 and body.body == b"prompt of item-b", body


@when("items can never be done, fail at each run, or fail once")
def when_items_fail(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        engine = facts["engines"][0]
        serve = engine._answer
        failures = {"item-a": Behaviour.UNPROCESSABLE, "item-b": Behaviour.FAIL}

        async def answer(behaviour: Behaviour, seen: Any, responder: Any) -> None:
            chosen = behaviour
            if seen.request_id == "item-c" and len(runs_of(facts, "item-c")) == 1:
                chosen = Behaviour.FAIL
            await serve(failures.get(seen.request_id, chosen), seen, responder)

        engine._answer = answer
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        facts["results"] = await read_all(fleet.nodes["vm-2"])

    run_on_fleet(context, action, engines=1)


@then("the first two are dead-lettered after 1 and 3 runs, and the third is done")
def then_dead_lettered(context: Context) -> None:
    states = {row["id"]: row["state"] for row in context.facts["results"]}
    assert states == {"item-a": "dead_lettered", "item-b": "dead_lettered", "item-c": "done"}
    counts = [len(runs_of(context.facts, item_id)) for item_id in ITEMS]
    assert counts == [1, 3, 2], counts


@when("the backend server breaks off an item midway")
def when_broken_off(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        facts["engines"][0].behaviours.append(Behaviour.BREAK_MIDWAY)
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS[:1]))
        facts["results"] = await read_all(fleet.nodes["vm-1"], 1)

    run_on_fleet(context, action, engines=1)


@then("its text is complete and the second run resumed after the last event")
def then_resumed(context: Context) -> None:
    assert context.facts["results"][0]["text"] == expected_text(6)
    last_event_ids = [seen.header(b"last-event-id") for seen in runs_of(context.facts, "item-a")]
    assert last_event_ids == ["", "3"], last_event_ids


def item_with_failures(*behaviours: Behaviour) -> FleetAction:
    """Returns an action: submits a job of one item, whose first runs fail with `behaviours`."""

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        shared_behaviours = facts["engines"][0].behaviours
        shared_behaviours.extend(behaviours)
        for engine in facts["engines"]:
            engine.behaviours = shared_behaviours
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS[:1]))
        facts["results"] = await read_all(fleet.nodes["vm-1"], 1)
        await anyio.sleep(0.2)
        facts["running"] = sum(engine.running for engine in facts["engines"])

    return action


@when("the backend server that runs an item stops sending")
def when_hangs(context: Context) -> None:
    run_on_fleet(context, item_with_failures(Behaviour.HANG), nodes=1)


@when("the backend server that runs an item sends bytes that form no event")
def when_no_event(context: Context) -> None:
    run_on_fleet(context, item_with_failures(Behaviour.SEND_NO_EVENT), nodes=1)


@when("two backend servers crash while they run the same item")
def when_two_crash(context: Context) -> None:
    run_on_fleet(context, item_with_failures(Behaviour.CRASH, Behaviour.CRASH), nodes=1, engines=3)


@then("the item is done by the other server")
def then_other_server(context: Context) -> None:
    assert context.facts["results"][0]["text"] == expected_text(6), context.facts["results"]
    assert context.facts["running"] == 0


async def crash_running_servers(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
    """Crashes the backend servers that run an item, after its first event."""
    await anyio.sleep(0.05)
    for engine in facts["engines"]:
        if engine.running:
            engine.crashed.set()
    await anyio.sleep(CRASH_S)


async def occupy_slots(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
    """Sends an online request per engine; their callers disconnect after 0.5 s."""

    async def send_request() -> None:
        await Caller(fleet.nodes["vm-1"]).call(
            "POST", "/go-on/a", b"online", disconnect_after_s=0.5
        )

    async with anyio.create_task_group() as tasks:
        for _ in facts["engines"]:
            tasks.start_soon(send_request)


async def _wait_next_run(facts: dict[str, Any], earlier_runs: int) -> None:
    """Waits until the item runs again after `earlier_runs` runs."""
    while len(runs_of(facts, ITEMS[0])) <= earlier_runs or not any(
        engine.running for engine in facts["engines"]
    ):
        await anyio.sleep(0.01)


def disturbed_item(*disturbances: FleetAction) -> FleetAction:
    """Returns an action: submits a job of one item, and disturbs the item in each of its runs.

    If it isn't running again within `RERUN_TIMEOUT_S`, the remaining disturbances are skipped.
    """

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_count, engine.event_gap_s = LONG_ITEM_EVENTS, SLOW_GAP_S
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS[:1]))
        facts["disturbed"], facts["disturbances"] = 0, len(disturbances)
        for disturb in disturbances:
            with anyio.move_on_after(RERUN_TIMEOUT_S) as waiting:
                await _wait_next_run(facts, facts["disturbed"])
            if waiting.cancelled_caught:
                break
            await disturb(fleet, facts)
            facts["disturbed"] += 1
        for engine in facts["engines"]:
            engine.event_gap_s = USUAL_GAP_S
        facts["results"] = []
        with anyio.move_on_after(DONE_SOON_TIMEOUT_S):
            facts["results"] = await read_all(fleet.nodes["vm-1"], 1)

    return action


@when("the backend server that runs an item crashes, 5 times in a row")
def when_five_crash(context: Context) -> None:
    run_on_fleet(context, disturbed_item(*[crash_running_servers] * 5), nodes=1, engines=3)


@when(
    "the backend server that runs an item crashes twice, and online requests take its slot 4 times"
)
def when_crash_and_revoke(context: Context) -> None:
    disturbances = [crash_running_servers] * 2 + [occupy_slots] * 4
    run_on_fleet(context, disturbed_item(*disturbances), nodes=1, slots=1)


@then("the item is done within 5 s of the last disturbance")
def then_done_after_disturbances(context: Context) -> None:
    facts = context.facts
    run_count = len(runs_of(facts, ITEMS[0]))
    details = (facts["results"], f"disturbed {facts['disturbed']} times", f"{run_count} runs")
    assert [row["text"] for row in facts["results"]] == [expected_text(LONG_ITEM_EVENTS)], details
    assert facts["disturbed"] == facts["disturbances"] and run_count > facts["disturbed"], details


@when("a server breaks an item off while another item fills the only other server for 15 s")
def when_others_full(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node, engines = fleet.nodes["vm-1"], facts["engines"]
        for engine in engines:
            engine.event_count, engine.event_gap_s = LONG_ITEM_EVENTS, SLOW_GAP_S
        await submit_job(node, job_body(ITEMS[1:2]), "job-long")
        with anyio.fail_after(DONE_TIMEOUT_S):
            while not any(engine.running for engine in engines):
                await anyio.sleep(0.01)
        free = next(engine for engine in engines if not engine.running)
        free.behaviours.append(Behaviour.BREAK_AT_ONCE)
        free.event_gap_s = USUAL_GAP_S
        await submit_job(node, job_body(ITEMS[:1]))
        facts["results"] = []
        with anyio.move_on_after(DONE_SOON_TIMEOUT_S):
            facts["results"] = await read_all(node, 1)
        facts["long runs"] = len(runs_of(facts, ITEMS[1]))

    run_on_fleet(context, action, nodes=1, slots=1)


@then("the item is done within 5 s")
def then_done_soon(context: Context) -> None:
    facts = context.facts
    details = (facts["results"], f"{len(runs_of(facts, ITEMS[0]))} runs")
    assert [row["text"] for row in facts["results"]] == [expected_text(LONG_ITEM_EVENTS)], details
    assert facts["long runs"] == 1, facts


class FaultyDecoder:
    """A decoder that fails for one item.

    Args:
        decoder: Builds the requests of all other items.
        faulty_id: The item whose request can't be built.
    """

    def __init__(self, decoder: ItemDecoder, faulty_id: str) -> None:
        self._decoder = decoder
        self._faulty_id = faulty_id

    def item_request(self, job: OpaqueJob, item: OpaqueItem, body: bytes) -> ForwardRequest:
        """Builds an item's request; raises `ValueError` for the faulty item."""
        if item.id == self._faulty_id:
            raise ValueError("this item's request can't be built")
        return self._decoder.item_request(job, item, body)


@when("the request of one item of a job can't be built")
def when_faulty_item(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node = fleet.nodes["vm-1"]
        assert node.node is not None and node.node._runner is not None
        items = node.node._runner._items
        items._decoder = FaultyDecoder(items._decoder, ITEMS[1])
        for engine in facts["engines"]:
            engine.event_gap_s = 0.3
        await submit_job(node, job_body(ITEMS))
        facts["results"] = []
        with anyio.move_on_after(DONE_SOON_TIMEOUT_S):
            while len(facts["results"]) < len(ITEMS) - 1:
                page = (await read_page(node, len(facts["results"]))).json()
                facts["results"] += page["results"]

    run_on_fleet(context, action, nodes=1)


@then("the other items are done within 5 s, after one run each")
def then_others_done(context: Context) -> None:
    facts = context.facts
    others = [ITEMS[0], ITEMS[2]]
    runs = {item_id: len(runs_of(facts, item_id)) for item_id in others}
    assert sorted(row["id"] for row in facts["results"]) == others, (facts["results"], runs)
    assert all(row["text"] == expected_text(6) for row in facts["results"]), facts["results"]
    assert runs == dict.fromkeys(others, 1), runs


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


def large_job(prefix: str = "item") -> bytes:
    """Returns the body of a job of 1.5 MB."""
    rows = json.loads(job_body([f"{prefix}-{name}" for name in "abc"]))
    for row in rows["items"]:
        row["body"] = base64.b64encode(bytes(400_000)).decode()
    return json.dumps(rows).encode()


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


@when("a job that does not exist is read, with the store up and then down")
def when_unknown(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node = fleet.nodes["vm-1"]
        first = await read_page(node, job_id="nothing")
        fleet.store.faults.refuse_status = 503
        second = await read_page(node, job_id="nothing")
        facts["statuses"] = [first.status, second.status]

    run_on_fleet(context, action, nodes=1, engines=1)


@then("the answers are 404 and 503")
def then_unknown(context: Context) -> None:
    assert context.facts["statuses"] == [404, 503], context.facts["statuses"]


@when("the store refuses every write while a job is submitted")
def when_refused(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        fleet.store.faults.refused_verbs = {b"POST", b"PUT"}
        fleet.store.faults.refuse_status = 429
        body, headers = job_body(ITEMS), {"Briarvale-Deadline-Ms": "1500"}
        caller = Caller(fleet.nodes["vm-1"])
        facts["answer"] = await caller.call("POST", "/lot/", body, request_id=JOB, headers=headers)
        fleet.store.faults.refuse_status = 0
        await anyio.sleep(0.5)
        facts["stored"] = fleet.store.names("workjobs")

    run_on_fleet(context, action, nodes=1, engines=1)


@then("the caller gets 503 and nothing of the job is stored")
def then_refused(context: Context) -> None:
    answer = context.facts["answer"]
    assert answer.status == 503 and "retry-after" in answer.headers, answer
    assert context.facts["stored"] == []


@when("the store writes a job's {stored_object} and loses the answer")
def when_answer_lost(context: Context, stored_object: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        fleet.store.faults.lose_kind = {"head": JOBS_KIND, "items": PARTS_KIND}[stored_object]
        fleet.store.faults.lose_next_writes = 1
        facts["answer"] = await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        facts["results"] = await read_all(fleet.nodes["vm-1"])

    run_on_fleet(context, action, nodes=1)


@then("the caller gets 202 and the job is done")
def then_accepted(context: Context) -> None:
    assert context.facts["answer"].status == 202
    assert len(context.facts["results"]) == len(ITEMS)


@when("the store is unavailable for 4.5 s while a job runs")
def when_store_away(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.1
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        await runner_of(fleet, facts)
        fleet.store.faults.refuse_status = 503
        await anyio.sleep(4.5)
        fleet.store.faults.refuse_status = 0
        facts["results"] = await read_all(fleet.nodes["vm-2"])

    run_on_fleet(context, action)


@then("the job is done, and no node has ended")
def then_survived(context: Context) -> None:
    assert len(context.facts["results"]) == len(ITEMS)
    assert context.facts["ended nodes"] == []


@when("40 readers poll a node that the store refuses for 4 s while it runs a job")
def when_polled(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.event_gap_s = 0.2
        node = fleet.nodes["vm-1"]
        await submit_job(node, job_body(ITEMS))
        await runner_of(fleet, facts)

        async def poll() -> None:
            while True:
                await read_page(node)
                await anyio.sleep(0.3)

        async with anyio.create_task_group() as tasks:
            fleet.store_proxies["vm-1"].is_refusing = True
            for _ in range(40):
                tasks.start_soon(poll)
            await anyio.sleep(4)
            fleet.store_proxies["vm-1"].is_refusing = False
            started_s = anyio.current_time()
            while len(fleet.store.names("workjobs")) < 2:
                await anyio.sleep(0.02)
            facts["listed after s"] = anyio.current_time() - started_s
            tasks.cancel_scope.cancel()

    run_on_fleet(context, action, nodes=1)


@then("the results are listed within 3 s of the end of the outage")
def then_listed_soon(context: Context) -> None:
    assert context.facts["listed after s"] <= 3, context.facts["listed after s"]


@when("a caller submits a job with an item of 900 kB")
def when_large_item(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        rows = json.loads(job_body(ITEMS))
        rows["items"][1]["body"] = base64.b64encode(LARGE_BODY).decode()
        facts["answer"] = await submit_job(fleet.nodes["vm-1"], json.dumps(rows).encode())
        path = f"/briarvale/items/{JOB}?id={ITEMS[1]}"
        facts["body"] = await Caller(fleet.nodes["vm-2"]).call("GET", path)

    run_on_fleet(context, action, engines=0)


@then("it is accepted and the body comes back complete")
def then_large_item(context: Context) -> None:
    assert context.facts["answer"].status == 202, context.facts["answer"]
    assert context.facts["body"].body == LARGE_BODY


@when("a caller submits a job of 1.5 MB")
def when_large_job(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        rows = json.loads(job_body([f"item-{n}" for n in range(LARGE_JOB_ITEMS)]))
        for number, row in enumerate(rows["items"]):
            row["body"] = base64.b64encode(bytes([number]) * LARGE_JOB_ITEM_BYTES).decode()
        facts["answer"] = await submit_job(fleet.nodes["vm-1"], json.dumps(rows).encode())
        path = f"/briarvale/items/{JOB}?id=item-7"
        facts["body"] = await Caller(fleet.nodes["vm-2"]).call("GET", path)
        facts["results"] = await read_all(fleet.nodes["vm-2"], LARGE_JOB_ITEMS)

    run_on_fleet(context, action)


@then("it is done and its bodies come back complete")
def then_large_job(context: Context) -> None:
    facts = context.facts
    assert facts["answer"].status == 202
    assert facts["body"].body == bytes([7]) * LARGE_JOB_ITEM_BYTES
    assert all(row["state"] == "done" for row in facts["results"])


@when("malformed jobs of every kind are submitted")
def when_malformed(context: Context) -> None:
    bodies = [
        b"",
        b"[]",
        b'{"items": 3}',
        b'{"items": []}',
        b'{"items": [{"id": "a"}]}',
        b'{"items": [{"id": "a", "path": "/lot/a", "body": "%%%"}]}',
        json.dumps({"items": [{"id": "a", "path": "/lot/a"}] * 201}).encode(),
    ]

    run_on_fleet(context, refused_jobs(bodies), nodes=1, engines=1)


@when("jobs with an id, path or header that can't be sent are submitted")
def when_unsendable(context: Context) -> None:
    valid_item: dict[str, Any] = {"id": "item-a", "path": "/lot/a"}
    invalid_fields: list[dict[str, Any]] = [
        {"id": 7},
        {"id": "a\nb"},
        {"id": "\ud800"},
        {"path": 7},
        {"path": "/lot/a b"},
        {"path": ""},
        {"headers": {"X-Note": "a\r\nX-Other: b"}},
        {"headers": {"X Note": "a"}},
    ]
    bodies = [
        json.dumps({"items": [valid_item | {"id": "item-b"}, valid_item | field]}).encode()
        for field in invalid_fields
    ]
    run_on_fleet(context, refused_jobs(bodies), nodes=1, engines=1)


def refused_jobs(bodies: list[bytes]) -> FleetAction:
    """Returns an action: submits jobs, each of which should be refused."""

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        facts["answers"] = [await submit_job(fleet.nodes["vm-1"], body) for body in bodies]
        facts["stored"] = fleet.store.names("workjobs")

    return action


@then("each is answered 400 with the field's name, and nothing is stored")
def then_malformed(context: Context) -> None:
    for answer in context.facts["answers"]:
        assert answer.status == 400 and "items" in answer.json()["message"], answer
    assert context.facts["stored"] == []


# JSON escapes a quote to two bytes in the log entry, and those to four in the stored object.
QUOTES = '"' * 9_600
QUOTE_ITEMS = [f"item-{number}" for number in range(8)]


@when("8 items are done at once whose texts are quotes only, 1.8 MB as they are stored")
def when_quotes(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.padding = QUOTES
        await submit_job(fleet.nodes["vm-1"], job_body(QUOTE_ITEMS))
        facts["results"] = await read_all(fleet.nodes["vm-1"], len(QUOTE_ITEMS))

    run_on_fleet(context, action, nodes=1)


@then("all 8 are listed as done")
def then_quotes(context: Context) -> None:
    assert len(context.facts["results"]) == len(QUOTE_ITEMS)
    assert all(row["state"] == "done" for row in context.facts["results"])


@when("the node that runs 8 items whose texts are all quotes stops gracefully after 5 of 6 events")
def when_quotes_stopped(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.padding = QUOTES
            engine.event_gap_s = 0.5
        await submit_job(fleet.nodes["vm-1"], job_body(QUOTE_ITEMS))
        runner = await runner_of(fleet, facts)
        await anyio.sleep(2.3)
        runner.stop_requested.set()
        facts["results"] = await read_all(other_than(fleet, runner), len(QUOTE_ITEMS))
        entries = fleet.store.kinds["workjobs"].values()
        texts = [json.loads(row["spec"]["text"]) for row in entries]
        facts["handed over"] = sum(text.get("runner") == ["", ""] for text in texts)

    run_on_fleet(context, action, nodes=2)


@then("the job is released and another node lists all 8")
def then_quotes_released(context: Context) -> None:
    assert context.facts["handed over"] == 1, context.facts["handed over"]
    then_quotes(context)
