"""Steps of workspaces: API keys, whom they name, and what belongs to a workspace."""

import json
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.feed_relay import FeedRelay
from briarvale.platform.store_objects import CONFIG_KIND
from briarvale.platform.workspace_entries import decode_workspaces, digest_keys
from briarvale.workspaces import WorkspaceLimits, WorkspaceTable, digest_key
from features.support.platform_fleet import (
    PLAIN,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
    platform_fleet,
)
from features.support.platform_jobs import ITEMS, JOB, read_all, run_on_fleet, runs_of

KEY, SPARE_KEY, OTHER_KEY = "first-key-1", "first-key-2", "second-key-1"
IN_FORCE_TIMEOUT_S = 3.0
TENANTS = [
    {"name": "first", "api_keys": [KEY, SPARE_KEY], "priority": 1},
    {"name": "second", "api_keys": [OTHER_KEY], "rate_per_s": 5, "burst": 7},
]
ENTRY = TENANTS[1]
FAULTS: dict[str, list[dict[str, Any]]] = {
    "a negative rate": [ENTRY | {"rate_per_s": -1}],
    "a rate that is no number": [ENTRY | {"rate_per_s": "many"}],
    "a huge burst": [ENTRY | {"burst": 1e300}],
    "a priority that is no number": [ENTRY | {"priority": []}],
    "keys that are no list": [ENTRY | {"api_keys": OTHER_KEY, "rate_per_s": 9}],
    "a key that is no text": [ENTRY | {"api_keys": [17, OTHER_KEY], "rate_per_s": 9}],
    "the key of the first": [ENTRY | {"api_keys": [SPARE_KEY]}],
    "no name": [{"api_keys": [OTHER_KEY]}],
    "the same name twice": [ENTRY | {"rate_per_s": 9}, ENTRY | {"rate_per_s": 8}],
}


def credential(key: str) -> dict[str, str]:
    """Returns the header that carries a key."""
    return {"Briarvale-Credential": key}


def put_config(fleet: PlatformFleet, tenants: list[dict[str, Any]]) -> None:
    """Writes a new version of the configuration, with one public route."""
    fleet.version += 1
    config = fleet.config(tenants=tenants)
    config["routes"].append(
        config["routes"][0] | {"name": "open", "path_prefix": "/open/", "public": True}
    )
    fleet.store.put("config", "main", config)


async def wait_in_force(fleet: PlatformFleet) -> None:
    """Waits until all nodes have the newest version."""
    with anyio.fail_after(IN_FORCE_TIMEOUT_S):
        while not all(_has_version(node, fleet.version) for node in fleet.nodes.values()):
            await anyio.sleep(0.01)


def _has_version(node: FleetNode, version: int) -> bool:
    table = node.node.routes.table if node.node else None
    return table is not None and table.version >= version


async def call(node: FleetNode, path: str, key: str = "", method: str = "GET") -> Answer:
    """Makes one call on a new connection, with a key if one is given."""
    answer = await Caller(node).call(method, path, headers=credential(key) if key else None)
    assert answer is not None
    return answer


def run_plain(context: Context, scenario: Any) -> None:
    """Runs a scenario on one node with one plain server, with workspaces configured."""

    async def run() -> dict[str, Any]:
        facts: dict[str, Any] = {}
        async with platform_fleet() as fleet:
            facts["engine"] = await fleet.add_engine("i-1", PLAIN)
            put_config(fleet, TENANTS)
            await wait_in_force(fleet)
            await scenario(fleet, facts)
        return facts

    context.facts = anyio.run(run)


