"""Accepts jobs of opaque items, reads their results and ends them, at any node."""

import math
from collections.abc import Callable
from typing import NamedTuple

import anyio
import xxhash

from . import logs
from .clock import MS_PER_S, Clock
from .entry_parts import read_parts
from .errors import (
    AcceptanceRefused,
    AcceptanceUnknown,
    CancelUnknown,
    NotFound,
    NotReady,
    ObjectExists,
    ObjectNotFound,
    ShardSealed,
    StoreThrottled,
    StoreUnavailable,
    WaitingTokensExceeded,
)
from .object_store import ObjectStore, StoredObject
from .opaque_job_log_store import OpaqueJobLogStore
from .opaque_jobs import (
    JobDirectory,
    JobReplica,
    OpaqueItem,
    OpaqueJob,
    job_key,
    job_log_prefix,
    join_parts,
    part_key,
    split_parts,
)
from .peer import PeerIdentity
from .shard_log import ItemResult, LogEntry, RunnerId, ShardLog, fitting_results
from .store_budget import StoreBudget
from .waiting_tokens import ACCEPT_WITHIN_S, TokenLimiter

MAX_PAGE_BYTES = 900_000
# After this time a page is returned with the results read so far, if there are any.
PAGE_READ_LIMIT_S = 0.5
RETRY_PAUSE_S = 0.1
# Readers expect results that any node listed over a second ago, so an older read is repeated.
MAX_READ_AGE_S = 0.5
READ_TIMEOUT_S = 0.8
# More than any job has.
MAX_RESULTS = 2**31
# Reserved before the caller's deadline, so that the answer still arrives in time.
ANSWER_RESERVE_MS = 300

log = logs.component_logger("jobs")

__all__ = ["OpaqueJobService", "ResultsPage"]


class ResultsPage(NamedTuple):
    """A page of a job's results; `next_position` is where the next page starts."""

    item_count: int
    next_position: int
    results: tuple[ItemResult, ...]


