"""Steps for batch items under periodic online load, in simulated time."""

from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotGrant, SlotRelease, SlotRevoke, WorkClass
from briarvale.pools import ReleaseRate, grant_by_ms, revocation_need
from briarvale.slot_pool import SlotPool
from features.steps.pool_policy import (
    DUE_MS,
    SEEDS,
    ManualClock,
    items_in_time,
    ready_pool,
    ready_server,
    slot_request,
)
from features.support.holders import RecordingHolder
from features.support.pool_load import LoadShape, PoolLoad

START_MS = 1_000_000
SLACK_MS = 200


@when(
    "online load steps between {low:d} and {high:d} requests a second at {servers:d} servers"
    " over {items:d} items a second"
)
def when_large(context: Context, low: int, high: int, servers: int, items: int) -> None:
    context.shape = LoadShape(
        servers=servers, low_per_s=low, high_per_s=high, items_per_s=items, duration_ms=30_000
    )
    context.results = [
        PoolLoad(context.shape._replace(seed=seed), SlotPool).run() for seed in SEEDS
    ]


@then("fewer than {limit:f} slots are revoked per completed item")
def then_few_revoked(context: Context, limit: float) -> None:
    revoked = sum(result.revoked for result in context.results)
    done = sum(result.items_done for result in context.results)
    assert revoked < limit * done, (revoked, done)


@then("99 in 100 online requests get their slots in less than half of the time that they have")
def then_soon(context: Context) -> None:
    waits_ms = [result.wait_ms(0.99) for result in context.results]
    assert max(waits_ms) < context.shape.slack_ms / 2, waits_ms


@then("all completed items are completed within 18 s")
def then_all_in_time(context: Context) -> None:
    done = sum(result.items_done for result in context.results)
    assert items_in_time(context.results) == done, (items_in_time(context.results), done, DUE_MS)


@when(
    "{requests:d} online requests with {slack:d} ms left wait"
    " and {released:d} slots were released in 200 ms"
)
def when_wait(context: Context, requests: int, slack: int, released: int) -> None:
    rate = ReleaseRate()
    for number in range(2 * released):
        rate.observe(START_MS + 200 * number // released)
    now_ms = START_MS + 399
    by_ms = grant_by_ms(now_ms + slack, now_ms)
    context.need = revocation_need([by_ms] * requests, 0, rate, now_ms)


@then("{count:d} slots are revoked")
def then_revoked(context: Context, count: int) -> None:
    assert context.need.slots == count, context.need


@when("the releases on which a waiting online request counts do not come")
def when_stop(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = ready_pool(clock, ready_server("i-0", 200))
    for number in range(100):
        item = slot_request(f"item-{number}", clock, work_class=WorkClass.BATCH)
        pool.submit(item, context.holder)
        pool.submit(slot_request(f"online-{number}", clock), context.holder)
    grants = context.holder.messages_of(SlotGrant)
    for grant in [grant for grant in grants if grant.request_id.startswith("online")]:
        clock.ms += 4
        pool.release(SlotRelease(grant.grant_id, Outcome.FINISHED))
        start_by_ms = clock.ms + SLACK_MS
        request = slot_request(grant.request_id + "-2", clock, start_by_ms=start_by_ms)
        pool.submit(request, context.holder)
    pool.submit(slot_request("last", clock, start_by_ms=clock.ms + SLACK_MS), context.holder)
    assert not context.holder.messages_of(SlotRevoke)
    context.late_at_ms = clock.ms + SLACK_MS
    while not context.holder.messages_of(SlotRevoke):
        assert clock.ms < pool.due_at_ms < context.late_at_ms, pool.due_at_ms
        clock.ms = int(pool.due_at_ms)
        pool.grant_waiting()
    context.revoked_at_ms = clock.ms


@then("a slot is revoked for it before it would be late")
def then_before_late(context: Context) -> None:
    assert len(context.holder.messages_of(SlotRevoke)) == 1
    assert context.revoked_at_ms < context.late_at_ms
