"""One batch program's cache of unfinished jobs.

Each job has an index object under `active/`, created before its acceptance and deleted after its
end. A watch on the job records reports changes at once; the index is also listed at the start and
periodically, to find changes that an interrupted watch missed.
"""

import random
from typing import NamedTuple

import anyio

from . import logs
from .errors import ObjectNotFound, StoreThrottled, StoreUnavailable
from .jobs import ACTIVE_PREFIX, JobRecord, job_key
from .notifier import Notifier
from .object_store import ObjectStore
from .store_budget import StoreBudget

WATCH_TIMEOUT_S = 30.0
LIST_INTERVAL_S = 300.0
PENDING_INTERVAL_S = 10.0
RETRY_MAX_S = 5.0
MIN_PAUSE_S = 5.0
PAGE_KEYS = 1_000

log = logs.component_logger("batch")

__all__ = ["ActiveJobs", "UploadKey", "list_all_keys"]


class UploadKey(NamedTuple):
    """Identifies one submission of a job."""

    member: str
    job_id: str
    upload_id: str


class ActiveJobs:
    """Caches the records of unfinished jobs and keeps them current.

    Args:
        store: The Object API.
        budget: Rate limit and retries of the calls.

    Attributes:
        pending: Submissions whose job has no record, or the record of another submission.
        awaiting_cleanup: Ended jobs whose index objects still exist.
        pause_count: Number of pauses of this process that were detected.
    """

    def __init__(self, store: ObjectStore, budget: StoreBudget) -> None:
        self._store = store
        self._budget = budget
        self._random = random.Random(random.random())
        self.records: dict[UploadKey, JobRecord] = {}
        self.pending: set[UploadKey] = set()
        self.awaiting_cleanup: set[UploadKey] = set()
        self.pause_count = 0
        self._changed = Notifier()

    async def run(self) -> None:
        """Keeps the cache current until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._recheck_pending)
            tasks.start_soon(self._detect_pauses)

    async def wait_changed(self) -> None:
        """Waits until a record changes or a pause of this process is detected."""
        await self._changed.wait()

    def forget(self, upload: UploadKey) -> None:
        """Removes a submission from the cache, such as one whose index object was deleted."""
        self.records.pop(upload, None)
        self.pending.discard(upload)
        self.awaiting_cleanup.discard(upload)

    async def refresh(self, upload: UploadKey) -> None:
        """Reads the record of a submission again."""
        job = await self._read(job_key(upload.member, upload.job_id))
        self._apply_record(upload, job)

    def record_pause(self) -> None:
        """Counts a pause of this process, after which everything it has cached may be stale."""
        log.warning("This process was paused; reading the logs of its shards again.")
        self.pause_count += 1
        self._notify()

    async def _watch(self) -> None:
        """Watches the records; reads all of them at the start and after a failure."""
        version = -1
        list_at_s = 0.0
        while True:
            try:
                if version < 0:
                    version = (await self._store.watch("jobs/", 0, 0.0)).version
                    await self._list(reread_cached=True)
                elif anyio.current_time() >= list_at_s:
                    await self._list(reread_cached=False)
                    list_at_s = anyio.current_time() + self._jitter(LIST_INTERVAL_S)
                changes = await self._store.watch("jobs/", version, self._jitter(WATCH_TIMEOUT_S))
                for key in changes.keys:
                    await self._apply_change(key)
                version = changes.version
            except (StoreUnavailable, StoreThrottled) as error:
                log.debug("Can't watch the jobs: {}.", error)
                version = -1
                await anyio.sleep(self._random.uniform(0.1, 1) * RETRY_MAX_S)

    async def _list(self, *, reread_cached: bool) -> None:
        """Lists the index; reads records that aren't cached, or all if `reread_cached`."""
        keys = await list_all_keys(self._budget, self._store, ACTIVE_PREFIX)
        listed = {UploadKey(*key.removeprefix(ACTIVE_PREFIX).split("/")) for key in keys}
        for upload in sorted((self.records.keys() | self.pending) - listed):
            self.forget(upload)
        to_read = listed if reread_cached else listed - self.records.keys()
        for upload in sorted(to_read):
            await self.refresh(upload)
            if upload in self.records and self.records[upload].state.is_final:
                self.awaiting_cleanup.add(upload)

    async def _apply_change(self, key: str) -> None:
        """Reads a changed record and applies it to all cached submissions of its job."""
        job = await self._read(key)
        cached = [u for u in (*self.records, *self.pending) if job_key(u.member, u.job_id) == key]
        for upload in cached:
            self._apply_record(upload, job)
        if job is not None and not job.state.is_final:
            self._apply_record(UploadKey(job.member, job.job_id, job.upload_id), job)

    async def _detect_pauses(self) -> None:
        """Records a pause when a sleep of a second took over `MIN_PAUSE_S`."""
        while True:
            sleep_started_s = anyio.current_time()
            await anyio.sleep(1)
            if anyio.current_time() - sleep_started_s > MIN_PAUSE_S:
                self.record_pause()

    async def _recheck_pending(self) -> None:
        """Reads the records of submissions that had none, about every `PENDING_INTERVAL_S`."""
        while True:
            await anyio.sleep(self._jitter(PENDING_INTERVAL_S))
            for upload in sorted(self.pending):
                await self.refresh(upload)

    async def _read(self, key: str) -> JobRecord | None:
        try:
            return JobRecord.decode((await self._budget.call(self._store.get, key)).value)
        except ObjectNotFound:
            return None

    def _apply_record(self, upload: UploadKey, job: JobRecord | None) -> None:
        """Caches a job's record; the submission is pending unless the record is its own."""
        if job is None or job.upload_id != upload.upload_id:
            self.records.pop(upload, None)
            self.pending.add(upload)
        else:
            self.pending.discard(upload)
            self.records[upload] = job
        self._notify()

    def _notify(self) -> None:
        self._changed.notify()

    def _jitter(self, interval_s: float) -> float:
        return interval_s * self._random.uniform(0.8, 1.2)


async def list_all_keys(budget: StoreBudget, store: ObjectStore, prefix: str) -> list[str]:
    """Lists all keys under a prefix, page by page."""
    keys: list[str] = []
    while True:
        after = keys[-1] if keys else ""
        page = await budget.call(store.list_keys, prefix, after, PAGE_KEYS)
        keys += page
        if len(page) < PAGE_KEYS:
            return keys
