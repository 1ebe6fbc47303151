"""Steps for errors in one part of a node: parts alone, and real nodes on loopback."""

import errno
import itertools
import os
import resource
import socket
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketStream
from behave import then, when
from behave.runner import Context
from loguru import logger

from briarvale import containment
from briarvale._generated.messages import FeedLost, FeedSubscribe, Message, SlotHeartbeat
from briarvale.backend_connections import BackendConnections
from briarvale.errors import HistoryGone
from briarvale.feed_publisher import FeedPublisher
from briarvale.feed_source import FeedSource
from briarvale.forward_request import AnswerMetadata
from briarvale.http_wire import OutgoingRequest
from briarvale.live_servers import LiveServer
from briarvale.object_feed import ChangeList, FeedChange, FeedObject, ObjectFeed, ObjectList
from briarvale.peer import PeerAddress, PeerIdentity, TcpTransport
from briarvale.peer_connection import PeerConnection
from briarvale.tcp_server import TcpServer
from features.support.platform_fleet import FleetNode, PlatformFleet, free_port, platform_fleet

HOST = "127.0.0.1"
HELD_S, READY_S = 1.5, 3.0


@when("a part fails 3 times, runs, and is then cancelled")
def when_part_fails(context: Context) -> None:
    started_at_s: list[float] = []
    ends: list[str] = []
    logged: list[Any] = []

    async def part() -> None:
        started_at_s.append(anyio.current_time())
        if len(started_at_s) <= 3:
            raise ZeroDivisionError("nobody foresaw this")
        try:
            await anyio.sleep_forever()
        finally:
            ends.append("cancelled")

    async def run() -> None:
        with anyio.move_on_after(1.5):
            await containment.keep_running("test", part)

    sink = logger.add(lambda line: logged.append(line.record["exception"]), level="ERROR")
    with mock.patch.object(containment.random, "uniform", lambda low, high: 1.0):
        anyio.run(run)
    logger.remove(sink)
    context.starts, context.ends, context.logged = started_at_s, ends, logged


@then("it was run 4 times with growing pauses, and each failure is logged with its traceback")
def then_run_again(context: Context) -> None:
    starts = context.starts
    pauses = [after - before for before, after in itertools.pairwise(starts)]
    assert len(starts) == 4 and pauses == sorted(pauses) and pauses[-1] > pauses[0] * 2, pauses
    assert len(context.logged) == 3, context.logged
    assert all(found.traceback is not None for found in context.logged)


@then("it has ended by the cancellation")
def then_cancelled(context: Context) -> None:
    assert context.ends == ["cancelled"]


class ScriptedStore:
    """A `FeedStore` with two revisions, of which the watch returns the second."""

    def __init__(self) -> None:
        self.lists = 0

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists the objects."""
        self.lists += 1
        newest = min(self.lists, 2)
        rows = tuple(FeedObject(f"object-{n}", n, n) for n in range(1, newest + 1))
        return ObjectList(rows, newest)

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Returns the second revision once."""
        if revision < 2:
            return ChangeList((FeedChange(FeedObject("object-2", 2, 2), False),), 2)
        await anyio.sleep_forever()
        raise AssertionError


