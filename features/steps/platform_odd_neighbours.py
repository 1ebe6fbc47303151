"""Steps for odd data of neighbours: real nodes and stand-ins that misbehave, on loopback."""

import json
import time
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
import httpx
from behave import then, when
from behave.runner import Context

from briarvale.http_vm_list import HttpVmList
from briarvale.object_feed import FeedObject
from briarvale.platform.store_answers import decode_page
from briarvale.vm_directory import VmDirectory
from briarvale.vm_list import VmEntry, VmListUnavailable, entry_from_row
from features.support.platform_calls import ends_within
from features.support.platform_fleet import MODEL, PLAIN, Caller, FleetNode, PlatformFleet, job_body
from features.support.platform_jobs import ITEMS, read_page, run_on_fleet, submit_job
from features.support.platform_store import PlatformStoreStandin

# Longer than nodes take to get and apply a change of the store.
APPLY_S = 0.6
ODD_NAME, SOUND_NAME = "i-odd", "i-sound"


async def is_served(node: FleetNode) -> bool:
    """Whether a node answers a lookup on a new connection with success."""
    with anyio.move_on_after(3):
        answer = await Caller(node).call("POST", "/look/a", b"look")
        return answer is not None and answer.status == 200
    return False


async def restart(fleet: PlatformFleet, name: str) -> FleetNode:
    """Kills a node, starts it again and waits until it is ready, for a few seconds at most."""
    fleet.nodes[name].kill()
    await fleet.nodes[name].ended.wait()
    node = fleet.restart(fleet.nodes[name])
    with anyio.move_on_after(6):
        while node.node is None or not node.node.is_ready:
            await anyio.sleep(0.05)
    return node


def entry(**changes: Any) -> dict[str, Any]:
    """Returns a sound entry of a server at which nothing listens, with changes."""
    fields = {"service": PLAIN, "address": "127.0.0.1:9", "zone": "caerdydd", "slots": 4}
    return fields | {"state": "ready", "sequence": 1, "born": 1_700_000_000_000} | changes


@when("an entry whose {part} is {value} stands beside the entry of a sound server")
def when_odd_entry(context: Context, part: str, value: str) -> None:
    decoded = json.loads(value)
    name = decoded if part == "name" else ODD_NAME
    spec = entry() if part == "name" else entry(**{part: decoded})

    play_entry(context, lambda store: store.put("servers", name, spec))


def play_entry(context: Context, put: Callable[[PlatformStoreStandin], None]) -> None:
    """Writes an entry beside that of a sound server, and records what nodes serve and use."""

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        put(fleet.store)
        await anyio.sleep(APPLY_S)
        served = [await is_served(node) for node in fleet.nodes.values()]
        served.append(await is_served(await restart(fleet, "vm-1")))
        facts["served"] = served
        nodes = [node.node for node in fleet.nodes.values()]
        facts["ids"] = [sorted(server.id for server in node.servers) for node in nodes if node]

    run_on_fleet(context, action, nodes=2, engines=0)


@then("requests are served at each node, also at one that starts now")
def then_served(context: Context) -> None:
    assert all(context.facts["served"]), context.facts


@then("no node uses the entry")
def then_unused(context: Context) -> None:
    assert context.facts["ids"] == [[SOUND_NAME]] * 2, context.facts


# What stands in `servers`, by name: the object as the store sends it, in JSON.
UNDECODABLE = {
    "base64 that is cut short": b'{"metadata": %s, "spec": {"base64": "gIH/w"}}',
    "base64 that is a number": b'{"metadata": %s, "spec": {"base64": 7}}',
    "a name that can't be encoded": b'{"metadata": {"name": "\\udc80", "revision": 4}, "spec": {}}',
    "an empty name": b'{"metadata": {"name": "", "revision": 4}, "spec": {}}',
    "a number of 5,000 digits": b'{"metadata": %s, "spec": {"slots": 1' + b"0" * 5_000 + b"}}",
    "100,000 nested lists": b'{"metadata": %s, "spec": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "a text that is no UTF-8": b'{"metadata": %s, "spec": {"service": "\x80\xff"}}',
}
METADATA = b'{"name": "i-odd", "revision": 4}'


