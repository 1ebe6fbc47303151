"""Neighbours that say odd things to nodes: each draws an input, and ends it after a while."""

import json
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, ExitStack, asynccontextmanager, suppress
from enum import Enum
from typing import Any

import anyio

from briarvale._generated.messages import (
    ConfigFetch,
    FeedList,
    FeedSubscribe,
    HolderReport,
    SlotGrant,
    SlotHeartbeat,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
    StateFetch,
    ViewSubscribe,
    encode_message,
)
from briarvale.datagrams import MAX_DATAGRAM_BYTES
from briarvale.errors import BriarvaleError, MessageInvalid
from briarvale.ingress import IngressRequest, Responder
from briarvale.peer import PeerAddress, PeerIdentity, TcpTransport
from features.support.platform_fleet import HOST, PLAIN, job_body
from features.support.platform_store import PlatformStoreStandin
from soak.fleet import SHARED_SECRET, NodeProcess, SoakFleet
from soak.odd_machine import few_descriptors, odd_settings, taken_port
from soak.odd_values import OddDocument, OddInput, mutate, odd_text, odd_value

ANSWER_TIMEOUT_S = 3.0
ODD_ENTRY = "i-odd"
PEER_MESSAGES = 20
STRANGER_MESSAGES = 4
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG_BYTES = (
    *(b" " * 30_000 + b"\0\r\n\r\n", b"1;" + b" " * 30_000 + b"\n\r\n", b"\r\n" * 30_000),
    *(b"a:b\r\n" * 9_000, b"1\r\nx\r\n" * 9_000, b"\0" * 60_000, b"\xff" * 60_000, b"a," * 30_000),
)
PEER_MESSAGE_TYPES: tuple[Any, ...] = (
    *(SlotRequest, SlotRelease, SlotWithdraw, SlotGrant, SlotHeartbeat, HolderReport),
    *(ConfigFetch, StateFetch, FeedSubscribe, FeedList, ViewSubscribe),
)
METHODS = (b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"CONNECT", b"TRACE", b"FOO")
TARGETS = (
    *(b"/look/a", b"/pay/a", b"/ask/a", b"/go-on/a", b"/lot/", b"/lot/x", b"/none/", b"/", b"*"),
    *(b"/look/%ff%00", b"//", b"/look/a?b=%zz", b"http://desk.example/look/a", b"/look/\xc3\xa9"),
    *(b"/briarvale/lots/%ff?after=0", b"/briarvale/lots/odd?after=99999999999999999999999"),
    *(b"/briarvale/items/odd?id=%ed%b2%80", b"/briarvale/lots/" + b"a" * 9_000),
)
HEADERS = (
    *(b"Briarvale-Request-Attempt-Id", b"Briarvale-Deadline-Ms", b"Briarvale-Token-Usage"),
    *(b"Briarvale-Prompt-Prefix", b"Briarvale-Model", b"Briarvale-Wait-Ms", b"Last-Event-Id"),
    *(b"Briarvale-Length-Hint", b"Briarvale-Hold", b"Host", b"Content-Length", b"Connection"),
    *(b"Expect", b"Traceparent", b"Server-Leaving", b"Keep-Alive", b"Upgrade", b"Via"),
)
USAGES = (b"4294967296,1", b"350,4294967295", b"1,18446744073709551615", b"99999999999999999999,9")
STATUSES = (200, 201, 202, 204, 206, 301, 304, 400, 401, 404, 409, 410, 412, 413, 500, 502, 505)
BODIES = (b"", b"{}", b"[]", b"null", b"0", b'"x"', b"<html></html>", b'{"items": [{}]}', b"\xff")
# What the store itself writes; the rest of an answer is other writers' data.
ENVELOPE = ("items", "events", "as_of", "metadata", "revision", "object")
WRONG_TYPES = (b"null", b"true", b'"x"', b"{}", b"-1", b"1.5", b"1e999", b"[[]]", b"NaN", b"[7]")

