"""Steps for a single slot queue, with holders that record their messages."""

from collections.abc import Awaitable, Callable

import anyio
from behave import given, then, when
from behave.runner import Context

from briarvale._generated.messages import (
    HeldGrant,
    HolderReport,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    WorkClass,
)
from briarvale._generated.rules import Rules, Share
from briarvale.clock import Clock
from briarvale.config import BackendServer, Config
from briarvale.slot_owner import SlotOwner
from briarvale.slot_queue import SlotQueue
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from features.support.holders import RecordingHolder
from features.support.virtual import run_virtual

SHARES = (Share("cyweirio", 60), Share("trust", 40))
SERVER = BackendServer("bs-1", "reed-desk", "", 0, "wales", "caerdydd")
START_S = 1.0

# What a Given or When step does to the queue. `check` replays all of them for each Then step.
Step = Callable[["QueueHarness"], Awaitable[None]]


class QueueHarness:
    """One slot queue with a holder, and the requests submitted to it."""

    def __init__(self, slots: int, rules: Rules) -> None:
        self.clock = Clock(1_800_000_000_000)
        self.rules = rules
        self.queue = SlotQueue(SERVER._replace(slots=slots), self.clock, rules)
        self.holder = RecordingHolder()
        self.requests: dict[str, SlotRequest] = {}
        self.released: set[str] = set()
        self.submitted_at_ms = 0

    def submit_request(
        self, member: str, work: WorkClass, cost: int = 100, **fields: int
    ) -> SlotRequest:
        """Submits one request; `fields` override its fields."""
        request_id = f"r{len(self.requests)}"
        self.submitted_at_ms = self.clock.now_ms()
        deadline_ms = self.submitted_at_ms + 600_000
        request = SlotRequest(request_id, "bs-1", member, work, 1, cost, deadline_ms)
        request = request._replace(**fields)
        self.requests[request_id] = request
        self.queue.submit(request, self.holder)
        return request

    def messages_of(self, kind: type) -> list:
        """Returns the messages of one kind."""
        return self.holder.messages_of(kind)

    def held_grants(self, member: str, work: WorkClass) -> list[SlotGrant]:
        """Returns the grants of a member that are not released, the oldest first."""
        return [
            grant
            for grant in self.messages_of(SlotGrant)
            if grant.grant_id not in self.released
            and self.requests[grant.request_id].member == member
            and self.requests[grant.request_id].work_class is work
        ]

    def reported_grants(self) -> tuple[HeldGrant, ...]:
        """Returns all grants, also released ones, as their holder would report them."""
        requests = [
            (grant, self.requests[grant.request_id]) for grant in self.messages_of(SlotGrant)
        ]
        return tuple(
            HeldGrant(grant.grant_id, "bs-1", request.member, request.work_class, 1, 100)
            for grant, request in requests
        )

    def release(self, grant_id: str, time_between_tokens_ms: int = 0) -> None:
        """Releases one grant."""
        self.released.add(grant_id)
        release = SlotRelease(grant_id, Outcome.FINISHED, 0, time_between_tokens_ms)
        self.queue.release(release)

    def release_revoked(self) -> None:
        """Releases revoked slots until no more are revoked."""
        while True:
            revoked = {revoke.grant_id for revoke in self.messages_of(SlotRevoke)} - self.released
            if not revoked:
                return
            for grant_id in sorted(revoked):
                self.release(grant_id)

    async def wait(self, seconds: float) -> None:
        """Advances the time, with the heartbeats of the holder and the ticks of the owner."""
        until_s = anyio.current_time() + seconds
        while anyio.current_time() < until_s:
            await anyio.sleep(0.1)
            self.queue.renew(self.holder)
            self.queue.tick()


def add_step(context: Context, step: Step) -> None:
    context.queue_steps.append(step)


def check(context: Context, predicate: Callable[[QueueHarness], bool]) -> None:
    """Replays all steps so far in virtual time, then checks."""

    async def replay() -> tuple[bool, str]:
        harness = QueueHarness(context.slot_count, context.queue_rules)
        await harness.wait(START_S)
        for step in context.queue_steps:
            await step(harness)
        return predicate(harness), f"{harness.queue.usage} queued {harness.queue.queued}"

    is_true, state = run_virtual(replay)
    assert is_true, state


@given("a slot queue of {slots:d} slots with harm weight {weight:g}")
def given_queue(context: Context, slots: int, weight: float) -> None:
    context.slot_count = slots
    context.queue_rules = Rules(SHARES, batch_budget_percent=100, harm_weight=weight)
    context.queue_steps = []


