"""Steps for batch items under periodic online load, in simulated time."""

import random
from itertools import accumulate
from unittest import mock

from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotGrant, SlotRelease, SlotRevoke, WorkClass
from briarvale.pools import (
    ItemStarts,
    PeakForecast,
    ReleaseRate,
    find_period,
    grant_by_ms,
    required_starts,
    revocation_need,
)
from briarvale.pools.peak_forecast import BIN_COUNT, BIN_MS
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


@when("{items:d} items of 2 s arrive a second under periodic peaks, with and without the forecast")
def when_short_items(context: Context, items: int) -> None:
    shape = LoadShape(
        servers=45,
        low_per_s=78,
        high_per_s=385,
        items_per_s=items,
        item_ms=2_000,
        duration_ms=45_000,
    )
    context.load = PoolLoad(shape, SlotPool)
    context.with_forecast = context.load.run()
    with mock.patch.object(PeakForecast, "expected", return_value=[]):
        context.without = PoolLoad(shape, SlotPool).run()


@then("fewer than 8 in 10 as many slots are revoked with the forecast")
def then_fewer_revoked(context: Context) -> None:
    revoked = context.with_forecast.revoked
    assert revoked < 0.8 * context.without.revoked, (revoked, context.without.revoked)


@then("all items that are due are completed in time with the forecast")
def then_due_in_time(context: Context) -> None:
    assert max(context.with_forecast.item_times_ms) <= DUE_MS
    assert not context.load.overdue_items


@when("the demand of 24 s is {demand}")
def when_demand(context: Context, demand: str) -> None:
    numbers = random.Random(1)
    random_walk = list(accumulate(numbers.gauss(0, 20) for _ in range(BIN_COUNT)))
    seconds = [number * BIN_MS / 1_000 for number in range(BIN_COUNT)]
    means = {
        "periodic": [58 if second % 5.8 < 3.4 else 289 for second in seconds],
        "steady": [170] * BIN_COUNT,
        "rising": [20 + 10 * second for second in seconds],
        "one peak": [289 if 10 < second < 14 else 58 for second in seconds],
        "random": [max(0, 200 + step) for step in random_walk],
    }[demand]
    bins = [max(0, int(numbers.gauss(mean, mean**0.5))) for mean in means]
    context.period_ms = find_period(bins) * BIN_MS


@then("the detected period is {period:d} ms")
def then_period(context: Context, period: int) -> None:
    assert abs(context.period_ms - period) <= BIN_MS, context.period_ms


@when(
    "an item of {remaining:d} ms would start 1000 ms before the peak"
    " beside {batch:d} items, {required:d} required"
)
def when_before_peak(context: Context, remaining: int, batch: int, required: int) -> None:
    bins_before = 1_000 // BIN_MS
    starts = ItemStarts(10, [10] * bins_before + [80] * 24, 100, batch, required)
    context.outcome = "starts" if starts.may_start(remaining, 0) else "waits"


@then("that item {outcome}")
def then_outcome(context: Context, outcome: str) -> None:
    assert context.outcome == outcome


@when(
    "{items:d} items of {item_ms:d} ms with {left_ms:d} ms until their latest start"
    " wait for {slots:d} usable slots"
)
def when_items_wait(context: Context, items: int, item_ms: int, left_ms: int, slots: int) -> None:
    start_by_ms = [START_MS + left_ms] * items
    context.required = required_starts(start_by_ms, slots, item_ms, START_MS)


@then("{count:d} of them have to start now")
def then_required(context: Context, count: int) -> None:
    assert context.required == count, context.required
