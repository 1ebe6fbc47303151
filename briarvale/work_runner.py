"""Runs the jobs that are this node's, and lists the results of their items.

Each job has one runner: the process that accepted it, or one that claimed it in its log after the
runner before was lost or gave it back. Two runners at a time cost work, never truth, since creating
a log entry is what lists a result.
"""

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from .clock import Clock
from .errors import NotReady, ShardSealed, StoreThrottled, StoreUnavailable
from .node_cluster import NodeCluster
from .peer import PeerIdentity
from .shard_log import (
    NO_RUNNER,
    ItemProgress,
    ItemResult,
    RunnerId,
    ShardLog,
    fitting_results,
)
from .work_items import ItemState, WorkItemRunner
from .work_jobs import JobDirectory, KnownJob, WorkJob
from .work_service import WorkService

LOOK_INTERVAL_S = 0.5
# Results that come close together share one entry of the log.
GATHER_S = 0.15
# An entry may take twice its size in the store, where its JSON is a text.
MAX_ENTRY_BYTES = 500_000
RETRY_S = 1.0
STORE_PAUSE_S = 0.2
HAND_OVER_S = 2.0
CLAIM_GRACE_S = 3.0
# A node that may not reach the store, or not live, is waited for this long before the next claims.
CLAIM_STEP_S = 3.0
# More nodes at once would press a store that is slow for all of them.
MAX_CLAIM_RANK = 2

log = logs.part("batch")

__all__ = ["WorkRunner"]


class _RunningJob:
    """A job that runs here."""

    def __init__(self, known: KnownJob) -> None:
        self.known = known
        self.job = known.job
        self.claimed_from = known.runner
        self.results: list[ItemResult] = []
        self.states: dict[int, ItemState] = {}
        self.scope = anyio.CancelScope()
        self.arrived = anyio.Event()

    def add(self, result: ItemResult) -> None:
        """Takes the result of an item that ran."""
        self.results.append(result)
        self.arrived.set()


