"""Seeded schedules of jobs at several nodes that share a route's limit on waiting tokens."""

import math
import random
from typing import NamedTuple

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup

from briarvale.clock import Clock
from briarvale.errors import (
    AcceptanceRefused,
    BriarvaleError,
    StoreThrottled,
    StoreUnavailable,
    WaitingTokensExceeded,
)
from briarvale.opaque_job_service import OpaqueJobService
from briarvale.opaque_jobs import JOBS_KIND, JobDirectory, OpaqueItem, OpaqueJob
from briarvale.peer import PeerIdentity
from briarvale.shard_log import ItemResult, LogEntry
from briarvale.standins.object_api import StandinObjectApi, StoreWrite
from briarvale.store_budget import BackOff, CallRates, StoreBudget

from .job_writes import JobWrite, JobWrites
from .virtual import run_virtual

ROUTE = "desk.example/lot/"
LIMIT = 1_000
ITEMS_PER_JOB = 4
SUBMIT_TIMEOUT_MS = 4_000
FAULT_SPAN_S = 20.0
FEED_POLL_S = 0.05
MAX_WAIT_S = 120.0

__all__ = ["TokenReport", "TokenWorld", "run_token_schedule"]


class TokenReport(NamedTuple):
    """The outcome of one schedule.

    Attributes:
        most_waiting: Most tokens that waited at any time, as stored.
        false_refusals: Jobs that are stored though every attempt was refused as not accepted.
        accepted, refused: Jobs accepted, and attempts refused for the limit.
        fits_at_the_end: Whether a job as large as the limit is accepted once all others ended.
    """

    seed: int
    most_waiting: int
    false_refusals: int
    accepted: int
    refused: int
    fits_at_the_end: bool


class TokenNode:
    """One node's job service, and its directory, which follows the store with a delay."""

    def __init__(self, name: str, store: StandinObjectApi) -> None:
        self.delay_s = FEED_POLL_S
        self.jobs = JobDirectory()
        self._store = store
        self._applied = 0
        budget = StoreBudget(
            give_up_after_s=2.0, back_off=BackOff(0.1, 0.5), rates=CallRates(50.0, 50.0)
        )
        clock = Clock(0.0)
        identity = PeerIdentity(name, "node", "boot-1")
        self.service = OpaqueJobService(
            store, budget, budget, self.jobs, clock, lambda: True, identity
        )

    async def follow(self) -> None:
        """Applies the store's writes of jobs, each after the delay."""
        while True:
            await anyio.sleep(FEED_POLL_S)
            until_s = anyio.current_time() - self.delay_s
            writes = self._store.applied_writes
            while self._applied < len(writes) and writes[self._applied].at_s <= until_s:
                self._apply(writes[self._applied])
                self._applied += 1

    def _apply(self, write: StoreWrite) -> None:
        kind, _, name = write.key.partition("/")
        if kind != JOBS_KIND or write.value is None:
            return
        job_id, _, suffix = name.partition(".")
        if suffix:
            self.jobs.apply_entry(job_id, LogEntry.decode(write.value))
        else:
            self.jobs.add(OpaqueJob.decode(write.value))


