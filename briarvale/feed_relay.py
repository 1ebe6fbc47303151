"""Exchange of the store's objects between nodes, for a node that the store does not answer.

The lists travel in the messages `ConfigFetch` and `ConfigBundle`.
"""

import json
import random
from collections.abc import Callable, Mapping

import anyio

from . import logs
from ._generated.messages import ConfigBundle, ConfigDocument, ConfigFetch
from .errors import OwnerUnreachable, PeerClosed, PeerProtocolError
from .object_feed import FeedObject, ObjectFeed, ObjectList
from .peer import PeerAddress, PeerTransport, ask_peer

ASK_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 1.0

log = logs.component_logger("relay")

__all__ = ["FeedRelay"]


class FeedRelay:
    """Fetches lists from peers while feeds are stale, and serves the lists to peers.

    Args:
        feeds: The feeds that are relayed, by kind.
        transport: Connections to peers.
        peers: Returns the addresses of other live nodes.
    """

    def __init__(
        self,
        feeds: Mapping[str, ObjectFeed],
        transport: PeerTransport,
        peers: Callable[[], list[PeerAddress]],
    ) -> None:
        self._feeds = feeds
        self._transport = transport
        self._peers = peers

    def bundle(self) -> ConfigBundle:
        """Returns one document for each kind, with its revision and its objects."""
        documents = []
        for kind, feed in self._feeds.items():
            listed = feed.snapshot()
            rows = [[row.name, row.value, row.revision] for row in listed.objects]
            body = json.dumps({"revision": listed.revision, "objects": rows}).encode()
            documents.append(ConfigDocument(kind, "", body))
        return ConfigBundle(documents=tuple(documents))

    async def run(self) -> None:
        """Asks a random peer at intervals while a feed is stale, until cancelled."""
        while True:
            await anyio.sleep(ASK_INTERVAL_S * random.uniform(0.8, 1.2))
            peers = self._peers()
            if peers and any(feed.is_stale for feed in self._feeds.values()):
                await self._ask(random.choice(peers))

    async def _ask(self, address: PeerAddress) -> None:
        """Fetches a peer's lists and offers them to the feeds that are stale."""
        try:
            with anyio.fail_after(ASK_TIMEOUT_S):
                bundle = await ask_peer(self._transport, address, ConfigFetch(), ConfigBundle)
        except (OwnerUnreachable, PeerClosed, PeerProtocolError, TimeoutError) as error:
            log.info("Could not fetch the lists of objects from {}: {!r}.", address.host, error)
            return
        for document in bundle.documents:
            feed = self._feeds.get(document.name)
            if feed is not None and feed.is_stale:
                feed.offer(_decode(document), address.host)


def _decode(document: ConfigDocument) -> ObjectList:
    content = json.loads(document.body)
    rows = tuple(FeedObject(*row) for row in content["objects"])
    return ObjectList(rows, content["revision"])
