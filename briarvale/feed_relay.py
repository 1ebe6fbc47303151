"""Exchange of the store's objects between nodes, for a node that the store does not answer.

The lists travel in the messages `ConfigFetch` and `ConfigBundle`.
"""

import json
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import msgspec

from . import logs
from ._generated.messages import ConfigBundle, ConfigDocument, ConfigFetch
from .errors import BriarvaleError
from .object_feed import FeedObject, ObjectFeed, ObjectList
from .peer import PeerAddress, PeerTransport, ask_peer
from .strict_json import decode_json

ASK_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 1.0
# A node that has no list yet asks this many peers, as one of them may have missed changes itself.
FIRST_ASK_PEERS = 5

log = logs.component_logger("relay")

__all__ = ["FeedRelay"]


class _RelayedList(msgspec.Struct):
    """A list of objects; each is its name, its value and its revision."""

    revision: int
    objects: list[tuple[str, Any, int]]


_RELAYED_LIST = msgspec.json.Decoder(_RelayedList)


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
        """Asks random peers at intervals while a feed is stale, until cancelled."""
        while True:
            await anyio.sleep(ASK_INTERVAL_S * random.uniform(0.8, 1.2))
            peers = self._peers()
            if peers and any(feed.is_stale for feed in self._feeds.values()):
                await self._ask(random.sample(peers, min(len(peers), self._peers_to_ask())))

    def _peers_to_ask(self) -> int:
        """Returns how many peers to ask: several for a first list, which nothing newer guards."""
        has_lists = all(feed.has_list for feed in self._feeds.values())
        return 1 if has_lists else FIRST_ASK_PEERS

    async def _ask(self, addresses: Sequence[PeerAddress]) -> None:
        """Fetches the lists of several peers and offers them to the feeds that are stale."""
        found: list[tuple[str, ObjectList, str]] = []

        async def fetch(address: PeerAddress) -> None:
            for kind, listed in (await self._fetch(address)).items():
                found.append((kind, listed, address.host))

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(fetch, address)
        # The newest first: feeds ignore lists that are older than what they have.
        for kind, listed, host in sorted(found, key=lambda row: row[1].revision, reverse=True):
            feed = self._feeds.get(kind)
            if feed is not None and feed.is_stale:
                feed.offer(listed, host)

    async def _fetch(self, address: PeerAddress) -> dict[str, ObjectList]:
        """Fetches a peer's lists by kind; empty if the peer does not answer."""
        try:
            with anyio.fail_after(ASK_TIMEOUT_S):
                bundle = await ask_peer(self._transport, address, ConfigFetch(), ConfigBundle)
            return {document.name: _decode(document) for document in bundle.documents}
        except (BriarvaleError, TimeoutError) as error:
            log.info("Could not fetch the lists of objects from {}: {!r}.", address.host, error)
            return {}


def _decode(document: ConfigDocument) -> ObjectList:
    """Decodes a peer's list; raises `DocumentInvalid`."""
    content = decode_json(_RELAYED_LIST, document.body)
    return ObjectList(tuple(FeedObject(*row) for row in content.objects), content.revision)
