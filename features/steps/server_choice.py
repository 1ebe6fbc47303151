"""Steps for the choice of servers, in simulated time and without a network."""

from statistics import median
from typing import Any
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotGrant, SlotRelease, SlotRequest
from briarvale.grants import Grant
from briarvale.pool_health import PoolHealth
from briarvale.pool_server import PoolServer
from briarvale.pools import PrefixHoldings, RunStart, ServerChooser
from briarvale.pools.prefix_holdings import PromptShape
from features.steps.pool_policy import ManualClock, ready_pool, ready_server, slot_request
from features.support.holders import RecordingHolder
from features.support.platform_fleet import MODEL, Caller, PlatformFleet, job_body
from features.support.platform_jobs import ITEMS, read_all, run_on_fleet, submit_job
from features.support.server_model import ModelShape, ServerModel

EVENTS = 18
STEP_MS = 40
USUAL_MS = 400


@when("load runs on servers of unlike speeds")
def when_unlike(context: Context) -> None:
    context.model = ServerModel(ModelShape()).run()


@when("load runs on servers of one speed")
def when_alike(context: Context) -> None:
    context.model = ServerModel(ModelShape(speeds=(1.0,))).run()


@then("each server's step time is estimated within a fifth")
def then_estimated(context: Context) -> None:
    servers = context.model.servers
    middle = median(1 / server.speed for server in servers.values())
    for name, server in servers.items():
        off = context.model.pool.server(name).speed.step_factor * server.speed * middle
        assert abs(off - 1) <= 0.2, (name, off)


@then("the busiest server gets at most {bound:f} times the mean, relative to its speed")
def then_spread(context: Context, bound: float) -> None:
    assert context.model.spread <= bound, context.model.spread


@when("load with shared prompt parts runs on servers of {tokens:d} tokens")
def when_shared(context: Context, tokens: int) -> None:
    shape = ModelShape((1.0,), tokens, tokens)
    context.model = ServerModel(shape).run()
    context.baseline = ServerModel(shape._replace(known_capacity_tokens=1)).run()


@then(
    "at most {share:f} times as many shared parts are prefilled again as if the pool knew of none"
)
def then_again(context: Context, share: float) -> None:
    again = context.model.prefilled_again, context.baseline.prefilled_again
    assert again[0] <= share * again[1], again


@when("a server's steps take 3 times as long after 30 runs")
def when_slower(context: Context) -> None:
    context.clock, context.chooser = ManualClock(), ServerChooser()
    context.servers = {name: PoolServer(ready_server(name, 8)) for name in ("i-0", "i-1", "i-2")}
    for _ in range(30):
        finish_runs(context, i_0=STEP_MS, i_1=STEP_MS, i_2=STEP_MS)
    assert context.servers["i-0"].speed.step_factor == 1
    for _ in range(10):
        finish_runs(context, i_0=3 * STEP_MS, i_1=STEP_MS, i_2=STEP_MS)


def finish_runs(context: Context, **steps_ms: int) -> None:
    """Lets a run of each server end, whose steps take so long."""
    for name, step_ms in steps_ms.items():
        server = context.servers[name.replace("_", "-")]
        times = {"first_event_ms": STEP_MS, "last_event_ms": STEP_MS + (EVENTS - 1) * step_ms}
        release = SlotRelease("g", Outcome.FINISHED, event_count=EVENTS, **times)
        run = grant_of(slot_request("r", context.clock), server, context.clock)
        context.chooser.record_end(server, run, release, context.clock.ms)
    context.clock.ms += 100
    context.chooser.tick(context.servers, context.clock.ms)


def grant_of(request: SlotRequest, server: PoolServer, clock: ManualClock, **known: float) -> Grant:
    """Returns the grant of a run that starts now."""
    return Grant.from_request(
        request,
        RecordingHolder(),
        pool="desk",
        backend_server=server.live_server.id,
        granted_at_ms=clock.ms,
        expires_at_ms=clock.ms + 4_000,
        start=RunStart(running=1, **known),
    )


@then("it counts as slow after 10 more runs")
def then_slow(context: Context) -> None:
    assert context.servers["i-0"].speed.step_factor > 2.5, context.servers["i-0"].speed.step_factor


