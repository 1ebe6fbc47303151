"""Steps for the limit on a route's waiting tokens: real nodes on loopback, and virtual time."""

from contextlib import suppress
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.errors import AcceptanceRefused, WaitingTokensExceeded
from briarvale.opaque_jobs import job_key
from features.support.platform_fleet import (
    TOKENS_PER_ITEM,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
)
from features.support.platform_jobs import (
    ITEMS,
    other_than,
    read_all,
    run_on_fleet,
    runs_of,
    submit_job,
)
from features.support.token_schedules import (
    ITEMS_PER_JOB,
    LIMIT,
    TokenNode,
    TokenWorld,
    run_token_schedule,
)
from features.support.virtual import run_virtual

JOB_TOKENS = TOKENS_PER_ITEM * len(ITEMS)
# Items of this gap between events run for longer than the test.
LONG_GAP_S = 10.0
APPLY_TIMEOUT_S = 10.0
# One of them is none: jobs without a workspace share a limit of their own.
WORKSPACES = ("", "huka", "moa")


async def set_limit(fleet: PlatformFleet, max_tokens: int) -> None:
    """Sets the limit of the route for jobs, and waits until each node has it."""
    fleet.version += 1
    config = fleet.config()
    for route in config["routes"]:
        if route["kind"] == "batch":
            route["max_count"] = max_tokens
    fleet.store.put("config", "main", config)
    nodes = [node.node for node in fleet.nodes.values() if node.node]
    with anyio.fail_after(APPLY_TIMEOUT_S):
        while any(n.routes.table is None or n.routes.table.version != fleet.version for n in nodes):
            await anyio.sleep(0.02)


def slow_down(facts: dict[str, Any]) -> None:
    """Makes items run for longer than the test."""
    for engine in facts["engines"]:
        engine.event_gap_s = LONG_GAP_S


async def accepted_within_s(node: FleetNode, job_id: str, items: list[str]) -> float:
    """Submits a job until it is accepted; returns how long that took."""
    started_s = anyio.current_time()
    while (await submit_job(node, job_body(items), job_id)).status != 202:
        await anyio.sleep(0.05)
    return anyio.current_time() - started_s


@when(
    "{jobs:d} jobs of {tokens:d} tokens are submitted to 4 nodes at once"
    " on a route that allows {limit:d}"
)
def when_many(context: Context, jobs: int, tokens: int, limit: int) -> None:
    assert tokens == JOB_TOKENS

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        slow_down(facts)
        await set_limit(fleet, limit)
        nodes = list(fleet.nodes.values())
        answers: dict[str, Answer] = {}

        async def send(number: int) -> None:
            items = [f"item-{number}-{n}" for n in range(len(ITEMS))]
            node = nodes[number % len(nodes)]
            answers[f"job-{number}"] = await submit_job(node, job_body(items), f"job-{number}")

        async with anyio.create_task_group() as tasks:
            for number in range(jobs):
                tasks.start_soon(send, number)
        await anyio.sleep(1.0)
        facts["answers"] = answers
        facts["stored"] = [name for name in fleet.store.names("workjobs") if "." not in name]
        facts["parts"] = {name.partition(".")[0] for name in fleet.store.names("workitems")}

    run_on_fleet(context, action, nodes=4)


@then("{count:d} are accepted, and the others get 429, with when to come back, and never run")
def then_some(context: Context, count: int) -> None:
    answers: dict[str, Answer] = context.facts["answers"]
    accepted = sorted(job_id for job_id, answer in answers.items() if answer.status == 202)
    refused = [answer for answer in answers.values() if answer.status == 429]
    assert len(accepted) == count and len(refused) == len(answers) - count, answers
    assert context.facts["stored"] == accepted
    assert context.facts["parts"] == set(accepted)
    for answer in refused:
        assert answer.json()["code"] == "too_many_waiting_tokens" and answer.json()["not_run"]
        assert float(answer.headers["retry-after"]) > 0
    ran = {seen.request_id.split("-")[1] for e in context.facts["engines"] for seen in e.seen}
    assert ran <= {job_id.split("-")[1] for job_id in accepted}