class OpaqueJobService:
    """Serves callers' requests about jobs of opaque items.

    Args:
        store: The platform's store.
        budget: Rate limit and retries of calls to the logs of jobs that this node runs or ends.
        read_budget: Rate limit of reads that callers wait for; no retries, as callers retry.
        directory: All jobs that this node has read.
        clock: Source of the current time.
        is_feed_current: Whether the directory's feed delivers changes without delay; logged only.
        identity: This process, which runs the jobs that it accepts.
    """

    def __init__(
        self,
        store: ObjectStore,
        budget: StoreBudget,
        read_budget: StoreBudget,
        directory: JobDirectory,
        clock: Clock,
        is_feed_current: Callable[[], bool],
        identity: PeerIdentity,
    ) -> None:
        self._store = store
        self._budget = budget
        self._read_budget = read_budget
        self._directory = directory
        self._clock = clock
        self._is_feed_current = is_feed_current
        self._own_id = RunnerId(identity.vm, identity.boot_id)
        self._token_limiter = TokenLimiter(store, directory, clock, is_feed_current)
        # A large job takes several times its size while it is decoded: one at a time for runs, and
        # one for callers, whom runs don't wait for.
        self._load_for_run = anyio.Lock()
        self._load_for_caller = anyio.Lock()

    async def accept(self, job: OpaqueJob, answer_by_ms: int, max_waiting_tokens: int = 0) -> None:
        """Accepts a job, returning once it is stored; idempotent for a job that already exists.

        Args:
            job: The job with its items.
            answer_by_ms: When the caller stops waiting for the answer.
            max_waiting_tokens: The limit of the job's route; 0 is no limit.

        Raises:
            AcceptanceRefused: If the job certainly wasn't and won't be accepted.
            AcceptanceUnknown: If the job may have been accepted or may still be.
            WaitingTokensExceeded: If the job wasn't accepted, as its tokens would pass the limit.
        """
        if self._directory.get(job.job_id) is not None:
            return
        if max_waiting_tokens:
            accept_by_ms = self._clock.now_ms() + round(ACCEPT_WITHIN_S * MS_PER_S)
            answer_by_ms = min(answer_by_ms, accept_by_ms + ANSWER_RESERVE_MS)
            if not await self._reserve(job, max_waiting_tokens, answer_by_ms):
                return
        job = job._replace(runner=self._own_id)
        stored = await self._create_parts(job, answer_by_ms)
        key = job_key(job.job_id)
        if not await self._create(key, stored.encode(), answer_by_ms, is_head=True):
            # Accepted by another node, or by an earlier attempt of this one.
            log.info("The job exists already.", job_id=job.job_id)
            return
        self._directory.add(stored).full_job = job
        log.info(
            "Accepted a job.",
            job_id=job.job_id,
            items=len(job.items),
            due_in_ms=job.due_at_ms - self._clock.now_ms(),
        )

    async def _reserve(self, job: OpaqueJob, max_waiting_tokens: int, answer_by_ms: int) -> bool:
        """Reserves a job's tokens; false if it doesn't fit but was accepted before.

        Raises:
            AcceptanceUnknown: If it doesn't fit and the store doesn't tell whether it was accepted.
        """
        stop_at_ms = answer_by_ms - ANSWER_RESERVE_MS
        try:
            await self._token_limiter.reserve(job, max_waiting_tokens, stop_at_ms)
            return True
        except WaitingTokensExceeded:
            if not await self._was_accepted(job.job_id):
                raise
        log.info("The job exists already.", job_id=job.job_id)
        return False

    async def _was_accepted(self, job_id: str) -> bool:
        """Whether a job's head is stored; raises `AcceptanceUnknown` if the store doesn't tell."""
        try:
            await self._read_head(job_id)
        except NotFound:
            return False
        except NotReady as error:
            raise AcceptanceUnknown(f"the job may have been accepted: {error}") from error
        return True

    async def results(self, job_id: str, after: int, wait_until_ms: int) -> ResultsPage:
        """Returns results from position `after`, waiting for the first until `wait_until_ms`.

        Returns an empty page only after a fresh read of the store, since this node's directory may
        be older than what another node has already returned to the reader.

        Raises:
            NotFound: If the job certainly doesn't exist.
            NotReady: If the store doesn't answer.
        """
        replica = await self.find(job_id)
        await self._wait_for_result(replica, after, wait_until_ms)
        if not replica.is_complete and len(replica.results) <= after:
            await self._read_new_entries(replica, is_needed=True, result_count=after + 1)
        page = ResultsPage(len(replica.job.items), after, ())
        if len(replica.results) > after:
            page = await self._read_page(replica, after)
        if not page.results and not replica.is_complete:
            log.info(
                "Returned an empty page of results.",
                job_id=job_id,
                after=after,
                known=len(replica.results),
                entries=replica.next_sequence,
                is_feed_current=self._is_feed_current(),
            )
        return page

    async def _wait_for_result(self, replica: JobReplica, after: int, wait_until_ms: int) -> None:
        """Waits for a result at position `after`, until the given time or the job is complete."""
        while len(replica.results) <= after and not replica.is_complete:
            remaining_s = (wait_until_ms - self._clock.now_ms()) / MS_PER_S
            if remaining_s <= 0:
                return
            with anyio.move_on_after(remaining_s):
                await replica.changed.wait()

    async def _read_page(self, replica: JobReplica, after: int) -> ResultsPage:
        """Reads results with texts from position `after`: at least one, and as many as fit.

        Raises:
            NotReady: If not even the first can be read.
        """
        results: list[ItemResult] = []
        read_until_s = anyio.current_time() + PAGE_READ_LIMIT_S
        try:
            while after + len(results) < len(replica.results):
                found = await self._read_texts(replica, after + len(results))
                fitting = fitting_results([*results, *found], MAX_PAGE_BYTES)
                is_full = len(fitting) < len(results) + len(found)
                results = fitting
                if is_full or anyio.current_time() >= read_until_s:
                    break
        except (ObjectNotFound, StoreThrottled, StoreUnavailable) as error:
            log.info("Can't read result texts: {}.", error, job_id=replica.job.job_id, after=after)
            if not results:
                raise NotReady(f"can't read results from position {after} on") from error
        return ResultsPage(len(replica.job.items), after + len(results), tuple(results))

    async def _read_texts(self, replica: JobReplica, position: int) -> tuple[ItemResult, ...]:
        """Reads the results of one log entry, from a position to the end of the entry."""
        source = replica.text_sources[position]
        stored = await read_parts(self._get, source.key)
        return LogEntry.decode(stored.value).results[position - source.first_position :]

    async def _get(self, key: str) -> StoredObject:
        """Reads an object within the rate limit of reads."""
        return await self._read_budget.call(self._store.get, key)

    async def get_item(self, job_id: str, item_id: str) -> OpaqueItem:
        """Returns an item of a job that has not ended; raises `NotFound`."""
        replica = await self.find(job_id)
        job = await self._load_full_job(replica, self._load_for_caller)
        for item in job.items:
            if item.id == item_id and not replica.is_ended:
                return item
        raise NotFound(f"no item {item_id} in job {job_id}")

    async def end(self, job_id: str) -> None:
        """Ends a job, so that none of its items run any more; idempotent.

        Raises:
            NotFound: If the job certainly doesn't exist.
            NotReady: If the store doesn't answer when the job is looked up.
            CancelUnknown: If the job may or may not have been ended.
        """
        replica = await self.find(job_id)
        if replica.is_complete:
            return
        shard_log = self.open_log(job_id)
        try:
            await shard_log.replay()
            while not shard_log.is_sealed and not await shard_log.append([], is_seal=True):
                pass
        except ShardSealed:
            return
        except (StoreThrottled, StoreUnavailable) as error:
            raise CancelUnknown(f"the job may or may not have ended: {error}") from error
        finally:
            replica.log_end_read_at_s = -math.inf
            await self._read_new_entries(replica, is_needed=False)
        log.info("Ended a job.", job_id=job_id, listed=len(replica.results))

    def known_job(self, job_id: str) -> OpaqueJob | None:
        """Returns the digest of a job in this node's directory; none if it isn't there."""
        replica = self._directory.get(job_id)
        return replica.job if replica is not None else None

    def open_log(self, job_id: str) -> ShardLog:
        """Returns the log of a job's results, to be replayed before entries are appended."""
        log_store = OpaqueJobLogStore(self._store, job_id)
        return ShardLog(log_store, self._budget, job_log_prefix(job_id))

    def is_new_here(self, replica: JobReplica) -> bool:
        """Whether this process accepted the job, hasn't run it yet and knows no entry of its log.

        If another node has ended the job meanwhile, the feed tells, or the first append.
        """
        is_own = replica.full_job is not None and replica.runner == self._own_id
        return is_own and replica.next_sequence == 0

    async def find(self, job_id: str) -> JobReplica:
        """Returns a job's replica, read from the store if it isn't in this node's directory.

        Raises:
            NotFound: If the job certainly doesn't exist.
            NotReady: If the store doesn't answer.
        """
        replica = self._directory.get(job_id)
        if replica is not None:
            return replica
        replica = await self._read_head(job_id)
        await self._read_new_entries(replica, is_needed=True)
        return replica

    async def load_full_job(self, replica: JobReplica) -> OpaqueJob:
        """Returns a job with its full items, to run it; raises `NotReady` if they can't be read."""
        return await self._load_full_job(replica, self._load_for_run)

    async def _load_full_job(self, replica: JobReplica, large_load: anyio.Lock) -> OpaqueJob:
        """Loads a job as `load_full_job` does; one of several parts only under the lock."""
        if replica.full_job is not None:
            return replica.full_job
        if len(replica.job.part_ids) == 1:
            return await self._read_full_job(replica)
        async with large_load:
            return await self._read_full_job(replica)

    async def _read_full_job(self, replica: JobReplica) -> OpaqueJob:
        """Reads a job's items from the store; raises as `load_full_job` does."""
        parts = []
        try:
            for part_id in replica.job.part_ids:
                key = part_key(replica.job.job_id, part_id)
                part = await self._get(key)
                parts.append(part.value)
        except (ObjectNotFound, StoreThrottled, StoreUnavailable) as error:
            raise NotReady(f"can't read the job's items: {error}") from error
        return replica.job._replace(items=join_parts(parts), is_digest=False)

    async def _read_head(self, job_id: str) -> JobReplica:
        """Reads a job's head from the store into the directory; raises as `find` does."""
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                stored = await self._read_budget.call(self._store.get, job_key(job_id))
        except ObjectNotFound as error:
            raise NotFound(f"no job {job_id}") from error
        except (StoreThrottled, StoreUnavailable, TimeoutError) as error:
            raise NotReady(f"can't read the job: {error!r}") from error
        return self._directory.add(OpaqueJob.decode(stored.value))

    async def _read_new_entries(
        self, replica: JobReplica, *, is_needed: bool, result_count: int = MAX_RESULTS
    ) -> None:
        """Reads log entries that the feed has not delivered yet, unless a recent read found none.

        Args:
            replica: The job, to which the entries are applied.
            is_needed: Whether to raise an error if the entries can't be read.
            result_count: Reads no further once the job has this many results, as each entry costs
                a call.

        Raises:
            NotReady: If `is_needed` and the store doesn't answer.
        """
        read_at_s = anyio.current_time()
        if read_at_s - replica.log_end_read_at_s < MAX_READ_AGE_S:
            return
        # Reads the entries as they are stored, as digests: the replica needs no texts.
        shard_log = ShardLog(self._store, self._read_budget, job_log_prefix(replica.job.job_id))
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                while not replica.is_complete and len(replica.results) < result_count:
                    replica.apply_entry(await shard_log.read_entry(replica.next_sequence))
        except ObjectNotFound:
            replica.log_end_read_at_s = read_at_s
        except (StoreThrottled, StoreUnavailable, TimeoutError) as error:
            log.info("Can't read new log entries: {!r}.", error, job_id=replica.job.job_id)
            if is_needed:
                raise NotReady("can't read the job's log") from error

    async def _create_parts(self, job: OpaqueJob, answer_by_ms: int) -> OpaqueJob:
        """Stores the items of a job; returns the head to store."""
        part_ids = []
        for part in split_parts(job.items):
            part_ids.append(xxhash.xxh3_128_hexdigest(part))
            key = part_key(job.job_id, part_ids[-1])
            await self._create(key, part, answer_by_ms, is_head=False)
        return job.digest()._replace(part_ids=tuple(part_ids))

    async def _create(self, key: str, value: bytes, answer_by_ms: int, *, is_head: bool) -> bool:
        """Creates an object, with retries; false if an object with this key already exists.

        Raises:
            AcceptanceUnknown: If the object is a head that may have been created.
            AcceptanceRefused: If the job certainly wasn't accepted.
        """
        may_exist = False
        while True:
            remaining_s = max(
                0.0, (answer_by_ms - ANSWER_RESERVE_MS - self._clock.now_ms()) / MS_PER_S
            )
            try:
                with anyio.fail_after(remaining_s):
                    await self._store.create(key, value)
                return True
            except ObjectExists:
                return False
            except (StoreUnavailable, TimeoutError) as error:
                may_exist, failure = True, repr(error)
            except StoreThrottled as error:
                failure = str(error)
            now_ms = self._clock.now_ms()
            if now_ms + ANSWER_RESERVE_MS >= answer_by_ms:
                break
            await anyio.sleep(RETRY_PAUSE_S)
        if may_exist and is_head:
            raise AcceptanceUnknown(f"the job may have been accepted: {failure}")
        raise AcceptanceRefused(
            f"the store did not accept the job: {failure}", retry_at_ms=now_ms + ANSWER_RESERVE_MS
        )
