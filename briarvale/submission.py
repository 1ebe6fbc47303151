"""Accepts jobs: stores the items in the Object API, then creates the record, which accepts the job.

A refusal with `not_run: true` must be certain. If a write of the record failed but may still take
effect, a void record is written in its place; if that fails too, the acceptance is reported as
unknown.
"""

import hashlib
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple, TypeVar

import anyio
from tenacity import AsyncRetrying, retry_if_exception_type, wait_random_exponential

from . import logs
from .active_jobs import list_all_keys
from .clock import MS_PER_S, Clock
from .errors import (
    AcceptanceRefused,
    AcceptanceUnknown,
    BriarvaleError,
    InvalidRequest,
    JobConflict,
    JobTooLarge,
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    TooManyJobs,
    VersionConflict,
)
from .job_finisher import expiring_key
from .jobs import (
    ACTIVE_PREFIX,
    JobRecord,
    JobRequest,
    JobState,
    active_key,
    check_line,
    input_key,
    job_key,
)
from .object_store import ObjectStore, StoredObject
from .store_budget import StoreBudget

SHARD_ITEMS = 1_000
SHARD_BYTES = 900_000
RETRY_DELAY_MS = 5_000
INPUT_TIMEOUT_S = 30.0
RECORD_TIMEOUT_S = 10.0
DISCARD_TIMEOUT_S = 30.0
UPLOAD_TIMEOUT_MS = 3_600_000

T = TypeVar("T")

log = logs.component_logger("gateway")

__all__ = [
    "RecordWriter",
    "SubmissionLimits",
    "Submitter",
    "UPLOAD_TIMEOUT_MS",
    "delete_if_exists",
    "discard_upload",
    "void_record",
]


class SubmissionLimits(NamedTuple):
    """Limits on a member's submissions, from the rules."""

    max_job_bytes: int
    max_active_jobs: int


class _Upload:
    """A submission in progress: the shards stored so far, and the hash and size of its lines."""

    def __init__(self, request: JobRequest) -> None:
        self.request = request
        self.upload_id = secrets.token_hex(8)
        self.started_at_s = anyio.current_time()
        self.shard_items: list[int] = []
        self.size_bytes = 0
        header = f"{request.service}\0{request.due_at_ms}\0"
        self.hash = hashlib.sha256(header.encode())

    @property
    def active_key(self) -> str:
        """Key of the index object, which exists while the submission or its job is unfinished."""
        return active_key(self.request.member, self.request.job_id, self.upload_id)

    def next_input_key(self) -> str:
        """Returns the key of the next shard's items."""
        key_parts = (self.request.member, self.request.job_id, self.upload_id)
        return input_key(*key_parts, len(self.shard_items))