@when("a job fills a route, and is sent again at once to each other node")
def when_sent_again(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await set_limit(fleet, JOB_TOKENS)
        first, *others = fleet.nodes.values()
        facts["statuses"] = [(await submit_job(first, job_body(ITEMS))).status]
        for node in others:
            facts["statuses"].append((await submit_job(node, job_body(ITEMS))).status)
        await read_all(first)

    run_on_fleet(context, action, nodes=3)


@then("each of them accepts it, and each of its items runs once")
def then_accepted_again(context: Context) -> None:
    assert context.facts["statuses"] == [202, 202, 202], context.facts["statuses"]
    assert [len(runs_of(context.facts, item)) for item in ITEMS] == [1, 1, 1]


@when("a job fills a route and then {event}")
def when_filled(context: Context, event: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await set_limit(fleet, JOB_TOKENS)
        node = next(iter(fleet.nodes.values()))
        other = other_than(fleet, node)
        if event == "is ended":
            slow_down(facts)
        assert (await submit_job(node, job_body(ITEMS))).status == 202
        facts["status"] = (await submit_job(other, job_body(["x-1"]), "job-2")).status
        if event == "is ended":
            answer = await Caller(node).call("DELETE", "/briarvale/lots/job-1")
            assert answer is not None and answer.status == 200
        else:
            await read_all(node)
        with anyio.fail_after(APPLY_TIMEOUT_S):
            facts["took_s"] = await accepted_within_s(other, "job-3", ["y-1", "y-2", "y-3"])

    run_on_fleet(context, action)


@then("a job as large is accepted at another node within {limit_s:g} s")
def then_free_soon(context: Context, limit_s: float) -> None:
    assert context.facts["status"] == 429, context.facts["status"]
    assert context.facts["took_s"] <= limit_s, context.facts["took_s"]


@when("a route's limit is lowered below what waits and then removed")
def when_lowered(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        slow_down(facts)
        node = next(iter(fleet.nodes.values()))
        assert (await submit_job(node, job_body(ITEMS))).status == 202
        statuses = []
        for limit in (10 * JOB_TOKENS, JOB_TOKENS // 2, 0):
            await set_limit(fleet, limit)
            answer = await submit_job(node, job_body([f"z-{limit}"]), f"job-{limit}")
            statuses.append(answer.status)
        facts["statuses"] = statuses

    run_on_fleet(context, action)


@then("a small job is refused until the limit is removed")
def then_lowered(context: Context) -> None:
    assert context.facts["statuses"] == [202, 429, 202], context.facts["statuses"]


@when("a node is killed between the reservation of a job's tokens and its acceptance")
def when_killed(context: Context) -> None:
    async def run() -> float:
        world = TokenWorld(seed=1, node_count=2)
        killed, other = world.nodes
        async with anyio.create_task_group() as tasks:
            world.start(tasks)
            await _accept_until_killed(world, killed)
            tasks.start_soon(_submit_small_jobs, world, other)
            took_s = await world.accept_largest(other, "job-2")
            tasks.cancel_scope.cancel()
        return took_s

    context.took_s = run_virtual(run)


async def _submit_small_jobs(world: TokenWorld, node: TokenNode) -> None:
    """Submits a job a second on another limited route, for as long as they fit."""
    for number in range(LIMIT // ITEMS_PER_JOB):
        await world.accept(node, f"other-{number}", 1, route="desk.example/other/")
        await anyio.sleep(1)


def _cancelling(scope: anyio.CancelScope) -> Any:
    """Returns a stand-in of a step of an acceptance, at which the acceptance ends."""

    async def cancel(*args: object) -> None:
        scope.cancel()
        await anyio.sleep(1)

    return cancel


@then("a job as large is accepted within {limit_s:g} s")
def then_free_again(context: Context, limit_s: float) -> None:
    assert context.took_s <= limit_s, context.took_s


@when("a job is {event} while another node sees its reservation for 30 s")
def when_reserved_long(context: Context, event: str) -> None:
    async def run() -> int:
        world = TokenWorld(seed=1, node_count=3)
        killed, other, witness = world.nodes
        async with anyio.create_task_group() as tasks:
            world.start(tasks)
            tasks.start_soon(_accept_later, world, witness)
            match event:
                case "sent again":
                    await _accept_until_killed(world, killed)
                    await anyio.sleep(29.0)
                    delay_s, timeout_ms = 2.0, 4_000
                case _:
                    delay_s, timeout_ms = 31.0, 60_000
            create_parts = other.service._create_parts

            async def create_late(*args: Any) -> Any:
                await anyio.sleep(delay_s)
                return await create_parts(*args)

            other.service._create_parts = create_late  # type: ignore[method-assign]
            with suppress(AcceptanceRefused, WaitingTokensExceeded):
                await world.accept(other, "job-1", LIMIT // ITEMS_PER_JOB, timeout_ms=timeout_ms)
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()
        return world.most_waiting()

    context.most_waiting = run_virtual(run)


async def _accept_later(world: TokenWorld, node: TokenNode) -> None:
    """Submits a job as large as the limit, from after the reservation of the first job on."""
    await anyio.sleep(0.5)
    await world.accept_largest(node, "job-2")


async def _accept_until_killed(world: TokenWorld, node: TokenNode) -> None:
    """Submits a job at a node that is killed once it has reserved the job's tokens."""
    with anyio.CancelScope() as scope:
        node.service._create_parts = _cancelling(scope)  # type: ignore[method-assign]
        await world.accept(node, "job-1", LIMIT // ITEMS_PER_JOB)
    assert scope.cancelled_caught and not world.stored_job_ids()


@then("no more tokens than the limit wait")
def then_no_more(context: Context) -> None:
    assert context.most_waiting <= LIMIT, context.most_waiting


@when("a job is refused at a node that knows the job that fills the route")
def when_refused(context: Context) -> None:
    async def run() -> list[str]:
        world = TokenWorld(seed=1, node_count=2)
        async with anyio.create_task_group() as tasks:
            world.start(tasks)
            await world.accept(world.nodes[0], "job-1", LIMIT // ITEMS_PER_JOB)
            await anyio.sleep(1.0)
            calls_before = len(world.store.calls)
            with suppress(WaitingTokensExceeded):
                await world.accept(world.nodes[1], "job-2", 1)
            tasks.cancel_scope.cancel()
        return [f"{call.verb} {call.key}" for call in world.store.calls[calls_before:]]

    context.calls = run_virtual(run)


@then("the store was asked only whether the refused job was accepted before")
def then_one_read(context: Context) -> None:
    assert context.calls == [f"get {job_key('job-2')}"], context.calls


@when("jobs with and without a workspace are submitted to all nodes on a limited route")
def when_two_workspaces(context: Context) -> None:
    async def run() -> dict[str, int]:
        accepted = dict.fromkeys(WORKSPACES, 0)
        world = TokenWorld(seed=1, node_count=3)
        async with anyio.create_task_group() as tasks:
            world.start(tasks)
            for number in range(4):
                for name in WORKSPACES:
                    node = world.nodes[number % len(world.nodes)]
                    tokens = LIMIT // ITEMS_PER_JOB // 2
                    with suppress(WaitingTokensExceeded):
                        await world.accept(node, f"{name}-{number}", tokens, workspace=name)
                        accepted[name] += 1
            tasks.cancel_scope.cancel()
        return accepted

    context.accepted = run_virtual(run)


@then("each of them gets as many accepted as the limit allows")
def then_each_limited(context: Context) -> None:
    assert context.accepted == dict.fromkeys(WORKSPACES, 2), context.accepted


@when("{seeds:d} seeded schedules of jobs on a limited route are run in virtual time")
def when_schedules(context: Context, seeds: int) -> None:
    context.token_reports = [run_token_schedule(seed) for seed in range(1, seeds + 1)]


@then("no more tokens than the limit ever wait, and refused jobs are never stored")
def then_within_limit(context: Context) -> None:
    reports = context.token_reports
    assert all(report.accepted and report.refused for report in reports)
    bad = [r for r in reports if r.most_waiting > LIMIT or r.false_refusals]
    assert not bad, bad[:3]


@then("a job as large as the limit is accepted once all others have ended")
def then_free_at_the_end(context: Context) -> None:
    bad = [report for report in context.token_reports if not report.fits_at_the_end]
    assert not bad, bad[:3]
