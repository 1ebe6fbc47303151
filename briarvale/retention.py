"""Removes finished jobs after their retention period and uploads that were never accepted."""

import random
from collections.abc import Callable

import anyio

from . import logs
from .active_jobs import ActiveJobs, UploadKey, list_all_keys
from .clock import MS_PER_S
from .environment import Environment
from .errors import BriarvaleError, ObjectNotFound, VersionConflict
from .fleet_view import FleetView
from .job_finisher import EXPIRING_PREFIX
from .jobs import JobRecord, JobRequest, JobState, job_key
from .store_budget import StoreBudget
from .submission import (
    UPLOAD_TIMEOUT_MS,
    RecordWriter,
    delete_if_exists,
    discard_upload,
    void_record,
)

SWEEP_INTERVAL_S = 600.0
PAGE_KEYS = 100
MS_PER_DAY = 86_400_000
JOB_OBJECT_KINDS = ("inputs", "logs", "seals", "late")

log = logs.component_logger("batch")

__all__ = ["Retention"]


class Retention:
    """Removes expired jobs and abandoned uploads; each removal is idempotent and done by one VM.

    Args:
        environment: Clock, store, network and backend servers.
        budget: Rate limit and retries of the calls.
        view: The fleet view, for the rules.
        is_assigned_here: Whether a key is assigned to this VM.
    """

    def __init__(
        self,
        environment: Environment,
        budget: StoreBudget,
        view: FleetView,
        is_assigned_here: Callable[[str], bool],
    ) -> None:
        self._store = environment.store
        self._clock = environment.clock
        self._record_writer = RecordWriter(environment.store, environment.clock)
        self._budget = budget
        self._view = view
        self._is_assigned_here = is_assigned_here
        self._pending_since_s: dict[UploadKey, float] = {}

    async def run(self, jobs: ActiveJobs) -> None:
        """Removes expired jobs and abandoned uploads about every `SWEEP_INTERVAL_S`."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self.remove_unaccepted(jobs)
                if self._is_assigned_here(EXPIRING_PREFIX):
                    await self.remove_expired()
            except BriarvaleError as error:
                log.warning("Can't remove expired jobs and uploads: {}.", error)

    async def remove_expired(self) -> None:
        """Removes jobs whose retention period is over."""
        retention_ms = self._view.config.rules.retention_days * MS_PER_DAY
        while True:
            keys = await self._budget.call(self._store.list_keys, EXPIRING_PREFIX, "", PAGE_KEYS)
            for key in keys:
                finished_at, member, job_id, upload_id = key.split("/")[1:]
                if int(finished_at) + retention_ms > self._clock.now_ms():
                    return
                await self._remove_job(UploadKey(member, job_id, upload_id))
                await delete_if_exists(self._store, self._budget, key)
            if len(keys) < PAGE_KEYS:
                return

    async def remove_unaccepted(self, jobs: ActiveJobs) -> None:
        """Removes uploads past their timeout, after making sure that they can't be accepted."""
        now_s = anyio.current_time()
        self._pending_since_s = {
            upload: self._pending_since_s.get(upload, now_s) for upload in jobs.pending
        }
        for upload, since_s in sorted(self._pending_since_s.items()):
            if now_s - since_s >= UPLOAD_TIMEOUT_MS / MS_PER_S and self._is_assigned_here(
                "/".join(upload)
            ):
                await self._remove_upload(upload)
                jobs.forget(upload)

    async def _remove_upload(self, upload: UploadKey) -> None:
        """Removes an upload, unless it was accepted; a void record blocks a late acceptance."""
        member, job_id, upload_id = upload
        void = void_record(member, job_id, self._clock.now_ms())
        stored = await self._record_writer.write_or_void(void, None)
        if stored.upload_id == upload_id and stored.state is not JobState.VOID:
            return
        await discard_upload(self._store, JobRequest(member, job_id, "", 0), upload_id)
        log.info("Removed an upload of job {} that was never accepted.", job_id)

    async def _remove_job(self, upload: UploadKey) -> None:
        """Removes a job; the record first, so that no reader finds a job with only some results."""
        try:
            stored = await self._budget.call(self._store.get, job_key(upload.member, upload.job_id))
            record = JobRecord.decode(stored.value)
            if record.upload_id == upload.upload_id:
                await self._budget.call(self._store.delete, stored.key, stored.version)
        except (ObjectNotFound, VersionConflict):
            log.debug("The record of job {} was deleted or replaced.", upload.job_id)
        for kind in JOB_OBJECT_KINDS:
            prefix = f"{kind}/{'/'.join(upload)}"
            for key in await list_all_keys(self._budget, self._store, prefix):
                await delete_if_exists(self._store, self._budget, key)
