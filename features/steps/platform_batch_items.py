"""Steps for items that fail: real nodes on loopback, stand-in backend servers and store."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.forward_request import ForwardRequest
from briarvale.opaque_item_runner import ItemDecoder
from briarvale.opaque_jobs import OpaqueItem, OpaqueJob
from features.support.platform_engine import Behaviour, expected_text
from features.support.platform_fleet import (
    CRASH_S,
    Caller,
    PlatformFleet,
    job_body,
)
from features.support.platform_jobs import (
    DONE_SOON_TIMEOUT_S,
    DONE_TIMEOUT_S,
    ITEMS,
    SLOW_GAP_S,
    USUAL_GAP_S,
    FleetAction,
    read_all,
    read_page,
    run_on_fleet,
    runs_of,
    submit_job,
)

LONG_ITEM_EVENTS = 16
# Longer than the longest back-off between two runs of an item.
RERUN_TIMEOUT_S = 12.0


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