class WorkRunner:
    """Runs jobs; `run` is its life.

    Args:
        cluster: Says which nodes are alive, and who claims what a lost one ran.
        identity: This process.
        directory: The jobs that this node knows of.
        service: Opens the logs.
        items: Runs single items.
        clock: Source of instants.
    """

    def __init__(
        self,
        cluster: NodeCluster,
        identity: PeerIdentity,
        directory: JobDirectory,
        service: WorkService,
        items: WorkItemRunner,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._own = RunnerId(identity.vm, identity.boot_id)
        self._directory = directory
        self._service = service
        self._items = items
        self._clock = clock
        self._running: dict[str, _RunningJob] = {}
        self._retry_at_s: dict[str, float] = {}
        # Since when jobs are known here to have no runner that lives.
        self._orphaned_at_s: dict[str, float] = {}
        self._is_stopping = False

    @property
    def running_count(self) -> int:
        """Jobs that run here."""
        return len(self._running)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._follow()
                self._start(tasks)
                await self._wait_news()

    async def drain(self) -> None:
        """Stops all items, lists what is done, and leaves the rest to the next runners."""
        self._is_stopping = True
        for running in self._running.values():
            running.scope.cancel()
        while self._running:
            await anyio.sleep(0.05)

    def _follow(self) -> None:
        for running in self._running.values():
            is_lost = running.known.runner not in (self._own, running.claimed_from)
            if running.known.is_ended or is_lost:
                running.scope.cancel()

    def _start(self, tasks: TaskGroup) -> None:
        now_s = anyio.current_time()
        for known in self._directory:
            job_id = known.job.job_id
            if known.is_complete:
                self._orphaned_at_s.pop(job_id, None)
                continue
            is_due = self._retry_at_s.get(job_id, 0.0) <= now_s
            if job_id in self._running or self._is_stopping or not is_due:
                continue
            if known.runner == self._own or self._may_claim(known):
                self._running[job_id] = _RunningJob(known)
                tasks.start_soon(self._run_job, self._running[job_id])

    def _may_claim(self, known: KnownJob) -> bool:
        """Whether the job has no runner that lives, and falls to this node.

        A node whose earlier life ran the job claims it itself; the others can't tell its lives
        apart. Where the node that should claim a job does not, the next one does after a while.
        """
        if known.runner.vm == self._own.vm:
            return True
        job_id = known.job.job_id
        if not self._is_orphaned(known):
            self._orphaned_at_s.pop(job_id, None)
            return False
        now_s = anyio.current_time()
        since_s = self._orphaned_at_s.setdefault(job_id, now_s)
        rank = self._cluster.rank(job_id)
        if rank is None or rank > MAX_CLAIM_RANK:
            return False
        return now_s - since_s >= rank * CLAIM_STEP_S

    def _is_orphaned(self, known: KnownJob) -> bool:
        """Whether the job was given back or its runner is surely lost.

        Who claimed a job a moment ago lives, whatever the membership knows of it.
        """
        if known.runner == NO_RUNNER:
            return True
        is_fresh = anyio.current_time() - known.runner_seen_at_s < CLAIM_GRACE_S
        return self._cluster.is_settled and not is_fresh and self._cluster.is_lost(known.runner.vm)

    async def _wait_news(self) -> None:
        with anyio.move_on_after(LOOK_INTERVAL_S):
            await self._directory.changed.wait()

    async def _run_job(self, running: _RunningJob) -> None:
        job = running.known.job
        shard_log = self._service.open_log(job.job_id)
        try:
            with running.scope:
                running.job = await self._service.load_full_job(running.known)
                await self._replay(shard_log)
                if await self._claim(running, shard_log):
                    await self._run_items(running, shard_log)
            with anyio.CancelScope(shield=True), anyio.move_on_after(HAND_OVER_S):
                await self._hand_over(running, shard_log)
        except NotReady as error:
            log.info("Can't run a job yet: {}.", error, job_id=job.job_id)
        except Exception as error:
            # A fault here must cost this run of the job, not the process.
            log.exception("A job stopped: {!r}.", error, job_id=job.job_id)
        finally:
            del self._running[job.job_id]
            running.known.full_job = None
            self._retry_at_s[job.job_id] = anyio.current_time() + RETRY_S

    async def _claim(self, running: _RunningJob, shard_log: ShardLog) -> bool:
        """Writes that this process runs the job from here on, unless it does already."""
        standing = shard_log.runner or running.known.job.runner
        if shard_log.is_sealed or (standing != self._own and standing != running.claimed_from):
            return False
        is_ours = standing == self._own
        while not is_ours:
            try:
                is_ours = await shard_log.append([], runner=self._own)
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't claim a job yet: {}.", error, job_id=running.known.job.job_id)
                await anyio.sleep(STORE_PAUSE_S)
                continue
            if not is_ours:
                return False
        log.info(
            "Runs a job.",
            job_id=running.known.job.job_id,
            listed=len(shard_log.committed_items),
            runner_before=standing.vm,
            resumed=len(shard_log.progress),
        )
        return True

    async def _run_items(self, running: _RunningJob, shard_log: ShardLog) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(len(running.known.job.items)):
                if index not in shard_log.committed_items:
                    running.states[index] = ItemState(index, shard_log.progress.get(index))
                    tasks.start_soon(self._run_item, running, running.states[index])
            await self._list_results(running, shard_log)
            tasks.cancel_scope.cancel()

    async def _hand_over(self, running: _RunningJob, shard_log: ShardLog) -> None:
        """Lists what is done; a node that stops also tells the next runner how far items are."""
        while self._is_ours(running, shard_log):
            if self._is_stopping:
                is_done = await self._give_back(running, shard_log)
            else:
                await self._append(running, shard_log)
                is_done = not running.results
            if is_done:
                return

    def _is_ours(self, running: _RunningJob, shard_log: ShardLog) -> bool:
        """Whether the job is open and this process its runner, by the log as read so far."""
        runner = shard_log.runner or running.known.job.runner
        return not shard_log.is_sealed and runner == self._own

    async def _give_back(self, running: _RunningJob, shard_log: ShardLog) -> bool:
        """Writes results, progress and that nobody runs the job; false if another entry stands."""
        unlisted = [r for r in running.results if r.item_index not in shard_log.committed_items]
        entry = fitting_results(unlisted, MAX_ENTRY_BYTES)
        if len(entry) < len(unlisted):
            await self._append(running, shard_log)
            return False
        listed = shard_log.committed_items | {result.item_index for result in entry}
        states = [state for index, state in running.states.items() if index not in listed]
        left_bytes = MAX_ENTRY_BYTES - sum(result.size_bytes for result in entry)
        progress = _fitting_progress(states, left_bytes)
        if not await shard_log.append(entry, progress=progress, runner=NO_RUNNER):
            return False
        self._note_listed(running.known.job, entry)
        log.info("Handed a job over.", job_id=running.known.job.job_id, unfinished=len(states))
        return True

    async def _replay(self, shard_log: ShardLog) -> None:
        """Reads the log, however long the store is away."""
        while True:
            try:
                await shard_log.replay()
                return
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't read a log yet: {}.", error)
                await anyio.sleep(STORE_PAUSE_S)

    async def _run_item(self, running: _RunningJob, state: ItemState) -> None:
        running.add(await self._items.run(running.job, state))

    async def _list_results(self, running: _RunningJob, shard_log: ShardLog) -> None:
        """Appends results as they come, until all items are listed or the job has ended."""
        item_count = len(running.known.job.items)
        while len(shard_log.committed_items) < item_count and not shard_log.is_sealed:
            await running.arrived.wait()
            await anyio.sleep(GATHER_S)
            await self._append(running, shard_log)

    async def _append(self, running: _RunningJob, shard_log: ShardLog) -> None:
        """Appends what is there; what the store does not take now stays for the next time."""
        running.arrived = anyio.Event()
        unlisted = [r for r in running.results if r.item_index not in shard_log.committed_items]
        entry = fitting_results(unlisted, MAX_ENTRY_BYTES)
        try:
            if entry and await shard_log.append(entry):
                self._note_listed(running.known.job, entry)
        except ShardSealed:
            log.info("The job has ended.", job_id=running.known.job.job_id)
        except (StoreThrottled, StoreUnavailable) as error:
            log.info("Can't list results yet: {}.", error, job_id=running.known.job.job_id)
            await anyio.sleep(STORE_PAUSE_S)
        running.results = [
            r for r in running.results if r.item_index not in shard_log.committed_items
        ]
        if running.results:
            running.arrived.set()

    def _note_listed(self, job: WorkJob, entry: list[ItemResult]) -> None:
        failed = sum(bool(result.error_code) for result in entry)
        metrics.ITEMS.add({"result": "done"}, len(entry) - failed)
        metrics.ITEMS.add({"result": "failed"}, failed)
        for result in entry:
            log.info(
                "Listed an item.",
                job_id=job.job_id,
                item_id=job.items[result.item_index].id,
                code=result.error_code or "done",
                due_in_ms=job.due_at_ms - self._clock.now_ms(),
            )


def _fitting_progress(states: list[ItemState], max_bytes: int) -> tuple[ItemProgress, ...]:
    """Returns how far items have come, of as many as fit; the others begin anew."""
    chosen = []
    left_bytes = max_bytes
    for progress in (state.progress for state in states):
        if progress is not None and progress.size_bytes <= left_bytes:
            chosen.append(progress)
            left_bytes -= progress.size_bytes
    return tuple(chosen)
