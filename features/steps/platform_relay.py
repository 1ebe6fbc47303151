"""Steps for the lists that nodes get from peers while the store does not answer them."""

import json
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import ConfigBundle, ConfigDocument
from briarvale.errors import StoreUnavailable
from briarvale.feed_relay import FeedRelay
from briarvale.object_feed import ChangeList, FeedChange, FeedObject, ObjectFeed, ObjectList
from briarvale.peer import PeerAddress
from features.support.virtual import run_virtual

KIND = "servers"
PEER_COUNT = 4
TEST_S = 10.0


class SilentStore:
    """A store that answers no call."""

    async def list_kind(self, kind: str) -> ObjectList:
        """Fails."""
        raise StoreUnavailable("the store is away")

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Fails."""
        raise StoreUnavailable("the store is away")


class SeenNames:
    """Records the names of each list that a feed applies."""

    def __init__(self) -> None:
        self.lists: list[list[str]] = []

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Records a list."""
        self.lists.append([row.name for row in objects])

    def apply_change(self, change: FeedChange) -> None:
        """Is never called, as the store reports no changes."""


def bundle_of(revision: int, names: list[str]) -> ConfigBundle:
    """Returns a peer's answer."""
    rows = [[name, {}, revision] for name in names]
    body = json.dumps({"revision": revision, "objects": rows}).encode()
    return ConfigBundle(documents=(ConfigDocument(KIND, "", body),))


@when("a node without any list asks peers of which all but one missed that a server left")
def when_asks(context: Context) -> None:
    addresses = [PeerAddress(f"127.0.0.{n}", 1) for n in range(PEER_COUNT)]
    stale, current = bundle_of(5, ["i-gone", "i-1"]), bundle_of(9, ["i-1"])

    async def answer(transport: object, address: PeerAddress, *args: object) -> ConfigBundle:
        await anyio.sleep(0.1)
        return current if address is addresses[-1] else stale

    async def run() -> list[list[str]]:
        handler = SeenNames()
        feed = ObjectFeed(SilentStore(), KIND, handler)
        relay = FeedRelay({KIND: feed}, mock.Mock(), lambda: addresses)
        with mock.patch("briarvale.feed_relay.ask_peer", answer), anyio.move_on_after(TEST_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                tasks.start_soon(relay.run)
        return handler.lists

    context.lists = [run_virtual(run, seed=seed) for seed in range(20)]


@then("it never uses the server that left")
def then_never(context: Context) -> None:
    assert all(lists for lists in context.lists)
    used = [names for lists in context.lists for names in lists if "i-gone" in names]
    assert not used, used
