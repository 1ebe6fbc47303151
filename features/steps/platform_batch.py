"""Steps for jobs of opaque items: real nodes on loopback, stand-in backend servers and store."""

import base64
import json
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.opaque_jobs import JOBS_KIND, PARTS_KIND
from features.support.platform_engine import expected_text
from features.support.platform_fleet import (
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
)
from features.support.platform_jobs import (
    ITEMS,
    JOB,
    FleetAction,
    other_than,
    read_all,
    read_page,
    run_on_fleet,
    runner_of,
    runs_of,
    submit_job,
)

LARGE_JOB_ITEM_BYTES = 100_000
LARGE_JOB_ITEMS = 15
LARGE_BODY = b"prompt" * 150_000


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
