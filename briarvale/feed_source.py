"""Source of a node's feeds: the store, or the publisher of the node's zone.

The publisher is the one node of each availability zone that watches the store and forwards the
changes. The others call the store only for lists, and while the publisher can't serve them, so the
number of store calls hardly grows with the number of nodes.
"""

from collections.abc import Callable

import anyio

from . import logs
from .clock import MS_PER_S
from .containment import run_contained
from .errors import OwnerUnreachable
from .feed_publisher import FeedPublisher
from .object_feed import ChangeList, FeedStore, ObjectList
from .peer import PeerAddress, PeerTransport
from .publisher_link import PublisherLink

PUBLISHER_CHECK_INTERVAL_S = 0.3
CONNECT_TIMEOUT_S = 0.5
# Delay before reconnecting to a lost publisher; by then another node is usually the publisher.
RETRY_S = 2.0
# Limit of a watch; the store client adds a grace period. An overdue watch shows that the store does
# not answer this node, and after each watch a node without a publisher looks for one again.
WATCH_MS = 1_000

# After this time nodes that start together have discovered each other, and so the publisher.
MEMBERSHIP_WAIT_S = 1.0
# When all nodes start together, the publisher lists a kind first. A node that has been up for
# longer than this does not wait for the publisher's list.
LIST_WAIT_S = 6.0

PublisherLookup = Callable[[], PeerAddress | None]

log = logs.component_logger("feeds")

__all__ = ["FeedSource", "PublisherLookup"]


class FeedSource:
    """The `FeedStore` of a node's feeds; `run` holds the connection to the publisher.

    Args:
        store: The platform's store.
        publisher: Forwards the changes that this node gets from the store.
        transport: Connections to peers.
        find_publisher: Returns the zone's publisher; `None` if this node watches the store itself.
        long_poll_kinds: Kinds whose changes may arrive late; their watches are not shortened.
        listed_by_publisher: Kinds whose long lists are requested from the publisher first.
    """

    def __init__(
        self,
        store: FeedStore,
        publisher: FeedPublisher,
        transport: PeerTransport,
        find_publisher: PublisherLookup,
        long_poll_kinds: frozenset[str] = frozenset(),
        listed_by_publisher: frozenset[str] = frozenset(),
    ) -> None:
        self._store = store
        self._publisher = publisher
        self._transport = transport
        self._find_publisher = find_publisher
        self._long_poll_kinds = long_poll_kinds
        self._listed_by_publisher = listed_by_publisher
        self._started_at_s = anyio.current_time()
        # The connection to the publisher; `None` while there is none.
        self.link: PublisherLink | None = None
        self._lost_at_s: dict[PeerAddress, float] = {}

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists all objects of a kind, from the store unless the publisher has them."""
        found = None
        if kind in self._listed_by_publisher:
            found = await self._list_from_publisher(kind)
        return found if found is not None else await self._store.list_kind(kind)

    async def _list_from_publisher(self, kind: str) -> ObjectList | None:
        """Lists a kind from the publisher; retries until `LIST_WAIT_S` after this node's start.

        Later it tries only once: the membership may name an unresponsive publisher for seconds,
        and this node would get no changes while it waits.
        """
        await anyio.sleep_until(self._started_at_s + MEMBERSHIP_WAIT_S)
        wait_until_s = self._started_at_s + LIST_WAIT_S
        while self._find_publisher() is not None:
            found = None if self.link is None else await self.link.list_kind(kind)
            if found is not None or anyio.current_time() >= wait_until_s:
                return found
            await anyio.sleep(PUBLISHER_CHECK_INTERVAL_S)
        return None

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Waits for changes of a kind; raises `HistoryGone` or `WatchInterrupted`."""
        if self.link is not None:
            self._publisher.stop_kind(kind)
            found = await self.link.watch(kind, revision, wait_ms / MS_PER_S)
            if found is not None:
                return found
        return await self._watch_store(kind, revision, wait_ms)

    async def _watch_store(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        if self._find_publisher() is None:
            self._publisher.start_kind(kind, revision)
        else:
            self._publisher.stop_kind(kind)
        if kind not in self._long_poll_kinds:
            wait_ms = min(wait_ms, WATCH_MS)
        try:
            found = await self._store.watch_kind(kind, revision, wait_ms)
            self._publisher.publish(kind, found)
        except Exception:
            # Whatever failed, this node may miss changes, so that it must not publish the kind.
            self._publisher.stop_kind(kind)
            raise
        return found

    async def run(self) -> None:
        """Keeps a connection to the zone's publisher, until cancelled."""
        while True:
            address = self._find_publisher()
            lost_at_s = self._lost_at_s.get(address, -RETRY_S) if address else 0.0
            if address is not None and anyio.current_time() - lost_at_s >= RETRY_S:
                await self._follow_publisher(address)
                self._lost_at_s[address] = anyio.current_time()
            await anyio.sleep(PUBLISHER_CHECK_INTERVAL_S)

    async def _follow_publisher(self, address: PeerAddress) -> None:
        """Receives from a publisher until the connection ends or the publisher is replaced."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._transport.connect(address)
        except (OwnerUnreachable, TimeoutError) as error:
            log.info("Can't reach the publisher {}: {!r}.", address.host, error)
            return
        link = PublisherLink(address, stream)
        log.info("Receives store changes from a publisher.", publisher=address.host)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._close_when_replaced, link)
                self.link = link
                await run_contained("links to publishers", link.run)
                tasks.cancel_scope.cancel()
        finally:
            self.link = None

    async def _close_when_replaced(self, link: PublisherLink) -> None:
        while self._find_publisher() == link.address:
            await anyio.sleep(PUBLISHER_CHECK_INTERVAL_S)
        link.close()
