"""Steps for the ownership of pools, with real nodes of different sizes on loopback."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.platform.node import Node
from features.steps.platform_batch import run_on_fleet
from features.support.platform_fleet import MODEL, PlatformFleet

LARGE = ("vm-8", "vm-9")
# A node owns nothing until 3 s after it has joined.
SETTLE_S = 4.5
MANY = 12
GOSSIP_S = 3.0
# Time of the probe rounds for both lost nodes and of their suspicion.
TAKE_OVER_S = 6.0


def owners(fleet: PlatformFleet) -> set[str | None]:
    """Returns the owners that the running nodes name."""
    nodes = [one.node for one in fleet.nodes.values() if one.node and not one.ended.is_set()]
    return {node.cluster.pool_owner(MODEL) for node in nodes}


@when("2 nodes of 2 cores join 2 nodes of half a core")
def when_join(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        for index, name in enumerate(LARGE):
            fleet.start_node(name, f"127.0.0.{31 + index}", processor_cores=2.0)
        await anyio.sleep(SETTLE_S)
        facts["owners"] = owners(fleet)
        for name in LARGE:
            fleet.nodes[name].kill()
        with anyio.move_on_after(TAKE_OVER_S):
            while owners(fleet) & {*LARGE, None}:
                await anyio.sleep(0.05)
        facts["next owners"] = owners(fleet)

    run_on_fleet(context, behave_as, engines=1)


def known_count(node: Node) -> int:
    """Returns how many nodes a node knows by gossip, itself included."""
    return sum(vm.incarnation > 0 for vm in node.cluster.membership.vms)


@when("12 nodes start within half a second")
def when_many(context: Context) -> None:
    async def run() -> dict[str, Any]:
        async with anyio.create_task_group() as tasks:
            fleet = PlatformFleet(tasks, 0)
            fleet.store.put("config", "main", fleet.config())
            for index in range(MANY):
                fleet.start_node(f"vm-{index}", f"127.0.0.{11 + index}")
                await anyio.sleep(0.02)
            engine = await fleet.add_engine("i-0", MODEL, known_to=("vm-0",))
            await anyio.sleep(GOSSIP_S)
            nodes = [one.node for one in fleet.nodes.values() if one.node]
            facts = {"known": [known_count(node) for node in nodes]}
            facts |= {"owners": owners(fleet), "engine": engine.id}
            tasks.cancel_scope.cancel()
        return facts

    context.facts = anyio.run(run)


@then("3 s later each knows all the others, and all name the same owner")
def then_all_known(context: Context) -> None:
    assert context.facts["known"] == [MANY] * MANY, context.facts["known"]
    assert len(context.facts["owners"]) == 1, context.facts["owners"]


@then("all nodes name the same larger node as the owner of the pool")
def then_large(context: Context) -> None:
    found = context.facts["owners"]
    assert len(found) == 1 and found <= set(LARGE), found


@then("a smaller one owns it within 6 s of the loss of both larger ones")
def then_small(context: Context) -> None:
    found = context.facts["next owners"]
    assert len(found) == 1 and found <= {"vm-1", "vm-2"}, found
