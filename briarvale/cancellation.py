"""Cancels jobs by a conditional update of the record; runners then seal the job's shards."""

import anyio
from tenacity import AsyncRetrying, retry_if_exception_type, wait_random_exponential

from .clock import Clock
from .errors import CancelUnknown, StoreThrottled, StoreUnavailable, VersionConflict
from .jobs import JobRecord, JobState, load_job
from .object_store import ObjectStore

CANCEL_TIMEOUT_S = 10.0
RETRY_DELAY_MS = 5_000

__all__ = ["cancel_job"]


async def cancel_job(store: ObjectStore, clock: Clock, member: str, job_id: str) -> JobRecord:
    """Requests a job's cancellation; returns its record, unchanged if the job has ended.

    Idempotent: after an attempt without an answer, the record is read again.
    specs/shard_log.pml: Cancel.

    Raises:
        NotFound: If there is no such job.
        CancelUnknown: If the Object API does not answer; the job may be cancelled or not.
    """
    stop_at_s = anyio.current_time() + CANCEL_TIMEOUT_S
    retrying = AsyncRetrying(
        retry=retry_if_exception_type((StoreUnavailable, StoreThrottled, VersionConflict)),
        wait=wait_random_exponential(multiplier=0.2, max=2),
        stop=lambda _: anyio.current_time() >= stop_at_s,
        sleep=anyio.sleep,
        reraise=True,
    )
    try:
        return await retrying(_cancel_once, store, member, job_id)
    except (StoreUnavailable, StoreThrottled, VersionConflict) as error:
        retry_at_ms = clock.now_ms() + RETRY_DELAY_MS
        raise CancelUnknown(f"job {job_id}: {error}", retry_at_ms=retry_at_ms) from error


async def _cancel_once(store: ObjectStore, member: str, job_id: str) -> JobRecord:
    job, stored = await load_job(store, member, job_id)
    if job.state is not JobState.RUNNING:
        return job
    cancelling = job._replace(state=JobState.CANCELLING)
    await store.update(job.key, cancelling.encode(), stored.version)
    return cancelling