@given("a slot queue of {slots:d} slots with harm weight {weight:g} and priority member {member}")
def given_priority_queue(context: Context, slots: int, weight: float, member: str) -> None:
    given_queue(context, slots, weight)
    context.queue_rules = context.queue_rules._replace(priority_member=member)


@given(
    "a slot queue of {slots:d} slots with harm weight {weight:g}"
    " and a batch budget of {percent:g} %"
)
def given_budget_queue(context: Context, slots: int, weight: float, percent: float) -> None:
    given_queue(context, slots, weight)
    context.queue_rules = context.queue_rules._replace(batch_budget_percent=percent)


@given("batch requests of {member} hold every slot")
def given_batch_full(context: Context, member: str) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(context.slot_count):
            harness.submit_request(member, WorkClass.BATCH)
        assert len(harness.held_grants(member, WorkClass.BATCH)) == context.slot_count
        await harness.wait(1)

    add_step(context, step)


@given("online requests of cyweirio hold every slot that they may")
def given_online_full(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(context.slot_count):
            harness.submit_request("cyweirio", WorkClass.ONLINE)

    add_step(context, step)


@given("online slots were held for {hold_ms:d} ms each")
def given_hold_times(context: Context, hold_ms: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(10):
            harness.submit_request("cyweirio", WorkClass.ONLINE)
            await harness.wait(hold_ms / 1_000)
            harness.release(harness.messages_of(SlotGrant)[-1].grant_id)

    add_step(context, step)


@when("{count:d} {work} requests of {member} ask for slots")
def when_ask(context: Context, count: int, work: str, member: str) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(count):
            harness.submit_request(member, WorkClass(work))

    add_step(context, step)


@when("{count:d} batch requests of {member} ask for slots over {seconds:d} s")
def when_ask_over(context: Context, count: int, member: str, seconds: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(count):
            harness.submit_request(member, WorkClass.BATCH)
        await harness.wait(seconds)

    add_step(context, step)


@when("{member} sends {count:d} online requests that may wait {wait_ms:d} ms")
def when_ask_deadline(context: Context, member: str, count: int, wait_ms: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(count):
            harness.submit_request(
                member, WorkClass.ONLINE, deadline_ms=harness.clock.now_ms() + wait_ms
            )

    add_step(context, step)


@when("both members keep 20 online requests of different cost waiting while 400 are served")
def when_backlog(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        costs = {"cyweirio": 50, "trust": 400}
        end_times: dict[str, int] = {}
        # Simulated time: a request holds its slot for as many units as it costs tokens.
        now = 0
        while len(harness.messages_of(SlotGrant)) < 400:
            waiting = dict.fromkeys(costs, 0)
            granted = {grant.request_id for grant in harness.messages_of(SlotGrant)}
            for request_id, request in harness.requests.items():
                waiting[request.member] += request_id not in granted
            for member, cost in costs.items():
                for _ in range(20 - waiting[member]):
                    harness.submit_request(member, WorkClass.ONLINE, cost)
            held = [g for g in harness.messages_of(SlotGrant) if g.grant_id not in harness.released]
            for grant in held:
                end_times.setdefault(
                    grant.grant_id, now + harness.requests[grant.request_id].cost_tokens
                )
            first = min(held, key=lambda grant: end_times[grant.grant_id])
            now = end_times[first.grant_id]
            harness.release(first.grant_id)

    add_step(context, step)


@when(
    "batch requests of {member} due {first:d}, {second:d} and {third:d} ms from now ask for slots"
)
def when_due(context: Context, member: str, first: int, second: int, third: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for due_ms in (first, second, third):
            start_by_ms = harness.clock.now_ms() + due_ms
            # The cost identifies the request in `then_slack`.
            harness.submit_request(
                member, WorkClass.BATCH, start_by_ms=start_by_ms, cost_tokens=due_ms
            )

    add_step(context, step)


@when("{count:d} costly online requests of {member} arrive")
def when_ask_costly(context: Context, count: int, member: str) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(count):
            harness.submit_request(member, WorkClass.ONLINE, 1_000)

    add_step(context, step)


@when("the revoked slots are released")
def when_revoked_released(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        harness.release_revoked()

    add_step(context, step)


@when("every slot is released")
def when_all_released(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        for grant in [
            g for g in harness.messages_of(SlotGrant) if g.grant_id not in harness.released
        ]:
            harness.release(grant.grant_id)

    add_step(context, step)


@when("the oldest online slot is released")
def when_oldest_released(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        harness.release(harness.held_grants("cyweirio", WorkClass.ONLINE)[0].grant_id)

    add_step(context, step)


@when("{count:d} online slots are released at once")
def when_some_released(context: Context, count: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for grant in harness.held_grants("cyweirio", WorkClass.ONLINE)[:count]:
            harness.release(grant.grant_id)

    add_step(context, step)


@when("{seconds:d} s pass")
def when_time_passes(context: Context, seconds: int) -> None:
    async def step(harness: QueueHarness) -> None:
        await harness.wait(seconds)

    add_step(context, step)


@when("streams end with {between_ms:d} ms between tokens for {seconds:d} s")
def when_streams_end(context: Context, between_ms: int, seconds: int) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(seconds * 5):
            harness.submit_request("cyweirio", WorkClass.ONLINE)
            await harness.wait(0.2)
            harness.release(harness.messages_of(SlotGrant)[-1].grant_id, between_ms)

    add_step(context, step)


@when("the configuration declares {slots:d} slots and a share of {percent:g} % for trust")
def when_configured(context: Context, slots: int, percent: float) -> None:
    async def step(harness: QueueHarness) -> None:
        shares = (Share("cyweirio", 100 - percent), Share("trust", percent))
        rules = harness.rules._replace(shares=shares)
        harness.queue.configure(SERVER._replace(slots=slots), rules)

    add_step(context, step)


@then("{count:d} batch slots are revoked and no slot twice")
def then_revoked(context: Context, count: int) -> None:
    def is_revoked_once(harness: QueueHarness) -> bool:
        harness.queue.tick()
        revoked = [revoke.grant_id for revoke in harness.messages_of(SlotRevoke)]
        return len(revoked) == len(set(revoked)) == count

    check(context, is_revoked_once)


@then("cyweirio holds {online:d} online slots and trust {batch:d} batch slots")
def then_held(context: Context, online: int, batch: int) -> None:
    check(
        context,
        lambda harness: (
            len(harness.held_grants("cyweirio", WorkClass.ONLINE)) == online
            and len(harness.held_grants("trust", WorkClass.BATCH)) == batch
        ),
    )


@then("cyweirio holds {first:d} batch slots and trust {second:d}")
def then_batch_held(context: Context, first: int, second: int) -> None:
    check(
        context,
        lambda harness: (
            len(harness.held_grants("cyweirio", WorkClass.BATCH)) == first
            and len(harness.held_grants("trust", WorkClass.BATCH)) == second
        ),
    )


@then("trust holds at most {count:d} batch slots")
def then_at_most(context: Context, count: int) -> None:
    check(context, lambda harness: len(harness.held_grants("trust", WorkClass.BATCH)) <= count)


@then("trust holds at least {count:d} batch slots")
def then_at_least(context: Context, count: int) -> None:
    check(context, lambda harness: len(harness.held_grants("trust", WorkClass.BATCH)) >= count)


@then("cyweirio got between {low:g} and {high:g} of the served tokens")
def then_tokens(context: Context, low: float, high: float) -> None:
    def is_within(harness: QueueHarness) -> bool:
        served = [harness.requests[grant.request_id] for grant in harness.messages_of(SlotGrant)]
        own = sum(request.cost_tokens for request in served if request.member == "cyweirio")
        return low <= own / sum(request.cost_tokens for request in served) <= high

    check(context, is_within)


@then("the latest grant is trust's")
def then_latest(context: Context) -> None:
    check(
        context,
        lambda harness: harness.requests[harness.messages_of(SlotGrant)[-1].request_id].member
        == "trust",
    )


@then("cyweirio borrows online slots and the usage shows it")
def then_borrows(context: Context) -> None:
    def is_borrowing(harness: QueueHarness) -> bool:
        held = len(harness.held_grants("cyweirio", WorkClass.ONLINE))
        usage = next(u for u in harness.queue.usage if u.member == "cyweirio")
        return held > 12 and usage.borrowed_slots == held - 12

    check(context, is_borrowing)


@then("trust holds {count:d} online slots and cyweirio less than {limit:d}")
def then_reserve(context: Context, count: int, limit: int) -> None:
    check(
        context,
        lambda harness: (
            len(harness.held_grants("trust", WorkClass.ONLINE)) == count
            and len(harness.held_grants("cyweirio", WorkClass.ONLINE)) < limit
        ),
    )


@then("the batch requests due after {first:d} and {second:d} ms hold the slots")
def then_slack(context: Context, first: int, second: int) -> None:
    def is_served(harness: QueueHarness) -> bool:
        held = harness.held_grants("trust", WorkClass.BATCH)
        return [harness.requests[g.request_id].cost_tokens for g in held] == [first, second]

    check(context, is_served)


@then(
    "at most {count:d} requests wait"
    " and all others are granted or refused with a later retry_at_ms"
)
def then_bounded(context: Context, count: int) -> None:
    def is_bounded(harness: QueueHarness) -> bool:
        refusals = harness.messages_of(SlotRefusal)
        granted = len(harness.messages_of(SlotGrant))
        answers_add_up = harness.queue.queued + granted + len(refusals) == 400
        are_later = all(refusal.retry_at_ms > harness.submitted_at_ms for refusal in refusals)
        return answers_add_up and harness.queue.queued <= count and are_later

    check(context, is_bounded)


@then("the latest request waits or is granted")
def then_not_refused(context: Context) -> None:
    check(
        context,
        lambda harness: harness.messages_of(SlotRefusal)[-1].request_id
        != f"r{len(harness.requests) - 1}",
    )


@then("some requests are refused at once, with a retry_at_ms after their deadline")
def then_early_refusal(context: Context) -> None:
    def is_early(harness: QueueHarness) -> bool:
        refusals = harness.messages_of(SlotRefusal)
        deadlines_ms = [harness.requests[r.request_id].deadline_ms for r in refusals]
        at_once = harness.clock.now_ms() == harness.submitted_at_ms
        return (
            at_once
            and 0 < len(refusals) < 10
            and all(r.retry_at_ms > min(deadlines_ms) for r in refusals)
        )

    check(context, is_early)


@then("the slot limit is below {count:d}")
def then_limit_below(context: Context, count: int) -> None:
    check(context, lambda harness: harness.queue.limit < count)


@then("the slot limit is {count:d}")
def then_limit(context: Context, count: int) -> None:
    check(context, lambda harness: harness.queue.limit == count)


@then("the share of trust is {slots:g} slots")
def then_share(context: Context, slots: float) -> None:
    check(
        context,
        lambda harness: any(
            usage.member == "trust" and abs(usage.share_slots - slots) < 1e-6
            for usage in harness.queue.usage
        ),
    )


@when("a new owner takes over and {count:d} online requests of trust arrive before the report")
def when_next_owner(context: Context, count: int) -> None:
    async def step(harness: QueueHarness) -> None:
        held = harness.reported_grants()
        harness.queue = SlotQueue(harness.queue.server, harness.clock, harness.rules)
        harness.holder.messages.clear()
        for _ in range(count):
            harness.submit_request("trust", WorkClass.ONLINE)
        await harness.wait(0.2)
        harness.queue.report(harness.holder, held)
        await harness.wait(1)

    add_step(context, step)


@when("the holder connects again and reports {count:d} slot")
def when_reconnected(context: Context, count: int) -> None:
    async def step(harness: QueueHarness) -> None:
        held = harness.reported_grants()
        harness.queue.drop_holder(harness.holder)
        harness.holder = RecordingHolder()
        harness.queue.report(harness.holder, held[:count])

    add_step(context, step)


@when("the report reaches a dispatcher just before it becomes the owner")
def when_early_report(context: Context) -> None:
    async def step(harness: QueueHarness) -> None:
        fleet = MemoryFleet(FleetSettings(slots=context.slot_count))
        owner = SlotOwner(harness.clock)
        owner.handle(harness.holder, HolderReport(harness.reported_grants()))
        config = Config.from_texts(1, fleet.inventory_text(), fleet.rules_text())
        owner.reconcile(config, {"bs-1"})
        harness.queue = owner.granter("bs-1")

    add_step(context, step)


@then("at most {count:d} slots are held and the reported ones are among them")
def then_adopted(context: Context, count: int) -> None:
    check(
        context,
        lambda harness: (
            harness.queue.held <= count
            and sum(
                usage.online_slots for usage in harness.queue.usage if usage.member == "cyweirio"
            )
            >= 3
        ),
    )


@then("{count:d} slots are counted as held at once")
def then_counted(context: Context, count: int) -> None:
    check(context, lambda harness: harness.queue.held == count)


@when("{count:d} {work} prompts of {tokens:d} tokens from {member} arrive")
def when_prompts(context: Context, count: int, work: str, tokens: int, member: str) -> None:
    async def step(harness: QueueHarness) -> None:
        for _ in range(count):
            harness.submit_request(member, WorkClass(work), tokens + 100, prompt_tokens=tokens)

    add_step(context, step)


@then("the second grant is trust's and all {count:d} are granted")
def then_second(context: Context, count: int) -> None:
    def is_second(harness: QueueHarness) -> bool:
        members = [
            harness.requests[grant.request_id].member for grant in harness.messages_of(SlotGrant)
        ]
        return len(members) == count and members[1] == "trust"

    check(context, is_second)
