"""Runs one shard: commits the results of its items to the shard's log, and seals the log."""

import anyio

from . import logs, metrics
from .environment import Environment
from .item_scheduler import ItemScheduler, OpenShard
from .job_finisher import JobFinisher, ShardSeal
from .jobs import JobRecord, JobState, load_shard, log_prefix
from .shard_log import ItemResult, ShardLog, fitting_results
from .store_budget import StoreBudget

# An entry is due at `ENTRY_RESULTS` (the first one at `FIRST_ENTRY_RESULTS`) or `ENTRY_MAX_BYTES`;
# otherwise after `ENTRY_AGE_S`, or after `ENTRY_MAX_AGE_S` with fewer than `ENTRY_MIN_RESULTS`.
FIRST_ENTRY_RESULTS = 25
ENTRY_RESULTS = 400
ENTRY_MAX_BYTES = 900_000
ENTRY_MIN_RESULTS = 100
ENTRY_AGE_S = 120.0
ENTRY_MAX_AGE_S = 300.0
CONTESTED_INTERVAL_S = 5.0

log = logs.component_logger("batch")

__all__ = ["RunningShard", "ShardRunner"]


class RunningShard:
    """A shard that runs on this VM; the batch program updates, stops and drains it.

    Args:
        job: The job's record.
        shard_index: The index of the shard in the job.
        is_reversed: Whether its items start in reverse order.
        is_contested: Whether an earlier run here lost a log entry to another runner. The log is
            then read every `CONTESTED_INTERVAL_S`.

    Attributes:
        is_stopping: Whether the shard will be closed before all its items have results.
        has_lost_race: Whether this run lost a log entry to another runner.
        must_replay: Whether the log must be read again before further items start.
        open_shard: The shard's items while they are in memory.
    """

    def __init__(
        self,
        job: JobRecord,
        shard_index: int,
        *,
        is_reversed: bool = False,
        is_contested: bool = False,
    ) -> None:
        self.job = job
        self.shard_index = shard_index
        self.is_stopping = False
        self.is_reversed = is_reversed
        self.is_contested = is_contested
        self.has_lost_race = False
        self.must_replay = False
        self.open_shard: OpenShard | None = None
        self.scope = anyio.CancelScope()

    @property
    def is_cancelling(self) -> bool:
        """Whether the job is being cancelled."""
        return self.job.state is JobState.CANCELLING

    def update(self, job: JobRecord) -> None:
        """Applies the job's changed record; cancels the run if the job has ended."""
        self.job = job
        if job.state.is_final:
            self.scope.cancel()
        elif self.is_cancelling:
            self._pause()

    def stop(self) -> None:
        """Stops running items, commits finished results and closes the shard."""
        self.is_stopping = True
        self._pause()

    def drain(self) -> None:
        """Lets running items end, commits their results and closes the shard."""
        self.is_stopping = True
        if self.open_shard is not None:
            self.open_shard.is_paused = True
            self.open_shard.finish()

    def request_replay(self) -> None:
        """Starts no further items until the log has been read again."""
        self.must_replay = True
        self._pause()

    def _pause(self) -> None:
        """Starts no further items; also cancels running ones if the run is to end."""
        if self.open_shard is not None:
            self.open_shard.is_paused = True
            if self.is_cancelling or self.is_stopping:
                self.open_shard.stop()
            self.open_shard.notify()


