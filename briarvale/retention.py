"""Removes finished jobs after their retention period and uploads that were never accepted."""

import random
from collections.abc import Callable

import anyio

from . import logs
from .active_jobs import ActiveJobs, UploadKey, list_all_keys
from .clock import MS_PER_S
from .completion import EXPIRING_PREFIX
from .environment import Environment
from .errors import BriarvaleError, ObjectNotFound, VersionConflict
from .fleet_view import FleetView
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
KINDS = ("inputs", "logs", "seals", "late")

log = logs.part("batch")

__all__ = ["Retention"]


class Retention:
    """Sweeps what is over; each thing falls to one VM, and doing it twice does no harm.

    Args:
        environment: The outside interfaces.
        budget: Paces and retries the calls.
        view: Gives the rules.
        is_mine: Whether this VM should see to what a key names.
    """

    def __init__(
        self,
        environment: Environment,
        budget: StoreBudget,
        view: FleetView,
        is_mine: Callable[[str], bool],
    ) -> None:
        self._store = environment.store
        self._clock = environment.clock
        self._record_writer = RecordWriter(environment.store, environment.clock)
        self._budget = budget
        self._view = view
        self._is_mine = is_mine
        self._pending_since_s: dict[UploadKey, float] = {}

    async def run(self, jobs: ActiveJobs) -> None:
        """Sweeps until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self.remove_unaccepted(jobs)
                if self._is_mine(EXPIRING_PREFIX):
                    await self.remove_expired()
            except BriarvaleError as error:
                log.warning("Can't sweep: {}.", error)

    async def remove_expired(self) -> None:
        """Removes jobs whose results need not be kept any longer."""
        retention_ms = self._view.config.rules.retention_days * MS_PER_DAY
        while True:
            keys = await self._budget.call(self._store.list_keys, EXPIRING_PREFIX, "", PAGE_KEYS)
            for key in keys:
                finished_at, member, job_id, upload_id = key.split("/")[1:]
                if int(finished_at) + retention_ms > self._clock.now_ms():
                    return
                await self._remove(UploadKey(member, job_id, upload_id))
                await delete_if_exists(self._store, self._budget, key)
            if len(keys) < PAGE_KEYS:
                return

    async def remove_unaccepted(self, jobs: ActiveJobs) -> None:
        """Removes uploads past their term, once their acceptance can't follow any more."""
        now_s = anyio.current_time()
        self._pending_since_s = {
            upload: self._pending_since_s.get(upload, now_s) for upload in jobs.pending
        }
        for upload, since_s in sorted(self._pending_since_s.items()):
            if now_s - since_s >= UPLOAD_TIMEOUT_MS / MS_PER_S and self._is_mine("/".join(upload)):
                await self._remove_upload(upload)
                jobs.forget(upload)

    async def _remove_upload(self, upload: UploadKey) -> None:
        """Puts a void record where none stands, so that a late acceptance fails."""
        member, job_id, upload_id = upload
        void = void_record(member, job_id, self._clock.now_ms())
        standing = await self._record_writer.write_or_void(void, None)
        if standing.upload_id == upload_id and standing.state is not JobState.VOID:
            return
        await discard_upload(self._store, JobRequest(member, job_id, "", 0), upload_id)
        log.info("Removed an upload of {} that was never accepted.", job_id)

    async def _remove(self, upload: UploadKey) -> None:
        """Removes the record first, so that no reader meets a job with a part of its results."""
        try:
            stored = await self._budget.call(self._store.get, job_key(upload.member, upload.job_id))
            record = JobRecord.decode(stored.value)
            if record.upload_id == upload.upload_id:
                await self._budget.call(self._store.delete, stored.key, stored.version)
        except (ObjectNotFound, VersionConflict):
            log.debug("The record of {} is gone or another one.", upload.job_id)
        for kind in KINDS:
            place = f"{kind}/{'/'.join(upload)}"
            for key in await list_all_keys(self._budget, self._store, place):
                await delete_if_exists(self._store, self._budget, key)