@then("its replacement counts as a server of median speed")
def then_median(context: Context) -> None:
    context.servers["i-0"] = PoolServer(ready_server("i-0", 8))
    finish_runs(context, i_1=STEP_MS, i_2=STEP_MS)
    assert context.servers["i-0"].speed.step_factor == 1


@when(
    "{prompts:d} prompts of 1,600 parts of {tokens:d} tokens each run on a server "
    "with memory for 1,000,000"
)
def when_many_parts(context: Context, prompts: int, tokens: int) -> None:
    context.holdings = PrefixHoldings()
    context.holdings.capacity_tokens = 1_000_000
    for number in range(prompts):
        part_ids = tuple(f"{number}-{part}" for part in range(1_600))
        part_tokens = (*[tokens] * 1_599, 50)
        context.prompt = PromptShape(part_ids, part_tokens, sum(part_tokens))
        context.holdings.record(context.prompt, 0)


@then("at most 2,048 parts are remembered, and the last prompt counts as cached")
def then_bounded(context: Context) -> None:
    assert len(context.holdings) <= 2_048, len(context.holdings)
    assert context.holdings.cached_tokens(context.prompt) == context.prompt.tokens


@when("prompts of 3 parts exceed the memory of a server")
def when_exceed(context: Context) -> None:
    context.holdings = PrefixHoldings()
    context.holdings.capacity_tokens = 1_000
    context.holdings.record(PromptShape(("a", "b", "own-1"), (200, 200, 200), 600), 0)
    # 300 tokens of running requests leave room for 700: the own part goes first, then "b".
    context.holdings.record(PromptShape(("c", "own-2"), (200, 250), 450), 300)


@then("only the parts used last count as cached, and none without the parts before it")
def then_evicted(context: Context) -> None:
    assert list(context.holdings.parts) == ["a", "own-2", "c"], list(context.holdings.parts)
    assert context.holdings.cached_tokens(PromptShape(("a", "b"), (200, 200), 400)) == 200
    assert context.holdings.cached_tokens(PromptShape(("x", "a"), (100, 200), 300)) == 0


def prompt_request(request_id: str, clock: ManualClock, start_ms: int) -> SlotRequest:
    """Returns a request with a shared part, which may start `start_ms` later."""
    parts = {"prefix_ids": ("shared", request_id), "prefix_tokens": (20_000, 100)}
    start_by_ms = clock.ms + start_ms
    return slot_request(request_id, clock, prompt_tokens=20_100, start_by_ms=start_by_ms, **parts)


@when("a request may start {start:d} ms later, and {spare:d} slots are spare")
def when_may_start(context: Context, start: int, spare: int) -> None:
    tokens, wait_ms = (int(context.active_outline[name]) for name in ("tokens", "wait"))
    clock, chooser = ManualClock(), ServerChooser()
    full, free = (PoolServer(ready_server(name, 1)) for name in ("i-full", "i-free"))
    full.holdings.record(PromptShape(("shared",), (tokens,), tokens), 0)
    run = grant_of(slot_request("r", clock), full, clock, expected_end_ms=clock.ms + wait_ms)
    full.grants.add(run)
    request = prompt_request("new", clock, start)
    request = request._replace(prefix_tokens=(tokens, 100), prompt_tokens=tokens + 100)
    chooser.begin_pass(lambda: spare)
    context.choice = chooser.choose([full, free], request, clock.ms)


@then("the request gets {result}")
def then_gets(context: Context, result: str) -> None:
    server = "" if context.choice is None else context.choice.server.live_server.id
    expected = {"no slot yet": "", "the free server": "i-free"}[result]
    assert server == expected, server


@when("a request waits for a server whose run does not end")
def when_waits(context: Context) -> None:
    context.clock, context.holder = ManualClock(), RecordingHolder()
    pool = ready_pool(context.clock, ready_server("i-full", 1))
    pool.submit(prompt_request("running", context.clock, 600), context.holder)
    pool.configure([ready_server("i-full", 1), ready_server("i-free", 1)])
    # By the pool's default, the run should end 1,000 ms after the prefill of 402 ms.
    context.clock.ms += 1_350
    pool.submit(prompt_request("new", context.clock, 600), context.holder)
    context.waits_from_ms = context.clock.ms
    assert len(context.holder.messages_of(SlotGrant)) == 1
    for _ in range(10):
        if len(context.holder.messages_of(SlotGrant)) == 1:
            context.clock.ms += 100
            pool.tick()