__all__ = ["NEIGHBOURS", "OddStore"]


OddContext = AbstractAsyncContextManager[OddInput]
Neighbour = Callable[[SoakFleet, random.Random], OddContext]


class OddStore:
    """A store that may answer otherwise than its interface shows.

    Args:
        store: Makes the sound answers.
    """

    def __init__(self, store: PlatformStoreStandin) -> None:
        self._store = store
        self.limits = store.limits
        # Makes an odd answer of a status and a body; none while the store answers soundly.
        self.distort: Callable[[int, bytes], tuple[int, bytes]] | None = None

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Responds to a malformed request."""
        await self._store.refuse(error, responder)

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Responds to a call."""
        await self._store.handle(request, _DistortingResponder(responder, self))  # type: ignore[arg-type]


class _DistortingResponder:
    def __init__(self, responder: Responder, store: OddStore) -> None:
        self._responder = responder
        self._store = store

    async def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Sends an answer, or an odd one in its place."""
        if self._store.distort is not None:
            status, body = self._store.distort(status, body)
        if status in (204, 304):
            body = b""
        await self._responder.answer(status, headers, body)


@asynccontextmanager
async def odd_entry(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """Another writer's entry in `servers`."""
    metadata = {"name": ODD_ENTRY, "revision": 4, "created_at": 9, "finalizers": []}
    entry = {"service": PLAIN, "address": "127.0.0.1:9", "zone": "caerdydd", "slots": 4}
    entry |= {"state": "draining", "sequence": 1, "born": 1_700_000_000_000}
    whole = {"metadata": metadata, "spec": entry, "status": None}
    allowed = (*entry, "name", "spec") if draw.random() < 0.9 else ("name",)
    odd = mutate(whole, draw, allowed, _writers_value)
    async with _stored(fleet, "servers", ODD_ENTRY, odd):
        yield OddInput(odd.detail)


def _writers_value(draw: random.Random) -> bytes:
    """Draws a value that a writer can store: one whose brackets match."""
    while (value := odd_value(draw)).count(b"[") != value.count(b"]"):
        pass
    return value if draw.random() < 0.9 else draw.choice((b'{"base64": "gIH/w"}', b'{"text": 7}'))


