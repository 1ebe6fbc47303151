"""Follows all objects of one kind: a list first, then a watch, and both again after each loss.

A watch that begins after a loss is not trusted to tell what happened before, so the kind is listed.
"""

import random
from typing import NamedTuple, Protocol

import anyio

from . import logs
from .errors import HistoryGone, StoreThrottled, StoreUnavailable, WatchInterrupted

WATCH_MS = 20_000
RETRY_START_S = 0.1
RETRY_MAX_S = 1.0
# Nodes that shared a watch list a kind again within this time of each other, not at once.
SPREAD_S = 0.1
# An outage is one that lasts longer than a lost connection takes to replace.
OUTAGE_S = 0.5

log = logs.part("store")

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


class FeedChange(NamedTuple):
    """One change of a kind."""

    object: FeedObject
    is_deleted: bool


class ObjectList(NamedTuple):
    """All objects of a kind and the store's revision at which they were read."""

    objects: tuple[FeedObject, ...]
    revision: int


class ChangeList(NamedTuple):
    """Changes of a kind and the revision up to which they are known."""

    changes: tuple[FeedChange, ...]
    revision: int


class FeedStore(Protocol):
    """The calls that a feed makes."""

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists all objects of a kind, linearizably."""

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Waits for changes after a revision; raises `HistoryGone` or `WatchInterrupted`."""


class FeedHandler(Protocol):
    """What follows a feed."""

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes all objects of the kind."""

    def apply_change(self, change: FeedChange) -> None:
        """Takes one change."""


class ObjectFeed:
    """Keeps a handler current with the objects of one kind.

    Args:
        store: The platform's store.
        kind: Kind of the objects.
        handler: Told of the list and of changes.
        is_cached: Whether the objects are kept, for peers that ask this node rather than the store.
        watch_ms: How long a watch waits; one that hears nothing, though it should, ends by then.
        pause_s: Time between watches that brought changes; those that come meanwhile share a call.
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
        """Whether changes are heard: the last call was answered, and no watch is lost since."""
        is_heard = self._failing_since_s is None and not self._is_interrupted
        return is_heard and self._revision >= 0

    @property
    def is_stale(self) -> bool:
        """Whether the store has not answered for longer than a lost connection takes to replace."""
        return self._was_away()

    def snapshot(self) -> ObjectList:
        """Returns the objects as last known; only of a feed that keeps them."""
        return ObjectList(tuple(self._rows.values()), max(0, self._revision))

    def offer(self, listed: ObjectList, source: str) -> None:
        """Takes a list that a peer had from the store, if it is newer than what is known here."""
        if listed.revision <= self._revision:
            return
        log.info(
            "Took {} from a peer.",
            self._kind,
            kind=self._kind,
            source=source,
            revision=listed.revision,
            revision_before=self._revision,
        )
        self._take_list(listed, after_outage=True)

    async def run(self) -> None:
        """Follows until cancelled."""
        delay_s = RETRY_START_S
        while True:
            try:
                await self._follow_once()
                delay_s = RETRY_START_S
            except HistoryGone:
                log.info("Lists {} again: history is gone.", self._kind, kind=self._kind)
                self._is_interrupted = True
            except WatchInterrupted as error:
                log.info("Lists {} again: {}.", self._kind, error, kind=self._kind)
                self._is_interrupted = True
                await anyio.sleep(random.uniform(0, SPREAD_S))
            except (StoreUnavailable, StoreThrottled) as error:
                self._note_failure(error)
                await anyio.sleep(delay_s * random.uniform(0.5, 1.5))
                delay_s = min(RETRY_MAX_S, 2 * delay_s)

    async def _follow_once(self) -> None:
        is_sure = self._revision >= 0 and not self._is_interrupted
        if not is_sure or self._failing_since_s is not None:
            await self._list()
            self._is_interrupted = False
            return
        found = await self._store.watch_kind(self._kind, self._revision, self._watch_ms)
        self._note_success()
        for change in found.changes:
            self._take_change(change)
        self._revision = max(self._revision, found.revision)
        if found.changes:
            await anyio.sleep(self._pause_s)

    async def _list(self) -> None:
        listed = await self._store.list_kind(self._kind)
        was_away = self._was_away()
        self._note_success()
        if listed.revision < self._revision:
            return
        self._take_list(listed, after_outage=was_away)

    def _take_list(self, listed: ObjectList, *, after_outage: bool) -> None:
        self._revision = listed.revision
        if self._is_cached:
            self._rows = {row.name: row for row in listed.objects}
        self._handler.apply_list(listed.objects, after_outage=after_outage)

    def _take_change(self, change: FeedChange) -> None:
        if self._is_cached and change.is_deleted:
            self._rows.pop(change.object.name, None)
        elif self._is_cached:
            self._rows[change.object.name] = change.object
        self._handler.apply_change(change)

    def _was_away(self) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and anyio.current_time() - since_s > OUTAGE_S

    def _note_failure(self, error: Exception) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = anyio.current_time()
            log.warning("Lost the watch on {}: {}.", self._kind, error, kind=self._kind)

    def _note_success(self) -> None:
        if self._failing_since_s is not None:
            away_ms = round((anyio.current_time() - self._failing_since_s) * 1_000)
            log.info("Watches {} again.", self._kind, kind=self._kind, away_ms=away_ms)
        self._failing_since_s = None
