"""Steps for the results of a job that readers get, and how recent they are."""

import json
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.clock import Clock
from briarvale.errors import HistoryGone, StoreThrottled
from briarvale.object_feed import ChangeList, FeedChange, FeedObject, ObjectFeed, ObjectList
from briarvale.opaque_job_log_store import OpaqueJobLogStore
from briarvale.opaque_jobs import JOBS_KIND, OpaqueItem, OpaqueJob, job_log_prefix
from briarvale.shard_log import NO_RUNNER, ItemProgress, ItemResult, LogEntry, RunnerId, ShardLog
from briarvale.store_budget import StoreBudget
from features.steps.platform_feeds import LINK_S, until_known
from features.support.platform_fleet import Caller, FleetNode, PlatformFleet, job_body
from features.support.platform_jobs import (
    ITEMS,
    JOB,
    SLOW_GAP_S,
    read_all,
    read_page,
    run_on_fleet,
    submit_job,
)
from features.support.runner_fleet import time_results
from features.support.token_schedules import TokenWorld
from features.support.virtual import run_virtual

TEXT = "whole text"
LATE_S = 1.4
# Longer than a version or the end of a job takes to apply.
APPLY_S = 1.0
LATER_JOB = "job-2"
LATER_ITEMS = [f"later-{n}" for n in range(12)]
LONG_EVENTS = 6
LONG_TEXT_BYTES = 900_000
CHARACTERS = {"letters": "x", "quotes": '"', "control characters": "\x01", "umlauts": "ü"}


def texts_of(answer: Any) -> list[str]:
    """Returns the texts on a page of results."""
    return [row["text"] for row in answer.json()["results"]]


