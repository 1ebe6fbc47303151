"""The limit on a route's waiting tokens: those of accepted items that have no result yet.

Where the configuration has workspaces, the limit applies to each workspace on the route.

Before a job is accepted, its tokens are reserved in one object a route and workspace, by a
conditional write. A reservation stays until its job is complete. A node counts the reservations,
less the items whose results it has read, so a node that reads late counts too many waiting tokens,
never too few.

Each attempt to accept a job writes a reservation of its own, and may create the job's head only
until `ACCEPT_WITHIN_S` after it. A reservation is dropped as abandoned only `ABANDONED_AFTER_S`
after a node first read it, so no attempt still runs then.
"""

import json
import random
import secrets
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import anyio
import xxhash

from . import logs, metrics
from .clock import MS_PER_S, Clock
from .errors import (
    RETRY_LATER_MS,
    AcceptanceRefused,
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
    WaitingTokensExceeded,
)
from .object_store import ObjectStore
from .opaque_jobs import JobDirectory, JobReplica, OpaqueJob, job_key

RESERVATIONS_KIND = "worktokens"
RETRY_PAUSE_S = 0.1
# Random pause after another node's write, so that contending nodes do not write in step.
CONFLICT_PAUSE_S = 0.02
# An attempt to accept a job sends nothing to the store after this time since its reservation.
ACCEPT_WITHIN_S = 20.0
# Longer than `ACCEPT_WITHIN_S`, as a call without an answer may take effect some seconds later.
ABANDONED_AFTER_S = 30.0
MAX_ABANDONED_READS = 4
FREED_WINDOW_S = 10.0
ATTEMPT_BYTES = 4
MIN_RETRY_MS = 200
MAX_RETRY_MS = 60_000

log = logs.component_logger("jobs")

__all__ = ["ACCEPT_WITHIN_S", "TokenLimiter"]


class LimitScope(NamedTuple):
    """What one limit applies to: the jobs of a workspace on a route; `workspace` may be empty."""

    route: str
    workspace: str

    @classmethod
    def of(cls, job: OpaqueJob) -> "LimitScope":
        """Returns the scope that a job counts in."""
        return cls(job.route, job.workspace)

    @property
    def key(self) -> str:
        """The key of the scope's reservations."""
        # A route holds no line break.
        name = f"{self.route}\n{self.workspace}" if self.workspace else self.route
        return f"{RESERVATIONS_KIND}/{xxhash.xxh3_64_hexdigest(name.encode())}"

    @property
    def labels(self) -> dict[str, str]:
        """The labels of the scope's metrics."""
        labels = {"route": self.route}
        return labels | {"workspace": self.workspace} if self.workspace else labels


class Reservation(NamedTuple):
    """The tokens of one job, reserved before its acceptance.

    Attributes:
        attempt: Random id of the latest attempt to accept the job; empty for the first one.
    """

    job_id: str
    token_count: int
    attempt: str = ""


class Reservations(NamedTuple):
    """All reservations of a scope, and the version of their object; 0 if there is none yet."""

    rows: tuple[Reservation, ...] = ()
    version: int = 0

    def find(self, job_id: str) -> Reservation | None:
        """Returns the reservation of a job; none if its tokens aren't reserved."""
        return next((row for row in self.rows if row.job_id == job_id), None)

    def encode(self) -> bytes:
        """Encodes the reservations as the JSON that is stored."""
        # Earlier versions read rows of two fields only, so an empty attempt is left out.
        return json.dumps([row if row.attempt else row[:2] for row in self.rows]).encode()

    @classmethod
    def decode(cls, value: bytes, version: int) -> "Reservations":
        """Decodes the stored JSON."""
        return cls(tuple(Reservation(*row) for row in json.loads(value)), version)