@then("it gets the free server before it must start")
def then_before(context: Context) -> None:
    assert context.holder.messages_of(SlotGrant)[-1].backend_server == "i-free"
    assert context.clock.ms - context.waits_from_ms <= 600


@when("a server that holds a prompt restarts")
def when_restarts(context: Context) -> None:
    clock = ManualClock()
    context.pool = ready_pool(clock, ready_server("i-0", 4)._replace(started_at_ms=1))
    context.pool.submit(prompt_request("first", clock, 600), RecordingHolder())
    assert len(context.pool.server("i-0").holdings) == 2
    context.pool.configure([ready_server("i-0", 4)._replace(started_at_ms=2)])


@then("nothing counts as cached there")
def then_nothing(context: Context) -> None:
    assert len(context.pool.server("i-0").holdings) == 0


@when("its run lasts 2.75 times as long as the usual run of all servers")
def when_lasts(context: Context) -> None:
    context.clock = ManualClock()
    context.servers = {name: PoolServer(ready_server(name, 1)) for name in ("i-0", "i-1", "slow")}
    for name, server in context.servers.items():
        server.speed.step_factor = 2.0 if name == "slow" else 1.0
        for _ in range(5):
            duration_ms = USUAL_MS * server.speed.step_factor
            server.monitor.record_duration(duration_ms, context.clock.ms)
        server.grants.add(grant_of(slot_request(name, context.clock), server, context.clock))
    context.clock.ms += round(2.75 * USUAL_MS)
    PoolHealth(context.servers).compare_durations(context.clock.ms)


@then("that run is not overdue there, and is overdue at a server of usual speed")
def then_not_overdue(context: Context) -> None:
    overdue = {name for name, server in context.servers.items() if server.grants.has_overdue}
    assert overdue == {"i-0", "i-1"}, overdue


@then("a run that lasts twice as long is overdue there")
def then_overdue(context: Context) -> None:
    context.clock.ms += round(2.75 * USUAL_MS)
    PoolHealth(context.servers).compare_durations(context.clock.ms)
    assert context.servers["slow"].grants.has_overdue


@when("a stream and a job of items run on two nodes, with 5,000 tokens of memory configured")
def when_nodes(context: Context) -> None:
    releases: list[SlotRelease] = []

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        service = {"name": MODEL, "engine": {"kv_capacity_tokens": 5_000}}
        fleet.version += 1
        fleet.store.put("config", "main", fleet.config(services=[service]))
        nodes = [node.node for node in fleet.nodes.values() if node.node is not None]
        while not all(node.routes.capacity_tokens(MODEL) for node in nodes):
            await anyio.sleep(0.02)
        headers = {"Briarvale-Prompt-Prefix": "shared:200,own:50"}
        # A new owner grants no slots at first; requests then run without one.
        while not releases:
            await Caller(fleet.nodes["vm-1"]).call("POST", "/ask/", b"prompt", headers=headers)
        await submit_job(fleet.nodes["vm-2"], job_body(ITEMS))
        await read_all(fleet.nodes["vm-1"])
        owner = next(n for n in nodes if n.cluster.pool_owner(MODEL) == n._settings.vm_settings.vm)
        facts["server"] = owner.cluster.pools.granter(MODEL).server("i-0")

    def record_end(self: Any, server: Any, grant: Any, release: SlotRelease, now_ms: int) -> None:
        releases.append(release)

    with mock.patch.object(ServerChooser, "record_end", record_end):
        run_on_fleet(context, action, engines=1)
    context.releases = releases


@then("the owner learns the times of their events")
def then_times(context: Context) -> None:
    finished = [r for r in context.releases if r.outcome is Outcome.FINISHED]
    # Items have no fingerprint.
    assert len([r for r in finished if not r.fingerprint]) == len(ITEMS), finished
    assert any(r.fingerprint for r in finished), finished
    assert all(r.event_count > 1 and r.last_event_ms > r.first_event_ms for r in finished)


@then("the owner knows the prompt parts that the server holds, and its memory")
def then_known(context: Context) -> None:
    holdings = context.facts["server"].holdings
    assert holdings.capacity_tokens == 5_000, holdings.capacity_tokens
    assert holdings.parts["shared"] == 200 and holdings.parts["own"] == 50, holdings.parts
