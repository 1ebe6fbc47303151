"""Steps for the feeds that nodes share: real nodes and a stand-in store, on loopback."""

import base64
import json
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import FeedRow, FeedSubscribe, FeedUpdate, Message
from briarvale.errors import WatchInterrupted
from briarvale.feed_publisher import MAX_UPDATE_BYTES, FeedPublisher
from briarvale.feed_source import FeedSource
from briarvale.object_feed import ChangeList, ObjectFeed, ObjectList
from briarvale.opaque_jobs import JOBS_KIND, JobDirectory
from briarvale.peer import PeerAddress, PeerIdentity, TcpTransport
from briarvale.publisher_link import PublisherLink
from briarvale.shard_log import ItemResult, LogEntry
from briarvale.vm_list import VmEntry, VmStatus
from features.support.platform_engine import expected_text
from features.support.platform_fleet import Caller, FleetNode, PlatformFleet, free_port, job_body
from features.support.platform_jobs import (
    ITEMS,
    JOB,
    read_all,
    read_page,
    run_on_fleet,
    runner_of,
    submit_job,
)

CHANGES = 5
VM_ENTRIES = 40
# Nodes connect to the publisher within this time of discovering each other.
LINK_S = 1.5
IN_FORCE_TIMEOUT_S = 6.0
KNOWN_TIMEOUT_S = 4.0
# A node that has been up for longer does not wait for the publisher's list.
STARTED_S = 1.2
# A result that a node returned this long ago must not be denied by any node.
SETTLE_S = 1.0
READ_FOR_S = 3.0
JOBS_PATH = "/briarvale/objects/workjobs"
DRAINS_PATH = "/briarvale/objects/retirements"
# A node that joins does no work for others in its first seconds.
JOIN_TIMEOUT_S = 10.0


def publisher_node(fleet: PlatformFleet) -> FleetNode:
    """Returns the node that is the publisher: it watches the store for the others."""
    nodes = [node for node in fleet.nodes.values() if node.node]
    return next(
        node for node in nodes if node.node and node.node.cluster.feed_publisher_address() is None
    )


def version_of(node: FleetNode) -> int:
    """Returns the version of the configuration in force at a node."""
    table = node.node.routes.table if node.node else None
    return table.version if table else 0


async def apply_next_version(fleet: PlatformFleet, nodes: list[FleetNode]) -> float:
    """Writes the next version and returns the seconds until it is in force on these nodes."""
    fleet.version += 1
    fleet.store.put("config", "main", fleet.config())
    since_s = anyio.current_time()
    with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
        while any(version_of(node) < fleet.version for node in nodes):
            await anyio.sleep(0.01)
    return anyio.current_time() - since_s


