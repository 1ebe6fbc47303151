"""A subscriber's connection to the node that passes the changes of the store on."""

import anyio

from . import logs
from ._generated.messages import (
    FeedBeat,
    FeedList,
    FeedLost,
    FeedSubscribe,
    FeedUpdate,
    Message,
)
from .errors import PeerClosed, PeerProtocolError, WatchInterrupted
from .feed_publisher import decode_row
from .notifier import Notifier
from .object_feed import ChangeList, FeedChange, ObjectList
from .peer import MessageStream, PeerAddress, PeerIdentity
from .peer_connection import PeerConnection

# Several beats of the publisher; a bound on how late a change is heard when the publisher hangs.
MAX_SILENCE_S = 1.2
# A list may be long, and the publisher's link narrow.
MAX_LIST_S = 1.5

log = logs.part("feeds")

__all__ = ["FeedLink"]


class _SubscribedKind:
    """What was heard of one kind and not taken yet.

    Attributes:
        number: Tells this subscription from earlier ones, whose updates may still arrive.
        taken_revision: Up to which the feed knows.
        revision: Up to which was heard.
        is_told: Whether the publisher accepted the subscription.
    """

    def __init__(self, number: int, revision: int) -> None:
        self.number = number
        self.taken_revision = revision
        self.revision = revision
        self.changes: list[FeedChange] = []
        self.is_lost = False
        self.is_told = False


class _AskedList:
    """A list that was asked for; none is in it if the publisher can't tell."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.found: ObjectList | None = None


class FeedLink:
    """One connection to a publisher; `run` is its life.

    Args:
        address: The publisher.
        stream: The connection.
    """

    def __init__(self, address: PeerAddress, stream: MessageStream) -> None:
        self.address = address
        self._stream = stream
        self._connection = PeerConnection(stream, PeerIdentity(address.host, "publisher", ""))
        self._kinds: dict[str, _SubscribedKind] = {}
        self._lists: dict[int, _AskedList] = {}
        self._last_number = 0
        self._heard = Notifier()
        self._heard_at_s = anyio.current_time()
        self.is_closed = False

    async def list_kind(self, kind: str) -> ObjectList | None:
        """Asks for all objects of a kind; none if the publisher does not know them now."""
        self._last_number += 1
        number = self._last_number
        asked = self._lists[number] = _AskedList()
        self._connection.notify(FeedList(kind, number))
        try:
            with anyio.move_on_after(MAX_LIST_S):
                await asked.answered.wait()
        finally:
            del self._lists[number]
        return asked.found

    async def watch(self, kind: str, revision: int, wait_s: float) -> ChangeList | None:
        """Waits for changes of a kind after a revision; none if the publisher can't tell of it.

        Raises:
            WatchInterrupted: If the publisher told of the kind and does so no longer.
        """
        known = self._kinds.get(kind)
        if known is None or known.taken_revision != revision:
            known = self._subscribe(kind, revision)
        with anyio.move_on_after(wait_s):
            while not (known.changes or known.is_lost or self.is_closed):
                await self._heard.wait()
        if known.is_lost or self.is_closed:
            self._kinds.pop(kind, None)
            if known.is_told:
                raise WatchInterrupted(f"{self.address.host} does not tell of it any longer")
            return None
        changes, known.changes = known.changes, []
        known.taken_revision = known.revision
        return ChangeList(tuple(changes), known.revision)

    def _subscribe(self, kind: str, revision: int) -> _SubscribedKind:
        if not self._is_subscribed:
            self._heard_at_s = anyio.current_time()
        self._last_number += 1
        known = self._kinds[kind] = _SubscribedKind(self._last_number, revision)
        self._connection.notify(FeedSubscribe(kind, revision, known.number))
        return known

    def close(self) -> None:
        """Ends the connection; who waits on it is told."""
        self.is_closed = True
        for asked in self._lists.values():
            asked.answered.set()
        self._connection.close()
        self._heard.notify()

    async def run(self) -> None:
        """Reads and writes until the connection ends or falls silent."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._connection.write_outbox)
                tasks.start_soon(self._end_when_silent, tasks.cancel_scope)
                while not self.is_closed:
                    message = await self._stream.receive()
                    self._heard_at_s = anyio.current_time()
                    self._take(message)
                tasks.cancel_scope.cancel()
        except* (PeerClosed, PeerProtocolError) as errors:
            log.info("Lost the publisher {}: {}.", self.address.host, errors.exceptions[0])
        finally:
            self.close()
            await self._stream.aclose()

    @property
    def _is_subscribed(self) -> bool:
        """Whether the publisher owes this node news or beats."""
        return any(not known.is_lost for known in self._kinds.values())

    async def _end_when_silent(self, scope: anyio.CancelScope) -> None:
        left_s = MAX_SILENCE_S
        while left_s > 0:
            await anyio.sleep(left_s)
            silent_s = anyio.current_time() - self._heard_at_s if self._is_subscribed else 0.0
            left_s = MAX_SILENCE_S - silent_s
        log.info("The publisher {} is silent.", self.address.host)
        scope.cancel()

    def _take(self, message: Message) -> None:
        match message:
            case FeedUpdate(number=number) if number in self._lists:
                changes = map(decode_row, message.rows)
                objects = tuple(change.object for change in changes)
                self._lists[number].found = ObjectList(objects, message.revision)
                self._lists[number].answered.set()
            case FeedLost(number=number) if number in self._lists:
                self._lists[number].answered.set()
            case FeedUpdate():
                self._take_update(message)
            case FeedLost():
                known = self._kinds.get(message.kind)
                if known is not None and known.number == message.number:
                    known.is_lost = True
            case FeedBeat():
                return
            case _:
                log.warning("Unexpected {} from a publisher.", type(message).__name__)
        self._heard.notify()

    def _take_update(self, update: FeedUpdate) -> None:
        """Takes changes that are news here; a list may have brought the subscriber further."""
        known = self._kinds.get(update.kind)
        if known is None or update.number != known.number:
            return
        known.is_told = True
        if update.revision <= known.revision:
            return
        known.changes += [decode_row(row) for row in update.rows]
        known.revision = update.revision
