"""Batch jobs of prompts: their records, items and the keys of their objects in the Object API.

Each item is a prompt for a model service; a job's items are divided into shards. Jobs whose items
are HTTP requests with opaque bodies have other records and runners: see `opaque_jobs`.

An upload id names one submission. Inputs, log entries and seals of a job carry it in their keys, so
that objects of two submissions with the same job id can't be confused.
"""

import json
from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict

from .errors import InvalidRequest, NotFound, ObjectNotFound
from .object_store import ObjectStore, StoredObject

MAX_ITEM_BYTES = 500_000
MAX_ITEM_TOKENS = 131_072

__all__ = [
    "ACTIVE_PREFIX",
    "Item",
    "JobCounts",
    "JobRecord",
    "JobRequest",
    "JobState",
    "MAX_ITEM_BYTES",
    "active_key",
    "check_line",
    "input_key",
    "job_key",
    "late_key",
    "load_job",
    "load_shard",
    "log_prefix",
    "seal_prefix",
]

ACTIVE_PREFIX = "active/"


class JobState(StrEnum):
    """State of a job. A void record marks an id under which no job was accepted."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    COMPLETED = "completed"
    VOID = "void"

    @property
    def is_final(self) -> bool:
        """Whether no item of the job will run any more."""
        return self in (JobState.CANCELLED, JobState.COMPLETED, JobState.VOID)


class Item(TypedDict):
    """One item of a job as its caller sent it."""

    prompt: str
    max_tokens: int
    adapter: NotRequired[str]


class JobRequest(NamedTuple):
    """What a caller submits, besides the items."""

    member: str
    job_id: str
    service: str
    due_at_ms: int


class JobCounts(NamedTuple):
    """Items of a finished job by how they ended."""

    done_count: int = 0
    failed_count: int = 0
    cancelled_count: int = 0


class JobRecord(NamedTuple):
    """An accepted job.

    Attributes:
        digest: Hash of the job's content, by which a resent job is recognized.
        upload_id: The submission that was accepted.
        shard_items: Number of items of each shard.
        counts: Zero until the job has finished.
    """

    member: str
    job_id: str
    service: str
    due_at_ms: int
    accepted_at_ms: int
    digest: str
    upload_id: str
    state: JobState
    shard_items: tuple[int, ...]
    finished_at_ms: int = 0
    counts: JobCounts = JobCounts()

    @property
    def item_count(self) -> int:
        """Number of items in all shards."""
        return sum(self.shard_items)

    @property
    def key(self) -> str:
        """Key of this record."""
        return job_key(self.member, self.job_id)

    def encode(self) -> bytes:
        """Encodes the record as the JSON that is stored."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "JobRecord":
        """Decodes the stored JSON."""
        row = json.loads(value)
        row["state"] = JobState(row["state"])
        row["shard_items"] = tuple(row["shard_items"])
        row["counts"] = JobCounts(*row["counts"])
        return cls(**row)


def job_key(member: str, job_id: str) -> str:
    """Returns the key of a job's record."""
    return f"jobs/{member}/{job_id}"


def active_key(member: str, job_id: str, upload_id: str) -> str:
    """Returns the key of the index object of an unfinished submission or job."""
    return f"{ACTIVE_PREFIX}{member}/{job_id}/{upload_id}"


def input_key(member: str, job_id: str, upload_id: str, shard_index: int) -> str:
    """Returns the key of a shard's items."""
    return f"inputs/{member}/{job_id}/{upload_id}/{shard_index:05d}"


def log_prefix(job: JobRecord, shard_index: int) -> str:
    """Returns the prefix of a shard's log entries."""
    return f"logs/{job.member}/{job.job_id}/{job.upload_id}/{shard_index:05d}/"


def seal_prefix(job: JobRecord) -> str:
    """Returns the prefix of the markers of a job's sealed shards."""
    return f"seals/{job.member}/{job.job_id}/{job.upload_id}/"


def late_key(job: JobRecord) -> str:
    """Returns the key of the object that holds the predicted end of a job that will be late."""
    return f"late/{job.member}/{job.job_id}/{job.upload_id}"


async def load_job(store: ObjectStore, member: str, job_id: str) -> tuple[JobRecord, StoredObject]:
    """Reads a job's record; raises `NotFound` if there is none or it is void."""
    try:
        stored = await store.get(job_key(member, job_id))
    except ObjectNotFound as error:
        raise NotFound(f"no job {job_id}") from error
    job = JobRecord.decode(stored.value)
    if job.state is JobState.VOID:
        raise NotFound(f"no job {job_id}")
    return job, stored


async def load_shard(store: ObjectStore, job: JobRecord, shard_index: int) -> list[Item]:
    """Reads the items of a shard."""
    key = input_key(job.member, job.job_id, job.upload_id, shard_index)
    value = (await store.get(key)).value
    return [json.loads(line) for line in value.split(b"\n")]


def check_line(line: bytes, line_number: int) -> None:
    """Validates one line of a submission; raises `InvalidRequest`, which names the line."""
    if len(line) > MAX_ITEM_BYTES:
        raise InvalidRequest(f"line {line_number}: over {MAX_ITEM_BYTES} bytes")
    try:
        item = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"line {line_number}: not JSON: {error}") from error
    if not isinstance(item, dict) or not isinstance(item.get("prompt"), str):
        raise InvalidRequest(f"line {line_number}: expected an object with a prompt")
    _check_text(item["prompt"], "prompt", line_number)
    _check_text(item.get("adapter", ""), "adapter", line_number)
    max_tokens = item.get("max_tokens")
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_ITEM_TOKENS:
        raise InvalidRequest(f"line {line_number}: expected max_tokens of 1 to {MAX_ITEM_TOKENS}")


def _check_text(value: object, name: str, line_number: int) -> None:
    if not isinstance(value, str):
        raise InvalidRequest(f"line {line_number}: {name}: expected a string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise InvalidRequest(f"line {line_number}: {name}: not valid Unicode") from error
