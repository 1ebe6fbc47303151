"""Steps for the pool's policies, in simulated time and without a network."""

from typing import Any

from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import (
    HeldGrant,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    WorkClass,
)
from briarvale.errors import OwnerUnreachable
from briarvale.live_servers import LiveServer
from briarvale.peer import PeerAddress
from briarvale.pool_server import ServerRuns
from briarvale.slot_pool import BATCH_GRACE_MS, REPORT_GRACE_MS, SlotPool
from features.support.holders import RecordingHolder
from features.support.pool_load import LoadResult, LoadShape, PoolLoad

# An order of magnitude above a revocation: one message, a cancel at the engine and a release.
SLOT_RETURN_MS = 50
TIMEOUT_MS = 2_400
DUE_MS = 18_000
SEEDS = (1, 2, 3)


class ManualClock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.ms = 1_000_000

    def now_ms(self) -> int:
        """Returns the current time of the test."""
        return self.ms


def ready_server(name: str, slots: int) -> LiveServer:
    """Returns a ready server."""
    return LiveServer(name, "desk", PeerAddress("127.0.0.1", 1), "a", slots)


def slot_request(request_id: str, clock: ManualClock, **changes: Any) -> SlotRequest:
    """Returns a request for a slot."""
    request = SlotRequest(
        request_id=request_id,
        backend_server="desk",
        work_class=WorkClass.ONLINE,
        slot_count=1,
        deadline_ms=clock.ms + TIMEOUT_MS,
    )
    return request._replace(**changes)


def ready_pool(clock: ManualClock, *servers: LiveServer) -> SlotPool:
    """Returns a new pool whose grace periods have ended."""
    pool = SlotPool("desk", clock)
    pool.configure(servers)
    clock.ms += BATCH_GRACE_MS
    return pool


@when(
    "online load steps between {low:d} and {high:d} requests a second over 5 batch items a second"
)
def when_steps(context: Context, low: int, high: int) -> None:
    shape = LoadShape(low_per_s=low, high_per_s=high)
    context.result = PoolLoad(shape, SlotPool).run()


@then("99 in 100 online requests wait no longer than the revocation of a slot takes")
def then_waits(context: Context) -> None:
    assert context.result.wait_ms(0.99) <= SLOT_RETURN_MS, context.result.wait_ms(0.99)
    assert context.result.online_refused == 0


@then("8 in 10 online requests get their slots early enough for an answer in time")
def then_in_time(context: Context) -> None:
    waits_ms = context.result.online_waits_ms
    in_time = sum(wait_ms <= LoadShape().slack_ms for wait_ms in waits_ms)
    assert in_time >= 0.8 * len(waits_ms), (in_time, len(waits_ms))


@then("fewer than 1 in 4 batch starts are revoked before they have done any work")
def then_early(context: Context) -> None:
    result = context.result
    assert result.revoked_early < result.starts / 4, (result.revoked_early, result.starts)


@then("95 in 100 items are completed within 18 s")
def then_due(context: Context) -> None:
    times = sorted(context.result.item_times_ms)
    assert times[int(0.95 * len(times))] <= DUE_MS, times[int(0.95 * len(times))]


@when("items arrive at 8 a second, which the slots can carry, and at 12 and 20 a second")
def when_overload(context: Context) -> None:
    context.results = {
        rate: [PoolLoad(LoadShape(items_per_s=rate, seed=seed), SlotPool).run() for seed in SEEDS]
        for rate in (8, 12, 20)
    }


@then("9 in 10 of the completed items are completed within 18 s at each rate")
def then_completed_in_time(context: Context) -> None:
    for rate, results in context.results.items():
        done = sum(result.items_done for result in results)
        assert items_in_time(results) >= 0.9 * done, (rate, items_in_time(results), done)


@then("at the higher rates at least as many are completed within 18 s")
def then_as_many(context: Context) -> None:
    in_time = {rate: items_in_time(results) for rate, results in context.results.items()}
    assert in_time[12] >= in_time[8] and in_time[20] >= in_time[8], in_time


def items_in_time(results: list[LoadResult]) -> int:
    """Returns how many items of several loads were completed by their due date."""
    return sum(time_ms <= DUE_MS for result in results for time_ms in result.item_times_ms)


