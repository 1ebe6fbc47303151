"""A subscriber's connection to the publisher, the node that forwards changes of the store."""

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

# Several heartbeat intervals; bounds how late a change arrives if the publisher hangs.
MAX_SILENCE_S = 1.2
# Long enough for a long list over a link of a low bit rate.
LIST_TIMEOUT_S = 1.5

log = logs.component_logger("feeds")

__all__ = ["PublisherLink"]


class _Subscription:
    """A subscription to one kind, with the changes that the feed has not collected yet.

    Attributes:
        number: Distinguishes this subscription from earlier ones, whose updates may still arrive.
        collected_revision: Revision up to which the feed has the changes.
        revision: Revision up to which changes were received.
        is_lost: Whether the publisher ended or rejected the subscription.
        is_accepted: Whether the publisher sent an update for the subscription.
    """

    def __init__(self, number: int, revision: int) -> None:
        self.number = number
        self.collected_revision = revision
        self.revision = revision
        self.changes: list[FeedChange] = []
        self.is_lost = False
        self.is_accepted = False


class _ListRequest:
    """A pending list request; `found` stays `None` if the publisher does not have the list."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.found: ObjectList | None = None


class PublisherLink:
    """One connection to a publisher; `run` serves it until it ends.

    Args:
        address: The publisher.
        stream: The connection.
    """

    def __init__(self, address: PeerAddress, stream: MessageStream) -> None:
        self.address = address
        self._stream = stream
        self._connection = PeerConnection(stream, PeerIdentity(address.host, "publisher", ""))
        self._subscriptions: dict[str, _Subscription] = {}
        self._list_requests: dict[int, _ListRequest] = {}
        self._last_number = 0
        self._updated = Notifier()
        self._received_at_s = anyio.current_time()
        self.is_closed = False

    async def list_kind(self, kind: str) -> ObjectList | None:
        """Requests all objects of a kind; `None` if the publisher lacks them or times out."""
        self._last_number += 1
        number = self._last_number
        request = self._list_requests[number] = _ListRequest()
        self._connection.notify(FeedList(kind, number))
        try:
            with anyio.move_on_after(LIST_TIMEOUT_S):
                await request.answered.wait()
        finally:
            del self._list_requests[number]
        return request.found

    async def watch(self, kind: str, revision: int, wait_s: float) -> ChangeList | None:
        """Waits for changes of a kind after a revision; `None` if the publisher can't serve them.

        Raises:
            WatchInterrupted: If the publisher accepted the subscription and has since ended it.
        """
        subscription = self._subscriptions.get(kind)
        if subscription is None or subscription.collected_revision != revision:
            subscription = self._subscribe(kind, revision)
        with anyio.move_on_after(wait_s):
            while not (subscription.changes or subscription.is_lost or self.is_closed):
                await self._updated.wait()
        if subscription.is_lost or self.is_closed:
            self._subscriptions.pop(kind, None)
            if subscription.is_accepted:
                raise WatchInterrupted(f"{self.address.host} no longer publishes this kind")
            return None
        changes, subscription.changes = subscription.changes, []
        subscription.collected_revision = subscription.revision
        return ChangeList(tuple(changes), subscription.revision)

    def _subscribe(self, kind: str, revision: int) -> _Subscription:
        if not self._is_subscribed:
            self._received_at_s = anyio.current_time()
        self._last_number += 1
        subscription = self._subscriptions[kind] = _Subscription(self._last_number, revision)
        self._connection.notify(FeedSubscribe(kind, revision, subscription.number))
        return subscription

    def close(self) -> None:
        """Closes the connection and wakes all tasks that wait on it."""
        self.is_closed = True
        for request in self._list_requests.values():
            request.answered.set()
        self._connection.close()
        self._updated.notify()

    async def run(self) -> None:
        """Reads and writes until the connection ends or the publisher stops sending."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._connection.write_outbox)
                tasks.start_soon(self._stop_when_silent, tasks.cancel_scope)
                while not self.is_closed:
                    message = await self._stream.receive()
                    self._received_at_s = anyio.current_time()
                    self._handle(message)
                tasks.cancel_scope.cancel()
        except* (PeerClosed, PeerProtocolError) as errors:
            log.info("Lost the publisher {}: {}.", self.address.host, errors.exceptions[0])
        finally:
            self.close()
            await self._stream.aclose()

    @property
    def _is_subscribed(self) -> bool:
        """Whether the publisher should send this node updates or heartbeats."""
        return any(not subscription.is_lost for subscription in self._subscriptions.values())

    async def _stop_when_silent(self, scope: anyio.CancelScope) -> None:
        remaining_s = MAX_SILENCE_S
        while remaining_s > 0:
            await anyio.sleep(remaining_s)
            silent_s = anyio.current_time() - self._received_at_s if self._is_subscribed else 0.0
            remaining_s = MAX_SILENCE_S - silent_s
        log.info("The publisher {} has stopped sending.", self.address.host)
        scope.cancel()

    def _handle(self, message: Message) -> None:
        match message:
            case FeedUpdate(number=number) if number in self._list_requests:
                changes = map(decode_row, message.rows)
                objects = tuple(change.object for change in changes)
                self._list_requests[number].found = ObjectList(objects, message.revision)
                self._list_requests[number].answered.set()
            case FeedLost(number=number) if number in self._list_requests:
                self._list_requests[number].answered.set()
            case FeedUpdate():
                self._buffer_update(message)
            case FeedLost():
                subscription = self._subscriptions.get(message.kind)
                if subscription is not None and subscription.number == message.number:
                    subscription.is_lost = True
            case FeedBeat():
                return
            case _:
                log.warning("Unexpected {} from a publisher.", type(message).__name__)
        self._updated.notify()

    def _buffer_update(self, update: FeedUpdate) -> None:
        """Buffers the changes of an update, unless the feed already has them."""
        subscription = self._subscriptions.get(update.kind)
        if subscription is None or update.number != subscription.number:
            return
        subscription.is_accepted = True
        if update.revision <= subscription.revision:
            return
        subscription.changes += [decode_row(row) for row in update.rows]
        subscription.revision = update.revision
