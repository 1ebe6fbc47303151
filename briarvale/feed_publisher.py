"""Passes the changes that this node hears from the store on to nodes that do not ask it.

A publisher tells of a kind only while its own watch stands; one that has lost it says so at once,
and its subscribers ask the store themselves. No node passes on what it heard from another node.
"""

import json
from collections import deque
from collections.abc import Callable

import anyio

from . import logs
from ._generated.messages import FeedBeat, FeedList, FeedLost, FeedRow, FeedSubscribe, FeedUpdate
from .object_feed import ChangeList, FeedChange, FeedObject, ObjectList
from .peer_connection import PeerConnection

BEAT_INTERVAL_S = 0.4
# How much of the past a new subscriber can be told; one that knows less lists the kind itself.
MAX_HISTORY_CHANGES = 500
# A larger change is left to each node to read from the store, whose link is wider than a node's.
MAX_UPDATE_BYTES = 100_000

# A longer list is left to each node, too.
MAX_LIST_BYTES = 2_000_000

log = logs.part("feeds")

__all__ = ["FeedPublisher", "decode_row"]


class _PublishedKind:
    """What can be told of one kind.

    Attributes:
        floor: Revision from which on the history is whole.
        revision: Revision up to which the kind is known.
        subscribers: Who is told, and the numbers of their subscriptions.
    """

    def __init__(self, revision: int) -> None:
        self.floor = revision
        self.revision = revision
        self.history: deque[FeedUpdate] = deque()
        self.subscribers: dict[PeerConnection, int] = {}
        self._change_count = 0

    def add(self, update: FeedUpdate) -> None:
        """Takes the next changes, and forgets the oldest beyond the limit."""
        self.revision = update.revision
        self.history.append(update)
        self._change_count += len(update.rows)
        while self._change_count > MAX_HISTORY_CHANGES:
            oldest = self.history.popleft()
            self.floor = oldest.revision
            self._change_count -= len(oldest.rows)

    def since(self, kind: str, revision: int) -> FeedUpdate:
        """Returns all changes after a revision; the first may be known to who asks."""
        later = [update for update in self.history if update.revision > revision]
        rows = tuple(row for update in later for row in update.rows)
        return FeedUpdate(kind, max(revision, self.revision), rows)


class FeedPublisher:
    """Keeps the recent changes of each kind that this node watches, and its subscribers."""

    def __init__(self) -> None:
        self._kinds: dict[str, _PublishedKind] = {}
        self._lists: dict[str, Callable[[], ObjectList]] = {}
        self._sequence = 0

    def start_kind(self, kind: str, revision: int) -> None:
        """Takes that this node watches a kind from a revision on."""
        known = self._kinds.get(kind)
        if known is None or known.revision != revision:
            self.stop_kind(kind)
            self._kinds[kind] = _PublishedKind(revision)

    def publish(self, kind: str, found: ChangeList) -> None:
        """Takes what the watch has heard, and passes it on."""
        known = self._kinds.get(kind)
        if known is None:
            return
        if not found.changes:
            known.revision = max(known.revision, found.revision)
            return
        rows = tuple(_encode_row(change) for change in found.changes)
        if sum(len(row.value) for row in rows) > MAX_UPDATE_BYTES:
            self.stop_kind(kind)
            return
        update = FeedUpdate(kind, found.revision, rows)
        known.add(update)
        for subscriber, number in known.subscribers.items():
            subscriber.notify(update._replace(number=number))

    def stop_kind(self, kind: str) -> None:
        """Takes that changes of a kind may go unheard from here on."""
        known = self._kinds.pop(kind, None)
        for subscriber, number in known.subscribers.items() if known else ():
            subscriber.notify(FeedLost(kind, number))

    def subscribe(self, subscriber: PeerConnection, wanted: FeedSubscribe) -> None:
        """Tells a node of changes of a kind after a revision, or that this is not possible."""
        known = self._kinds.get(wanted.kind)
        if known is None or wanted.revision < known.floor:
            subscriber.notify(FeedLost(wanted.kind, wanted.number))
            return
        known.subscribers[subscriber] = wanted.number
        missed = known.since(wanted.kind, wanted.revision)
        subscriber.notify(missed._replace(number=wanted.number))

    def register_list(self, kind: str, snapshot: Callable[[], ObjectList]) -> None:
        """Takes how to list a kind while this node watches it."""
        self._lists[kind] = snapshot

    def send_list(self, asker: PeerConnection, wanted: FeedList) -> None:
        """Tells a node all objects of a kind, or that this is not possible."""
        rows: tuple[FeedRow, ...] = ()
        is_known = wanted.kind in self._kinds and wanted.kind in self._lists
        if is_known:
            listed = self._lists[wanted.kind]()
            rows = tuple(_encode_row(FeedChange(row, False)) for row in listed.objects)
        if not is_known or sum(len(row.value) for row in rows) > MAX_LIST_BYTES:
            asker.notify(FeedLost(wanted.kind, wanted.number))
            return
        asker.notify(FeedUpdate(wanted.kind, listed.revision, rows, wanted.number))

    def remove_subscriber(self, subscriber: PeerConnection) -> None:
        """Forgets a node whose connection has ended."""
        for known in self._kinds.values():
            known.subscribers.pop(subscriber, None)

    async def run(self) -> None:
        """Tells subscribers now and then that this node lives, until cancelled."""
        while True:
            await anyio.sleep(BEAT_INTERVAL_S)
            self._sequence += 1
            subscribers = {one for known in self._kinds.values() for one in known.subscribers}
            for subscriber in subscribers:
                subscriber.notify(FeedBeat(self._sequence))


def _encode_row(change: FeedChange) -> FeedRow:
    row = change.object
    is_json = not isinstance(row.value, bytes)
    value = row.value if isinstance(row.value, bytes) else json.dumps(row.value).encode()
    return FeedRow(row.name, value, row.revision, change.is_deleted, is_json)


def decode_row(row: FeedRow) -> FeedChange:
    """Returns the change that a publisher passed on."""
    value = json.loads(row.value) if row.is_json else row.value
    return FeedChange(FeedObject(row.name, value, row.revision), row.is_deleted)
