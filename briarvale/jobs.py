"""Batch jobs: what is accepted, kept in the Object API as one record a job."""

import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import StrEnum
from typing import NamedTuple, TypedDict

from .clock import Clock
from .errors import (
    AcceptanceRefused,
    InvalidRequest,
    JobConflict,
    NotFound,
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
)
from .object_store import ObjectStore

SHARD_ITEMS = 1_000
SHARD_BYTES = 900_000
MAX_ITEM_BYTES = 500_000
RETRY_DELAY_MS = 5_000

__all__ = ["Item", "JobRecord", "JobState", "Jobs", "Shard", "job_key", "load_shard"]


class JobState(StrEnum):
    """Where a job stands."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    COMPLETED = "completed"


class Item(TypedDict):
    """One item of a job as its caller wrote it."""

    prompt: str
    max_tokens: int


class Shard(NamedTuple):
    """A part of a job: the object that holds its items, one JSON line each."""

    input_key: str
    item_count: int


class JobRecord(NamedTuple):
    """An accepted job."""

    member: str
    job_id: str
    service: str
    due_at_ms: int
    accepted_at_ms: int
    digest: str
    state: JobState
    shards: tuple[Shard, ...]

    @property
    def item_count(self) -> int:
        """Items in all shards."""
        return sum(shard.item_count for shard in self.shards)

    def encode(self) -> bytes:
        """Returns the JSON that the Object API keeps."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "JobRecord":
        """Reads the JSON that the Object API keeps."""
        row = json.loads(value)
        shards = tuple(Shard(*shard) for shard in row["shards"])
        return cls(**row | {"state": JobState(row["state"]), "shards": shards})


class JobRequest(NamedTuple):
    """What a caller submits, besides the items."""

    member: str
    job_id: str
    service: str
    due_at_ms: int


def job_key(member: str, job_id: str) -> str:
    """Returns the key of a job's record."""
    return f"jobs/{member}/{job_id}"


class Jobs:
    """Accepts jobs and reads their records.

    Args:
        store: The Object API.
        clock: Source of instants.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def submit(self, request: JobRequest, lines: AsyncIterator[bytes]) -> JobRecord:
        """Accepts a job; creating its record is the acceptance.

        Raises:
            InvalidRequest: Names the line; nothing was accepted.
            JobConflict: If the id was used with other content.
            AcceptanceRefused: If the Object API can't record it; nothing was accepted.
        """
        try:
            shards, digest = await self._store_inputs(request, lines)
            return await self._accept(request, shards, digest)
        except (StoreUnavailable, StoreThrottled) as error:
            retry_at_ms = self._clock.now_ms() + RETRY_DELAY_MS
            raise AcceptanceRefused(str(error), retry_at_ms=retry_at_ms) from error

    async def get(self, member: str, job_id: str) -> JobRecord:
        """Reads a job's record; raises `NotFound`."""
        try:
            return JobRecord.decode((await self._store.get(job_key(member, job_id))).value)
        except ObjectNotFound as error:
            raise NotFound(f"no job {job_id}") from error

    async def _accept(
        self, request: JobRequest, shards: tuple[Shard, ...], digest: str
    ) -> JobRecord:
        record = JobRecord(
            *request, self._clock.now_ms(), digest, state=JobState.RUNNING, shards=shards
        )
        try:
            await self._store.create(job_key(request.member, request.job_id), record.encode())
            return record
        except ObjectExists:
            existing = await self.get(request.member, request.job_id)
        if existing.digest != digest:
            raise JobConflict(f"job {request.job_id} exists with other content")
        return existing

    async def _store_inputs(
        self, request: JobRequest, lines: AsyncIterator[bytes]
    ) -> tuple[tuple[Shard, ...], str]:
        digest = hashlib.sha256(f"{request.service}\0{request.due_at_ms}\0".encode())
        shards: list[Shard] = []
        chunk: list[bytes] = []
        chunk_bytes = 0
        line_number = 0
        async for line in lines:
            line_number += 1
            _check_line(line, line_number)
            digest.update(line + b"\n")
            if chunk and (len(chunk) == SHARD_ITEMS or chunk_bytes + len(line) > SHARD_BYTES):
                shards.append(await self._store_chunk(request.member, chunk))
                chunk, chunk_bytes = [], 0
            chunk.append(line)
            chunk_bytes += len(line) + 1
        if chunk:
            shards.append(await self._store_chunk(request.member, chunk))
        if not shards:
            raise InvalidRequest("the job has no items")
        return tuple(shards), digest.hexdigest()

    async def _store_chunk(self, member: str, chunk: list[bytes]) -> Shard:
        value = b"\n".join(chunk)
        key = f"inputs/{member}/{hashlib.sha256(value).hexdigest()}"
        with suppress(ObjectExists):
            await self._store.create(key, value)
        return Shard(key, len(chunk))


async def load_shard(store: ObjectStore, shard: Shard) -> list[Item]:
    """Reads the items of a shard."""
    value = (await store.get(shard.input_key)).value
    return [json.loads(line) for line in value.split(b"\n")]


def _check_line(line: bytes, line_number: int) -> None:
    if len(line) > MAX_ITEM_BYTES:
        raise InvalidRequest(f"line {line_number}: over {MAX_ITEM_BYTES} bytes")
    try:
        item = json.loads(line)
    except ValueError as error:
        raise InvalidRequest(f"line {line_number}: not JSON: {error}") from error
    if not isinstance(item, dict) or not isinstance(item.get("prompt"), str):
        raise InvalidRequest(f"line {line_number}: expected an object with a prompt")
    max_tokens = item.get("max_tokens")
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
        raise InvalidRequest(f"line {line_number}: expected max_tokens of 1 or more")
