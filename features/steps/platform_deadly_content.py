"""Steps for content that crashes the backend servers that run it."""

import base64
import json
import random
from itertools import pairwise
from typing import NamedTuple

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.crash_records import CRASHES_KIND
from features.support.platform_engine import SeenRequest
from features.support.platform_fleet import MODEL, Answer, Caller, PlatformFleet, platform_fleet

NODES = 3
SERVERS = 6
CRASHES_BEFORE_LIMIT = 5
SETTLE_S = 1.0
CALLS_AFTER = 12
# Calls that are sent before five crashes have happened, at most.
MAX_CALLS = 40
PAUSE_S = 0.05
# A refusal that waits for nothing takes far less.
AT_ONCE_S = 0.25
SERVED = 200
JOB_WATCH_S = 24.0
# Trials of several items begin within this time.
TRIAL_SPREAD_S = 1.5
RESTART_TIMEOUT_S = 15.0


class Call(NamedTuple):
    """A request of a caller, and its answer."""

    is_deadly: bool
    answer: Answer
    took_s: float


class DeadlyDay:
    """A fleet whose servers crash when they begin to answer a request with the deadly part."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.deadly_part = self._part_id()
        self.shared_parts = [self._part_id(), self._part_id()]
        self.calls: list[Call] = []

    @property
    def deadly_runs(self) -> list[SeenRequest]:
        """The runs with the deadly part that reached servers, earliest first."""
        runs = [seen for engine in self.fleet.engines.values() for seen in engine.seen]
        deadly = [r for r in runs if self.deadly_part in r.header(b"briarvale-prompt-prefix")]
        return sorted(deadly, key=lambda run: run.at_s)

    @property
    def reached_at_s(self) -> list[float]:
        """When runs with the deadly part reached servers."""
        return [run.at_s for run in self.deadly_runs]

    @property
    def reached(self) -> int:
        """Number of runs with the deadly part that reached servers."""
        return len(self.reached_at_s)

    def _part_id(self) -> str:
        return f"{self.random.getrandbits(48):012x}"

    async def start(self) -> None:
        """Adds the servers."""
        for index in range(SERVERS):
            engine = await self.fleet.add_engine(f"i-{index}", MODEL)
            engine.deadly_part = self.deadly_part

    async def call(self, *, is_deadly: bool) -> Call:
        """Sends one request, unlike any other, to a random node."""
        headers = {"Briarvale-Prompt-Prefix": self._prompt(is_deadly=is_deadly)}
        caller = Caller(self.fleet.nodes[f"vm-{self.random.randint(1, NODES)}"])
        started_at_s = anyio.current_time()
        body = self._part_id().encode()
        answer = await caller.call("POST", f"/ask/{self._part_id()}", body, headers=headers)
        assert answer is not None
        call = Call(is_deadly, answer, anyio.current_time() - started_at_s)
        self.calls.append(call)
        return call

    def _prompt(self, *, is_deadly: bool) -> str:
        """Returns the parts of a prompt; the last one is not in any other."""
        deadly_parts = [self.deadly_part] if is_deadly else []
        parts = [*self.shared_parts, *deadly_parts, self._part_id()]
        return ",".join(f"{part}:100" for part in parts)

    async def submit_job(self, deadly_count: int, harmless_count: int) -> None:
        """Submits a job whose items share their parts, but for the deadly one."""
        items = [
            {
                "id": f"{'deadly' if is_deadly else 'harmless'}-{index}",
                "path": f"/lot/{index}",
                "headers": {"Briarvale-Prompt-Prefix": self._prompt(is_deadly=is_deadly)},
                "body": base64.b64encode(self._part_id().encode()).decode(),
                "tokens": 150,
            }
            for index in range(deadly_count + harmless_count)
            for is_deadly in (index < deadly_count,)
        ]
        caller = Caller(self.fleet.nodes["vm-1"])
        body = json.dumps({"items": items}).encode()
        accepted = await caller.call("POST", "/lot/job-1", body, request_id="job-1")
        assert accepted is not None and accepted.status == 202, accepted

    async def read_states(self) -> dict[str, str]:
        """Reads the state of each listed item of the job."""
        caller = Caller(self.fleet.nodes["vm-1"])
        answer = await caller.call("GET", "/briarvale/lots/job-1?after=0")
        assert answer is not None
        rows = answer.json()["results"] if answer.status == SERVED else []
        return {row["id"]: row["state"] for row in rows}

    async def call_mix(self, deadly_share: float) -> None:
        """Sends one request, and waits a moment if the next may come meanwhile."""
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                is_deadly = self.random.random() < deadly_share
                tasks.start_soon(self._call_in_background, is_deadly)
                await anyio.sleep(self.random.uniform(0, 2 * PAUSE_S))

    async def call_until_quarantined(self) -> None:
        """Sends requests until the deadly part has crashed five servers, or has been refused."""
        while self.reached < CRASHES_BEFORE_LIMIT and len(self.calls) < MAX_CALLS:
            await self.call_mix(deadly_share=0.3)
        await anyio.sleep(SETTLE_S)

    async def call_in_turn(self, count: int) -> None:
        """Sends deadly and harmless requests in turn, and keeps these calls alone."""
        self.calls.clear()
        for _ in range(count):
            await self.call(is_deadly=True)
            await self.call(is_deadly=False)

    async def _call_in_background(self, is_deadly: bool) -> None:
        await self.call(is_deadly=is_deadly)


@when(
    "requests with a deadly part come at 3 nodes among harmless ones that share their other parts,"
    " seed {seed:d}"
)
def when_deadly_part(context: Context, seed: int) -> None:
    async def scenario() -> None:
        async with platform_fleet(NODES) as fleet:
            day = DeadlyDay(fleet, seed)
            context.day = day
            await day.start()
            await day.call_until_quarantined()
            context.reached_before = day.reached
            await day.call_in_turn(CALLS_AFTER)

    anyio.run(scenario)


@then("at most 3 of them reach servers from 1 s after the fifth crash on")
def then_few_reach(context: Context) -> None:
    reached = context.day.reached - context.reached_before
    assert reached <= 3, f"{reached} of {CALLS_AFTER} reached servers"


@then("the others are refused at once as quarantined")
def then_refused(context: Context) -> None:
    refused = [call for call in context.day.calls if call.is_deadly and call.answer.status == 422]
    assert len(refused) >= CALLS_AFTER - 3, context.day.calls
    assert all(call.answer.json()["code"] == "quarantined" for call in refused)
    assert all(call.took_s < AT_ONCE_S for call in refused), [call.took_s for call in refused]


@then("harmless requests are answered as before")
def then_harmless(context: Context) -> None:
    harmless = [call for call in context.day.calls if not call.is_deadly]
    served = sum(call.answer.status == SERVED and call.answer.is_whole for call in harmless)
    assert served >= len(harmless) - 1, [call.answer.status for call in harmless]


@when(
    "a job has {deadly:d} items with a deadly part and {harmless:d} harmless ones that share their"
    " first part, seed {seed:d}"
)
def when_job(context: Context, deadly: int, harmless: int, seed: int) -> None:
    async def scenario() -> None:
        async with platform_fleet(NODES) as fleet:
            day = DeadlyDay(fleet, seed)
            context.day = day
            await day.start()
            started_at_s = anyio.current_time()
            await day.submit_job(deadly, harmless)
            with anyio.move_on_after(JOB_WATCH_S):
                while len(await day.read_states()) < harmless:
                    await anyio.sleep(0.2)
            context.harmless_done_s = anyio.current_time() - started_at_s
            context.states = await day.read_states()
            await anyio.sleep(JOB_WATCH_S - context.harmless_done_s)
            context.watched_until_s = anyio.current_time()
            await day.call(is_deadly=True)

    anyio.run(scenario)


@then("its harmless items are done within {limit_s:d} s")
def then_harmless_done(context: Context, limit_s: int) -> None:
    done = [item_id for item_id, state in context.states.items() if state == "done"]
    assert len(done) == 6 and all(item_id.startswith("harmless") for item_id in done), done
    assert context.harmless_done_s <= limit_s, context.harmless_done_s


@then(
    "later than 1 s after the fifth crash, at most {count:d} of the others run, on trial, at least"
    " {pause_s:d} s apart"
)
def then_trials(context: Context, count: int, pause_s: int) -> None:
    runs = context.day.deadly_runs
    limit_s = runs[:5][-1].at_s + SETTLE_S
    late = [run for run in runs if run.at_s > limit_s]
    assert late and len({run.request_id for run in late}) <= count, late
    gaps = [later.at_s - run.at_s for run, later in pairwise(late)]
    assert all(gap < TRIAL_SPREAD_S or gap >= pause_s for gap in gaps), gaps


@then("one of them runs at least every {limit_s:d} s")
def then_runs_often(context: Context, limit_s: int) -> None:
    at_s = [*context.day.reached_at_s, context.watched_until_s]
    assert max(later - earlier for earlier, later in pairwise(at_s)) < limit_s, at_s


@then("a caller's request with the deadly part is refused as quarantined")
def then_call_refused(context: Context) -> None:
    (call,) = context.day.calls
    assert call.answer.status == 422, call


@when(
    "a part is quarantined, all 3 nodes are killed and start again, and {count:d} requests with it"
    " come"
)
def when_all_killed(context: Context, count: int) -> None:
    async def scenario() -> None:
        async with platform_fleet(NODES) as fleet:
            day = DeadlyDay(fleet, seed=7)
            context.day = day
            await day.start()
            await day.call_until_quarantined()
            await restart_all(fleet)
            context.reached_before = day.reached
            await day.call_in_turn(count)

    anyio.run(scenario)


async def restart_all(fleet: PlatformFleet) -> None:
    """Kills all nodes at once, starts them again and waits until they are ready."""
    nodes = list(fleet.nodes.values())
    for node in nodes:
        node.kill()
    for node in nodes:
        await node.ended.wait()
    for node in nodes:
        fleet.restart(node)
    with anyio.fail_after(RESTART_TIMEOUT_S):
        while not all(node.node and node.node.is_ready for node in fleet.nodes.values()):
            await anyio.sleep(0.02)
    await anyio.sleep(SETTLE_S)


@then("none of them reaches a server")
def then_none_reaches(context: Context) -> None:
    reached = context.day.reached - context.reached_before
    assert reached == 0, f"{reached} reached servers"


@when("a node starts while the store holds both")
def when_odd_records(context: Context) -> None:
    async def scenario() -> None:
        async with platform_fleet(1) as fleet:
            await fleet.add_engine("i-0", MODEL)
            expired = json.dumps({"reports": [["i-9", 1, 2, [3, 4]]], "clearances": [[3, 1]]})
            fleet.store.put(CRASHES_KIND, "odd", {"text": '{"reports": 7}'})
            fleet.store.put(CRASHES_KIND, "expired", {"text": expired})
            await restart_all(fleet)
            caller = Caller(fleet.nodes["vm-1"])
            context.answer = await caller.call("POST", "/ask/a", b"body")
            context.records = fleet.store.names(CRASHES_KIND)

    anyio.run(scenario)


@then("it serves requests, and the expired record is gone")
def then_serves(context: Context) -> None:
    assert context.answer.status == SERVED, context.answer
    assert context.records == ["odd"], context.records