class TokenWorld:
    """Several nodes at one store, and what the store holds of their jobs."""

    def __init__(self, seed: int, node_count: int) -> None:
        self.store = StandinObjectApi(seed)
        self.nodes = [TokenNode(f"vm-{n}", self.store) for n in range(node_count)]
        self.clock = Clock(0.0)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the nodes' feeds."""
        for node in self.nodes:
            tasks.start_soon(node.follow)

    async def accept(
        self,
        node: TokenNode,
        job_id: str,
        tokens_per_item: int,
        *,
        route: str = ROUTE,
        workspace: str = "",
        timeout_ms: int = SUBMIT_TIMEOUT_MS,
    ) -> None:
        """Submits a job of `ITEMS_PER_JOB` items at a node."""
        answer_by_ms = self.clock.now_ms() + timeout_ms
        job = _job(job_id, tokens_per_item, self.clock.now_ms())
        job = job._replace(route=route, workspace=workspace)
        await node.service.accept(job, answer_by_ms, LIMIT)

    async def accept_largest(self, node: TokenNode, job_id: str) -> float:
        """Submits a job as large as the limit until it is accepted; returns how long that took.

        Infinite if that took over `MAX_WAIT_S`.
        """
        started_s = anyio.current_time()
        with anyio.move_on_after(MAX_WAIT_S):
            while True:
                try:
                    await self.accept(node, job_id, LIMIT // ITEMS_PER_JOB)
                    return anyio.current_time() - started_s
                except WaitingTokensExceeded:
                    await anyio.sleep(0.5)
        return math.inf

    async def finish(self, node: TokenNode, job_id: str, item_index: int) -> None:
        """Lists an item as done."""
        shard_log = node.service.open_log(job_id)
        await shard_log.replay()
        while item_index not in shard_log.committed_items and not shard_log.is_sealed:
            await shard_log.append([ItemResult(item_index, "")])

    def stored_job_ids(self) -> list[str]:
        """Returns the ids of all jobs whose heads are stored."""
        names = [key.partition("/")[2] for key in self.store.peek_keys(f"{JOBS_KIND}/")]
        return [name for name in names if "." not in name]

    def most_waiting(self) -> int:
        """Returns the most tokens that waited at any time, from the store's writes."""
        replayed = JobWrites(ROUTE)
        prefix = f"{JOBS_KIND}/"
        replayed.apply(
            JobWrite(write.key.removeprefix(prefix), write.value)
            for write in self.store.applied_writes
            if write.key.startswith(prefix) and write.value is not None
        )
        return replayed.most_waiting


class _Schedule:
    """Jobs, resends, ends, kills and faults of the store at random times drawn from the seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.world = TokenWorld(seed, self.random.choice((2, 4, 8)))
        self.refused: dict[str, int] = {}
        self.may_be_stored: set[str] = set()
        self.fits_at_the_end = False

    async def run(self) -> TokenReport:
        async with anyio.create_task_group() as tasks:
            self.world.start(tasks)
            async with anyio.create_task_group() as senders:
                senders.start_soon(self._inject_faults)
                for number in range(30):
                    senders.start_soon(self._send, f"job-{number}")
                senders.start_soon(self._finish_items)
            self.world.store.faults = type(self.world.store.faults)()
            self._set_delays(FEED_POLL_S)
            for job_id in self.world.stored_job_ids():
                await self.world.nodes[0].service.end(job_id)
            took_s = await self.world.accept_largest(self.world.nodes[0], "largest")
            self.fits_at_the_end = took_s < math.inf
            tasks.cancel_scope.cancel()
        return self._report()

    async def _send(self, job_id: str) -> None:
        await anyio.sleep(self.random.uniform(0, FAULT_SPAN_S))
        tokens_per_item = self.random.choice((10, 25, 60))
        for _ in range(self.random.choice((1, 2, 3))):
            node = self.random.choice(self.world.nodes)
            is_killed = self.random.random() < 0.15
            kill_after_s = self.random.uniform(0, 0.5) if is_killed else 60.0
            with anyio.move_on_after(kill_after_s) as scope:
                await self._send_once(node, job_id, tokens_per_item)
            self._note_kill(scope, job_id)
            await anyio.sleep(self.random.uniform(0, 1))

    async def _send_once(self, node: TokenNode, job_id: str, tokens_per_item: int) -> None:
        try:
            await self.world.accept(node, job_id, tokens_per_item)
            self.may_be_stored.add(job_id)
        except WaitingTokensExceeded:
            self.refused[job_id] = self.refused.get(job_id, 0) + 1
        except AcceptanceRefused:
            pass
        except BriarvaleError:
            self.may_be_stored.add(job_id)

    def _note_kill(self, scope: CancelScope, job_id: str) -> None:
        if scope.cancelled_caught:
            self.may_be_stored.add(job_id)

    async def _finish_items(self) -> None:
        end_s = anyio.current_time() + FAULT_SPAN_S
        while anyio.current_time() < end_s:
            await anyio.sleep(self.random.expovariate(4.0))
            job_ids = self.world.stored_job_ids()
            if not job_ids:
                continue
            job_id = self.random.choice(job_ids)
            node = self.random.choice(self.world.nodes)
            try:
                if self.random.random() < 0.1:
                    await node.service.end(job_id)
                else:
                    await self.world.finish(node, job_id, self.random.randrange(ITEMS_PER_JOB))
            except (StoreThrottled, StoreUnavailable, BriarvaleError):
                continue

    async def _inject_faults(self) -> None:
        end_s = anyio.current_time() + FAULT_SPAN_S
        while anyio.current_time() < end_s:
            faults = self.world.store.faults
            faults.is_down = self.random.random() < 0.1
            faults.latency_s = self.random.choice((0.003, 0.05, 0.3))
            faults.lose_answer_probability = self.random.choice((0.0, 0.0, 0.3))
            faults.late_write_probability = self.random.choice((0.0, 0.0, 0.3))
            faults.late_write_s = self.random.choice((0.5, 2.0, 6.0))
            self._set_delays(self.random.choice((FEED_POLL_S, 0.3, 5.0)))
            await anyio.sleep(self.random.expovariate(1.0))

    def _set_delays(self, delay_s: float) -> None:
        for node in self.world.nodes:
            node.delay_s = delay_s * self.random.uniform(0.2, 1)

    def _report(self) -> TokenReport:
        stored = set(self.world.stored_job_ids())
        return TokenReport(
            seed=self.seed,
            most_waiting=self.world.most_waiting(),
            false_refusals=len((stored & self.refused.keys()) - self.may_be_stored),
            accepted=len(stored),
            refused=sum(self.refused.values()),
            fits_at_the_end=self.fits_at_the_end,
        )


def run_token_schedule(seed: int) -> TokenReport:
    """Runs one schedule in virtual time; the same seed gives the same schedule."""
    return run_virtual(_Schedule(seed).run, seed=seed)


def _job(job_id: str, tokens_per_item: int, now_ms: int) -> OpaqueJob:
    items = tuple(OpaqueItem(f"{job_id}-{n}", "/lot/", (), "") for n in range(ITEMS_PER_JOB))
    return OpaqueJob(
        job_id=job_id,
        host="desk.example",
        service="desk",
        priority=2,
        submitted_at_ms=now_ms,
        due_at_ms=now_ms + 8_000,
        give_up_at_ms=now_ms + 30_000,
        max_attempts=3,
        items=items,
        route=ROUTE,
        token_counts=(tokens_per_item,) * ITEMS_PER_JOB,
    )