@when("5 nodes of a zone run for a while and the configuration changes 5 times")
def when_changes(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        nodes = list(fleet.nodes.values())
        await anyio.sleep(LINK_S)
        # Ends the watches that began before the nodes had a publisher.
        await apply_next_version(fleet, nodes)
        before = {name: proxy.watch_calls for name, proxy in fleet.store_proxies.items()}
        facts["took_s"] = [await apply_next_version(fleet, nodes) for _ in range(CHANGES)]
        facts["calls"] = [
            proxy.watch_calls - before[name] for name, proxy in fleet.store_proxies.items()
        ]

    run_on_fleet(context, action, nodes=5, engines=1)


@then("each change is in force everywhere within 1 s")
def then_in_force(context: Context) -> None:
    assert max(context.facts["took_s"]) <= 1.0, context.facts["took_s"]


@then("the watches of 4 nodes make no call to the store")
def then_one_watches(context: Context) -> None:
    assert sorted(context.facts["calls"])[:4] == [0] * 4, context.facts["calls"]


def link_of(node: FleetNode) -> PublisherLink | None:
    """Returns a node's connection to the publisher."""
    assert node.node is not None
    return node.node.feed_source.link


@when("4 nodes are subscribed to a publisher, and none of their own watches has ended")
def when_idle(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(2.5)
        publisher = publisher_node(fleet)
        links = [link_of(node) for node in fleet.nodes.values() if node is not publisher]
        facts["held"] = [link is not None and not link.is_closed for link in links]

    run_on_fleet(context, action, nodes=5, engines=1)


@then("all of them still have their first connection to it 2.5 s later")
def then_held(context: Context) -> None:
    assert context.facts["held"] == [True] * 4, context.facts["held"]


@when(
    "a configuration with 2,000 more routes is written while 4 nodes are subscribed to a publisher"
)
def when_large(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        nodes = list(fleet.nodes.values())
        await apply_next_version(fleet, nodes)
        publisher = publisher_node(fleet)
        assert publisher.node is not None and publisher.node.cluster.publisher is not None
        sent = record_update_sizes(publisher.node.cluster.publisher)
        routes = fleet.config()["routes"]
        more = [routes[0] | {"name": f"n-{n}", "path_prefix": f"/n-{n}/"} for n in range(2_000)]
        fleet.version += 1
        fleet.store.put("config", "main", fleet.config(routes=routes + more))
        since_s = anyio.current_time()
        with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
            while any(version_of(node) < fleet.version for node in nodes):
                await anyio.sleep(0.01)
        facts["took_s"] = anyio.current_time() - since_s
        facts["largest"] = max(sent, default=0)

    run_on_fleet(context, action, nodes=5, engines=1)


def record_update_sizes(publisher: FeedPublisher) -> list[int]:
    """Records the size of each change that a publisher forwards."""
    sizes: list[int] = []
    for published in publisher._kinds.values():
        for subscriber in published.subscribers:
            subscriber.notify = _recording(subscriber.notify, sizes)  # type: ignore[method-assign]
    return sizes


def _recording(notify: Callable[[Message], None], sizes: list[int]) -> Callable[[Message], None]:
    def record(message: Message) -> None:
        if isinstance(message, FeedUpdate):
            sizes.append(sum(len(row.value) for row in message.rows))
        notify(message)

    return record


@then("all nodes have it in force within 3 s, and the publisher forwarded no change that large")
def then_large_in_force(context: Context) -> None:
    assert context.facts["took_s"] <= 3.0, context.facts["took_s"]
    assert context.facts["largest"] <= MAX_UPDATE_BYTES, context.facts["largest"]


@when("a job is done while 4 nodes are subscribed to a publisher")
def when_job(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        # Ends the watches that began before the nodes had a publisher.
        fleet.store.put("workjobs", "wake", {"text": ""})
        await anyio.sleep(0.5)
        await submit_job(next(iter(fleet.nodes.values())), job_body(ITEMS))
        runner = await runner_of(fleet, facts)
        publisher = publisher_node(fleet)
        await read_all(runner)
        await anyio.sleep(0.5)
        others = [n for n in fleet.nodes.values() if n not in (runner, publisher) and n.node]
        known = [node.node.jobs.get(JOB) for node in others if node.node]
        facts["known"] = [len(job.results) for job in known if job]
        facts["texts"] = ["".join(r.text for r in job.results) for job in known if job]
        facts["read"] = [await read_all(node) for node in others]

    run_on_fleet(context, action, nodes=5)


@then("the nodes that did not run it know its results without texts")
def then_digests(context: Context) -> None:
    assert context.facts["known"] and set(context.facts["known"]) == {len(ITEMS)}
    assert set(context.facts["texts"]) == {""}, context.facts["texts"]


@then("a reader at each of them gets the texts")
def then_texts(context: Context) -> None:
    for rows in context.facts["read"]:
        assert sorted(row["id"] for row in rows) == ITEMS
        assert all(row["text"] == expected_text(6) for row in rows), rows


def kill_and_restart(count: int) -> Callable[[PlatformFleet, dict[str, Any]], Any]:
    """Returns a scenario in which `count` nodes are killed, the publisher last, and restart."""

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        publisher = publisher_node(fleet)
        await submit_job(publisher, job_body(ITEMS))
        await read_all(publisher)
        killed = sorted(fleet.nodes.values(), key=lambda node: node is publisher)[:count]
        for node in killed:
            node.kill()
        for node in killed:
            await node.ended.wait()
            fleet.store_proxies[node.name].read_calls.clear()
        nodes = [fleet.restart(node) for node in killed]
        with anyio.move_on_after(KNOWN_TIMEOUT_S):
            while not all(knows_results(node) for node in nodes):
                await anyio.sleep(0.02)
        facts["known"] = [knows_results(node) for node in nodes]
        calls = [fleet.store_proxies[node.name].read_calls[JOBS_PATH] for node in nodes]
        facts["listed"] = [count for count in calls if count]
        # A node asks its publisher for this list for a few seconds before it asks the store.
        proxies = [fleet.store_proxies[node.name] for node in nodes]
        facts["listed drains"] = sum(proxy.read_calls[DRAINS_PATH] for proxy in proxies)
        facts["read"] = [await read_all(node) for node in nodes]

    return action


def knows_results(node: FleetNode) -> bool:
    """Whether a node has all results of the job."""
    known = node.node.jobs.get(JOB) if node.node else None
    return known is not None and len(known.results) == len(ITEMS)


@when("a job is done and 3 of 4 nodes are killed and start again")
def when_three_start(context: Context) -> None:
    run_on_fleet(context, kill_and_restart(3), nodes=4)


@when("a job is done and all of 4 nodes are killed and start again")
def when_all_start(context: Context) -> None:
    run_on_fleet(context, kill_and_restart(4), nodes=4)


@then("none of these lists the jobs or drains from the store, and all know the results within 4 s")
def then_none_lists(context: Context) -> None:
    assert context.facts["listed"] == [], context.facts["listed"]
    assert context.facts["listed drains"] == 0, context.facts["listed drains"]
    assert all(context.facts["known"]), context.facts["known"]


@then("one of these lists the jobs and drains from the store, and all know the results within 4 s")
def then_one_lists(context: Context) -> None:
    assert len(context.facts["listed"]) == 1, context.facts["listed"]
    assert context.facts["listed drains"] <= 1, context.facts["listed drains"]
    assert all(context.facts["known"]), context.facts["known"]


@when("a node knows results without texts and the store refuses it")
def when_no_texts(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        publisher = publisher_node(fleet)
        await submit_job(publisher, job_body(ITEMS))
        await read_all(publisher)
        other = next(node for node in fleet.nodes.values() if node is not publisher)
        with anyio.fail_after(KNOWN_TIMEOUT_S):
            while not knows_results(other):
                await anyio.sleep(0.02)
        fleet.store_proxies[other.name].is_refusing = True
        facts["answer"] = await read_page(other)

    run_on_fleet(context, action, nodes=3)


@then("a reader there is told to retry, rather than that there is no result")
def then_told_to_retry(context: Context) -> None:
    answer = context.facts["answer"]
    assert answer.status == 503 and float(answer.headers["retry-after"]) >= 0, answer


@when("a job of items with bodies is done, and its entries are listed as each node lists them")
def when_stored(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node = next(iter(fleet.nodes.values()))
        await submit_job(node, job_body(ITEMS))
        await read_all(node)
        rows = fleet.store.kinds[JOBS_KIND].values()
        facts["listed"] = [row["spec"]["text"] for row in rows]
        other = {kind: rows for kind, rows in fleet.store.kinds.items() if kind != JOBS_KIND}
        facts["elsewhere"] = json.dumps(other)

    run_on_fleet(context, action, nodes=1)


@then("the list names all items and holds neither a body nor a text, which are in other objects")
def then_ids_only(context: Context) -> None:
    listed = "".join(context.facts["listed"])
    text = expected_text(6).partition("\n")[0]
    assert all(item in listed for item in ITEMS), listed
    for item in ITEMS:
        body = base64.b64encode(f"prompt of {item}".encode()).decode()
        assert body not in listed and body in context.facts["elsewhere"], listed
    assert text not in listed and text in context.facts["elsewhere"], listed


class InterruptedStore:
    """A store whose first watch is interrupted, and whose second list waits for the test."""

    def __init__(self) -> None:
        self.lists = 0
        self.is_listing = anyio.Event()
        self.may_list = anyio.Event()

    async def list_kind(self, kind: str) -> ObjectList:
        """Returns an empty list; from the second call on, waits for `may_list`."""
        self.lists += 1
        if self.lists > 1:
            self.is_listing.set()
            await self.may_list.wait()
        return ObjectList((), self.lists)

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Raises `WatchInterrupted` after the first list; later nothing changes."""
        if self.lists == 1:
            raise WatchInterrupted("the publisher is silent")
        await anyio.sleep_forever()
        raise AssertionError


@when("a node loses the publisher, which the membership still lists")
def when_still_listed(context: Context) -> None:
    async def run() -> None:
        store = InterruptedStore()
        lost = PeerAddress("127.0.0.1", free_port())
        publisher = FeedPublisher()
        transport = TcpTransport(PeerIdentity("vm-1", "node", "b"), "test")
        jobs = frozenset((JOBS_KIND,))
        source = FeedSource(store, publisher, transport, lambda: lost, listed_by_publisher=jobs)
        feed = ObjectFeed(source, JOBS_KIND, JobDirectory())
        await anyio.sleep(STARTED_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            with anyio.move_on_after(1.0) as waiting:
                await store.is_listing.wait()
            context.is_listed = not waiting.cancelled_caught
            context.current = [feed.is_current]
            store.may_list.set()
            await anyio.sleep(0.1)
            context.current.append(feed.is_current)
            tasks.cancel_scope.cancel()

    with mock.patch("briarvale.feed_source.LIST_WAIT_S", STARTED_S):
        anyio.run(run)


@then("the node lists the jobs from the store at once")
def then_lists_at_once(context: Context) -> None:
    assert context.is_listed


@then("its list of jobs counts as stale until the store has answered")
def then_not_current(context: Context) -> None:
    assert context.current == [False, True], context.current


@when("40 entries of VMs are written within 4 s")
def when_entries(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        # Ends the watches that began before the nodes had a publisher.
        fleet.store.put("vms", "wake", vm_row("wake"))
        await anyio.sleep(1.5)
        for number in range(VM_ENTRIES):
            fleet.store.put("vms", f"new-{number}", vm_row(f"new-{number}"))
            await anyio.sleep(0.1)
        await anyio.sleep(2)
        nodes = [node.node for node in fleet.nodes.values() if node.node]
        facts["known"] = [
            sum(entry.vm.startswith("new-") for entry in await node._directory.fetch())
            for node in nodes
        ]

    run_on_fleet(context, action, nodes=4, engines=1)


def vm_row(name: str) -> dict[str, str]:
    """Returns the stored entry of a VM that does not run."""
    entry = VmEntry(name, "127.0.1.1", "cymru", "abertawe", VmStatus.LIVE)
    return {"text": json.dumps(entry._asdict())}


@then("all nodes know all of them 2 s later")
def then_known(context: Context) -> None:
    assert context.facts["known"] == [VM_ENTRIES] * 4, context.facts["known"]


class ScriptedPublisher:
    """A publisher's end of a connection; sends only what the test tells it to."""

    def __init__(self) -> None:
        self._to_link, self._from_publisher = anyio.create_memory_object_stream[Message](100)
        self.subscriptions: list[FeedSubscribe] = []

    async def send(self, message: Message) -> None:
        """Records the link's subscriptions."""
        if isinstance(message, FeedSubscribe):
            self.subscriptions.append(message)

    async def receive(self) -> Message:
        """Returns the next message for the link."""
        return await self._from_publisher.receive()

    async def aclose(self) -> None:
        """Closes nothing."""

    def send_changes(self, number: int, *revisions: int) -> None:
        """Sends the changes of these revisions to a subscription."""
        rows = tuple(FeedRow(f"n-{revision}", b"", revision) for revision in revisions)
        self._to_link.send_nowait(FeedUpdate("k", revisions[-1], rows, number))


@when("changes arrive between two watches, and one more before the second watch is answered")
def when_change_between_watches(context: Context) -> None:
    async def run() -> list[str]:
        publisher = ScriptedPublisher()
        link = PublisherLink(PeerAddress("127.0.0.1", 1), publisher)
        names: list[str] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            revision = 10
            for step in range(4):
                tasks.start_soon(_send_step, publisher, step)
                found = await link.watch("k", revision, 0.3)
                assert found is not None
                names += [change.object.name for change in found.changes]
                revision = found.revision
                if step == 0:
                    publisher.send_changes(publisher.subscriptions[-1].number, 12)
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        return names

    context.names = anyio.run(run)


async def _send_step(publisher: ScriptedPublisher, step: int) -> None:
    """Sends the changes of one step; in step 1 they cross a new subscription."""
    await anyio.sleep(0.05)
    match step:
        case 0:
            publisher.send_changes(publisher.subscriptions[0].number, 11)
        case 1:
            publisher.send_changes(publisher.subscriptions[0].number, 13)
            await anyio.sleep(0.05)
            if len(publisher.subscriptions) > 1:
                publisher.send_changes(publisher.subscriptions[1].number, 12, 13)


@then("the second watch and those after it bring each change, in order")
def then_each_change(context: Context) -> None:
    assert context.names == ["n-11", "n-12", "n-13"], context.names


@when("the store's watches send nothing, the configuration changes and all watches are cut")
def when_watches_empty(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        nodes = list(fleet.nodes.values())
        await apply_next_version(fleet, nodes)
        fleet.store.faults.drop_watch_events = True
        fleet.version += 1
        fleet.store.put("config", "main", fleet.config())
        await anyio.sleep(0.3)
        fleet.store.cut_watches()
        since_s = anyio.current_time()
        with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
            while any(version_of(node) < fleet.version for node in nodes):
                await anyio.sleep(0.01)
        facts["took_s"] = anyio.current_time() - since_s

    run_on_fleet(context, action, nodes=4, engines=1)


@then("4 nodes that share one watch have the change in force within 1 s of the cut")
def then_after_cut(context: Context) -> None:
    assert context.facts["took_s"] <= 1.0, context.facts["took_s"]


@when("a larger node joins, and one of 4 nodes stays subscribed to the previous publisher")
def when_larger(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        await apply_next_version(fleet, list(fleet.nodes.values()))
        before = publisher_node(fleet)
        lagging = next(node for node in fleet.nodes.values() if node is not before)
        assert before.node and lagging.node
        link = link_of(lagging)
        assert link is not None
        lagging.node.feed_source._view = lambda: link.address
        fleet.start_node("vm-9", "127.0.0.31", processor_cores=2.0)
        with anyio.fail_after(JOIN_TIMEOUT_S):
            while publisher_node(fleet) is before or before.node.feed_source.link is None:
                await anyio.sleep(0.05)
        facts["took_s"] = [
            await apply_next_version(fleet, list(fleet.nodes.values())) for _ in range(2)
        ]

    run_on_fleet(context, action, nodes=4, engines=1)


@then("all of them have a change in force within 1 s")
def then_all(context: Context) -> None:
    assert max(context.facts["took_s"]) <= 1.0, context.facts["took_s"]


def stop_publishing(fleet: PlatformFleet, node: FleetNode) -> None:
    """Makes a node send nothing to its subscribers while it keeps its connections."""
    assert node.node is not None and node.node.cluster.publisher is not None
    publisher = node.node.cluster.publisher
    publisher._kinds = _NoKinds(publisher._kinds)


class _NoKinds(dict):  # type: ignore[type-arg]
    """Published kinds that appear empty, so that nothing is sent."""

    def values(self) -> Any:
        """Returns no kinds."""
        return ()

    def get(self, key: Any, default: Any = None) -> Any:
        """Returns `None`."""
        return None


PUBLISHER_FAULTS: dict[str, Callable[[PlatformFleet, FleetNode], None]] = {
    "killed": lambda fleet, node: node.kill(),
    "stopped gracefully": lambda fleet, node: node.stop_requested.set(),
    "refused by the store": lambda fleet, node: setattr(
        fleet.store_proxies[node.name], "is_refusing", True
    ),
    "unanswered by the store": lambda fleet, node: setattr(
        fleet.store_proxies[node.name], "is_silent", True
    ),
    "silent to its subscribers": stop_publishing,
}


@when("the publisher is {trouble}, and then another node lists a result")
def when_listed_elsewhere(context: Context, trouble: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        await submit_job(next(iter(fleet.nodes.values())), job_body(ITEMS))
        publisher = publisher_node(fleet)
        others = [node for node in fleet.nodes.values() if node is not publisher]
        await until_known(others)
        PUBLISHER_FAULTS[trouble](fleet, publisher)
        entry = LogEntry(0, "by-hand", (ItemResult(0, "text"),))
        fleet.store.put(JOBS_KIND, f"{JOB}.log.000000", {"text": entry.encode().decode()})
        await anyio.sleep(SETTLE_S)
        facts["answers"] = await read_for(others, READ_FOR_S)

    run_on_fleet(context, action, nodes=4, engines=0)


async def until_known(nodes: list[FleetNode]) -> None:
    """Waits until all these nodes know the job."""
    with anyio.fail_after(KNOWN_TIMEOUT_S):
        while any(node.node is None or node.node.jobs.get(JOB) is None for node in nodes):
            await anyio.sleep(0.02)


async def read_for(nodes: list[FleetNode], for_s: float) -> list[tuple[float, str, int, int]]:
    """Reads the job's results at each node in turn.

    Returns the time, the node, the status and the number of results of each read.
    """
    rows = []
    began_s = anyio.current_time()
    while (at_s := anyio.current_time() - began_s) < for_s:
        for node in nodes:
            answer = await Caller(node).call("GET", f"/briarvale/lots/{JOB}?after=0")
            assert answer is not None
            result_count = len(answer.json()["results"]) if answer.status == 200 else 0
            rows.append((round(at_s, 2), node.name, answer.status, result_count))
        await anyio.sleep(0.05)
    return rows


@then("no reader at the other nodes is told 1 s later that there is none")
def then_none_misled(context: Context) -> None:
    misled = [row for row in context.facts["answers"] if row[2:] == (200, 0)]
    assert not misled, misled
    assert any(row[2:] == (200, 1) for row in context.facts["answers"]), context.facts["answers"]


@when("the store refuses a node and a job that it knows has no result yet")
def when_store_refuses(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        node = next(iter(fleet.nodes.values()))
        await submit_job(node, job_body(ITEMS))
        fleet.store_proxies[node.name].is_refusing = True
        facts["answer"] = await read_page(node)

    run_on_fleet(context, action, nodes=3, engines=0)


@when("the publisher is {trouble} and the configuration changes")
def when_lost(context: Context, trouble: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        await apply_next_version(fleet, list(fleet.nodes.values()))
        publisher = publisher_node(fleet)
        PUBLISHER_FAULTS[trouble](fleet, publisher)
        others = [node for node in fleet.nodes.values() if node is not publisher]
        facts["took_s"] = await apply_next_version(fleet, others)

    run_on_fleet(context, action, nodes=4, engines=1)


@then("the others have the change in force within 3 s")
def then_in_time(context: Context) -> None:
    assert context.facts["took_s"] <= 3.0, context.facts["took_s"]