class Submitter:
    """Accepts submissions.

    Args:
        store: The Object API.
        clock: Source of the current time.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._record_writer = RecordWriter(store, clock)

    async def submit(
        self, request: JobRequest, lines: AsyncIterator[bytes], limits: SubmissionLimits
    ) -> JobRecord:
        """Accepts a job; idempotent for an id that was accepted before with the same content.

        Raises:
            InvalidRequest: If a line is invalid (the message names it); nothing was accepted.
            JobConflict: If the id was used with other content.
            JobTooLarge, TooManyJobs: If the job exceeds a limit; nothing was accepted.
            AcceptanceRefused: If the Object API can't record it; nothing was or will be accepted.
            AcceptanceUnknown: If a write of the record may still take effect.
        """
        upload = _Upload(request)
        existing = await self._retry_or_refuse(self._find_record, request)
        if existing is not None and _decode_record(existing).state is not JobState.VOID:
            return await self._compare_resent(upload, lines, _decode_record(existing), limits)
        try:
            await self._retry_or_refuse(self._create_index_object, upload, limits)
            await self._store_inputs(upload, lines, limits)
            record = self._new_record(upload)
        except BaseException:
            await self._discard(upload)
            raise
        stored = await self._record_writer.write_or_void(record, existing)
        if stored.upload_id != upload.upload_id:
            await self._discard(upload)
        if stored.state is JobState.VOID:
            raise self._refusal("the job could not be recorded")
        return _same_or_conflict(stored, record.digest)

    def _new_record(self, upload: _Upload) -> JobRecord:
        """Returns a stored job's record; raises if it has no items or its upload took too long."""
        if not upload.shard_items:
            raise InvalidRequest("the job has no items")
        spent_ms = (anyio.current_time() - upload.started_at_s) * MS_PER_S
        if spent_ms > UPLOAD_TIMEOUT_MS / 2:
            raise self._refusal("the upload took too long")
        return JobRecord(
            *upload.request,
            accepted_at_ms=self._clock.now_ms(),
            digest=upload.hash.hexdigest(),
            upload_id=upload.upload_id,
            state=JobState.RUNNING,
            shard_items=tuple(upload.shard_items),
        )

    async def _compare_resent(
        self,
        upload: _Upload,
        lines: AsyncIterator[bytes],
        stored: JobRecord,
        limits: SubmissionLimits,
    ) -> JobRecord:
        """Compares a resent job with the stored record, without storing its items."""
        async for line in _checked_lines(upload, lines, limits):
            upload.hash.update(line + b"\n")
        return _same_or_conflict(stored, upload.hash.hexdigest())

    async def _create_index_object(self, upload: _Upload, limits: SubmissionLimits) -> None:
        """Creates the index object, from which all other objects of the submission are found."""
        prefix = f"{ACTIVE_PREFIX}{upload.request.member}/"
        keys = await list_all_keys(StoreBudget(give_up_after_s=0), self._store, prefix)
        if len(keys) >= limits.max_active_jobs:
            retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
            raise TooManyJobs(f"{len(keys)} jobs are not finished", retry_at_ms=retry_at_ms)
        with suppress(ObjectExists):
            value = str(self._clock.now_ms()).encode()
            await self._store.create(upload.active_key, value)

    async def _store_inputs(
        self, upload: _Upload, lines: AsyncIterator[bytes], limits: SubmissionLimits
    ) -> None:
        """Stores the lines as shards, each as one object."""
        shard_lines: list[bytes] = []
        shard_bytes = 0
        async for line in _checked_lines(upload, lines, limits):
            upload.hash.update(line + b"\n")
            if shard_lines and (
                len(shard_lines) == SHARD_ITEMS or shard_bytes + len(line) > SHARD_BYTES
            ):
                await self._retry_or_refuse(self._store_shard, upload, shard_lines)
                shard_lines, shard_bytes = [], 0
            shard_lines.append(line)
            shard_bytes += len(line) + 1
        if shard_lines:
            await self._retry_or_refuse(self._store_shard, upload, shard_lines)

    async def _store_shard(self, upload: _Upload, shard_lines: list[bytes]) -> None:
        with suppress(ObjectExists):
            await self._store.create(upload.next_input_key(), b"\n".join(shard_lines))
        upload.shard_items.append(len(shard_lines))

    async def _find_record(self, request: JobRequest) -> StoredObject | None:
        try:
            return await self._store.get(job_key(request.member, request.job_id))
        except ObjectNotFound:
            return None

    async def _retry_or_refuse(self, function: Callable[..., Awaitable[T]], *args: object) -> T:
        """Makes a store call before the record is written; refuses the job if it keeps failing.

        The call is safe to retry, since its keys belong to this submission alone.
        """
        try:
            return await _retrying(INPUT_TIMEOUT_S)(function, *args)
        except (StoreUnavailable, StoreThrottled) as error:
            raise self._refusal(str(error)) from error

    def _refusal(self, message: str) -> AcceptanceRefused:
        return AcceptanceRefused(message, retry_at_ms=self._clock.now_ms() + RETRY_DELAY_MS)

    async def _discard(self, upload: _Upload) -> None:
        """Removes the objects of a submission that won't be accepted.

        If the store fails, `Retention` removes the remaining objects after the upload's timeout.
        """
        with anyio.move_on_after(DISCARD_TIMEOUT_S, shield=True):
            try:
                await discard_upload(self._store, upload.request, upload.upload_id)
            except BriarvaleError:
                return