class ShardRunner:
    """Runs shards.

    Args:
        environment: Clock, store, network and backend servers.
        budget: Rate limit and retries of the calls to the Object API.
        scheduler: Runs the items.
        finisher: Marks each sealed shard.
    """

    def __init__(
        self,
        environment: Environment,
        budget: StoreBudget,
        scheduler: ItemScheduler,
        finisher: JobFinisher,
    ) -> None:
        self._store = environment.store
        self._budget = budget
        self._scheduler = scheduler
        self._finisher = finisher

    async def run(self, running: RunningShard) -> bool:
        """Runs the items without a result and seals the log; returns whether it is sealed.

        A runner that loses a sequence number to another commits its remaining results and closes
        the shard, so that only one of two runners continues. A stopped runner commits its results.
        """
        job, index = running.job, running.shard_index
        shard_log = ShardLog(self._store, self._budget, log_prefix(job, index))
        with running.scope:
            await shard_log.replay()
            if not shard_log.is_sealed:
                await self._run_items(running, shard_log)
        if shard_log.is_sealed:
            done_count = len(shard_log.committed_items) - shard_log.failed_count
            seal = ShardSeal(index, done_count, shard_log.failed_count)
            await self._finisher.mark_sealed(job, seal)
        return shard_log.is_sealed

    async def _run_items(self, running: RunningShard, shard_log: ShardLog) -> None:
        """Opens the shard, and commits its results until it is sealed or closed."""
        job = running.job
        items = await self._budget.call(load_shard, self._store, job, running.shard_index)
        shard = OpenShard(job, running.shard_index, items, shard_log.committed_items)
        running.open_shard = shard
        if running.is_reversed:
            shard.pending.reverse()
        if running.is_cancelling or running.is_stopping:
            shard.finish()
        self._scheduler.open(shard)
        try:
            await self._commit_until_sealed(running, shard, shard_log)
        finally:
            self._scheduler.close(shard)
            running.open_shard = None

    async def _commit_until_sealed(
        self, running: RunningShard, shard: OpenShard, shard_log: ShardLog
    ) -> None:
        """Commits results as they arrive. specs/shard_log.pml: Append, Seal, Cancel."""
        while not shard_log.is_sealed:
            if running.must_replay:
                running.must_replay = False
                await shard_log.replay()
                self._drop_committed(shard, shard_log)
                shard.is_paused = running.is_cancelling or running.is_stopping
                continue
            is_complete = len(shard_log.committed_items) + len(shard.results) == len(shard.items)
            may_seal = is_complete or running.is_cancelling
            is_ending = running.is_stopping and not shard.running
            if may_seal or is_ending or self._is_entry_due(shard, shard_log):
                is_ours = await self._commit(running, shard, shard_log, may_seal)
                if is_ending and not shard.results:
                    return
                if not is_ours:
                    running.has_lost_race = True
                    running.stop()
            elif running.is_contested:
                await anyio.sleep(CONTESTED_INTERVAL_S)
                running.must_replay = True
            else:
                await shard.wait_changed(ENTRY_AGE_S)

    async def _commit(
        self, running: RunningShard, shard: OpenShard, shard_log: ShardLog, may_seal: bool
    ) -> bool:
        """Appends an entry with the results that fit; false if another runner's entry came first.

        Seals the log if `may_seal` and all results fit.
        """
        results = fitting_results(shard.results.values(), ENTRY_MAX_BYTES)
        is_seal = may_seal and len(results) == len(shard.results)
        if not results and not is_seal:
            return True
        is_ours = await shard_log.append(results, is_seal=is_seal)
        if is_ours:
            _count_results(results)
        else:
            log.info(
                "Another runner appended to shard {} of job {}.",
                shard.shard_index,
                shard.job.job_id,
            )
        self._drop_committed(shard, shard_log)
        return is_ours

    def _drop_committed(self, shard: OpenShard, shard_log: ShardLog) -> None:
        """Drops items that have a result in the log; stops all items if the log is sealed."""
        if shard_log.is_sealed:
            shard.stop()
        self._budget.add_buffered_bytes(-shard.drop_committed(shard_log.committed_items))
        self._scheduler.wake()

    def _is_entry_due(self, shard: OpenShard, shard_log: ShardLog) -> bool:
        """Whether to commit now; the first entry is due early, to detect a second runner soon."""
        factor = self._budget.entry_factor
        min_results = ENTRY_RESULTS * factor if shard_log.last_append_won else FIRST_ENTRY_RESULTS
        if len(shard.results) >= min_results:
            return True
        if shard.result_bytes >= ENTRY_MAX_BYTES or (shard.results and self._budget.is_full):
            return True
        age_s = anyio.current_time() - shard.oldest_result_at_s
        is_large_enough = len(shard.results) >= ENTRY_MIN_RESULTS * self._budget.entry_factor
        return age_s >= (ENTRY_AGE_S if is_large_enough else ENTRY_MAX_AGE_S)


def _count_results(results: list[ItemResult]) -> None:
    failed = sum(1 for result in results if result.error_code)
    metrics.ITEMS.add({"result": "done"}, len(results) - failed)
    metrics.ITEMS.add({"result": "failed"}, failed)