class FailingHandler:
    """A `FeedHandler` that fails at the first change and at the two lists after it."""

    def __init__(self) -> None:
        self.lists: list[list[str]] = []
        self.failures = 0
        self.feed: ObjectFeed | None = None
        self.current_at_failures: list[bool] = []

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Applies a list."""
        assert self.feed is not None
        if self.failures:
            self.current_at_failures.append(self.feed.is_current)
        if 0 < self.failures < 3:
            self.failures += 1
            raise ZeroDivisionError("a list")
        self.lists.append([row.name for row in objects])

    def apply_change(self, change: FeedChange) -> None:
        """Fails."""
        self.failures += 1
        raise ZeroDivisionError("a change")


@when("the handler of a feed fails at a change, twice at the list that follows, and then recovers")
def when_handler_fails(context: Context) -> None:
    async def run() -> tuple[FailingHandler, bool]:
        handler = FailingHandler()
        feed = handler.feed = ObjectFeed(ScriptedStore(), "kind", handler)
        with anyio.move_on_after(2):
            await feed.run()
        return handler, feed.is_current

    context.handler, context.is_current = anyio.run(run)


@then("the feed was not current until the handler had got the whole list again")
def then_not_current(context: Context) -> None:
    assert context.handler.current_at_failures == [False] * 3, context.handler.current_at_failures
    assert context.is_current


@then("it has that list's objects")
def then_has_list(context: Context) -> None:
    assert context.handler.lists == [["object-1"], ["object-1", "object-2"]], context.handler.lists


@when("a node sends a peer a message with a number that doesn't fit, between two sound ones")
def when_odd_message(context: Context) -> None:
    async def run() -> list[Message]:
        address = PeerAddress(HOST, free_port())
        transport = TcpTransport(PeerIdentity("vm-1", "node", "a"), "secret")
        received: list[Message] = []

        async def handle(stream: Any, identity: PeerIdentity) -> None:
            connection = PeerConnection(stream, identity)
            await connection.serve(lambda _, message: received.append(message))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(transport.serve, address, handle)
            while not transport.is_listening:
                await anyio.sleep(0.01)
            stream = await transport.connect(address)
            connection = PeerConnection(stream, PeerIdentity("vm-2", "node", "b"))
            tasks.start_soon(connection.write_outbox)
            for sequence in (1, 2**40, 2):
                connection.notify(SlotHeartbeat(sequence))
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
        return received

    context.received = anyio.run(run)


@then("the peer gets the two sound ones on the same connection")
def then_two_messages(context: Context) -> None:
    assert context.received == [SlotHeartbeat(1), SlotHeartbeat(2)], context.received


def hold(address: PeerAddress, kind: socket.SocketKind) -> socket.socket:
    """Returns a socket that holds an address."""
    held = socket.socket(type=kind)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(address)
    if kind is socket.SOCK_STREAM:
        held.listen()
    return held


@when("the {port} port of a node is held by another process for 1.5 s as the node starts")
def when_port_taken(context: Context, port: str) -> None:
    async def run() -> dict[str, Any]:
        async with platform_fleet() as fleet:
            node = fleet.nodes["vm-1"]
            node.kill()
            await node.ended.wait()
            return await start_with_held_port(fleet, node, port)

    context.facts = anyio.run(run)


async def start_with_held_port(fleet: PlatformFleet, node: FleetNode, port: str) -> dict[str, Any]:
    """Starts the node again while one of its ports is taken; returns when it was ready."""
    vm = node.settings.vm_settings
    metrics_address = PeerAddress(vm.host, free_port())
    assert node.settings.caller_address is not None
    address, kind = {
        "callers'": (node.settings.caller_address, socket.SOCK_STREAM),
        "peers'": (PeerAddress(vm.host, vm.peer_port), socket.SOCK_STREAM),
        "heartbeat": (PeerAddress(vm.host, vm.heartbeat_port), socket.SOCK_DGRAM),
        "metrics": (metrics_address, socket.SOCK_STREAM),
    }[port]
    node.settings = node.settings._replace(metrics_address=metrics_address)
    with hold(address, kind):
        started = fleet.restart(node)
        await anyio.sleep(HELD_S)
        was_ready = started.node is not None and started.node.is_ready
    freed_at_s = anyio.current_time()
    with anyio.move_on_after(2 * READY_S):
        while started.node is None or not started.node.is_ready:
            await anyio.sleep(0.02)
    return {"was ready": was_ready, "took_s": anyio.current_time() - freed_at_s}


@then("the node is {meanwhile} meanwhile, and ready within 3 s after that")
def then_ready_after(context: Context, meanwhile: str) -> None:
    assert context.facts["was ready"] == (meanwhile == "ready"), context.facts
    assert context.facts["took_s"] < READY_S, context.facts


async def echo(stream: SocketStream) -> None:
    """Sends back one message; fails at the message `fail`."""
    async with stream:
        while True:
            data = await stream.receive()
            if data == b"fail":
                raise ZeroDivisionError("a connection")
            await stream.send(data)


@when("a server can't accept connections for 0.5 s while a caller connects")
def when_no_descriptor(context: Context) -> None:
    async def run() -> bytes:
        address, server = PeerAddress(HOST, free_port()), TcpServer("test")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address, echo)
            while not server.is_listening:
                await anyio.sleep(0.01)
            with socket.socket() as caller:
                caller.setblocking(False)
                await connect_without_descriptors(caller, address)
                answer = await exchange(caller, b"question")
            tasks.cancel_scope.cancel()
        return answer

    context.answer = anyio.run(run)


async def connect_without_descriptors(caller: socket.socket, address: PeerAddress) -> None:
    """Connects while this process can open no descriptor, and lifts that 0.5 s later."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(caller.fileno())
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, before[1]))
    try:
        assert caller.connect_ex(address) in (0, errno.EINPROGRESS)
        await anyio.sleep(0.5)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def exchange(caller: socket.socket, data: bytes) -> bytes:
    """Sends data and returns what comes back within 2 s; empty if nothing does."""
    caller.send(data)
    with anyio.move_on_after(2):
        while True:
            try:
                return caller.recv(100)
            except BlockingIOError:
                await anyio.sleep(0.01)
    return b""