@asynccontextmanager
async def odd_retirement(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """An operator's request to empty a machine."""
    whole = {"metadata": {"name": "store-1", "revision": 4}, "spec": {"duration_s": 10}}
    odd = mutate(whole, draw, ("name", "spec", "duration_s"), _writers_value)
    async with _stored(fleet, "retirements", "store-1", odd):
        yield OddInput(odd.detail)


@asynccontextmanager
async def odd_config(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A version of the configuration; the route of lookups stays as it is."""
    fleet.put_config()
    config = fleet.store.kinds["config"]["main"]["spec"]
    limits = {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304}
    config = {**config, "limits": limits | {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}}
    lookups, *others = config["routes"]
    engine = {"slots": 8, "kv_capacity_tokens": 147_261, "models": [{"name": "m"}]}
    services = [{"name": "desk", "health_path": "/health", "engine": engine}]
    config |= {"services": services, "routes": others}
    odd = mutate(config, draw, values=_writers_value)
    first = json.dumps(lookups).encode()
    content = odd.content.replace(b'"routes": [{', b'"routes": [' + first + b", {", 1)
    whole = b'{"metadata": {"name": "main", "revision": %d}, "spec": %s}'
    fleet.store.put_encoded("config", "main", whole % (fleet.store.revision + 1, content))
    try:
        yield OddInput(odd.detail)
    finally:
        fleet.put_config()


@asynccontextmanager
async def odd_store(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A store that answers otherwise than its interface shows, also to a node that starts."""
    assert isinstance(fleet.store_handler, OddStore)
    share = draw.choice((1.0, 0.5))
    if draw.random() < 0.5:
        answer = draw.choice(STATUSES), draw.choice(BODIES)
        detail = f"{answer}"

        def distort(status: int, body: bytes) -> tuple[int, bytes]:
            return answer if draw.random() < share else (status, body)

    else:
        value = draw.choice(WRONG_TYPES)
        detail = f"{value!r} within the answer"

        def distort(status: int, body: bytes) -> tuple[int, bytes]:
            document = json.loads(body) if status == 200 else {}
            if draw.random() > share or not document:
                return status, body
            return status, mutate(document, draw, ENVELOPE, lambda _: value).content

    fleet.store_handler.distort = distort
    started = draw.choice(fleet.nodes)
    started.restart()
    fleet.store.cut_watches()
    try:
        yield OddInput(detail)
    finally:
        fleet.store_handler.distort = None


@asynccontextmanager
async def odd_report(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """Load reports of servers, read by owners that have just started."""
    report = {"num_running": 1, "num_waiting": 0, "kv_used": 0, "kv_total": 9, "stage": "both"}
    odd = mutate(report, draw, ("num_running", "num_waiting"))
    if draw.random() < 0.3:
        odd = OddDocument(value := odd_value(draw), f"report is {value[:40]!r}")
    for server in fleet.servers.values():
        server.report = odd.content
    killed = draw.sample(fleet.nodes, 2)
    for node in killed:
        node.restart()
    try:
        yield OddInput(odd.detail)
    finally:
        for server in fleet.servers.values():
            server.report = b""


@asynccontextmanager
async def odd_request(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A caller's request, one to each node."""
    method, target = draw.choice(METHODS), draw.choice(TARGETS)
    headers = {b"Host": HOST.encode(), b"Briarvale-Request-Attempt-Id": b"odd-1"}
    headers |= {b"Briarvale-Deadline-Ms": b"2000", b"Content-Length": b"0"}
    for name in draw.sample(HEADERS, draw.randrange(3)):
        headers[name] = odd_text(draw)
    if draw.random() < 0.3:
        headers[b"Briarvale-Token-Usage"] = draw.choice(USAGES)
    lines = [name + b": " + value for name, value in headers.items()]
    data = b"\r\n".join((method + b" " + target + b" HTTP/1.1", *lines, b"", b""))
    complaint = ""
    for node in fleet.nodes:
        status = await _status_of(node, data)
        if status == 500:
            complaint = f"status {status} at {node.name}"
    yield OddInput(f"{data[:300]!r}", complaint=complaint)


@asynccontextmanager
async def odd_job(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A batch job with an odd field; its other items must end."""
    job_id = f"odd-{draw.randrange(2**40):x}"
    first, *others = json.loads(job_body([f"{job_id}-{index}" for index in range(3)]))["items"]
    sound = {"items": [first, *others]}
    odd = mutate({"items": [first]}, draw)
    tail = b"".join(b", " + json.dumps(item).encode() for item in others)
    odd = odd._replace(content=odd.content.removesuffix(b"]}") + tail + b"]}")
    if draw.random() < 0.2:
        usage = draw.choice(USAGES)
        content = json.dumps(sound).encode().replace(b'"100,50"', b'"' + usage + b'"', 1)
        odd = OddDocument(content, f"usage {usage!r}")
    head = (
        f"POST /lot/ HTTP/1.1\r\nHost: {HOST}\r\nBriarvale-Request-Attempt-Id: {job_id}\r\n"
        f"Briarvale-Deadline-Ms: 4000\r\nContent-Length: {len(odd.content)}\r\n\r\n"
    )
    node = draw.choice(fleet.nodes)
    status = await _status_of(node, head.encode() + odd.content)
    yield OddInput(
        f"job {job_id}: {odd.detail}: {status}",
        complaint="status 500" if status == 500 else "",
        accepted_job=job_id if status == 202 else "",
    )


@asynccontextmanager
async def odd_peer(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A process that knows the peers' secret and sends what no node would."""
    vm = draw.choice(fleet.nodes).endpoint.settings.vm_settings
    transport = TcpTransport(PeerIdentity("vm-odd", "node", "boot"), SHARED_SECRET)
    said: list[str] = []
    try:
        stream = await transport.connect(PeerAddress(vm.host, vm.peer_port))
    except BriarvaleError as error:
        # The node has just been ended by another input.
        yield OddInput(f"not connected: {error}")
        return
    with suppress(BriarvaleError, OSError):
        for _ in range(PEER_MESSAGES):
            message = draw.choice(PEER_MESSAGE_TYPES)()
            changes = {name: _odd_field(value, draw) for name, value in message._asdict().items()}
            message = message._replace(**changes)
            said.append(type(message).__name__)
            with suppress(MessageInvalid):
                await stream.send(message)
    try:
        yield OddInput(f"{', '.join(said)} at {vm.vm}")
    finally:
        await stream.aclose()


@asynccontextmanager
async def odd_stranger(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A process that knows no secret and sends bytes to all ports of a node."""
    node = draw.choice(fleet.nodes)
    said = [_stranger_bytes(draw) for _ in range(STRANGER_MESSAGES)]
    with ExitStack() as opened:
        for data in said:
            datagrams = opened.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            datagrams.setblocking(False)
            with suppress(OSError):
                datagrams.sendto(data[:MAX_DATAGRAM_BYTES], node.datagram_address())
            for address in node.tcp_addresses():
                with suppress(OSError, anyio.BrokenResourceError):
                    async with await anyio.connect_tcp(*address) as stream:
                        with anyio.move_on_after(ANSWER_TIMEOUT_S):
                            await stream.send(data)
        yield OddInput(f"{[data[:30] for data in said]} at {node.name}")


def _stranger_bytes(draw: random.Random) -> bytes:
    """Returns a message of a peer with some bytes changed, or long input for a reader of HTTP."""
    if draw.random() < 0.5:
        return draw.choice((b"", b"GET / HTTP/1.1\r\nx:", CHUNKED_HEAD)) + draw.choice(LONG_BYTES)
    data = bytearray(encode_message(draw.choice(PEER_MESSAGE_TYPES)()))
    for _ in range(draw.randint(1, 6)):
        data[draw.randrange(len(data))] = draw.choice((0, 1, 255, draw.randrange(256)))
    return len(data).to_bytes(4, "big") + data


def _odd_field(value: Any, draw: random.Random) -> Any:
    """Returns an odd value of the same type, or the value itself."""
    match value:
        case Enum():
            return draw.choice(list(type(value)))
        case bool():
            return draw.random() < 0.5
        case int():
            return draw.choice((0, 1, 2**16 - 1, 2**31, 2**32 - 1, 2**63, 2**64 - 1))
        case str():
            return draw.choice(("", "desk", "orders", "\x00", "x" * 5_000, "workjobs", "servers"))
        case _:
            return value


@asynccontextmanager
async def _stored(fleet: SoakFleet, kind: str, name: str, odd: OddDocument) -> AsyncIterator[None]:
    """Keeps an object in the store, which nodes that start list first."""
    fleet.store.put_encoded(kind, name, odd.content)
    try:
        yield
    finally:
        fleet.store.remove_encoded(kind, name)


async def _status_of(node: NodeProcess, data: bytes) -> int:
    """Sends bytes to a node on a new connection; returns the status, or 0 without an answer."""
    address = node.endpoint.settings.caller_address
    assert address is not None
    with anyio.move_on_after(ANSWER_TIMEOUT_S):
        try:
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                await stream.send(data)
                answer = await stream.receive()
                return int(answer.split(b" ", 2)[1])
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, ValueError, IndexError):
            return 0
    return 0


NEIGHBOURS: dict[str, Neighbour] = {
    "entry": odd_entry,
    "retirement": odd_retirement,
    "config": odd_config,
    "store": odd_store,
    "report": odd_report,
    "request": odd_request,
    "job": odd_job,
    "peer": odd_peer,
    "stranger": odd_stranger,
    "port": taken_port,
    "descriptors": few_descriptors,
    "settings": odd_settings,
}
