"""Job runners in virtual time, with seeded faults of the store and of each node's fleet view.

The runner, the service and the log are the product's code. The test sets which nodes each node sees
as alive. These views are late and differ between nodes, as real membership views can for a while.
"""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import anyio
from anyio.abc import TaskGroup

from briarvale.clock import Clock
from briarvale.errors import BriarvaleError, StoreThrottled, StoreUnavailable
from briarvale.object_feed import FeedObject
from briarvale.opaque_item_runner import ItemState
from briarvale.opaque_job_runner import OpaqueJobRunner
from briarvale.opaque_job_service import OpaqueJobService
from briarvale.opaque_jobs import JOBS_KIND, JobDirectory, OpaqueItem, OpaqueJob, job_log_prefix
from briarvale.peer import PeerIdentity
from briarvale.rendezvous import rank_by_rendezvous
from briarvale.shard_log import ItemResult, LogEntry
from briarvale.standins.object_api import StandinObjectApi
from briarvale.store_budget import BackOff, CallRates, StoreBudget

NODE_COUNT = 4
JOB_COUNT = 6
FAULT_SPAN_S = 20.0
SETTLE_S = 3.0
STOP_S = 3.0
CALL_TIMEOUT_S = 1.5
FEED_INTERVAL_S = 0.3
MAX_RUN_S = 1.5

T = TypeVar("T")

__all__ = ["FAULT_SPAN_S", "ResultTimes", "RunnerFleet", "time_results"]


class _StoreLink:
    """One node's connection to the store, which may time out or refuse calls."""

    def __init__(self, store: StandinObjectApi) -> None:
        self._store = store
        self.is_silent = False
        self.is_refusing = False

    async def get(self, key: str) -> object:
        """Reads an object."""
        return await self._call(lambda: self._store.get(key))

    async def create(self, key: str, value: bytes) -> object:
        """Creates an object."""
        return await self._call(lambda: self._store.create(key, value))

    async def _call(self, call: Callable[[], Awaitable[T]]) -> T:
        if self.is_refusing:
            raise StoreThrottled("the store refused the call")
        if self.is_silent:
            await anyio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("the store did not answer")
        return await call()


class _View:
    """One node's late view of the live nodes; stands in for `NodeCluster`."""

    def __init__(self, name: str, started_at_s: float, fleet: "RunnerFleet") -> None:
        self._name = name
        self._started_at_s = started_at_s
        self._fleet = fleet
        self.alive: dict[str, float] = {}
        self.frozen_until_s = 0.0

    def refresh(self) -> None:
        """Updates the live nodes, unless this node's view is frozen."""
        if anyio.current_time() >= self.frozen_until_s:
            self.alive = self._fleet.alive()

    @property
    def is_settled(self) -> bool:
        """Whether the node has been up for `SETTLE_S`."""
        return anyio.current_time() - self._started_at_s >= SETTLE_S

    def is_lost(self, vm: str) -> bool:
        """Whether a node counts as lost."""
        return vm not in self.alive

    def owns(self, key: str) -> bool:
        """Whether this node ranks first for a key."""
        return self.rank(key) == 0

    def rank(self, key: str) -> int | None:
        """Returns this node's rank for a key."""
        now_s = anyio.current_time()
        settled = [name for name, at_s in self.alive.items() if now_s - at_s >= SETTLE_S]
        ranked = rank_by_rendezvous(key, settled or self.alive)
        return ranked.index(self._name) if self._name in ranked else None


class _ItemRunner:
    """Runs items, each for a random time of up to `MAX_RUN_S`, or one after another.

    Attributes:
        gap_s: Time between the ends of two items; 0 for random times.
    """

    def __init__(self) -> None:
        self.gap_s = 0.0

    async def run(self, job: OpaqueJob, state: ItemState) -> ItemResult:
        """Runs an item."""
        random_s = random.uniform(0.1, MAX_RUN_S)
        await anyio.sleep(self.gap_s * (state.index + 1) if self.gap_s else random_s)
        return ItemResult(state.index, f"text {state.index}")