@when("a stopping node hands a result and progress over, and a node that no watch reaches is read")
def when_handed_over(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        nodes = list(fleet.nodes.values())
        await submit_job(nodes[0], job_body(ITEMS))
        await until_known(nodes)
        fleet.store.faults.drop_watch_events = True
        assert nodes[0].node is not None
        store = OpaqueJobLogStore(nodes[0].node._store, JOB)
        shard_log = ShardLog(store, StoreBudget(), job_log_prefix(JOB))
        progress = (ItemProgress(1, 3, "so far"),)
        await shard_log.append([ItemResult(0, TEXT)], progress=progress, runner=NO_RUNNER)
        facts["texts"] = [texts_of(await read_page(nodes[1]))]
        fleet.store.faults.drop_watch_events = False
        fleet.store.cut_watches()
        await anyio.sleep(LINK_S)
        facts["texts"].append(texts_of(await read_page(nodes[1])))

    run_on_fleet(context, action, engines=0)


@then("the reader gets the complete text, and the same once the feed has delivered the entry")
def then_whole(context: Context) -> None:
    assert context.facts["texts"] == [[TEXT], [TEXT]], context.facts["texts"]


@when("the store's answers on a job's log are 1.4 s late, and a result is listed meanwhile")
def when_late(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        nodes = list(fleet.nodes.values())
        await submit_job(nodes[0], job_body(ITEMS))
        await until_known(nodes)
        for proxy in fleet.store_proxies.values():
            proxy.late_path, proxy.late_s = f"/{JOB}.log.", LATE_S
        fleet.store.faults.drop_watch_events = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append_result_soon, fleet)
            path = f"/briarvale/lots/{JOB}?after=0"
            facts["answer"] = await Caller(nodes[1]).call("GET", path)

    run_on_fleet(context, action, engines=0)


async def append_result_soon(fleet: PlatformFleet) -> None:
    """Writes a log entry with a result, 0.1 s after its start."""
    await anyio.sleep(0.1)
    entry = LogEntry(0, "by-hand", (ItemResult(0, TEXT),))
    fleet.store.put(JOBS_KIND, f"{JOB}.log.000000", {"text": entry.encode().decode()})


@then("the reader isn't told that there is no result")
def then_not_empty(context: Context) -> None:
    answer = context.facts["answer"]
    assert answer.status == 503 or texts_of(answer), answer


@when("a failed submission leaves its items in the store, and another with the same id is accepted")
def when_other_items(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        nodes = list(fleet.nodes.values())
        await store_orphaned_items(nodes[0])
        facts["answer"] = await submit_job(nodes[0], job_body(ITEMS))
        path = f"/briarvale/items/{JOB}?id={ITEMS[1]}"
        facts["body"] = await Caller(nodes[1]).call("GET", path)

    run_on_fleet(context, action, engines=0)


async def store_orphaned_items(node: FleetNode) -> None:
    """Stores other items under the job's id, without the job's head object."""
    assert node.node is not None and node.node._runner is not None
    now_ms = Clock.from_system().now_ms()
    items = (OpaqueItem("other", "/lot/other", (), ""),)
    job = OpaqueJob(JOB, "h", "s", 0, now_ms, now_ms, now_ms, 3, items, runner=RunnerId("v", "b"))
    await node.node._runner._service._create_parts(job, now_ms + 5_000)


@then("the bodies are those of the accepted one")
def then_own_bodies(context: Context) -> None:
    assert context.facts["answer"].status == 202
    assert context.facts["body"].body == f"prompt of {ITEMS[1]}".encode(), context.facts["body"]


class HistorylessStore:
    """A store whose watches fail with `HistoryGone`, and which refuses all lists but the first."""

    def __init__(self) -> None:
        self.list_count = 0

    async def list_kind(self, kind: str) -> ObjectList:
        """Returns a list of one object at the first call, and raises `StoreThrottled` after it."""
        self.list_count += 1
        if self.list_count > 1:
            raise StoreThrottled("busy")
        return ObjectList((FeedObject("i-0", {"state": "draining"}, 100),), 100)

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Raises `HistoryGone`."""
        raise HistoryGone(kind)


class ListRecorder:
    """A feed's listener that keeps the last list it received."""

    def __init__(self) -> None:
        self.objects: tuple[FeedObject, ...] = ()

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Stores all objects."""
        self.objects = objects

    def apply_change(self, change: FeedChange) -> None:
        """Ignores the change."""


@when("a feed at revision 100 loses its history, and a peer offers it a list of revision 50")
def when_older(context: Context) -> None:
    async def run() -> ListRecorder:
        last_list = ListRecorder()
        feed = ObjectFeed(HistorylessStore(), "servers", last_list)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            await anyio.sleep(0.3)
            feed.offer(ObjectList((FeedObject("i-0", {"state": "ready"}, 50),), 50), "vm-2")
            tasks.cancel_scope.cancel()
        return last_list

    context.last_list = anyio.run(run)


@then("the feed keeps its newer state")
def then_unchanged(context: Context) -> None:
    assert json.dumps([row.value for row in context.last_list.objects]) == '[{"state": "draining"}]'


@when("one job is done, another one runs, and a version without their route is in force")
def when_route_removed(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        nodes = list(fleet.nodes.values())
        await submit_job(nodes[0], job_body(ITEMS))
        await read_all(nodes[0])
        facts["engines"][0].event_gap_s = SLOW_GAP_S
        await submit_job(nodes[1], job_body(LATER_ITEMS), LATER_JOB)
        config = fleet.config(version=fleet.version + 1)
        config["routes"] = [route for route in config["routes"] if route["kind"] != "batch"]
        fleet.store.put("config", "main", config)
        await anyio.sleep(APPLY_S)
        facts["statuses"] = [await statuses_at(node) for node in nodes]
        ended = await Caller(nodes[0]).call("DELETE", f"/briarvale/lots/{LATER_JOB}")
        await anyio.sleep(APPLY_S)
        runs = len(facts["engines"][0].seen)
        await anyio.sleep(APPLY_S)
        facts["ended"] = ended.status if ended else 0, len(facts["engines"][0].seen) - runs

    run_on_fleet(context, action, nodes=3, engines=1, slots=1)


async def statuses_at(node: FleetNode) -> dict[str, int]:
    """Returns the statuses of the calls about jobs at a node."""
    item = f"/briarvale/items/{LATER_JOB}?id={LATER_ITEMS[-1]}"
    calls = {
        "results": ("GET", f"/briarvale/lots/{JOB}?after=0", b"", "r1"),
        "later results": ("GET", f"/briarvale/lots/{LATER_JOB}?after=0", b"", "r2"),
        "body": ("GET", item, b"", "r3"),
        "repeat": ("POST", "/lot/", job_body(ITEMS), JOB),
        "new": ("POST", "/lot/", job_body(ITEMS), "job-new"),
        "unknown": ("GET", "/briarvale/lots/job-unknown?after=0", b"", "r4"),
    }
    statuses = {}
    for name, (method, path, body, request_id) in calls.items():
        answer = await Caller(node).call(method, path, body, request_id=request_id)
        statuses[name] = answer.status if answer else 0
    return statuses


@then("each node returns the results of both, and the body of an item that has not run")
def then_jobs_read(context: Context) -> None:
    for statuses in context.facts["statuses"]:
        read = statuses["results"], statuses["later results"], statuses["body"]
        assert read == (200, 200, 200), context.facts["statuses"]


@then("each node accepts a repeat of the jobs, and neither a new one nor an unknown one")
def then_jobs_repeated(context: Context) -> None:
    for statuses in context.facts["statuses"]:
        called = statuses["repeat"], statuses["new"], statuses["unknown"]
        assert called == (202, 404, 404), context.facts["statuses"]


@then("the second job can be ended, and no item of it runs from then on")
def then_job_ended(context: Context) -> None:
    assert context.facts["ended"] == (200, 0), context.facts["ended"]


@when("{count:d} items of a job that is due in {due_s:d} s finish one each {gap_s:g} s")
def when_finish_apart(context: Context, count: int, due_s: int, gap_s: float) -> None:
    context.times = run_virtual(time_results, count, due_s, gap_s)


@then("its results are listed in at most {entries:d} entries, each result within {age_s:g} s")
def then_grouped(context: Context, entries: int, age_s: float) -> None:
    assert context.times.entries <= entries, context.times
    assert max(context.times.ages_s) <= age_s, context.times


@then("its runner reads nothing of the job from the store")
def then_nothing_read(context: Context) -> None:
    assert context.times.reads == 0, context.times


@when("a result is listed that a node doesn't know of, and a reader asks that node for it")
def when_unknown(context: Context) -> None:
    async def run() -> None:
        world = TokenWorld(seed=1, node_count=2)
        runner, other = world.nodes
        await world.accept(runner, JOB, 1)
        await world.finish(runner, JOB, 0)
        await other.service.find(JOB)
        # Until this read is too old to answer a reader.
        await anyio.sleep(1.0)
        await world.finish(runner, JOB, 1)
        calls_before = len(world.store.calls)
        context.page = await other.service.results(JOB, 1, 0)
        read = [call.key for call in world.store.calls[calls_before:]]
        # The last read is that of the text.
        context.log_reads = len(read) - 1

    run_virtual(run)


@then("the page has the result, and the node read {count:d} entry of the log for it")
def then_read_once(context: Context, count: int) -> None:
    assert [result.item_index for result in context.page.results] == [1], context.page
    assert context.log_reads == count, context.log_reads


@when("the events of two items hold 900,000 bytes of {characters}")
def when_long_texts(context: Context, characters: str) -> None:
    character = CHARACTERS[characters]
    padding = character * (LONG_TEXT_BYTES // LONG_EVENTS // len(character.encode()))

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for engine in facts["engines"]:
            engine.padding, engine.event_count = padding, LONG_EVENTS
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS[:2]))
        facts["results"] = await read_all(fleet.nodes["vm-2"], 2)

    run_on_fleet(context, action)
    context.padding = padding


@then("both are listed as done by another node, with their complete texts")
def then_long_texts(context: Context) -> None:
    pieces = [f"piece {number}{context.padding}" for number in range(1, LONG_EVENTS + 1)]
    results = context.facts["results"]
    assert sorted(row["id"] for row in results) == ITEMS[:2]
    assert all(row["text"] == "\n".join(pieces) for row in results)