class TokenLimiter:
    """Reserves the tokens of jobs within the limits of their routes.

    Args:
        store: The platform's store.
        directory: All jobs that this node has read.
        clock: Source of the current time.
        is_feed_current: Whether the directory's feed delivers results without delay; logged only.
    """

    def __init__(
        self,
        store: ObjectStore,
        directory: JobDirectory,
        clock: Clock,
        is_feed_current: Callable[[], bool],
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._is_feed_current = is_feed_current
        # One write at a time, so that the jobs of one node don't contend with each other.
        self._locks: defaultdict[LimitScope, anyio.Lock] = defaultdict(anyio.Lock)
        # When this node first read a reservation whose job it doesn't know.
        self._unknown_since_s: dict[LimitScope, dict[Reservation, float]] = {}

    async def reserve(self, job: OpaqueJob, max_tokens: int, stop_at_ms: int) -> None:
        """Reserves a job's tokens for an attempt to accept it, which begins with this call.

        Args:
            job: The job, with the token counts of its items.
            max_tokens: The route's limit on waiting tokens.
            stop_at_ms: When to give up.

        Raises:
            WaitingTokensExceeded: If the job doesn't fit within the limit now.
            AcceptanceRefused: If the store did not confirm the reservation in time.
        """
        # Refused without a call to the store if even the known jobs leave no room.
        self._check_fits(job, (), max_tokens)
        remaining_s = max(0.0, (stop_at_ms - self._clock.now_ms()) / MS_PER_S)
        attempt = secrets.token_hex(ATTEMPT_BYTES)
        with anyio.move_on_after(remaining_s):
            async with self._locks[LimitScope.of(job)]:
                await self._reserve(job, attempt, max_tokens)
                return
        raise AcceptanceRefused(
            "the store did not confirm the reservation of the job's tokens",
            retry_at_ms=self._clock.now_ms() + RETRY_LATER_MS,
        )

    async def _reserve(self, job: OpaqueJob, attempt: str, max_tokens: int) -> None:
        """Tries until the reservation is stored or the job doesn't fit."""
        while True:
            try:
                if await self._try_reserve(job, attempt, max_tokens):
                    return
                await anyio.sleep(random.uniform(0, CONFLICT_PAUSE_S))
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't reserve a job's tokens yet: {}.", error, job_id=job.job_id)
                await anyio.sleep(RETRY_PAUSE_S)

    async def _try_reserve(self, job: OpaqueJob, attempt: str, max_tokens: int) -> bool:
        """Reads the reservations and adds the job's; false if another write came between."""
        scope = LimitScope.of(job)
        stored = await self._read(scope.key)
        earlier = stored.find(job.job_id)
        if earlier is not None and earlier.attempt == attempt:
            return True
        abandoned = await self._abandoned(scope, stored)
        rows = tuple(
            row
            for row in stored.rows
            if row.job_id not in abandoned and not self._is_complete(row.job_id)
        )
        if earlier is None or earlier not in rows:
            self._check_fits(job, rows, max_tokens)
        # A first attempt that lost its answer can't tell its own reservation and writes another.
        added = Reservation(job.job_id, job.token_count, attempt if earlier is not None else "")
        rows = tuple(row for row in rows if row.job_id != job.job_id)
        value = Reservations((*rows, added)).encode()
        try:
            if stored.version:
                await self._store.update(scope.key, value, stored.version)
            else:
                await self._store.create(scope.key, value)
        except (ObjectExists, ObjectNotFound, VersionConflict):
            return False
        return True

    async def _read(self, key: str) -> Reservations:
        try:
            stored = await self._store.get(key)
        except ObjectNotFound:
            return Reservations()
        return Reservations.decode(stored.value, stored.version)

    def _is_complete(self, job_id: str) -> bool:
        replica = self._directory.get(job_id)
        return replica is not None and replica.is_complete

    async def _abandoned(self, scope: LimitScope, stored: Reservations) -> set[str]:
        """Returns the ids of jobs that were never accepted, long after their reservation."""
        now_s = anyio.current_time()
        seen_since_s = self._unknown_since_s.get(scope, {})
        unknown = [row for row in stored.rows if self._directory.get(row.job_id) is None]
        since_s = {row: seen_since_s.get(row, now_s) for row in unknown}
        self._unknown_since_s[scope] = since_s
        overdue = [row.job_id for row in unknown if now_s - since_s[row] >= ABANDONED_AFTER_S]
        abandoned = set()
        for job_id in overdue[:MAX_ABANDONED_READS]:
            try:
                await self._store.get(job_key(job_id))
            except ObjectNotFound:
                log.info("Drops the reservation of a job that was not accepted.", job_id=job_id)
                abandoned.add(job_id)
        return abandoned

    def _check_fits(self, job: OpaqueJob, rows: Iterable[Reservation], max_tokens: int) -> None:
        """Raises `WaitingTokensExceeded` if the job's tokens would pass the limit."""
        scope = LimitScope.of(job)
        waiting = self._count_waiting(scope, rows)
        metrics.WAITING_TOKENS.set(scope.labels, waiting)
        metrics.WAITING_TOKENS_LIMIT.set(scope.labels, max_tokens)
        excess = waiting + job.token_count - max_tokens
        if excess <= 0:
            return
        freed_per_s = self._freed_per_s(scope)
        retry_ms = round(excess / freed_per_s * MS_PER_S) if freed_per_s else RETRY_LATER_MS
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, retry_ms))
        log.info(
            "Refused a job: its tokens pass the limit of its route.",
            job_id=job.job_id,
            route=job.route,
            workspace=job.workspace,
            tokens=job.token_count,
            waiting=waiting,
            limit=max_tokens,
            freed_per_s=round(freed_per_s),
            is_feed_current=self._is_feed_current(),
            retry_ms=retry_ms,
        )
        raise WaitingTokensExceeded(
            f"{waiting} tokens wait on the route, {max_tokens} may",
            retry_at_ms=self._clock.now_ms() + retry_ms,
        )

    def _count_waiting(self, scope: LimitScope, rows: Iterable[Reservation]) -> int:
        """Counts the tokens of all jobs that are known or reserved, less those with results."""
        waiting = sum(r.waiting_tokens for r in self._jobs_of(scope))
        reserved = sum(row.token_count for row in rows if self._directory.get(row.job_id) is None)
        return waiting + reserved

    def _freed_per_s(self, scope: LimitScope) -> float:
        """Returns the tokens that results freed lately, a second."""
        since_s = anyio.current_time() - FREED_WINDOW_S
        freed = sum(r.freed_tokens(since_s) for r in self._jobs_of(scope))
        return freed / FREED_WINDOW_S

    def _jobs_of(self, scope: LimitScope) -> Iterator[JobReplica]:
        """Yields the known jobs that count in a scope."""
        return (replica for replica in self._directory if LimitScope.of(replica.job) == scope)
