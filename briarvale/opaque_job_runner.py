"""Runs the opaque jobs that this node accepted or claimed, and commits results to their logs.

Each job has one runner: the process that accepted it, or one that claimed it in its log after the
previous runner was lost or handed it over. If two processes run one job for a while, items run
twice, but no item gets two results, since a result counts only once its log entry is created.
"""

from collections.abc import Iterator

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from .clock import MS_PER_S, Clock
from .containment import contain
from .errors import NotReady, ShardSealed, StoreThrottled, StoreUnavailable
from .job_memory import DEFAULT_CAPACITY_BYTES, JobMemory, item_bytes, job_bytes
from .node_cluster import NodeCluster
from .opaque_item_runner import ItemState, OpaqueItemRunner
from .opaque_job_service import OpaqueJobService
from .opaque_jobs import JobDirectory, JobReplica, OpaqueJob
from .peer import PeerIdentity
from .result_grouping import commit_at_ms
from .running_job import RunningJob, fitting_progress
from .shard_log import (
    NO_RUNNER,
    ItemResult,
    RunnerId,
    ShardLog,
    fitting_results,
)

POLL_INTERVAL_S = 0.5
# A larger entry holds a single result, and takes several objects of the store.
MAX_ENTRY_BYTES = 500_000
RETRY_S = 1.0
STORE_RETRY_S = 0.2
HANDOVER_TIMEOUT_S = 2.0
CLAIM_GRACE_S = 3.0
# Each rank claims this long after the one before, which may be down or unable to reach the store.
CLAIM_STEP_S = 3.0
# More claimants would overload a store that is slow for all of them.
MAX_CLAIM_RANK = 2

log = logs.component_logger("batch")

__all__ = ["OpaqueJobRunner"]