class _NodeRun:
    """One run of a node, from its start to its end."""

    def __init__(self, name: str, fleet: "RunnerFleet") -> None:
        self.name = name
        self.started_at_s = anyio.current_time()
        self.is_stopping = False
        self.is_leaving = False
        self.link = _StoreLink(fleet.store)
        self.view = _View(name, self.started_at_s, fleet)
        self.scope = anyio.CancelScope()
        self._fleet = fleet
        self._directory = JobDirectory()
        identity = PeerIdentity(name, "node", random.randbytes(4).hex())
        clock = Clock.from_system()
        budget = StoreBudget(
            give_up_after_s=3.0,
            back_off=BackOff(start_s=0.1, max_s=1.0),
            rates=CallRates(min_per_s=10.0),
        )
        self.service = OpaqueJobService(
            self.link,  # type: ignore[arg-type]
            budget,
            StoreBudget(give_up_after_s=0.0),
            self._directory,
            clock,
            lambda: True,
            identity,
        )
        self.items = _ItemRunner()
        self.runner = OpaqueJobRunner(
            self.view,  # type: ignore[arg-type]
            identity,
            self._directory,
            self.service,
            self.items,  # type: ignore[arg-type]
            clock,
        )

    async def run(self) -> None:
        """Runs until the node is killed or has stopped."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.runner.run)
                tasks.start_soon(self._follow_jobs)
                while True:
                    self.view.refresh()
                    await anyio.sleep(random.uniform(0.5, 2.0))

    async def stop(self) -> None:
        """Stops gracefully."""
        self.is_stopping = True
        with anyio.move_on_after(STOP_S):
            await self.runner.drain()
        self.is_leaving = True
        await anyio.sleep(random.uniform(0, 2))
        self.scope.cancel()

    async def _follow_jobs(self) -> None:
        known_keys: set[str] = set()
        while True:
            await anyio.sleep(random.uniform(0, 2 * FEED_INTERVAL_S))
            if self.link.is_silent or self.link.is_refusing:
                continue
            new_keys = [
                key for key in self._fleet.store.peek_keys(JOBS_KIND) if key not in known_keys
            ]
            known_keys.update(new_keys)
            values = ((key, self._fleet.store.peek(key)) for key in new_keys)
            objects = tuple(FeedObject(key.partition("/")[2], value, 1) for key, value in values)
            self._directory.apply_list(objects, after_outage=False)


class RunnerFleet:
    """Nodes, jobs and a schedule of faults.

    Args:
        seed: Seed of the store's faults; the schedule draws from `random`.
    """

    def __init__(self, seed: int) -> None:
        self.store = StandinObjectApi(seed)
        self.nodes: list[_NodeRun] = []
        self.accepted: list[OpaqueJob] = []
        self.events: list[str] = []
        self._name_count = 0

    def alive(self) -> dict[str, float]:
        """Returns the nodes that are not leaving, and when they started."""
        return {node.name: node.started_at_s for node in self.nodes if not node.is_leaving}

    def _open_jobs(self) -> list[str]:
        return [job.job_id for job in self.accepted if self._result_count(job) < len(job.items)]

    def _result_count(self, job: OpaqueJob) -> int:
        values = map(self.store.peek, self.store.peek_keys(job_log_prefix(job.job_id)))
        entries = [LogEntry.decode(value) for value in values if value]
        return len({result.item_index for entry in entries for result in entry.results})

    async def run_with_faults(self, fault_free_s: float) -> list[str]:
        """Runs with faults, then without; returns the jobs that still lack results."""
        faults = self.store.faults
        async with anyio.create_task_group() as tasks:
            for _ in range(NODE_COUNT):
                self._start(tasks, self._new_name())
            faults.lose_answer_probability = random.choice((0.0, 0.3))
            faults.late_write_probability = random.choice((0.0, 0.3))
            faults.late_write_s = random.uniform(0.5, 6.0)
            tasks.start_soon(self._submit)
            with anyio.move_on_after(FAULT_SPAN_S):
                while True:
                    await anyio.sleep(random.expovariate(0.7))
                    self._inject_fault(tasks)
            faults.lose_answer_probability = faults.late_write_probability = 0.0
            if all(node.is_stopping for node in self.nodes):
                self._start(tasks, self._new_name())
            while any(node.is_stopping for node in self.nodes):
                await anyio.sleep(0.1)
            for node in self.nodes:
                node.link.is_silent = node.link.is_refusing = False
                node.view.frozen_until_s = 0.0
            await anyio.sleep(fault_free_s)
            open_jobs = self._open_jobs()
            tasks.cancel_scope.cancel()
        return open_jobs

    def _new_name(self) -> str:
        self._name_count += 1
        return f"vm-{self._name_count}"

    def _start(self, tasks: TaskGroup, name: str) -> None:
        node = _NodeRun(name, self)
        self.nodes.append(node)
        self._record_event(f"{name} starts")
        tasks.start_soon(self._run_node, node)

    async def _run_node(self, node: _NodeRun) -> None:
        await node.run()
        self.nodes.remove(node)

    async def _submit(self) -> None:
        for number in range(JOB_COUNT):
            await anyio.sleep(random.uniform(0, FAULT_SPAN_S / JOB_COUNT))
            items = tuple(OpaqueItem(f"{number}-{n}", "/", (), "") for n in range(4))
            job = OpaqueJob(f"job-{number}", "h", "s", 0, 0, 0, 0, 3, items)
            ready = [node for node in self.nodes if not node.is_leaving]
            if not ready:
                continue
            node = random.choice(ready)
            try:
                await node.service.accept(job, node.service._clock.now_ms() + 3_000)
            except BriarvaleError as error:
                self._record_event(f"{job.job_id} is not accepted at {node.name}: {error.code}")
                continue
            self.accepted.append(job)
            self._record_event(f"{job.job_id} is accepted at {node.name}")

    def _inject_fault(self, tasks: TaskGroup) -> None:
        if not self.nodes:
            self._start(tasks, self._new_name())
            return
        node = random.choice(self.nodes)
        match random.choice(("kill", "stop", "kill all", "silent", "refusing", "frozen", "start")):
            case "kill":
                self._kill(tasks, node)
            case "stop" if not node.is_stopping:
                self._record_event(f"{node.name} stops")
                tasks.start_soon(node.stop)
                tasks.start_soon(self._restart, tasks, node.name)
            case "kill all":
                for each_node in list(self.nodes):
                    self._kill(tasks, each_node)
            case "silent":
                node.link.is_silent = True
                self._record_event(f"the store is silent to {node.name}")
            case "refusing":
                node.link.is_refusing = not node.link.is_refusing
                self._record_event(f"the store refuses {node.name}: {node.link.is_refusing}")
            case "frozen":
                node.view.frozen_until_s = anyio.current_time() + random.uniform(2, 10)
                self._record_event(f"{node.name} stops updating its view")
            case "start" if len(self.nodes) < 2 * NODE_COUNT:
                self._start(tasks, self._new_name())

    def _kill(self, tasks: TaskGroup, node: _NodeRun) -> None:
        self._record_event(f"{node.name} is killed")
        node.scope.cancel()
        tasks.start_soon(self._restart, tasks, node.name)

    async def _restart(self, tasks: TaskGroup, name: str) -> None:
        """Restarts a node, under its name or another, or not at all."""
        will_restart = random.random() < 0.7
        await anyio.sleep(random.uniform(0.3, 8.0))
        if will_restart and anyio.current_time() < FAULT_SPAN_S and name not in self.alive():
            self._start(tasks, name if random.random() < 0.7 else self._new_name())

    def _record_event(self, text: str) -> None:
        self.events.append(f"{anyio.current_time():.2f} s: {text}")


class ResultTimes(NamedTuple):
    """How the results of a job were committed.

    Attributes:
        entries: Number of log entries.
        ages_s: For each result, the time from its item's end to its commit.
        reads: Reads of the store.
    """

    entries: int
    ages_s: list[float]
    reads: int


async def time_results(item_count: int, due_in_s: float, gap_s: float) -> ResultTimes:
    """Runs a job on one node; its items end `gap_s` apart."""
    fleet = RunnerFleet(seed=1)
    async with anyio.create_task_group() as tasks:
        fleet._start(tasks, "vm-1")
        node = fleet.nodes[0]
        node.items.gap_s = gap_s
        items = tuple(OpaqueItem(f"item-{n}", "/", (), "") for n in range(item_count))
        now_ms = node.service._clock.now_ms()
        due_at_ms, give_up_at_ms = now_ms + round(due_in_s * 1_000), now_ms + 600_000
        job = OpaqueJob("job-1", "h", "s", 0, now_ms, due_at_ms, give_up_at_ms, 3, items)
        started_s = anyio.current_time()
        await node.service.accept(job, now_ms + 3_000)
        while fleet._result_count(job) < item_count:
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    prefix = job_log_prefix(job.job_id)
    writes = [write for write in fleet.store.applied_writes if write.key.startswith(prefix)]
    ages_s = [
        write.at_s - started_s - gap_s * (result.item_index + 1)
        for write in writes
        for result in LogEntry.decode(write.value or b"").results
    ]
    return ResultTimes(len(writes), ages_s, sum(not call.is_write for call in fleet.store.calls))