@when("a caller with a key calls, and names another workspace in every way that headers allow")
def when_forged(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        headers = credential(KEY) | {
            "Briarvale-Tenant": "second",
            "Connection": "keep-alive, Briarvale-Tenant, Briarvale-Credential",
        }
        answer = await Caller(fleet.nodes["vm-1"]).call("GET", "/look/a", headers=headers)
        assert answer is not None and answer.status == 200, answer

    run_plain(context, scenario)


@then("the server got the name of the key's workspace once, and no key")
def then_named(context: Context) -> None:
    (seen,) = context.facts["engine"].seen
    names = [value for name, value in seen.headers if name == b"briarvale-tenant"]
    assert names == [b"first"], seen.headers
    assert KEY.encode() not in repr(seen.headers).encode(), seen.headers


@when("callers with no key, an unknown key and half a key call a closed and a public route")
def when_unknown(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node, keys = fleet.nodes["vm-1"], ("", "unknown", KEY[:-1])
        facts["closed"] = [await call(node, "/look/a", key) for key in keys]
        facts["reached"] = len(facts["engine"].seen)
        facts["public"] = [await call(node, "/open/a", key) for key in keys]

    run_plain(context, scenario)


@then("the closed route answers 401 to all of them and no server was reached")
def then_closed(context: Context) -> None:
    assert [answer.status for answer in context.facts["closed"]] == [401] * 3
    assert context.facts["reached"] == 0


@then("the public route serves all of them without the name of a workspace")
def then_public(context: Context) -> None:
    assert [answer.status for answer in context.facts["public"]] == [200] * 3
    for seen in context.facts["engine"].seen:
        assert seen.header(b"briarvale-tenant") == "", seen.headers
        assert seen.header(b"briarvale-credential") == "", seen.headers


@when("a caller keeps its connection while its key is replaced by another one")
def when_replaced(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        caller = Caller(fleet.nodes["vm-1"])
        facts["before"] = await caller.call("GET", "/look/a", headers=credential(KEY))
        stream = caller.stream
        put_config(fleet, [TENANTS[0] | {"api_keys": ["fresh"]}, TENANTS[1]])
        await wait_in_force(fleet)
        facts["old"] = await caller.call("GET", "/look/a", headers=credential(KEY))
        facts["new"] = await caller.call("GET", "/look/a", headers=credential("fresh"))
        facts["is same connection"] = caller.stream is stream
        node = fleet.start_node("vm-2", "127.0.0.12")
        await wait_in_force(fleet)
        await fleet.wait_server("i-1", ("vm-2",))
        facts["old elsewhere"] = await call(node, "/look/a", KEY)
        facts["new elsewhere"] = await call(node, "/look/a", "fresh")

    run_plain(context, scenario)


@then("the old key is refused on the same connection and the new one is served")
def then_replaced(context: Context) -> None:
    facts = context.facts
    statuses = [facts[name].status for name in ("before", "old", "new")]
    assert statuses == [200, 401, 200], statuses
    assert facts["is same connection"]


@then("a node that starts later refuses the old key as well")
def then_elsewhere(context: Context) -> None:
    facts = context.facts
    assert facts["old elsewhere"].status == 401 and facts["new elsewhere"].status == 200


@when("a job is submitted with a key that is then withdrawn")
def when_job(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        put_config(fleet, TENANTS)
        await wait_in_force(fleet)
        node, other_node = fleet.nodes.values()
        body = json.loads(job_body(ITEMS))
        for item in body["items"]:
            item["headers"] |= credential(KEY) | {"Briarvale-Tenant": "second"}
        submitted = await Caller(node).call(
            "POST", "/lot/", json.dumps(body).encode(), request_id=JOB, headers=credential(KEY)
        )
        assert submitted is not None and submitted.status == 202, submitted
        put_config(fleet, [TENANTS[0] | {"api_keys": [SPARE_KEY]}, TENANTS[1]])
        await wait_in_force(fleet)
        paths = [f"/briarvale/lots/{JOB}?after=0", f"/briarvale/items/{JOB}?id={ITEMS[0]}"]
        for at in (node, other_node):
            facts.setdefault("reads", []).extend([await call(at, p, OTHER_KEY) for p in paths])
            facts.setdefault("withdrawn", []).append(await call(at, paths[0], KEY))
            ended = await call(at, f"/briarvale/lots/{JOB}", OTHER_KEY, "DELETE")
            facts.setdefault("ends", []).append(ended)
            stolen = await Caller(at).call(
                "POST", "/lot/", job_body(ITEMS), request_id=JOB, headers=credential(OTHER_KEY)
            )
            facts.setdefault("submits", []).append(stolen)
        facts["results"] = await read_all(other_node, headers=credential(SPARE_KEY))

    run_on_fleet(context, scenario)


@then("another workspace can neither read it nor its items, nor end it, nor submit under its id")
def then_closed_job(context: Context) -> None:
    facts = context.facts
    assert [answer.status for answer in facts["reads"] + facts["ends"]] == [404] * 6
    assert [answer.status for answer in facts["submits"]] == [403] * 2
    assert [answer.status for answer in facts["withdrawn"]] == [401] * 2


@then("another key of the same workspace can read all its results")
def then_read(context: Context) -> None:
    assert sorted(result["id"] for result in context.facts["results"]) == ITEMS
    assert {result["state"] for result in context.facts["results"]} == {"done"}


@then("its items ran with the name of the workspace and without any key")
def then_items(context: Context) -> None:
    for item_id in ITEMS:
        for seen in runs_of(context.facts, item_id):
            names = [value for name, value in seen.headers if name == b"briarvale-tenant"]
            assert names == [b"first"], seen.headers
            assert KEY.encode() not in repr(seen.headers).encode(), seen.headers


@when("a node has the configuration with keys")
def when_relayed(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node = fleet.nodes["vm-1"].node
        assert node is not None
        relay = node.cluster.relay
        assert isinstance(relay, FeedRelay)
        facts["held"] = repr(relay.bundle()) + repr(node._feeds[CONFIG_KIND].snapshot())

    run_plain(context, scenario)


@then("what it holds for its peers contains no key")
def then_digests(context: Context) -> None:
    held = context.facts["held"]
    assert digest_key(KEY).hex() in held
    assert not any(key in held for key in (KEY, SPARE_KEY, OTHER_KEY))


@when("the second of two workspaces has {fault}")
def when_invalid(context: Context, fault: str) -> None:
    before = _table(TENANTS, None)
    context.workspaces = _table([TENANTS[0], *FAULTS[fault]], before)


def _table(tenants: list[dict[str, Any]], previous: WorkspaceTable | None) -> WorkspaceTable:
    spec = digest_keys({"tenants": tenants})
    assert isinstance(spec, dict)
    table = decode_workspaces(spec["tenants"], previous)
    assert table is not None
    return table


@then("the first workspace is as configured")
def then_first(context: Context) -> None:
    first = context.workspaces.find(KEY)
    assert first is not None and first.name == "first" and first.priority == 1, first


@then("of the second workspace {kept}")
def then_second(context: Context, kept: str) -> None:
    second, holder = context.workspaces.get("second"), context.workspaces.find(OTHER_KEY)
    old, new = WorkspaceLimits(5.0, 7.0), WorkspaceLimits(9.0, 7.0)
    match kept:
        case "the key applies and the old limits" | "the old entry applies":
            assert holder is second and second.limits == old, second
        case "the key applies and the new limits":
            assert holder is second and second.limits == new, second
        case "no key applies and the new limits":
            assert holder is None and second.limits == new, second
        case "no shared key applies":
            assert context.workspaces.find(SPARE_KEY) is None and second is not None
        case "nothing applies":
            assert holder is None and second is None
        case _:
            raise AssertionError(kept)
