"""Lists unfinished jobs for operators, the earliest due first."""

from typing import TypedDict

from .errors import NotFound
from .job_results import read_progress
from .jobs import ACTIVE_PREFIX, JobRecord, load_job
from .object_store import ObjectStore

MAX_JOBS = 20

__all__ = ["JobRow", "read_job_rows"]


class JobRow(TypedDict):
    """One unfinished job. `late_until_ms` is the predicted end of a job that will be late."""

    member: str
    job_id: str
    state: str
    item_count: int
    done_count: int
    failed_count: int
    due_at_ms: int
    late_until_ms: int


async def read_job_rows(store: ObjectStore, limit: int = MAX_JOBS) -> list[JobRow]:
    """Returns the jobs due first, at most `limit`; raises `StoreUnavailable`."""
    jobs = []
    for key in await store.list_keys(ACTIVE_PREFIX):
        member, job_id, _ = key.removeprefix(ACTIVE_PREFIX).split("/")
        try:
            job, _ = await load_job(store, member, job_id)
        except NotFound:
            continue
        jobs.append(job)
    jobs.sort(key=lambda job: job.due_at_ms)
    return [await _row(store, job) for job in jobs[:limit]]


async def _row(store: ObjectStore, job: JobRecord) -> JobRow:
    progress = await read_progress(store, job)
    return JobRow(
        member=job.member,
        job_id=job.job_id,
        state=job.state.value,
        item_count=job.item_count,
        done_count=progress.done_count,
        failed_count=progress.failed_count,
        due_at_ms=job.due_at_ms,
        late_until_ms=progress.late_until_ms,
    )
