"""Reads a job's results and progress from its shards' logs."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from .jobs import JobRecord
from .object_store import ObjectStore
from .shard_log import ItemResult, ShardLog, log_prefix

__all__ = ["JobProgress", "read_progress", "read_results"]


class JobProgress(NamedTuple):
    """How far a job is."""

    item_count: int
    done_count: int
    failed_count: int
    is_sealed: bool


async def read_results(store: ObjectStore, job: JobRecord) -> AsyncIterator[tuple[int, ItemResult]]:
    """Yields results with the shard's index, shard after shard, in item order."""
    for shard_index in range(len(job.shards)):
        log = ShardLog(store, log_prefix(job.member, job.job_id, shard_index))
        await log.replay()
        for index in sorted(log.results):
            yield shard_index, log.results[index]


async def read_progress(store: ObjectStore, job: JobRecord) -> JobProgress:
    """Counts the results that stand in the logs."""
    done, failed, sealed = 0, 0, 0
    for shard_index in range(len(job.shards)):
        log = ShardLog(store, log_prefix(job.member, job.job_id, shard_index))
        await log.replay()
        done += len(log.results)
        failed += sum(1 for result in log.results.values() if result.error_code)
        sealed += log.is_sealed
    return JobProgress(job.item_count, done, failed, sealed == len(job.shards))