class OpaqueJobRunner:
    """Runs opaque jobs while `run` is active.

    Args:
        cluster: Which nodes are alive, and this node's rank among those that may claim a job.
        identity: This process.
        directory: All jobs that this node has read.
        service: Loads jobs and opens their logs.
        items: Runs single items.
        clock: Source of the current time.
        memory_bytes: What the jobs that run at a time may take.
    """

    def __init__(
        self,
        cluster: NodeCluster,
        identity: PeerIdentity,
        directory: JobDirectory,
        service: OpaqueJobService,
        items: OpaqueItemRunner,
        clock: Clock,
        memory_bytes: int = DEFAULT_CAPACITY_BYTES,
    ) -> None:
        self._cluster = cluster
        self._own_id = RunnerId(identity.vm, identity.boot_id)
        self._directory = directory
        self._service = service
        self._items = items
        self._clock = clock
        self._running: dict[str, RunningJob] = {}
        self._retry_at_s: dict[str, float] = {}
        # When this node first found that a job has no live runner, by job id.
        self._orphaned_at_s: dict[str, float] = {}
        self._memory = JobMemory(memory_bytes)
        # Jobs that wait for memory, by id.
        self._waiting: set[str] = set()
        self._is_stopping = False

    @property
    def running_count(self) -> int:
        """Number of jobs that this node runs."""
        return len(self._running)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                with contain("jobs"):
                    self._check_running_jobs()
                    self._start_jobs(tasks)
                await self._wait_change()

    async def drain(self) -> None:
        """Stops all items, commits finished results, and hands the jobs over to other nodes."""
        self._is_stopping = True
        for running in self._running.values():
            running.scope.cancel()
        while self._running:
            await anyio.sleep(0.05)

    def _check_running_jobs(self) -> None:
        """Stops jobs that have ended or been claimed elsewhere; drops second copies of items."""
        for running in self._running.values():
            if running.states:
                # The job's acceptance returned after its run had loaded the items.
                running.replica.full_job = None
            is_lost = running.replica.runner not in (self._own_id, running.claimed_from)
            if running.replica.is_ended or is_lost:
                running.scope.cancel()

    def _start_jobs(self, tasks: TaskGroup) -> None:
        """Starts jobs of this process, and those that have lost their runner, as memory allows."""
        for replica in sorted(self._startable_jobs(), key=_start_order):
            job_id = replica.job.job_id
            if self._has_memory_for(replica):
                self._running[job_id] = RunningJob(replica)
                tasks.start_soon(self._run_job, self._running[job_id])

    def _startable_jobs(self) -> Iterator[JobReplica]:
        """Yields the jobs that this process may run and doesn't run yet."""
        now_s = anyio.current_time()
        for replica in self._directory:
            job_id = replica.job.job_id
            if replica.is_complete:
                self._orphaned_at_s.pop(job_id, None)
                self._waiting.discard(job_id)
                continue
            may_retry = self._retry_at_s.get(job_id, 0.0) <= now_s
            if job_id in self._running or self._is_stopping or not may_retry:
                continue
            if replica.runner == self._own_id or self._may_claim(replica):
                yield replica

    def _has_memory_for(self, replica: JobReplica) -> bool:
        """Counts a job that starts; if it has to wait for memory, its items stay in the store."""
        job = replica.job
        size_bytes = job_bytes(replica.full_job or job)
        if self._memory.may_start(job.service, size_bytes):
            self._memory.start(job.job_id, job.service, size_bytes)
            self._waiting.discard(job.job_id)
            return True
        replica.full_job = None
        if job.job_id not in self._waiting:
            self._waiting.add(job.job_id)
            log.info(
                "A job waits for memory.",
                job_id=job.job_id,
                size_bytes=size_bytes,
                used_bytes=self._memory.used_bytes,
            )
        return False

    def _may_claim(self, replica: JobReplica) -> bool:
        """Whether the job has no live runner and it is this node's turn to claim it.

        If an earlier process of this node ran the job, this node claims it, since other nodes can't
        tell the node's processes apart. Otherwise each rank waits `CLAIM_STEP_S` longer than the
        one before it.
        """
        if replica.runner.vm == self._own_id.vm:
            return True
        job_id = replica.job.job_id
        if not self._is_orphaned(replica):
            self._orphaned_at_s.pop(job_id, None)
            return False
        now_s = anyio.current_time()
        since_s = self._orphaned_at_s.setdefault(job_id, now_s)
        rank = self._cluster.rank(job_id)
        if rank is None or rank > MAX_CLAIM_RANK:
            return False
        return now_s - since_s >= rank * CLAIM_STEP_S

    def _is_orphaned(self, replica: JobReplica) -> bool:
        """Whether the job was handed over or its runner is certainly lost.

        A runner that claimed the job within `CLAIM_GRACE_S` counts as alive, since the membership
        may not list it yet.
        """
        if replica.runner == NO_RUNNER:
            return True
        is_fresh = anyio.current_time() - replica.runner_since_s < CLAIM_GRACE_S
        return (
            self._cluster.is_settled and not is_fresh and self._cluster.is_lost(replica.runner.vm)
        )

    async def _wait_change(self) -> None:
        with anyio.move_on_after(POLL_INTERVAL_S):
            await self._directory.changed.wait()

    async def _run_job(self, running: RunningJob) -> None:
        """Runs a job until it is complete, ended or claimed by another node, or this node stops."""
        job = running.replica.job
        shard_log = self._service.open_log(job.job_id)
        is_new = self._service.is_new_here(running.replica)
        try:
            with running.scope:
                await self._load_items(running)
                if not is_new:
                    await self._replay(shard_log)
                if await self._claim(running, shard_log):
                    await self._run_items(running, shard_log)
            with anyio.CancelScope(shield=True), anyio.move_on_after(HANDOVER_TIMEOUT_S):
                await self._hand_over(running, shard_log)
        except NotReady as error:
            log.info("Can't run the job yet: {}.", error, job_id=job.job_id)
        except Exception as error:
            # An unexpected error must end only this run of the job, not the process.
            log.exception("Run of the job failed: {!r}.", error, job_id=job.job_id)
        finally:
            del self._running[job.job_id]
            self._memory.end(job.job_id)
            self._directory.changed.notify()
            running.replica.full_job = None
            self._retry_at_s[job.job_id] = anyio.current_time() + RETRY_S

    async def _load_items(self, running: RunningJob) -> None:
        """Loads the items of a job; raises `NotReady`."""
        full_job = await self._service.load_full_job(running.replica)
        running.replica.full_job = None
        running.states = {
            index: ItemState(index, item) for index, item in enumerate(full_job.items)
        }
        self._memory.resize(full_job.job_id, job_bytes(full_job._replace(is_digest=False)))
        self._directory.changed.notify()

    async def _claim(self, running: RunningJob, shard_log: ShardLog) -> bool:
        """Claims the job in its log, unless this process is its runner; false if that failed."""
        current = shard_log.runner or running.replica.job.runner
        if shard_log.is_sealed or (current != self._own_id and current != running.claimed_from):
            return False
        is_ours = current == self._own_id
        while not is_ours:
            try:
                is_ours = await shard_log.append([], runner=self._own_id)
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't claim the job yet: {}.", error, job_id=running.replica.job.job_id)
                await anyio.sleep(STORE_RETRY_S)
                continue
            if not is_ours:
                return False
        log.info(
            "Started to run the job.",
            job_id=running.replica.job.job_id,
            listed=len(shard_log.committed_items),
            runner_before=current.vm,
            resumed=len(shard_log.progress),
        )
        return True

    async def _run_items(self, running: RunningJob, shard_log: ShardLog) -> None:
        """Runs all items without a result at once, and commits their results."""
        for index in shard_log.committed_items & running.states.keys():
            self._finish_item(running, running.states[index])
        for index in running.states.keys() & shard_log.progress.keys():
            item = running.states[index].item
            running.states[index] = ItemState(index, item, shard_log.progress[index])
        async with anyio.create_task_group() as tasks:
            for state in running.states.values():
                tasks.start_soon(self._run_item, running, state)
            await self._commit_results(running, shard_log)
            tasks.cancel_scope.cancel()

    async def _hand_over(self, running: RunningJob, shard_log: ShardLog) -> None:
        """Commits the remaining results; a node that stops also releases the job, with progress."""
        while self._is_ours(running, shard_log):
            if self._is_stopping:
                is_done = await self._release(running, shard_log)
            else:
                await self._append(running, shard_log)
                is_done = not running.results
            if is_done:
                return

    def _is_ours(self, running: RunningJob, shard_log: ShardLog) -> bool:
        """Whether the log, as read so far, isn't sealed and names this process as the runner."""
        runner = shard_log.runner or running.replica.job.runner
        return not shard_log.is_sealed and runner == self._own_id

    async def _release(self, running: RunningJob, shard_log: ShardLog) -> bool:
        """Commits results and progress, and clears the job's runner, so that another may claim it.

        False if results didn't fit or another entry came first; the caller then calls it again.
        """
        uncommitted = [r for r in running.results if r.item_index not in shard_log.committed_items]
        fitting = fitting_results(uncommitted, MAX_ENTRY_BYTES)
        if len(fitting) < len(uncommitted):
            await self._append(running, shard_log)
            return False
        committed = shard_log.committed_items | {result.item_index for result in fitting}
        states = [state for index, state in running.states.items() if index not in committed]
        remaining_bytes = MAX_ENTRY_BYTES - sum(result.size_bytes for result in fitting)
        progress = fitting_progress(states, remaining_bytes)
        if not await shard_log.append(fitting, progress=progress, runner=NO_RUNNER):
            return False
        self._record_committed(running.replica.job, fitting)
        unfinished = len(running.job.items) - len(committed)
        log.info("Handed the job over.", job_id=running.replica.job.job_id, unfinished=unfinished)
        return True

    async def _replay(self, shard_log: ShardLog) -> None:
        """Reads the log, retrying for as long as the store is unavailable."""
        while True:
            try:
                await shard_log.replay()
                return
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't read the job's log yet: {}.", error)
                await anyio.sleep(STORE_RETRY_S)

    async def _run_item(self, running: RunningJob, state: ItemState) -> None:
        result = await self._items.run(running.job, state)
        self._finish_item(running, state)
        running.add(result, self._clock.now_ms())

    def _finish_item(self, running: RunningJob, state: ItemState) -> None:
        """Drops the state of an item that has a result, and what it held."""
        del running.states[state.index]
        self._memory.release(running.job.job_id, item_bytes(state.item))
        if self._waiting:
            self._directory.changed.notify()

    async def _commit_results(self, running: RunningJob, shard_log: ShardLog) -> None:
        """Commits results as they arrive, until all items have one or the job has ended."""
        item_count = len(running.replica.job.items)
        while len(shard_log.committed_items) < item_count and not shard_log.is_sealed:
            await running.result_arrived.wait()
            await self._wait_for_others(running, shard_log)
            await self._append(running, shard_log)

    async def _wait_for_others(self, running: RunningJob, shard_log: ShardLog) -> None:
        """Waits until the results that wait should be committed; more of them may arrive."""
        item_count = len(running.replica.job.items)
        while True:
            waiting = {r.item_index for r in running.results} - shard_log.committed_items
            unfinished_count = item_count - len(shard_log.committed_items) - len(waiting)
            due_at_ms = running.replica.job.due_at_ms
            commit_by_ms = commit_at_ms(
                running.first_at_ms, due_at_ms, len(waiting), unfinished_count
            )
            remaining_s = (commit_by_ms - self._clock.now_ms()) / MS_PER_S
            if remaining_s <= 0:
                return
            running.result_arrived = anyio.Event()
            with anyio.move_on_after(remaining_s):
                await running.result_arrived.wait()

    async def _append(self, running: RunningJob, shard_log: ShardLog) -> None:
        """Commits the waiting results that fit into an entry; the others wait for the next call."""
        running.result_arrived = anyio.Event()
        uncommitted = [r for r in running.results if r.item_index not in shard_log.committed_items]
        fitting = fitting_results(uncommitted, MAX_ENTRY_BYTES)
        try:
            if fitting and await shard_log.append(fitting):
                self._record_committed(running.replica.job, fitting)
            if len(fitting) == len(uncommitted):
                # Those that arrived meanwhile may wait for others again.
                running.first_at_ms = self._clock.now_ms()
        except ShardSealed:
            log.info("The job has ended.", job_id=running.replica.job.job_id)
        except (StoreThrottled, StoreUnavailable) as error:
            log.info("Can't commit results yet: {}.", error, job_id=running.replica.job.job_id)
            await anyio.sleep(STORE_RETRY_S)
        running.results = [
            r for r in running.results if r.item_index not in shard_log.committed_items
        ]
        if running.results:
            running.result_arrived.set()

    def _record_committed(self, job: OpaqueJob, results: list[ItemResult]) -> None:
        """Counts and logs results that this process has committed."""
        failed = sum(bool(result.error_code) for result in results)
        metrics.ITEMS.add({"result": "done"}, len(results) - failed)
        metrics.ITEMS.add({"result": "failed"}, failed)
        for result in results:
            log.info(
                "Committed an item's result.",
                job_id=job.job_id,
                item_id=job.items[result.item_index].id,
                code=result.error_code or "done",
                due_in_ms=job.due_at_ms - self._clock.now_ms(),
            )


def _start_order(replica: JobReplica) -> tuple[int, int]:
    """Sorts jobs by priority and due date."""
    return replica.job.priority, replica.job.due_at_ms