@then("the caller is served on that connection")
def then_caller_served(context: Context) -> None:
    assert context.answer == b"question", context.answer


@when("the handler of one of two connections fails")
def when_handler_of_connection_fails(context: Context) -> None:
    async def run() -> list[bytes]:
        address, server = PeerAddress(HOST, free_port()), TcpServer("test")
        answers = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address, echo)
            while not server.is_listening:
                await anyio.sleep(0.01)
            open_before = await anyio.connect_tcp(*address)
            async with await anyio.connect_tcp(*address) as failing:
                await failing.send(b"fail")
                await anyio.sleep(0.1)
            for stream in (open_before, await anyio.connect_tcp(*address)):
                async with stream:
                    await stream.send(b"question")
                    answers.append(await stream.receive())
            tasks.cancel_scope.cancel()
        return answers

    context.answers = anyio.run(run)


@then("the other connection and new ones are served")
def then_others_served(context: Context) -> None:
    assert context.answers == [b"question"] * 2, context.answers


@when("a server that closes nothing has answered on 3 connections, which may be reused for 0.2 s")
def when_idle(context: Context) -> None:
    closed: list[bytes] = []

    async def answer(stream: SocketStream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        try:
            closed.append(await stream.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed.append(b"")

    async def run() -> None:
        address, tcp_server = PeerAddress(HOST, free_port()), TcpServer("test")
        server = LiveServer("i-0", "orders", address, "caerdydd", 4)
        metadata = AnswerMetadata("r", False, "s", False, False, 0.4)
        connections = BackendConnections()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(tcp_server.serve, address, answer)
            tasks.start_soon(connections.run)
            while not tcp_server.is_listening:
                await anyio.sleep(0.01)
            opened = [await connections.acquire(server, f"r{n}") for n in range(3)]
            for connection in opened:
                await connection.exchange(OutgoingRequest(b"GET", b"/", ((b"Host", b"a"),)), 100)
                await connections.release(server, connection, metadata)
            await anyio.sleep(2)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    context.closed = closed


@then("the node has closed all of them within 2 s")
def then_closed(context: Context) -> None:
    assert context.closed == [b""] * 3, context.closed


class ForgetfulStore(ScriptedStore):
    """A `FeedStore` that has lost the history at each watch."""

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Fails."""
        raise HistoryGone(kind)


@when("a store answers each watch of a feed with 410 for 3 s")
def when_no_history(context: Context) -> None:
    store, handler = ForgetfulStore(), FailingHandler()

    async def run() -> None:
        handler.feed = ObjectFeed(store, "kind", handler)
        with anyio.move_on_after(3):
            await handler.feed.run()

    anyio.run(run)
    context.lists = store.lists


@then("the feed has listed the kind at least twice, and at most 20 times")
def then_few_lists(context: Context) -> None:
    assert 2 <= context.lists <= 20, context.lists


class BrokenStore(ScriptedStore):
    """A `FeedStore` whose watch fails."""

    async def watch_kind(self, kind: str, revision: int, wait_ms: int) -> ChangeList:
        """Fails."""
        raise ZeroDivisionError("a watch")


@when("the watch of a node that publishes a kind fails with an unexpected error")
def when_watch_fails(context: Context) -> None:
    async def run() -> None:
        transport = TcpTransport(PeerIdentity("vm-1", "node", "a"), "secret")
        publisher, subscriber = FeedPublisher(), mock.Mock()
        source = FeedSource(BrokenStore(), publisher, transport, lambda: None)
        with containment.contain("test"):
            await source.watch_kind("kind", 1, 100)
        publisher.subscribe(subscriber, FeedSubscribe("kind", 1, 5))
        context.told = [call.args[0] for call in subscriber.notify.call_args_list]

    anyio.run(run)


@then("the node tells a new subscriber that it does not publish the kind")
def then_not_published(context: Context) -> None:
    assert context.told == [FeedLost("kind", 5)], context.told
