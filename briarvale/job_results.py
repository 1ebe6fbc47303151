"""Reads a job's results and progress from its shards' logs."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from .errors import ObjectNotFound
from .job_finisher import read_seals
from .jobs import JobRecord, JobState, late_key, log_prefix
from .object_store import ObjectStore
from .shard_log import ItemResult, LogEntry
from .store_budget import StoreBudget

MAX_SHARDS_READ = 8
READ_TIMEOUT_S = 5.0

__all__ = ["JobProgress", "ShardPage", "read_progress", "read_results", "read_shard"]


class ShardPage(NamedTuple):
    """The results of one shard in item order, and whether the shard is sealed (complete)."""

    results: tuple[ItemResult, ...]
    is_sealed: bool


class JobProgress(NamedTuple):
    """Progress of a job.

    The counts are exact once `is_sealed`. Until then, `done_count` and `failed_count` are lower
    bounds if more than `MAX_SHARDS_READ` shards are unsealed. `late_until_ms` is the predicted end
    of a job that will be late, 0 otherwise.
    """

    item_count: int
    done_count: int
    failed_count: int
    cancelled_count: int
    is_sealed: bool
    late_until_ms: int


async def read_shard(store: ObjectStore, job: JobRecord, shard_index: int) -> ShardPage:
    """Reads the results of one shard from its log."""
    budget = StoreBudget(give_up_after_s=READ_TIMEOUT_S)
    prefix = log_prefix(job, shard_index)
    results: dict[int, ItemResult] = {}
    sequence = 0
    while True:
        try:
            stored = await budget.call(store.get, f"{prefix}{sequence:06d}")
        except ObjectNotFound:
            return ShardPage(_in_order(results), is_sealed=False)
        entry = LogEntry.decode(stored.value)
        for result in entry.results:
            results.setdefault(result.item_index, result)
        if entry.is_seal:
            return ShardPage(_in_order(results), is_sealed=True)
        sequence += 1


async def read_results(store: ObjectStore, job: JobRecord) -> AsyncIterator[tuple[int, ItemResult]]:
    """Yields results with their shard's index, in order of shards and items."""
    for shard_index in range(len(job.shard_items)):
        page = await read_shard(store, job, shard_index)
        for result in page.results:
            yield shard_index, result


async def read_progress(store: ObjectStore, job: JobRecord) -> JobProgress:
    """Reads the counts of an ended job's record; until then, counts results in its shards' logs."""
    if job.state.is_final:
        return JobProgress(job.item_count, *job.counts, is_sealed=True, late_until_ms=0)
    seals = await read_seals(store, StoreBudget(give_up_after_s=READ_TIMEOUT_S), job)
    done = sum(seal.done_count for seal in seals)
    failed = sum(seal.failed_count for seal in seals)
    sealed = {seal.shard_index for seal in seals}
    unsealed = [index for index in range(len(job.shard_items)) if index not in sealed]
    for shard_index in unsealed[:MAX_SHARDS_READ]:
        page = await read_shard(store, job, shard_index)
        failures = sum(1 for result in page.results if result.error_code)
        done += len(page.results) - failures
        failed += failures
    is_cancelled = not unsealed and job.state is JobState.CANCELLING
    cancelled = job.item_count - done - failed if is_cancelled else 0
    late_until_ms = await _late_until_ms(store, job)
    return JobProgress(job.item_count, done, failed, cancelled, not unsealed, late_until_ms)


async def _late_until_ms(store: ObjectStore, job: JobRecord) -> int:
    """Reads the predicted end of a job that will be late; 0 if none is recorded."""
    try:
        return int((await store.get(late_key(job))).value)
    except ObjectNotFound:
        return 0


def _in_order(results: dict[int, ItemResult]) -> tuple[ItemResult, ...]:
    return tuple(results[index] for index in sorted(results))
