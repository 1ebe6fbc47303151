"""Steps for the ownership of pools, with real nodes of different sizes on loopback."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.platform.node import Node
from features.support.platform_fleet import MODEL, PlatformFleet
from features.support.platform_jobs import run_on_fleet

LARGE_NODES = ("vm-8", "vm-9")
# A node owns nothing until 3 s after it has joined.
OWNERSHIP_WAIT_S = 4.5
NODE_COUNT = 12
GOSSIP_WAIT_S = 3.0
# Enough for the probe rounds that detect both lost nodes and for their time as suspects.
TAKEOVER_TIMEOUT_S = 6.0


def named_owners(fleet: PlatformFleet) -> set[str | None]:
    """Returns the owners of the pool as the running nodes compute them."""
    nodes = [n.node for n in fleet.nodes.values() if n.node and not n.ended.is_set()]
    return {node.cluster.pool_owner(MODEL) for node in nodes}


@when("2 nodes of 2 cores join 2 nodes of half a core")
def when_join(context: Context) -> None:
    async def join_then_kill_large(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for index, name in enumerate(LARGE_NODES):
            fleet.start_node(name, f"127.0.0.{31 + index}", processor_cores=2.0)
        await anyio.sleep(OWNERSHIP_WAIT_S)
        facts["owners"] = named_owners(fleet)
        for name in LARGE_NODES:
            fleet.nodes[name].kill()
        with anyio.move_on_after(TAKEOVER_TIMEOUT_S):
            while named_owners(fleet) & {*LARGE_NODES, None}:
                await anyio.sleep(0.05)
        facts["next owners"] = named_owners(fleet)

    run_on_fleet(context, join_then_kill_large, engines=1)


def known_count(node: Node) -> int:
    """Returns how many nodes a node knows by gossip, itself included."""
    return sum(vm.incarnation > 0 for vm in node.cluster.membership.vms)


@when("12 nodes start within half a second")
def when_many(context: Context) -> None:
    async def run() -> dict[str, Any]:
        async with anyio.create_task_group() as tasks:
            fleet = PlatformFleet(tasks, 0)
            fleet.store.put("config", "main", fleet.config())
            for index in range(NODE_COUNT):
                fleet.start_node(f"vm-{index}", f"127.0.0.{11 + index}")
                await anyio.sleep(0.02)
            engine = await fleet.add_engine("i-0", MODEL, wait_for_nodes=("vm-0",))
            await anyio.sleep(GOSSIP_WAIT_S)
            nodes = [n.node for n in fleet.nodes.values() if n.node]
            facts = {"known": [known_count(node) for node in nodes]}
            facts |= {"owners": named_owners(fleet), "engine": engine.id}
            tasks.cancel_scope.cancel()
        return facts

    context.facts = anyio.run(run)


@then("3 s later each knows all the others, and all name the same owner")
def then_all_known(context: Context) -> None:
    assert context.facts["known"] == [NODE_COUNT] * NODE_COUNT, context.facts["known"]
    assert len(context.facts["owners"]) == 1, context.facts["owners"]


@then("all nodes name the same larger node as the owner of the pool")
def then_large(context: Context) -> None:
    owners = context.facts["owners"]
    assert len(owners) == 1 and owners <= set(LARGE_NODES), owners


@then("a smaller node owns the pool within 6 s of the loss of both larger ones")
def then_small(context: Context) -> None:
    owners = context.facts["next owners"]
    assert len(owners) == 1 and owners <= {"vm-1", "vm-2"}, owners
