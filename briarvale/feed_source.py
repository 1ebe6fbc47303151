"""Where a node's feeds hear of changes: from the store, or from the node that watches for its zone.

One node of each availability zone watches the store and passes on what it hears; the others ask the
store only for lists, and while that node can't tell. So the calls of the store hardly grow with the
number of nodes.
"""

from collections.abc import Callable

import anyio

from . import logs
from .clock import MS_PER_S
from .errors import BriarvaleError, OwnerUnreachable
from .feed_link import FeedLink
from .feed_publisher import FeedPublisher
from .object_feed import ChangeList, FeedStore, ObjectList
from .peer import PeerAddress, PeerTransport

LOOK_INTERVAL_S = 0.3
CONNECT_TIMEOUT_S = 0.5
# A publisher that was lost is left alone this long; the membership mostly names another by then.
RETRY_S = 2.0
# A watch whose answer is overdue is how a node finds that the store is silent to it. It waits no
# longer than this, and the store client's grace; one without a publisher then looks for it again.
WATCH_MS = 1_000

# Nodes that start know each other, and so who watches, after this time.
MEET_S = 1.0
# Where all nodes start together, the publisher lists a kind first. A node that has been up for
# longer does not wait for it.
LIST_WAIT_S = 6.0

PublisherLookup = Callable[[], PeerAddress | None]

log = logs.part("feeds")

__all__ = ["FeedSource", "PublisherLookup"]


class FeedSource:
    """The `FeedStore` of a node's feeds; `run` is its life.

    Args:
        store: The platform's store.
        publisher: Passes on what this node hears from the store.
        transport: Connections to peers.
        find_publisher: Returns the node that watches for this one; none for this node itself.
        long_poll_kinds: Kinds that a zone may learn late; their watches last as long as asked.
        listed_by_publisher: Kinds whose long lists are asked of the publisher first.
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
        # The connection to the node that watches for this one; none while there is none.
        self.link: FeedLink | None = None
        self._lost_at_s: dict[PeerAddress, float] = {}

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists all objects of a kind, from the store unless the publisher can tell."""
        found = None
        if kind in self._listed_by_publisher:
            found = await self._list_from_publisher(kind)
        return found if found is not None else await self._store.list_kind(kind)

    async def _list_from_publisher(self, kind: str) -> ObjectList | None:
        """Asks the publisher, and soon after the start of this node until it can tell.

        Later on nobody waits: a publisher that is silent may be named for seconds, in which this
        node would hear of nothing.
        """
        await anyio.sleep_until(self._started_at_s + MEET_S)
        wait_until_s = self._started_at_s + LIST_WAIT_S
        while self._find_publisher() is not None:
            found = None if self.link is None else await self.link.list_kind(kind)
            if found is not None or anyio.current_time() >= wait_until_s:
                return found
            await anyio.sleep(LOOK_INTERVAL_S)
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
        except BriarvaleError:
            self._publisher.stop_kind(kind)
            raise
        self._publisher.publish(kind, found)
        return found

    async def run(self) -> None:
        """Keeps a connection to the zone's publisher, until cancelled."""
        while True:
            address = self._find_publisher()
            lost_at_s = self._lost_at_s.get(address, -RETRY_S) if address else 0.0
            if address is not None and anyio.current_time() - lost_at_s >= RETRY_S:
                await self._follow(address)
                self._lost_at_s[address] = anyio.current_time()
            await anyio.sleep(LOOK_INTERVAL_S)

    async def _follow(self, address: PeerAddress) -> None:
        """Hears from a publisher until it is lost or another node is to be heard."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._transport.connect(address)
        except (OwnerUnreachable, TimeoutError) as error:
            log.info("Can't reach the publisher {}: {!r}.", address.host, error)
            return
        link = FeedLink(address, stream)
        log.info("Hears of the store from a publisher.", publisher=address.host)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._leave_when_replaced, link)
                self.link = link
                await link.run()
                tasks.cancel_scope.cancel()
        finally:
            self.link = None

    async def _leave_when_replaced(self, link: FeedLink) -> None:
        while self._find_publisher() == link.address:
            await anyio.sleep(LOOK_INTERVAL_S)
        link.close()
