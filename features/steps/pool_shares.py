"""Steps for the fair shares of workspaces in a pool, without a network."""

import random

from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotGrant, SlotRefusal, SlotRelease
from briarvale.fairness import Shares
from briarvale.pool_queue import MAX_QUEUED, PoolQueue, PoolWaiter
from briarvale.pools import MAX_BYPASSES
from briarvale.slot_pool import SlotPool
from briarvale.workspaces import Workspace, WorkspaceLimits, WorkspaceTable, workspace_shares
from features.steps.pool_policy import ManualClock, ready_pool, ready_server, slot_request
from features.support.holders import RecordingHolder
from features.support.pool_load import LoadShape, OnlineOutcome, PoolLoad

RUN_MS = 750


@when("one of 73 workspaces sends 7 times its rate and 7 of 45 servers are down")
def when_burst(context: Context) -> None:
    context.shape = shape = LoadShape(
        servers=45,
        low_per_s=78,
        high_per_s=385,
        items_per_s=20,
        duration_ms=18_000,
        workspaces=73,
        burst_factor=7,
        down_servers=7,
    )
    outcomes = PoolLoad(shape, SlotPool).run().online_outcomes
    context.outcomes = [outcome for outcome in outcomes if shape.is_burst(outcome.arrived_ms)]


def _outcomes(context: Context, *, of_burst: bool) -> list[OnlineOutcome]:
    name = f"w-{context.shape.burst_workspace}"
    return [each for each in context.outcomes if (each.workspace == name) == of_burst]


@then("95 in 100 requests of the others get their slots early enough for an answer in time")
def then_others(context: Context) -> None:
    others = _outcomes(context, of_burst=False)
    in_time = sum(outcome.wait_ms <= context.shape.slack_ms for outcome in others)
    assert in_time >= 0.95 * len(others), (in_time, len(others))


@then("no request of the others is refused")
def then_others_served(context: Context) -> None:
    assert not any(outcome.is_refused for outcome in _outcomes(context, of_burst=False))


@then("requests of that workspace are still served")
def then_burst_served(context: Context) -> None:
    outcomes = _outcomes(context, of_burst=True)
    served = sum(not outcome.is_refused for outcome in outcomes)
    assert served >= len(outcomes) / context.shape.burst_factor, (served, len(outcomes))


@when("requests of one workspace, or of none, wait with random priorities and times")
def when_random(context: Context) -> None:
    clock, holder = ManualClock(), RecordingHolder()
    context.now_ms = clock.ms
    context.queues = []
    for seed, member in ((1, ""), (2, "w-0")):
        numbers = random.Random(seed)
        queue = PoolQueue()
        for sequence in range(300):
            request = slot_request(
                f"r-{sequence}",
                clock,
                member=member,
                priority=numbers.randrange(3),
                start_by_ms=clock.ms + numbers.randrange(-900, 300),
                deadline_ms=clock.ms + numbers.randrange(1, 2_400),
            )
            queue.push(PoolWaiter(request, holder, clock.ms - 1_000, sequence))
            if sequence % 3 == 0:
                queue.serve(next(iter(queue.online_order(clock.ms))))
        context.queues.append(queue)


@then("their order is by priority, lateness class and latest start")
def then_order(context: Context) -> None:
    for queue in context.queues:
        expected = sorted(
            queue,
            key=lambda w: (w.request.priority, w.lateness_class(context.now_ms), w.rank),
        )
        assert list(queue.online_order(context.now_ms)) == expected


@when("a workspace of priority 0 always has requests waiting and one of priority 1 as well")
def when_flood(context: Context) -> None:
    clock, holder = ManualClock(), RecordingHolder()
    queue = PoolQueue()
    context.served = []
    for sequence in range(400):
        for priority in (0, 1):
            request = slot_request(
                f"r-{sequence}", clock, member=f"w-{priority}", priority=priority
            )
            queue.push(PoolWaiter(request, holder, clock.ms, 2 * sequence + priority))
    for _ in range(10 * (MAX_BYPASSES + 1)):
        planned = list(queue.online_order(clock.ms))
        first = next(iter(queue.online_order(clock.ms)))
        assert first is planned[0]
        queue.serve(first)
        context.served.append(first.request.priority)


@then("the latter gets one slot in 16")
def then_guarded(context: Context) -> None:
    assert context.served == ([0] * MAX_BYPASSES + [1]) * 10, context.served


@when("a workspace fills the queue and another one sends a request")
def when_full_queue(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    context.pool = pool = ready_pool(clock, ready_server("i-0", 1))
    for number in range(MAX_QUEUED + 1):
        pool.submit(slot_request(f"r-{number}", clock, member="w-0"), context.holder)
    assert not context.holder.messages_of(SlotRefusal)
    pool.submit(slot_request("other", clock, member="w-1"), context.holder)


@then("the newest request of the first is refused, and that of the other waits")
def then_displaced(context: Context) -> None:
    refused = [refusal.request_id for refusal in context.holder.messages_of(SlotRefusal)]
    assert refused == [f"r-{MAX_QUEUED}"], refused
    assert context.pool.queued == MAX_QUEUED


@when("a workspace sends 400 requests at once to a pool of 8 slots and another sends 4 after them")
def when_two_crowds(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    context.pool = pool = ready_pool(clock, ready_server("i-0", 8))
    pool.set_shares(Shares({"w-0": 0.5, "w-1": 0.5}))
    for number in range(8):
        pool.submit(slot_request(f"first-{number}", clock, member="w-0"), context.holder)
    clock.ms += RUN_MS
    for grant in context.holder.messages_of(SlotGrant):
        pool.release(SlotRelease(grant.grant_id, Outcome.FINISHED))
    for number in range(404):
        member = "w-0" if number < 400 else "w-1"
        pool.submit(slot_request(f"{member}-{number}", clock, member=member), context.holder)
    pool.tick()
    for grant in context.holder.messages_of(SlotGrant)[8:16]:
        pool.release(SlotRelease(grant.grant_id, Outcome.FINISHED))


@then("about as many of its requests as can't be served in time are refused, the newest first")
def then_newest_refused(context: Context) -> None:
    refused = [refusal.request_id for refusal in context.holder.messages_of(SlotRefusal)]
    # 8 slots of 750 ms serve about 26 requests in the 2,400 ms that a caller waits.
    assert 400 - 8 - 28 <= len(refused) <= 400 - 8 - 16, len(refused)
    assert all(request_id.startswith("w-0") for request_id in refused), refused


@then("all 4 of the other are served before the rest of the first")
def then_served_first(context: Context) -> None:
    granted = [grant.request_id for grant in context.holder.messages_of(SlotGrant)[16:]]
    assert sum(request_id.startswith("w-1") for request_id in granted) == 4, granted


@when("workspaces have limits of {limits} requests a second")
def when_limits(context: Context, limits: str) -> None:
    context.names = [f"w-{number}" for number in range(len(limits.split(",")))]
    workspaces = [
        Workspace(name, limits=WorkspaceLimits(float(limit)))
        for name, limit in zip(context.names, limits.split(","), strict=True)
    ]
    context.shares = workspace_shares(WorkspaceTable(workspaces))


@then("their weights are {weights}")
def then_weights(context: Context, weights: str) -> None:
    actual = [context.shares.weight(name) for name in context.names]
    expected = [1.0] * len(actual) if weights == "equal" else list(map(float, weights.split(",")))
    ratios = [one / other for one, other in zip(actual, expected, strict=True)]
    assert max(ratios) - min(ratios) < 1e-9, (actual, expected)