@when("{what} stands in the list of servers beside the entry of a sound server")
def when_undecodable(context: Context, what: str) -> None:
    encoded = UNDECODABLE[what].replace(b"%s", METADATA)
    play_entry(context, lambda store: store.put_encoded("servers", ODD_NAME, encoded))


@when(
    "the store answers lists and watches with {answer} for 1.5 s,"
    " to nodes that serve and one that starts"
)
def when_no_list(context: Context, answer: str) -> None:
    status, _, body = answer.partition(" ")

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        running = fleet.nodes["vm-2"]
        facts["lacked"] = 0
        fleet.store.faults.odd_answer = int(status), body.encode()
        fleet.store.cut_watches()
        fleet.nodes["vm-1"].kill()
        await fleet.nodes["vm-1"].ended.wait()
        started = fleet.restart(fleet.nodes["vm-1"])
        for _ in range(30):
            await anyio.sleep(0.05)
            facts["lacked"] += running.node is not None and len(running.node.servers) == 0
        fleet.store.faults.odd_answer = None
        with anyio.move_on_after(6):
            while started.node is None or not started.node.is_ready:
                await anyio.sleep(0.05)
        facts["served"] = [await is_served(node) for node in fleet.nodes.values()]

    run_on_fleet(context, action, nodes=2, engines=0)


@then("the nodes that ran before never lacked the sound server")
def then_never_lacked(context: Context) -> None:
    assert context.facts["lacked"] == 0, context.facts


def put_at(document: Any, path: str, value: Any) -> None:
    """Puts a value at a path of names and indexes, separated by dots."""
    *above, last = path.split(".")
    for step in above:
        document = document[int(step) if isinstance(document, list) else step]
    document[int(last) if isinstance(document, list) else last] = value


