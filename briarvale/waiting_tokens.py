"""The limit on a route's waiting tokens: those of accepted items that have no result yet.

Before a job is accepted, its tokens are reserved in one object a route, by a conditional write. A
reservation stays until its job is complete. A node counts the reservations, less the items whose
results it has read, so a node that reads late counts too many waiting tokens, never too few.
"""

import json
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
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
from .opaque_jobs import JobDirectory, OpaqueJob, job_key

RESERVATIONS_KIND = "worktokens"
RETRY_PAUSE_S = 0.1
# Random pause after another node's write, so that contending nodes do not write in step.
CONFLICT_PAUSE_S = 0.02
# A job is accepted or refused long before this time has passed since its reservation.
ABANDONED_AFTER_S = 30.0
MAX_ABANDONED_READS = 4
FREED_WINDOW_S = 10.0
MIN_RETRY_MS = 200
MAX_RETRY_MS = 60_000

log = logs.component_logger("jobs")

__all__ = ["TokenLimiter"]


class Reservation(NamedTuple):
    """The tokens of one job, reserved before its acceptance."""

    job_id: str
    token_count: int


class Reservations(NamedTuple):
    """All reservations of a route, and the version of their object; 0 if there is none yet."""

    rows: tuple[Reservation, ...] = ()
    version: int = 0

    def has(self, job_id: str) -> bool:
        """Whether the tokens of a job are reserved."""
        return any(row.job_id == job_id for row in self.rows)

    def encode(self) -> bytes:
        """Encodes the reservations as the JSON that is stored."""
        return json.dumps(self.rows).encode()

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
        self._locks: defaultdict[str, anyio.Lock] = defaultdict(anyio.Lock)
        # When this node first read a reservation whose job it doesn't know, by route and job id.
        self._unknown_since_s: dict[str, dict[str, float]] = {}

    async def reserve(self, job: OpaqueJob, max_tokens: int, stop_at_ms: int) -> None:
        """Reserves a job's tokens; idempotent for a job that has a reservation.

        Args:
            job: The job, with the token counts of its items.
            max_tokens: The route's limit on waiting tokens.
            stop_at_ms: When to give up.

        Raises:
            WaitingTokensExceeded: If the job doesn't fit within the limit now.
            AcceptanceRefused: If the store did not confirm the reservation in time.
        """
        remaining_s = max(0.0, (stop_at_ms - self._clock.now_ms()) / MS_PER_S)
        with anyio.move_on_after(remaining_s):
            async with self._locks[job.route]:
                await self._reserve(job, max_tokens)
                return
        raise AcceptanceRefused(
            "the store did not confirm the reservation of the job's tokens",
            retry_at_ms=self._clock.now_ms() + RETRY_LATER_MS,
        )

    async def _reserve(self, job: OpaqueJob, max_tokens: int) -> None:
        """Tries until the reservation is stored or the job doesn't fit."""
        while True:
            try:
                if await self._try_reserve(job, max_tokens):
                    return
                await anyio.sleep(random.uniform(0, CONFLICT_PAUSE_S))
            except (StoreThrottled, StoreUnavailable) as error:
                log.info("Can't reserve a job's tokens yet: {}.", error, job_id=job.job_id)
                await anyio.sleep(RETRY_PAUSE_S)

    async def _try_reserve(self, job: OpaqueJob, max_tokens: int) -> bool:
        """Reads the reservations and adds the job's; false if another write came between."""
        key = reservations_key(job.route)
        stored = await self._read(key)
        if stored.has(job.job_id):
            return True
        abandoned = await self._abandoned(job.route, stored)
        rows = tuple(
            row
            for row in stored.rows
            if row.job_id not in abandoned and not self._is_complete(row.job_id)
        )
        self._check_fits(job, rows, max_tokens)
        added = Reservations((*rows, Reservation(job.job_id, job.token_count)))
        try:
            if stored.version:
                await self._store.update(key, added.encode(), stored.version)
            else:
                await self._store.create(key, added.encode())
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

    async def _abandoned(self, route: str, stored: Reservations) -> set[str]:
        """Returns the ids of jobs that were never accepted, long after their reservation."""
        now_s = anyio.current_time()
        seen_since_s = self._unknown_since_s.get(route, {})
        unknown = [row.job_id for row in stored.rows if self._directory.get(row.job_id) is None]
        since_s = {job_id: seen_since_s.get(job_id, now_s) for job_id in unknown}
        self._unknown_since_s[route] = since_s
        overdue = [job_id for job_id in unknown if now_s - since_s[job_id] >= ABANDONED_AFTER_S]
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
        waiting = self._count_waiting(job.route, rows)
        labels = {"route": job.route}
        metrics.WAITING_TOKENS.set(labels, waiting)
        metrics.WAITING_TOKENS_LIMIT.set(labels, max_tokens)
        excess = waiting + job.token_count - max_tokens
        if excess <= 0:
            return
        freed_per_s = self._freed_per_s(job.route)
        retry_ms = round(excess / freed_per_s * MS_PER_S) if freed_per_s else RETRY_LATER_MS
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, retry_ms))
        log.info(
            "Refused a job: its tokens pass the limit of its route.",
            job_id=job.job_id,
            route=job.route,
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

    def _count_waiting(self, route: str, rows: Iterable[Reservation]) -> int:
        """Counts the tokens of all jobs that are known or reserved, less those with results."""
        waiting = sum(r.waiting_tokens for r in self._directory if r.job.route == route)
        reserved = sum(row.token_count for row in rows if self._directory.get(row.job_id) is None)
        return waiting + reserved

    def _freed_per_s(self, route: str) -> float:
        """Returns the tokens that results freed lately, a second."""
        since_s = anyio.current_time() - FREED_WINDOW_S
        freed = sum(r.freed_tokens(since_s) for r in self._directory if r.job.route == route)
        return freed / FREED_WINDOW_S


def reservations_key(route: str) -> str:
    """Returns the key of a route's reservations."""
    return f"{RESERVATIONS_KIND}/{xxhash.xxh3_64_hexdigest(route.encode())}"
