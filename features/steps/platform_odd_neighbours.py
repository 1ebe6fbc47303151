"""Steps for odd data of neighbours: real nodes and stand-ins that misbehave, on loopback."""

import json
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from features.steps.platform_batch import run_on_fleet
from features.support.platform_fleet import PLAIN, Caller, FleetNode, PlatformFleet

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

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        fleet.store.put("servers", name, spec)
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

    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await fleet.add_engine(SOUND_NAME, PLAIN)
        fleet.store.put_encoded("servers", "i-odd", encoded)
        await anyio.sleep(APPLY_S)
        served = [await is_served(node) for node in fleet.nodes.values()]
        served.append(await is_served(await restart(fleet, "vm-1")))
        facts["served"] = served
        nodes = [node.node for node in fleet.nodes.values()]
        facts["ids"] = [sorted(server.id for server in node.servers) for node in nodes if node]

    run_on_fleet(context, action, nodes=2, engines=0)


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
