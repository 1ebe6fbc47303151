"""Follows all objects of one kind: a list first, then a watch, and both again after each loss.

A new watch may miss what changed while the last one was lost, so the kind is listed first.
"""

import random
from typing import NamedTuple, Protocol

import anyio

from . import logs
from .containment import record_failure
from .errors import HistoryGone, StoreThrottled, StoreUnavailable, WatchInterrupted

WATCH_MS = 20_000
RETRY_START_S = 0.1
RETRY_MAX_S = 1.0
# Random delay of a new list after a lost watch, as all nodes that shared the watch lose it at once.
RELIST_JITTER_S = 0.1
# Failures count as an outage if they last longer than it takes to replace a lost connection.
OUTAGE_S = 0.5

log = logs.component_logger("store")

__all__ = [
    "ChangeList",
    "FeedChange",
    "FeedHandler",
    "FeedObject",
    "FeedStore",
    "ObjectFeed",
    "ObjectList",
]


class FeedObject(NamedTuple):
    """An object of a kind: its name, the decoded value and the revision of its last change."""

    name: str
    value: object
    revision: int

    @property
    def own_value(self) -> bytes:
        """The value of an object of Briarvale's own kinds; empty if it could not be decoded."""
        return self.value if isinstance(self.value, bytes) else b""


class FeedChange(NamedTuple):
    """One change of a kind."""

    object: FeedObject
    is_deleted: bool


class ObjectList(NamedTuple):
    """All objects of a kind and the store's revision at which they were read."""

    objects: tuple[FeedObject, ...]
    revision: int


class ChangeList(NamedTuple):
    """Changes of a kind and the revision up to which they are complete."""

    changes: tuple[FeedChange, ...]
    revision: int


class FeedStore(Protocol):
    """The store's calls that a feed uses."""

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists all objects of a kind, linearizably."""

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Waits for changes after a revision; raises `HistoryGone` or `WatchInterrupted`."""


class FeedHandler(Protocol):
    """Receives the objects of a feed."""

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Replaces all objects of the kind.

        Args:
            objects: All objects.
            after_outage: Whether the store did not answer for longer than `OUTAGE_S` before.
        """

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change."""


class ObjectFeed:
    """Keeps a handler current with the objects of one kind.

    Args:
        store: The platform's store.
        kind: Kind of the objects.
        handler: Receives the list and the changes.
        is_cached: Whether to cache the objects, for peers that the store does not answer.
        watch_ms: Time limit of a watch, and so of how long a watch can miss changes.
        pause_s: Pause after a watch with changes; the next watch returns those made meanwhile.
    """

    def __init__(
        self,
        store: FeedStore,
        kind: str,
        handler: FeedHandler,
        *,
        is_cached: bool = False,
        watch_ms: int = WATCH_MS,
        pause_s: float = 0.0,
    ) -> None:
        self._store = store
        self._kind = kind
        self._handler = handler
        self._revision = -1
        self._failing_since_s: float | None = None
        self._is_interrupted = False
        self._is_cached = is_cached
        self._watch_ms = watch_ms
        self._pause_s = pause_s
        self._rows: dict[str, FeedObject] = {}

    @property
    def is_current(self) -> bool:
        """Whether the objects are current: the last call succeeded and no watch was lost since."""
        is_answered = self._failing_since_s is None and not self._is_interrupted
        return is_answered and self.has_list

    @property
    def has_list(self) -> bool:
        """Whether the feed has had any list of the kind, from the store or from a peer."""
        return self._revision >= 0

    @property
    def is_stale(self) -> bool:
        """Whether the store has not answered for longer than `OUTAGE_S`."""
        return self._is_in_outage()

    def snapshot(self) -> ObjectList:
        """Returns the objects as last known; empty if the feed does not cache them."""
        return ObjectList(tuple(self._rows.values()), max(0, self._revision))

    def offer(self, listed: ObjectList, source: str) -> None:
        """Applies a list that a peer got from the store, if it is newer than what the feed has.

        Args:
            listed: The list.
            source: The peer's host, for the log.
        """
        if listed.revision <= self._revision:
            return
        log.info(
            "Got the list of {} from a peer.",
            self._kind,
            kind=self._kind,
            source=source,
            revision=listed.revision,
            revision_before=self._revision,
        )
        self._apply_list(listed, after_outage=True)

    async def run(self) -> None:
        """Follows the objects until cancelled."""
        delay_s = RETRY_START_S
        while True:
            try:
                if await self._list_or_watch():
                    delay_s = RETRY_START_S
            except HistoryGone:
                log.info(
                    "Lists {} again: the store no longer has the history.",
                    self._kind,
                    kind=self._kind,
                )
                self._is_interrupted = True
                await anyio.sleep(random.uniform(0, delay_s))
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
            except WatchInterrupted as error:
                log.info("Lists {} again: {}.", self._kind, error, kind=self._kind)
                self._is_interrupted = True
                await anyio.sleep(random.uniform(0, RELIST_JITTER_S))
            except (StoreUnavailable, StoreThrottled) as error:
                delay_s = await self._back_off(error, delay_s)
            except Exception as error:
                # Whatever was not applied is read again; until then the objects are not current.
                record_failure("feeds", error)
                self._is_interrupted = True
                delay_s = await self._back_off(error, delay_s)

    async def _back_off(self, error: Exception, delay_s: float) -> float:
        """Records a failure and waits; returns the next delay."""
        self._record_failure(error)
        await anyio.sleep(delay_s * random.uniform(0.5, 1.5))
        return min(RETRY_MAX_S, 2 * delay_s)

    async def _list_or_watch(self) -> bool:
        """Lists the objects if that is due, or else watches once; returns whether it watched."""
        is_listed = self.has_list and not self._is_interrupted
        if not is_listed or self._failing_since_s is not None:
            await self._list()
            self._is_interrupted = False
            return False
        found = await self._store.watch_kind(self._kind, self._revision, self._watch_ms)
        self._record_success()
        for change in found.changes:
            self._apply_change(change)
        self._revision = max(self._revision, found.revision)
        if found.changes:
            await anyio.sleep(self._pause_s)
        return True

    async def _list(self) -> None:
        listed = await self._store.list_kind(self._kind)
        was_in_outage = self._is_in_outage()
        self._record_success()
        if listed.revision < self._revision:
            return
        self._apply_list(listed, after_outage=was_in_outage)

    def _apply_list(self, listed: ObjectList, *, after_outage: bool) -> None:
        self._handler.apply_list(listed.objects, after_outage=after_outage)
        self._revision = listed.revision
        if self._is_cached:
            self._rows = {row.name: row for row in listed.objects}

    def _apply_change(self, change: FeedChange) -> None:
        if self._is_cached and change.is_deleted:
            self._rows.pop(change.object.name, None)
        elif self._is_cached:
            self._rows[change.object.name] = change.object
        self._handler.apply_change(change)

    def _is_in_outage(self) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and anyio.current_time() - since_s > OUTAGE_S

    def _record_failure(self, error: Exception) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = anyio.current_time()
            log.warning("Lost the watch on {}: {}.", self._kind, error, kind=self._kind)

    def _record_success(self) -> None:
        if self._failing_since_s is not None:
            away_ms = round((anyio.current_time() - self._failing_since_s) * 1_000)
            log.info("Watches {} again.", self._kind, kind=self._kind, away_ms=away_ms)
        self._failing_since_s = None
