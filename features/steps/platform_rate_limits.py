"""Steps of rate limits: simulated schedules of faults, and real nodes on loopback."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import RateAnswer, RateRequest
from briarvale.workspaces.ledger import RateOwner
from briarvale.workspaces.rate_client import group_of
from briarvale.workspaces.share_leases import HOLD_MS
from features.support.platform_fleet import (
    PLAIN,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    platform_fleet,
)
from features.support.rate_loads import (
    FullBuckets,
    UsualLoad,
    run_full_buckets,
    run_usual_load,
)
from features.support.rate_schedules import QUOTA, random_schedule

KEY, WORKSPACE = "limited-key", "limited"
RATE_PER_S, BURST = 20, 10
# Until the buckets are full and each node may grant its part of the tolerance.
SETTLED_S = 6.0


@when(
    "{count:d} seeded schedules of crashes, pauses, partitions, joins and new limits are simulated"
)
def when_schedules(context: Context, count: int) -> None:
    context.excess = {seed: random_schedule(seed).worst_excess() for seed in range(count)}


@then("in each window at most the limit and its tolerance ran")
def then_within(context: Context) -> None:
    broken = {seed: excess for seed, excess in context.excess.items() if excess > 0}
    assert not broken, broken


@when("buckets are full and {fault}, and all nodes then send far more than the limit")
def when_full(context: Context, fault: str) -> None:
    kind = FullBuckets.of(fault)
    context.excess = {seed: run_full_buckets(kind, seed).worst_excess() for seed in range(5)}


@when("an owner with a full bucket {fault} and has all shares again")
def when_shares_return(context: Context, fault: str) -> None:
    names = ["vm-1", "vm-2", "vm-3"]
    owner, last = RateOwner("vm-1", QUOTA, 0), RateAnswer()

    def ask(now_ms: int, name: str, since_ms: int = 0, count: int = 0) -> RateAnswer:
        # Without a count, a message only delegates the share and leaves the buckets as they are.
        request = RateRequest(
            now_ms, 0, WORKSPACE, count, float(RATE_PER_S), float(BURST), 1, is_delegating=True
        )
        stamped = request._replace(
            owner_epoch=last.owner_epoch, stamp_ms=last.stamp_ms, since_stamp_ms=since_ms
        )
        return owner.answer(stamped, name, names, now_ms)

    def delegate_all(from_ms: int, until_ms: int) -> RateAnswer:
        nonlocal last
        for now_ms in range(from_ms, until_ms, 100):
            answers = [ask(now_ms, name) for name in names]
            last = answers[0]
        return last

    now_ms = 4_000
    delegate_all(0, now_ms)
    assert ask(now_ms, "vm-1", count=1).granted == 1
    if fault == "loses all shares":
        now_ms += 2 * HOLD_MS
        last = ask(now_ms, "vm-1")
    else:
        # By the node's clock, far more time has passed than by the owner's.
        last = ask(now_ms, "vm-1", since_ms=5_000)
    for name in names:
        ask(now_ms, name)
    context.answer = ask(now_ms, "vm-1", count=1)


@then("it grants nothing at once")
def then_nothing(context: Context) -> None:
    assert context.answer.granted == 0, context.answer
    assert context.answer.is_partial and context.answer.retry_after_ms > 0, context.answer


@when("a {size} workspace sends its usual load over 60 nodes {time}")
def when_usual(context: Context, size: str, time: str) -> None:
    is_owner_lost = time == "while its owner is lost"
    seeds = range(3) if size == "large" else range(30)
    context.loads = [run_usual_load(size, seed, is_owner_lost=is_owner_lost) for seed in seeds]


@then("at most {percent:d} in 100 of its requests are refused that fit into its limit")
def then_served(context: Context, percent: int) -> None:
    loads: list[UsualLoad] = context.loads
    needless = sum(load.needless_refusals for load in loads)
    fitting = sum(load.fitting for load in loads)
    assert needless * 100 <= percent * fitting, (needless, fitting)


@then("no request waited for longer than {limit_ms:d} ms")
def then_quick(context: Context, limit_ms: int) -> None:
    assert max(load.longest_wait_ms for load in context.loads) <= limit_ms


async def _start(fleet: PlatformFleet, facts: dict[str, Any]) -> list[FleetNode]:
    facts["engine"] = await fleet.add_engine("i-1", PLAIN, slots=32)
    tenant = {"name": WORKSPACE, "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}
    fleet.version += 1
    fleet.store.put("config", "main", fleet.config(tenants=[tenant]))
    await anyio.sleep(SETTLED_S)
    return list(fleet.nodes.values())


async def _send(node: FleetNode, answers: list[tuple[float, Answer]]) -> None:
    """Sends one request and notes its answer and when it arrived."""
    answer = await Caller(node).call("GET", "/look/a", headers={"Briarvale-Credential": KEY})
    assert answer is not None
    answers.append((anyio.current_time(), answer))


async def _send_for(
    nodes: list[FleetNode], rate_per_s: float, length_s: float, answers: list[tuple[float, Answer]]
) -> None:
    """Sends requests to the nodes in turn, at a steady rate."""
    began_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for index in range(round(rate_per_s * length_s)):
            await anyio.sleep_until(began_s + index / rate_per_s)
            tasks.start_soon(_send, nodes[index % len(nodes)], answers)


@when("a workspace sends three times its limit to three nodes")
def when_over(context: Context) -> None:
    async def run() -> dict[str, Any]:
        facts: dict[str, Any] = {"answers": []}
        async with platform_fleet(3) as fleet:
            nodes = await _start(fleet, facts)
            began_s = anyio.current_time()
            await _send_for(nodes, 3 * RATE_PER_S, 3.0, facts["answers"])
            facts["took_s"] = anyio.current_time() - began_s
            facts["reached"] = len(facts["engine"].seen)
            at_s, refused = next(
                entry for entry in reversed(facts["answers"]) if entry[1].status == 429
            )
            await anyio.sleep_until(at_s + float(refused.headers["retry-after"]))
            facts["retried"] = []
            await _send(nodes[0], facts["retried"])
        return facts

    context.facts = anyio.run(run)


@then("no more than its limit reached the server, and the others got 429 with a time to retry")
def then_refused(context: Context) -> None:
    answers = [answer for _, answer in context.facts["answers"]]
    served = [answer for answer in answers if answer.status == 200]
    refused = [answer for answer in answers if answer.status == 429]
    assert len(served) + len(refused) == len(answers), {answer.status for answer in answers}
    limit = RATE_PER_S * 3.0 + BURST
    assert context.facts["reached"] == len(served), (context.facts["reached"], len(served))
    allowed = limit * (1 + QUOTA.overage) + QUOTA.slack
    assert len(served) <= allowed, (len(served), allowed, context.facts["took_s"])
    assert len(served) >= RATE_PER_S * 3.0 * 0.9, len(served)
    for answer in refused:
        assert 0 < float(answer.headers["retry-after"]) <= 1.0, answer
        assert answer.json()["code"] == "rate_limited" and answer.json()["not_run"], answer


@then("a request at that time was served")
def then_retried(context: Context) -> None:
    assert context.facts["retried"][0][1].status == 200, context.facts["retried"]


@when("a workspace sends a part of its limit to three nodes and the owner of its limit is killed")
def when_owner_killed(context: Context) -> None:
    async def run() -> dict[str, Any]:
        facts: dict[str, Any] = {"answers": []}
        async with platform_fleet(3) as fleet:
            nodes = await _start(fleet, facts)
            assert nodes[0].node is not None
            owner = nodes[0].node.cluster.rate_owners(group_of(WORKSPACE))[0]
            others = [node for node in nodes if node.name != owner]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_for, others, RATE_PER_S / 4, 6.0, facts["answers"])
                await anyio.sleep(1.0)
                fleet.nodes[owner].kill()
        return facts

    context.facts = anyio.run(run)


@then("at the nodes that are left all its requests were served")
def then_all_served(context: Context) -> None:
    statuses = [answer.status for _, answer in context.facts["answers"]]
    assert statuses == [200] * len(statuses), statuses