@when("an operator writes a version whose {field} is {value}")
def when_odd_version(context: Context, field: str, value: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        config = fleet.config(version=fleet.version + 1)
        put_at(config, field, f"<{field}>")
        spec = json.dumps(config).replace(json.dumps(f"<{field}>"), value).encode()
        head = b'{"metadata": {"name": "main", "revision": %d}, "spec": ' % (
            fleet.store.revision + 1
        )
        fleet.store.put_encoded("config", "main", head + spec + b"}")
        await anyio.sleep(APPLY_S)
        facts["served"] = [await is_served(node) for node in fleet.nodes.values()]
        fleet.version += 2
        fleet.store.put("config", "main", fleet.config())
        facts["served"].append(await is_served(await restart(fleet, "vm-1")))
        await anyio.sleep(APPLY_S)
        tables = [node.node.routes.table for node in fleet.nodes.values() if node.node]
        facts["versions"] = [table.version - fleet.version for table in tables if table]

    run_on_fleet(context, action, nodes=2, engines=0)


@then("requests are served at each node, also at one that starts later")
def then_served_later(context: Context) -> None:
    assert all(context.facts["served"]), context.facts


@then("the next good version is in force at each node")
def then_next_version(context: Context) -> None:
    assert context.facts["versions"] == [0, 0], context.facts


@when("all servers report {report} to owners that have just started")
def when_odd_report(context: Context, report: str) -> None:
    content = b"[" * 100_000 if report == "100,000 nested lists" else report.encode()

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        engine = await fleet.add_engine(SOUND_NAME, PLAIN)
        engine.report = content
        for name in list(fleet.nodes):
            await restart(fleet, name)
        await anyio.sleep(2 * APPLY_S)
        facts["served"] = [await is_served(node) for node in fleet.nodes.values()]

    run_on_fleet(context, action, nodes=2, engines=0)


@when("a caller asks for the head of an unknown path and of a path whose service has no server")
def when_head_refused(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        caller = Caller(fleet.nodes["vm-1"])
        answers = [await caller.call("HEAD", path) for path in ("/none/a", "/look/a", "/none/a")]
        facts["heads"] = [(answer.status, answer.body) for answer in answers if answer]
        facts["stays open"] = caller.stream is not None
        large = await caller.call("HEAD", "/look/a", headers={"x-large": "x" * 66_000})
        facts["large"] = (large.status, large.body, large.is_whole) if large else None

    run_on_fleet(context, action, nodes=1, engines=0)


@then("it gets 404 and 503 without a body, on one connection that stays open")
def then_head_refused(context: Context) -> None:
    assert context.facts["heads"] == [(404, b""), (503, b""), (404, b"")], context.facts
    assert context.facts["stays open"]


@then("a head with headers beyond the limit is refused with 431, also without a body")
def then_large_head_refused(context: Context) -> None:
    assert context.facts["large"] == (431, b"", True), context.facts["large"]


@when("a request whose header {header} is {value} comes to each node")
def when_odd_number(context: Context, header: str, value: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        facts["served"] = []
        for node in fleet.nodes.values():
            answer = await Caller(node).call("POST", "/ask/a", b"q", headers={header: value})
            facts["served"].append(answer is not None and answer.status == 200 and answer.is_whole)

    run_on_fleet(context, action, nodes=2, engines=1)


@then("it is answered with success at each node")
def then_number_served(context: Context) -> None:
    assert context.facts["served"] == [True, True], context.facts


def odd_job(field: str, value: str) -> bytes:
    """Returns a job of three items, of which the first has a field with a value in JSON."""
    job = json.loads(job_body(ITEMS))
    job["items"][0][field] = f"<{field}>"
    return json.dumps(job).replace(json.dumps(f"<{field}>"), value).encode()


@when("a job is submitted whose first item states 4294967295 tokens of output")
def when_large_item(context: Context) -> None:
    body = odd_job("headers", '{"Briarvale-Token-Usage": "350,4294967295"}')

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        facts["status"] = (await submit_job(fleet.nodes["vm-1"], body)).status
        facts["listed"] = set()
        with anyio.move_on_after(15):
            while not set(ITEMS[1:]) <= facts["listed"]:
                results = (await read_page(fleet.nodes["vm-2"])).json()["results"]
                facts["listed"] = {row["id"] for row in results}

    run_on_fleet(context, action, nodes=2, engines=1)


@then("the job is accepted, and its other items end within 15 s")
def then_others_end(context: Context) -> None:
    assert context.facts["status"] == 202, context.facts
    assert set(ITEMS[1:]) <= context.facts["listed"], context.facts


@when("a job is submitted whose {field} is {value}")
def when_malformed_job(context: Context, field: str, value: str) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        facts["status"] = (await submit_job(fleet.nodes["vm-1"], odd_job(field, value))).status

    run_on_fleet(context, action, nodes=1, engines=0)


@then("it is refused with 400, and no node has ended")
def then_refused(context: Context) -> None:
    assert context.facts["status"] == 400, context.facts
    assert context.facts["ended nodes"] == [], context.facts


@when("servers hold 1,000 tokens, and a request and an item of a job state a prompt of 1,001")
def when_too_long(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        services = [{"name": MODEL, "engine": {"kv_capacity_tokens": 1_000}}, {"name": PLAIN}]
        fleet.store.put("config", "main", fleet.config(version=9, services=services))
        await anyio.sleep(APPLY_S)
        facts["statuses"] = []
        for tokens in (1_001, 1_000):
            usage = {"Briarvale-Token-Usage": f"{tokens},9"}
            caller = Caller(fleet.nodes["vm-1"])
            answer = await caller.call("POST", "/ask/a", b"q", headers=usage)
            body = odd_job("headers", json.dumps(usage))
            submitted = await submit_job(fleet.nodes["vm-1"], body, f"job-{tokens}")
            facts["statuses"].append((answer.status if answer else 0, submitted.status))

    run_on_fleet(context, action, nodes=1, engines=1)


@then("both are refused at once with 413, and those with 1,000 are accepted")
def then_too_long(context: Context) -> None:
    assert context.facts["statuses"] == [(413, 413), (200, 202)], context.facts


@when("a page holds a sound entry and one of 500,000 nested lists")
def when_large_entry(context: Context) -> None:
    sound = json.dumps({"metadata": {"name": SOUND_NAME, "revision": 3}, "spec": entry()}).encode()
    odd = b'{"metadata": %s, "spec": %s}' % (METADATA, b"[" * 500_000 + b"]" * 500_000)
    started_at_s = time.perf_counter()
    page = decode_page(b'{"items": [%s, %s], "as_of": 9}' % (sound, odd), holds_bytes=False)
    context.took_s = time.perf_counter() - started_at_s
    context.values = {found.name: found.value for found in page.objects}


@then("the sound one is decoded, within the second between two readiness checks")
def then_decoded_soon(context: Context) -> None:
    assert context.values == {SOUND_NAME: entry(), ODD_NAME: None}, context.values
    assert context.took_s < 1, context.took_s


VM_ROW = {
    "vm": "vm-2",
    "host": "127.0.0.2",
    "region": "region-1",
    "availability_zone": "zone-1",
    "status": "live",
}


@when("a node that knows a VM gets a list in which the entry of this VM is {entry}")
def when_odd_vm_entry(context: Context, entry: str) -> None:
    lists = ((vm_object(json.dumps(VM_ROW).encode()),), (vm_object(odd_vm_entry(entry)),), ())
    directory = VmDirectory(mock.Mock(), mock.Mock())

    async def run() -> list[list[VmEntry]]:
        known = []
        for rows in lists:
            directory.apply_list(rows, after_outage=False)
            known.append([vm for vm in await directory.fetch() if vm.vm == VM_ROW["vm"]])
        return known

    context.known = anyio.run(run)


def odd_vm_entry(entry: str) -> bytes | None:
    """Returns the value of a VM's entry, of which the given fields are odd."""
    if entry == "no text":
        return None
    fields = json.loads(entry)
    return json.dumps(VM_ROW | fields if isinstance(fields, dict) and fields else fields).encode()


def vm_object(value: bytes | None) -> FeedObject:
    """Returns the entry of `VM_ROW`'s VM in a list of the store."""
    return FeedObject(VM_ROW["vm"], value, 1)


@then("it knows the VM by the entry that it had before, until a list lacks the VM")
def then_knows_vm(context: Context) -> None:
    before, odd, gone = context.known
    assert odd == before == [entry_from_row(VM_ROW)], odd
    assert not gone, gone


@when("the platform's VM list is answered with {document}")
def when_odd_vm_list(context: Context, document: str) -> None:
    def answer(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, text=document)

    async def fetch() -> None:
        async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
            await HttpVmList("http://127.0.0.1/vms", client).fetch()

    context.error = None
    try:
        anyio.run(fetch)
    except Exception as error:
        context.error = error


@then("the list is unavailable")
def then_unavailable(context: Context) -> None:
    assert isinstance(context.error, VmListUnavailable), repr(context.error)


# Frames: a holder's report of empty elements, a release with an unknown priority, a length alone.
FRAMES = {
    "a list of 470 million elements": (
        "00000030000000000500000000000000010001000900000000000000"
        "0000000000000100010000000000dd000000000001000500"
    ),
    "a value that its enum doesn't have": (
        "00000068000000000c000000000000000100010008000000000000000000000003000300ff00000000000000"
        "00000000000000000000000000000000090000000a000000090000000a000000090000000a000000"
        "000000000000000000000000000000000000000000000000"
    ),
    "a length of 4 MB": "00400000",
}
CLOSED_WITHIN_S = 1.0


@when("a process without the peers' secret sends a node a message with {what}")
def when_stranger(context: Context, what: str) -> None:
    frame = bytes.fromhex(FRAMES[what])

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        await anyio.sleep(APPLY_S)
        node = fleet.nodes["vm-1"]
        settings = node.settings.vm_settings
        async with await anyio.connect_tcp(settings.host, settings.peer_port) as stream:
            await stream.send(frame)
            started_s = time.monotonic()
            facts["served"] = await is_served(node)
            facts["took_s"] = time.monotonic() - started_s
            facts["closed"] = await ends_within(stream, CLOSED_WITHIN_S)

    run_on_fleet(context, action, engines=0)


@then("a lookup is served there within 2 s, and the connection is closed")
def then_stranger_closed(context: Context) -> None:
    facts = context.facts
    assert facts["served"] and facts["took_s"] < 2 and facts["closed"], facts
