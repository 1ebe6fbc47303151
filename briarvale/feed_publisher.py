"""Forwards the changes that this node gets from the store to subscribed nodes.

A publisher forwards a kind only while its own watch of it is valid. When it loses the watch, it
notifies its subscribers at once, and they call the store themselves. No node forwards changes that
it got from another node.
"""

import json
from collections import deque
from collections.abc import Callable

import anyio
import msgspec

from . import logs
from ._generated.messages import FeedBeat, FeedList, FeedLost, FeedRow, FeedSubscribe, FeedUpdate
from .object_feed import ChangeList, FeedChange, FeedObject, ObjectList
from .peer_connection import PeerConnection
from .strict_json import decode_json

HEARTBEAT_INTERVAL_S = 0.4
# Length of the history for new subscribers; one whose revision is older must list the kind.
MAX_HISTORY_CHANGES = 500
# Each node reads a larger change from the store itself, whose link is wider than a node's.
MAX_UPDATE_BYTES = 100_000
# Each node reads a longer list from the store itself.
MAX_LIST_BYTES = 2_000_000

log = logs.component_logger("feeds")

__all__ = ["FeedPublisher", "decode_row"]

_JSON = msgspec.json.Decoder()


class _PublishedKind:
    """The recent changes of one kind, and its subscribers.

    Attributes:
        oldest_revision: Revision after which the history is complete.
        revision: Revision up to which changes are known.
        history: The changes, oldest first.
        subscribers: The subscribers' connections, and the numbers of their subscriptions.
    """

    def __init__(self, revision: int) -> None:
        self.oldest_revision = revision
        self.revision = revision
        self.history: deque[FeedUpdate] = deque()
        self.subscribers: dict[PeerConnection, int] = {}
        self._change_count = 0

    def add(self, update: FeedUpdate) -> None:
        """Appends the next changes, and drops the oldest beyond the limit."""
        self.revision = update.revision
        self.history.append(update)
        self._change_count += len(update.rows)
        while self._change_count > MAX_HISTORY_CHANGES:
            oldest = self.history.popleft()
            self.oldest_revision = oldest.revision
            self._change_count -= len(oldest.rows)

    def since(self, kind: str, revision: int) -> FeedUpdate:
        """Returns all changes after a revision, and perhaps some from shortly before it."""
        later = [update for update in self.history if update.revision > revision]
        rows = tuple(row for update in later for row in update.rows)
        return FeedUpdate(kind, max(revision, self.revision), rows)


class FeedPublisher:
    """Forwards the changes of each kind that this node watches, and keeps the recent ones."""

    def __init__(self) -> None:
        self._kinds: dict[str, _PublishedKind] = {}
        self._list_functions: dict[str, Callable[[], ObjectList]] = {}
        self._sequence = 0

    def start_kind(self, kind: str, revision: int) -> None:
        """Starts to publish a kind, which this node watches from a revision on."""
        published = self._kinds.get(kind)
        if published is None or published.revision != revision:
            self.stop_kind(kind)
            self._kinds[kind] = _PublishedKind(revision)

    def publish(self, kind: str, watched: ChangeList) -> None:
        """Forwards changes that a watch returned; stops the kind if they are too large."""
        published = self._kinds.get(kind)
        if published is None:
            return
        if not watched.changes:
            published.revision = max(published.revision, watched.revision)
            return
        rows = tuple(_encode_row(change) for change in watched.changes)
        if sum(len(row.value) for row in rows) > MAX_UPDATE_BYTES:
            self.stop_kind(kind)
            return
        update = FeedUpdate(kind, watched.revision, rows)
        published.add(update)
        for subscriber, number in published.subscribers.items():
            subscriber.notify(update._replace(number=number))

    def stop_kind(self, kind: str) -> None:
        """Stops publishing a kind, as this node may miss its changes from now on."""
        published = self._kinds.pop(kind, None)
        for subscriber, number in published.subscribers.items() if published else ():
            subscriber.notify(FeedLost(kind, number))

    def subscribe(self, subscriber: PeerConnection, request: FeedSubscribe) -> None:
        """Sends a node the changes of a kind after a revision; `FeedLost` if some are missing."""
        published = self._kinds.get(request.kind)
        if published is None or request.revision < published.oldest_revision:
            subscriber.notify(FeedLost(request.kind, request.number))
            return
        published.subscribers[subscriber] = request.number
        missed = published.since(request.kind, request.revision)
        subscriber.notify(missed._replace(number=request.number))

    def register_list(self, kind: str, snapshot: Callable[[], ObjectList]) -> None:
        """Registers the function that lists a kind; used while this node watches the kind."""
        self._list_functions[kind] = snapshot

    def send_list(self, requester: PeerConnection, request: FeedList) -> None:
        """Sends a node all objects of a kind, or `FeedLost` if it can't."""
        rows: tuple[FeedRow, ...] = ()
        can_list = request.kind in self._kinds and request.kind in self._list_functions
        if can_list:
            listed = self._list_functions[request.kind]()
            rows = tuple(_encode_row(FeedChange(row, False)) for row in listed.objects)
        if not can_list or sum(len(row.value) for row in rows) > MAX_LIST_BYTES:
            requester.notify(FeedLost(request.kind, request.number))
            return
        requester.notify(FeedUpdate(request.kind, listed.revision, rows, request.number))

    def remove_subscriber(self, subscriber: PeerConnection) -> None:
        """Removes the subscriptions of a connection that has ended."""
        for published in self._kinds.values():
            published.subscribers.pop(subscriber, None)

    async def run(self) -> None:
        """Sends heartbeats to all subscribers, until cancelled."""
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
            self._sequence += 1
            subscribers = {
                subscriber
                for published in self._kinds.values()
                for subscriber in published.subscribers
            }
            for subscriber in subscribers:
                subscriber.notify(FeedBeat(self._sequence))


def _encode_row(change: FeedChange) -> FeedRow:
    row = change.object
    is_json = not isinstance(row.value, bytes)
    value = row.value if isinstance(row.value, bytes) else json.dumps(row.value).encode()
    return FeedRow(row.name, value, row.revision, change.is_deleted, is_json)


def decode_row(row: FeedRow) -> FeedChange:
    """Decodes a change from a publisher's message; raises `DocumentInvalid`."""
    value = decode_json(_JSON, row.value) if row.is_json else row.value
    return FeedChange(FeedObject(row.name, value, row.revision), row.is_deleted)
