"""Steps of servers that announce draining in answers: real nodes and stand-ins, on loopback."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotGrant, SlotRelease
from briarvale.live_servers import LiveServer
from briarvale.peer import PeerAddress
from briarvale.run_monitor import AVOID_START_MS
from briarvale.slot_pool import BATCH_GRACE_MS, REPORT_GRACE_MS, SlotPool
from features.steps.pool_policy import ManualClock, slot_request
from features.support.holders import RecordingHolder
from features.support.platform_engine import Behaviour
from features.support.platform_fleet import (
    MODEL,
    PLAIN,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
    platform_fleet,
)
from features.support.platform_jobs import read_all, submit_job

DRAINING, STAYING = "i-leaving", "i-staying"
HEADER = "server-leaving"
BODY = b"look"
FOLLOWING_COUNT = 12
TARGET_LATENCY_S = 0.3
SLOW_GAP_S = 0.25
# Within this time, the owner applies the release of a slot, and nodes receive a written entry.
PROPAGATION_S = 0.3
# Longer than the period in which a failed server is used last.
AVOIDANCE_S = 1.2 * AVOID_START_MS / 1_000
# Before that, online requests run without a slot from the new owner of a pool.
OWNER_READY_S = 2 * REPORT_GRACE_MS / 1_000


class Observations:
    """What one run of a scenario observed."""

    def __init__(self) -> None:
        self.first: Answer | None = None
        self.following: list[Answer] = []
        self.reached_count = 0
        self.elapsed_s = 0.0
        self.facts: dict[str, Any] = {}


FleetScenario = Callable[[PlatformFleet, Observations], Awaitable[None]]


def run_against_draining(
    context: Context, scenario: FleetScenario, *, nodes: int = 1, service: str = PLAIN
) -> None:
    """Runs a scenario on a fleet with a draining server and one that stays."""

    async def run() -> Observations:
        observed = Observations()
        async with platform_fleet(nodes) as fleet:
            for name in (DRAINING, STAYING):
                await fleet.add_engine(name, service)
            fleet.engines[DRAINING].is_draining = True
            await anyio.sleep(OWNER_READY_S)
            await scenario(fleet, observed)
        return observed

    context.observed = anyio.run(run)


async def call(node: FleetNode, path: str) -> Answer:
    """Sends one request on a new connection."""
    answer = await Caller(node).call("POST", path, BODY)
    assert answer is not None
    return answer


async def call_until_draining_answers(fleet: PlatformFleet, node: FleetNode, path: str) -> Answer:
    """Sends requests until one reaches the draining server; returns its answer."""
    engine = fleet.engines[DRAINING]
    for _ in range(20):
        answer = await call(node, path)
        if engine.seen:
            return answer
    raise AssertionError("the draining server got no request")


async def send_following(
    fleet: PlatformFleet,
    observed: Observations,
    node: FleetNode,
    path: str,
    count: int = FOLLOWING_COUNT,
) -> None:
    """Sends requests one after the other, and counts those that reach the draining server."""
    engine = fleet.engines[DRAINING]
    before = len(engine.seen)
    started_s = time.monotonic()
    for _ in range(count):
        observed.following.append(await call(node, path))
    observed.elapsed_s = time.monotonic() - started_s
    observed.reached_count = len(engine.seen) - before


async def send_following_at_once(
    fleet: PlatformFleet, observed: Observations, node: FleetNode, path: str, count: int
) -> None:
    """Sends `count` requests at once, more than the other server has slots for."""
    engine = fleet.engines[DRAINING]
    before = len(engine.seen)

    async def send_one() -> None:
        observed.following.append(await call(node, path))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(send_one)
    observed.reached_count = len(engine.seen) - before


def announce_draining(path: str, behaviour: Behaviour) -> FleetScenario:
    """Returns a scenario in which the draining server announces it in a `behaviour` answer."""

    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]
        fleet.engines[DRAINING].default_behaviour = behaviour
        observed.first = await call_until_draining_answers(fleet, node, path)
        await anyio.sleep(AVOIDANCE_S)
        await send_following(fleet, observed, node, path)

    return scenario


@when("one of two servers announces draining in a success and 12 requests follow")
def when_success(context: Context) -> None:
    run_against_draining(context, announce_draining("/look/a", Behaviour.SERVE))


@when(
    "one of two servers announces draining in a failure that may not be repeated "
    "and 12 requests follow"
)
def when_failure(context: Context) -> None:
    run_against_draining(context, announce_draining("/pay/a", Behaviour.FAIL))


@when("one of two servers announces draining in a refusal as not run and 12 requests follow")
def when_not_run(context: Context) -> None:
    run_against_draining(context, announce_draining("/pay/a", Behaviour.REFUSE_FULL))


@then("the caller gets the server's own header")
def then_header(context: Context) -> None:
    first = context.observed.first
    assert first.headers.get(HEADER) == "1", first
    assert first.headers["briarvale-server-signature"].startswith(DRAINING), first


@then("the caller gets the other server's answer")
def then_other(context: Context) -> None:
    first = context.observed.first
    assert first.status == 200 and HEADER not in first.headers, first


@then("that server gets none of the requests that follow, and all are answered")
def then_none(context: Context) -> None:
    statuses = [answer.status for answer in context.observed.following]
    assert statuses and set(statuses) == {200}, [
        a for a in context.observed.following if a.status != 200
    ]
    assert (
        context.observed.reached_count == 0
    ), f"{context.observed.reached_count} of {len(statuses)} reached it"


async def stream_midway(
    fleet: PlatformFleet,
    observed: Observations,
    node: FleetNode,
    following: Callable[[], Awaitable[None]],
) -> None:
    """Has the draining server answer a stream, and runs `following` before the stream ends."""
    engine = fleet.engines[DRAINING]
    engine.event_gap_s = SLOW_GAP_S
    fleet.engines[STAYING].event_gap_s = 0.0

    async def stream() -> None:
        observed.first = await call_until_draining_answers(fleet, node, "/ask/a")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream)
        with anyio.fail_after(5):
            while not engine.running:
                await anyio.sleep(0.01)
        await anyio.sleep(SLOW_GAP_S / 2)
        assert engine.running, "the stream ended too soon"
        await following()


@when(
    "one of two servers announces draining at the head of a stream "
    "and 6 requests follow before its end"
)
def when_stream(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]

        async def following() -> None:
            await send_following_at_once(fleet, observed, node, "/ask/a", 6)

        await stream_midway(fleet, observed, node, following)

    run_against_draining(context, scenario, service=MODEL)


@when("one of two servers announces draining in the answer to an item and more items follow")
def when_item(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]
        engine = fleet.engines[DRAINING]
        for number in range(10):
            job_id = f"job-first-{number}"
            await submit_job(node, job_body([f"{job_id}-item"]), job_id)
            await read_all(node, 1, job_id)
            if engine.seen:
                break
        assert engine.seen, "the draining server got no item"
        before = len(engine.seen)
        items = [f"item-{number}" for number in range(6)]
        await submit_job(node, job_body(items), "job-next")
        observed.facts["results"] = await read_all(node, len(items), "job-next")
        observed.reached_count = len(engine.seen) - before

    run_against_draining(context, scenario, service=MODEL)


@then("that server gets none of the items that follow, and all are done")
def then_items(context: Context) -> None:
    assert {row["state"] for row in context.observed.facts["results"]} == {"done"}
    assert context.observed.reached_count == 0, context.observed.reached_count


def owner_and_other(fleet: PlatformFleet, service: str) -> tuple[FleetNode, FleetNode]:
    """Returns the node that owns a service's pool, and one that requests slots from it."""
    any_node = fleet.nodes["vm-1"].node
    assert any_node is not None
    owner = any_node.cluster.pool_owner(service)
    assert owner is not None
    return fleet.nodes[owner], next(n for name, n in fleet.nodes.items() if name != owner)