@then("no online request waits longer than its caller's timeout")
def then_within_timeout(context: Context) -> None:
    assert max(context.result.online_waits_ms) <= TIMEOUT_MS


@then("batch items are still completed")
def then_items(context: Context) -> None:
    assert context.result.items_done > 0


@when("400 requests arrive at once at a pool of 8 slots")
def when_crowd(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = ready_pool(clock, ready_server("i-0", 8))
    for number in range(8):
        pool.submit(slot_request(f"first-{number}", clock), context.holder)
    clock.ms += 750
    for grant in context.holder.messages_of(SlotGrant):
        pool.release(SlotRelease(grant.grant_id, Outcome.FINISHED))
    for number in range(400):
        pool.submit(slot_request(f"r-{number}", clock), context.holder)
    context.clock = clock


@then("those that would wait beyond their deadline are refused at once, with a retry time")
def then_refused(context: Context) -> None:
    refusals = context.holder.messages_of(SlotRefusal)
    # 8 slots of 750 ms serve about 26 requests in the 2,400 ms that a caller waits.
    assert 400 - 8 - 28 <= len(refusals) <= 400 - 8 - 20, len(refusals)
    assert all(refusal.retry_at_ms > context.clock.ms for refusal in refusals)


@when("online requests arrive at a pool full of items")
def when_full(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = ready_pool(clock, ready_server("i-0", 4))
    for number in range(4):
        due = {"work_class": WorkClass.BATCH, "start_by_ms": clock.ms + 1_000 * number}
        pool.submit(slot_request(f"item-{number}", clock, **due), context.holder)
    context.items = {
        grant.grant_id: grant.request_id for grant in context.holder.messages_of(SlotGrant)
    }
    for number in range(2):
        pool.submit(slot_request(f"r-{number}", clock), context.holder)


@then("the items due last are revoked, one for each request")
def then_last(context: Context) -> None:
    revoked = [context.items[revoke.grant_id] for revoke in context.holder.messages_of(SlotRevoke)]
    assert revoked == ["item-3", "item-2"], revoked


@when("a holder reports its grants to a new pool that gets requests at once")
def when_reports(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = SlotPool("desk", clock)
    pool.configure([ready_server("i-0", 3)])
    for number in range(3):
        pool.submit(
            slot_request(f"item-{number}", clock, work_class=WorkClass.BATCH), context.holder
        )
    pool.submit(slot_request("online", clock), context.holder)
    assert not context.holder.messages_of(SlotGrant)
    refusals = [(r.request_id, r.code) for r in context.holder.messages_of(SlotRefusal)]
    assert refusals == [("online", OwnerUnreachable.code)], refusals
    held = [HeldGrant(f"old-{n}", "i-0", slot_count=1, pool="desk") for n in range(2)]
    pool.report(RecordingHolder(), tuple(held))
    clock.ms += REPORT_GRACE_MS
    pool.tick()
    assert not context.holder.messages_of(SlotGrant)
    clock.ms += BATCH_GRACE_MS
    pool.tick()


@then(
    "the new pool refuses online requests, which proceed without an owner, and grants no held slot"
)
def then_no_held_slot(context: Context) -> None:
    assert len(context.holder.messages_of(SlotGrant)) == 1


@when("one of two servers fails each run")
def when_fails(context: Context) -> None:
    clock, holder = ManualClock(), RecordingHolder()
    pool = ready_pool(clock, ready_server("i-bad", 4), ready_server("i-good", 4))
    context.granted = []
    for number in range(50):
        pool.submit(slot_request(f"r-{number}", clock), holder)
        grant = holder.messages_of(SlotGrant)[-1]
        context.granted.append(grant.backend_server)
        outcome = Outcome.FAILED if grant.backend_server == "i-bad" else Outcome.FINISHED
        pool.release(SlotRelease(grant.grant_id, outcome))
        clock.ms += 50


@then("most requests are granted at the other one")
def then_good(context: Context) -> None:
    assert context.granted.count("i-bad") <= 5, context.granted.count("i-bad")


@when("holders report 6 items on a server of 4 slots")
def when_over(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = ready_pool(clock, ready_server("i-0", 4))
    held = [
        HeldGrant(f"g-{n}", "i-0", work_class=WorkClass.BATCH, slot_count=1, pool="desk")
        for n in range(6)
    ]
    pool.report(context.holder, tuple(held))


@then("the 2 items due last are revoked")
def then_excess(context: Context) -> None:
    revoked = [revoke.grant_id for revoke in context.holder.messages_of(SlotRevoke)]
    assert revoked == ["g-5", "g-4"], revoked


@when("items request slots of a new pool of 8 slots")
def when_items_fresh(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    pool = SlotPool("desk", clock)
    pool.configure([ready_server("i-0", 8)])
    for number in range(8):
        pool.submit(
            slot_request(f"item-{number}", clock, work_class=WorkClass.BATCH), context.holder
        )
    clock.ms += 900
    pool.tick()
    context.early_grants = len(context.holder.messages_of(SlotGrant))
    clock.ms += 200
    pool.tick()


@then("none starts within the first second, and all start after it")
def then_none_early(context: Context) -> None:
    assert context.early_grants == 0
    assert len(context.holder.messages_of(SlotGrant)) == 8


@when("one of two servers reports 4 runs without a grant")
def when_foreign(context: Context) -> None:
    clock, context.holder = ManualClock(), RecordingHolder()
    context.pool = pool = ready_pool(clock, ready_server("i-busy", 4), ready_server("i-free", 4))
    assert {server.id for server in pool.servers_to_probe()} == {"i-busy", "i-free"}
    pool.record_runs(ServerRuns("i-busy", 4, 0))
    pool.submit(slot_request("online", clock), context.holder)
    for number in range(7):
        pool.submit(
            slot_request(f"item-{number}", clock, work_class=WorkClass.BATCH), context.holder
        )


@then("online requests prefer the other server and items start only there")
def then_prefer(context: Context) -> None:
    granted = [grant.backend_server for grant in context.holder.messages_of(SlotGrant)]
    assert granted == ["i-free"] * 4, granted


@then("once the runs are over, items start on both")
def then_both(context: Context) -> None:
    context.pool.record_runs(ServerRuns("i-busy", 0, 0))
    granted = [grant.backend_server for grant in context.holder.messages_of(SlotGrant)]
    assert granted.count("i-busy") == 4, granted


@when("online load runs on 9 servers of which 2 fail half of their runs after 20 ms")
def when_two_fail(context: Context) -> None:
    context.result = PoolLoad(LoadShape(failing_servers=2), SlotPool).run()


@then("fewer than half as many requests fail as with equal shares")
def then_few_fail(context: Context) -> None:
    equal_share = 2 / 9 * 0.5
    share = context.result.online_failed / len(context.result.online_times_ms)
    assert share < equal_share / 2, share


@then("no request is refused")
def then_none_refused(context: Context) -> None:
    assert context.result.online_refused == 0, context.result.online_refused


@when("online load runs on 9 servers of which 9 fail 6 in 10 of their runs after 20 ms")
def when_all_fail(context: Context) -> None:
    context.result = PoolLoad(LoadShape(failing_servers=9, failing_share=0.6), SlotPool).run()


@then("no request is refused, and none waits longer than its caller's timeout")
def then_all_run(context: Context) -> None:
    then_none_refused(context)
    then_within_timeout(context)


@when("a low online load runs on 9 servers of which 2 take three times as long")
def when_slow(context: Context) -> None:
    shape = LoadShape(high_per_s=14, items_per_s=0.1, slow_servers=2)
    context.result = PoolLoad(shape, SlotPool).run()


@then("fewer than a quarter as many requests run there as with equal shares")
def then_few_slow(context: Context) -> None:
    shape = LoadShape()
    times_ms = context.result.online_times_ms
    # No run elsewhere takes this long.
    slow = sum(took_ms > 1.5 * shape.online_ms for took_ms in times_ms)
    assert slow < len(times_ms) * 2 / 9 / 4, (slow, len(times_ms))


@when("online load runs on 9 servers of which 2 hang in 4 of 10 runs until callers time out")
def when_hang(context: Context) -> None:
    context.result = PoolLoad(LoadShape(hanging_servers=2), SlotPool).run()


@then("fewer than half as many requests hang as with equal shares")
def then_few_hang(context: Context) -> None:
    equal_share = 2 / 9 * 0.4
    share = context.result.online_hung / len(context.result.online_times_ms)
    assert share < equal_share / 2, share