class RecordWriter:
    """Writes the record of a job, or makes sure that it can never be written.

    Args:
        store: The Object API.
        clock: Source of the current time.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def write_or_void(self, record: JobRecord, replaced: StoredObject | None) -> JobRecord:
        """Writes the record, or a void one if that fails; returns what is stored for the job.

        The stored record may be that of another upload.

        Args:
            record: The record to write.
            replaced: The stored void record to replace; none if there was no record.

        Raises:
            AcceptanceUnknown: If a write of the record may still take effect.
        """
        try:
            return await _retrying(RECORD_TIMEOUT_S)(self._write, record, replaced)
        except (StoreUnavailable, StoreThrottled) as error:
            log.warning("Can't record job {}: {}.", record.job_id, error)
        void = void_record(record.member, record.job_id, self._clock.now_ms())
        try:
            return await _retrying(RECORD_TIMEOUT_S)(self._write, void, replaced)
        except (StoreUnavailable, StoreThrottled) as error:
            retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
            message = "the job may have been accepted; submit it again"
            raise AcceptanceUnknown(message, retry_at_ms=retry_at_ms) from error

    async def _write(self, record: JobRecord, replaced: StoredObject | None) -> JobRecord:
        """Creates or replaces a record; returns it, or the one that was stored meanwhile.

        A void record gets an object in the index of expiring jobs first, so that it is removed.
        """
        value = record.encode()
        if record.state is JobState.VOID:
            with suppress(ObjectExists):
                await self._store.create(expiring_key(record), b"")
        try:
            if replaced is None:
                await self._store.create(record.key, value)
            else:
                await self._store.update(record.key, value, replaced.version)
        except (ObjectExists, VersionConflict):
            return _decode_record(await self._store.get(record.key))
        except ObjectNotFound:
            return void_record(record.member, record.job_id, self._clock.now_ms())
        return record


def void_record(member: str, job_id: str, now_ms: int) -> JobRecord:
    """Returns a void record: while it is stored, a late write of the job's record fails."""
    return JobRecord(
        member=member,
        job_id=job_id,
        service="",
        due_at_ms=0,
        accepted_at_ms=now_ms,
        digest="",
        upload_id=secrets.token_hex(8),
        state=JobState.VOID,
        shard_items=(),
        finished_at_ms=now_ms,
    )


async def discard_upload(store: ObjectStore, request: JobRequest, upload_id: str) -> None:
    """Removes the inputs of a submission, then its index object."""
    member, job_id = request.member, request.job_id
    budget = StoreBudget()
    prefix = input_key(member, job_id, upload_id, 0).rsplit("/", 1)[0] + "/"
    for key in await list_all_keys(budget, store, prefix):
        await delete_if_exists(store, budget, key)
    await delete_if_exists(store, budget, active_key(member, job_id, upload_id))


async def delete_if_exists(store: ObjectStore, budget: StoreBudget, key: str) -> None:
    """Deletes an object; does nothing if it doesn't exist."""
    with suppress(ObjectNotFound):
        await budget.call(store.delete, key)


async def _checked_lines(
    upload: _Upload, lines: AsyncIterator[bytes], limits: SubmissionLimits
) -> AsyncIterator[bytes]:
    """Yields the lines of a submission; raises an error for an invalid line or too large a job."""
    line_number = 0
    async for line in lines:
        line_number += 1
        check_line(line, line_number)
        upload.size_bytes += len(line) + 1
        if upload.size_bytes > limits.max_job_bytes:
            raise JobTooLarge(f"line {line_number}: the job is over {limits.max_job_bytes} bytes")
        yield line


def _same_or_conflict(stored: JobRecord, digest: str) -> JobRecord:
    """Returns the stored record if its content has this digest; raises `JobConflict` otherwise."""
    if stored.digest != digest:
        raise JobConflict(f"job {stored.job_id} exists with other content")
    return stored


def _decode_record(stored: StoredObject) -> JobRecord:
    return JobRecord.decode(stored.value)


def _retrying(timeout_s: float) -> AsyncRetrying:
    """Returns a function that retries a store call with back-off for up to `timeout_s`."""
    stop_at_s = anyio.current_time() + timeout_s
    return AsyncRetrying(
        retry=retry_if_exception_type((StoreUnavailable, StoreThrottled)),
        wait=wait_random_exponential(multiplier=0.2, max=3),
        stop=lambda _: anyio.current_time() >= stop_at_s,
        sleep=anyio.sleep,
        reraise=True,
    )
