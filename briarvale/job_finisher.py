"""Ends jobs: marks sealed shards, and writes the exact counts once all shards are sealed."""

from collections.abc import Sequence
from typing import NamedTuple

from . import logs
from .active_jobs import list_all_keys
from .clock import Clock
from .errors import ObjectExists, ObjectNotFound, VersionConflict
from .jobs import JobCounts, JobRecord, JobState, active_key, seal_prefix
from .object_store import ObjectStore
from .store_budget import StoreBudget

EXPIRING_PREFIX = "expiring/"

log = logs.component_logger("batch")

__all__ = ["EXPIRING_PREFIX", "JobFinisher", "ShardSeal", "expiring_key", "read_seals"]


class ShardSeal(NamedTuple):
    """The counts of a sealed shard, stored in the key of its marker object."""

    shard_index: int
    done_count: int
    failed_count: int

    def key(self, job: JobRecord) -> str:
        """Returns the marker's key."""
        counts = f"{self.shard_index:05d}-{self.done_count}-{self.failed_count}"
        return seal_prefix(job) + counts

    @classmethod
    def from_key(cls, key: str) -> "ShardSeal":
        """Parses a marker's key."""
        return cls(*(int(part) for part in key.rsplit("/", 1)[1].split("-")))


class JobFinisher:
    """Marks sealed shards and ends jobs. Every operation is idempotent, and any runner may call it.

    Args:
        store: The Object API.
        budget: Rate limit and retries of the calls.
        clock: Source of the current time.
    """

    def __init__(self, store: ObjectStore, budget: StoreBudget, clock: Clock) -> None:
        self._store = store
        self._budget = budget
        self._clock = clock

    async def mark_sealed(self, job: JobRecord, seal: ShardSeal) -> None:
        """Creates the marker of a shard whose log is sealed."""
        await self._create(seal.key(job))

    async def finish_if_sealed(self, job: JobRecord) -> set[int]:
        """Ends the job if all its shards are sealed; returns the indexes of the sealed ones."""
        seals = await read_seals(self._store, self._budget, job)
        if len(seals) == len(job.shard_items):
            await self._finish(job, seals)
        return {seal.shard_index for seal in seals}

    async def clean_up(self, job: JobRecord) -> None:
        """Moves a finished job from the index of active jobs to the index of expiring jobs."""
        await self._create(expiring_key(job))
        await self._delete(active_key(job.member, job.job_id, job.upload_id))

    async def _finish(self, job: JobRecord, seals: Sequence[ShardSeal]) -> None:
        """Writes the final state and counts, unless another runner has; then cleans up."""
        done = sum(seal.done_count for seal in seals)
        failed = sum(seal.failed_count for seal in seals)
        counts = JobCounts(done, failed, job.item_count - done - failed)
        while True:
            try:
                stored = await self._budget.call(self._store.get, job.key)
            except ObjectNotFound:
                return
            current = JobRecord.decode(stored.value)
            if current.upload_id != job.upload_id:
                return
            if current.state.is_final:
                break
            ended = self._final_record(current, counts)
            try:
                await self._budget.call(self._store.update, job.key, ended.encode(), stored.version)
            except (VersionConflict, ObjectNotFound):
                continue
            log.info("Job {} of member {} is {}.", job.job_id, job.member, ended.state.value)
            current = ended
            break
        await self.clean_up(current)

    def _final_record(self, job: JobRecord, counts: JobCounts) -> JobRecord:
        """Returns the final record of a job whose shards are all sealed."""
        was_cancelled = job.state is JobState.CANCELLING
        state = JobState.CANCELLED if was_cancelled else JobState.COMPLETED
        return job._replace(state=state, counts=counts, finished_at_ms=self._clock.now_ms())

    async def _create(self, key: str) -> None:
        try:
            await self._budget.call(self._store.create, key, b"")
        except ObjectExists:
            return

    async def _delete(self, key: str) -> None:
        try:
            await self._budget.call(self._store.delete, key)
        except ObjectNotFound:
            return


def expiring_key(job: JobRecord) -> str:
    """Returns a job's key in the index of expiring jobs, whose keys sort by when jobs ended."""
    upload_path = f"{job.member}/{job.job_id}/{job.upload_id}"
    return f"{EXPIRING_PREFIX}{job.finished_at_ms:014d}/{upload_path}"


async def read_seals(store: ObjectStore, budget: StoreBudget, job: JobRecord) -> list[ShardSeal]:
    """Lists the markers of a job's sealed shards."""
    keys = await list_all_keys(budget, store, seal_prefix(job))
    return [ShardSeal.from_key(key) for key in keys]