def count_slot_requests(node: FleetNode, observed: Observations) -> None:
    """Counts the slot requests that a node gets as the owner of a pool."""
    assert node.node is not None
    pools = node.node.cluster.pools
    handle = pools.handle
    observed.facts["slot requests"] = 0

    def counting(holder: Any, message: Any) -> None:
        observed.facts["slot requests"] += type(message).__name__ == "SlotRequest"
        handle(holder, message)

    pools.handle = counting  # type: ignore[method-assign]


@when("a node without the store forwards a draining server's stream and asks the owner for slots")
def when_cut_off(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        owner, other = owner_and_other(fleet, MODEL)
        fleet.store_proxies[other.name].is_refusing = True

        async def following() -> None:
            count_slot_requests(owner, observed)
            await send_following_at_once(fleet, observed, other, "/ask/a", 6)

        await stream_midway(fleet, observed, other, following)

    run_against_draining(context, scenario, nodes=2, service=MODEL)


@then("the owner got at most 2 slot requests for each request")
def then_slots(context: Context) -> None:
    request_count = context.observed.facts["slot requests"]
    assert 0 < request_count <= 2 * len(context.observed.following), request_count


@when("a node forwards a draining server's answer and 12 requests follow at another node")
def when_owner_learns(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        owner, other = owner_and_other(fleet, PLAIN)
        await call_until_draining_answers(fleet, other, "/look/a")
        await anyio.sleep(PROPAGATION_S)
        await send_following(fleet, observed, owner, "/look/a")

    run_against_draining(context, scenario, nodes=2)


@when("a node without an owner forwards a draining server's answer and 12 requests follow")
def when_no_owner(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]
        assert node.node is not None
        node.node.cluster.owner_address = lambda _: None  # type: ignore[method-assign]
        observed.first = await call_until_draining_answers(fleet, node, "/look/a")
        await send_following(fleet, observed, node, "/look/a")

    run_against_draining(context, scenario)


@when("both servers announce draining in answers and another request follows")
def when_all_drain(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node = fleet.nodes["vm-1"]
        engines = fleet.engines.values()
        for engine in engines:
            engine.is_draining = True
        for _ in range(20):
            await call(node, "/look/a")
            if all(engine.seen for engine in engines):
                break
        before = sum(len(engine.seen) for engine in engines)
        await send_following(fleet, observed, node, "/look/a", 1)
        observed.reached_count = sum(len(engine.seen) for engine in engines) - before

    run_against_draining(context, scenario)


@then("it is refused as not run within a quarter of its target, and no server gets it")
def then_refused(context: Context) -> None:
    answer = context.observed.following[0]
    assert answer.status == 503 and answer.json()["not_run"], answer
    assert context.observed.reached_count == 0
    assert context.observed.elapsed_s < TARGET_LATENCY_S / 4, context.observed.elapsed_s


@when("a draining server writes its entry again, and then restarts under its id")
def when_restarted(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, observed: Observations) -> None:
        node, engine = fleet.nodes["vm-1"], fleet.engines[DRAINING]
        await call_until_draining_answers(fleet, node, "/look/a")
        spec = fleet.store.kinds["servers"][DRAINING]["spec"]
        fleet.store.put("servers", DRAINING, spec | {"sequence": 2, "slots": 5})
        await anyio.sleep(PROPAGATION_S)
        await send_following(fleet, observed, node, "/look/a")
        engine.is_draining = False
        fleet.store.put("servers", DRAINING, spec | {"born": spec["born"] + 60_000})
        await anyio.sleep(PROPAGATION_S)
        reached_count = observed.reached_count
        await send_following_at_once(fleet, observed, node, "/look/a", FOLLOWING_COUNT)
        observed.facts["reached after"], observed.reached_count = (
            observed.reached_count,
            reached_count,
        )

    run_against_draining(context, scenario)


@then("it gets no requests after the new entry, and gets requests after the restart")
def then_restarted(context: Context) -> None:
    assert context.observed.reached_count == 0, context.observed.reached_count
    assert context.observed.facts["reached after"] > 0


@when("a slot is released because an earlier start of its server is draining")
def when_other_start(context: Context) -> None:
    clock = ManualClock()
    pool, holder = SlotPool("desk", clock), RecordingHolder()
    address = PeerAddress("127.0.0.1", 1)
    pool.configure([LiveServer("i-0", "desk", address, "a", 4, started_at_ms=2)])
    clock.ms += BATCH_GRACE_MS
    context.grants = []
    for number, started_at_ms in enumerate((1, 2, 2)):
        holder.messages.clear()
        pool.submit(slot_request(f"r{number}", clock), holder)
        granted = [m for m in holder.messages if isinstance(m, SlotGrant)]
        context.grants.append(len(granted))
        for grant in granted:
            pool.release(
                SlotRelease(
                    grant.grant_id,
                    Outcome.CANCELLED,
                    server_started_at_ms=started_at_ms,
                    is_server_draining=True,
                )
            )


@then("the pool keeps granting slots there until a release names the current start")
def then_other_start(context: Context) -> None:
    assert context.grants == [1, 1, 0], context.grants
