"""Steps for checking, applying and distributing the configuration."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import yaml
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from typer.testing import CliRunner

from briarvale.config import INVENTORY_NAME, RULES_NAME, Config, check_documents
from briarvale.config_head import (
    MAX_HISTORY_REVISIONS,
    apply_config,
    apply_documents,
    fetch_config,
    fetch_revision,
    read_head,
    rollback_config,
)
from briarvale.config_sync import WATCH_TIMEOUT_S
from briarvale.errors import BriarvaleError, ConfigConflict, SettingsInvalid
from briarvale.fleet_status import wait_for_revision
from briarvale.fleet_view import FleetView
from briarvale.object_store import MAX_VALUE_BYTES
from briarvale.programs.cli import app
from briarvale.standins.memory_dispatchers import (
    MEMBER,
    DispatcherFleet,
    DispatcherFleetSettings,
    inventory_of,
    rules_of,
)
from briarvale.standins.memory_fleet import MemoryFleet
from briarvale.standins.object_api import StandinObjectApi
from features.support.nodes import FleetReports, run_on_fleet
from features.support.virtual import run_virtual

SERVERS = 3
SAMPLE_S = 0.05


@given("a fleet of {vms:d} dispatchers at revision 1, seed {seed:d}")
def given_fleet(context: Context, vms: int, seed: int) -> None:
    context.settings = DispatcherFleetSettings(vm_count=vms, server_count=SERVERS, seed=seed)
    context.loss = 0.0
    context.earlier_steps = []


@given("{loss:d} % lost datagrams")
def given_loss(context: Context, loss: int) -> None:
    context.loss = loss / 100


async def apply_share(fleet: DispatcherFleet, percent: float) -> int:
    """Applies rules with this share of the fleet's member; returns the new revision."""
    expected_revision = (await read_head(fleet.store)).revision
    return await apply_config(
        fleet.store, inventory_of(SERVERS), rules_of(percent), expected_revision
    )


def run_fleet(context: Context, action: Callable[..., Awaitable[object]]) -> object:
    """Runs the actions of earlier steps and then this one on a fleet; returns its result."""

    async def run(fleet: DispatcherFleet, tasks: TaskGroup) -> object:
        fleet.network.datagram_loss = context.loss
        for earlier in context.earlier_steps:
            await earlier(fleet, tasks)
        return await action(fleet, tasks)

    return run_virtual(run_on_fleet, context.settings, run, seed=context.settings.seed)


async def wait_and_list_behind(fleet: DispatcherFleet, revision: int, bound_s: float) -> list[str]:
    """Returns the VMs on which a revision is not in force after `bound_s`."""
    await anyio.sleep(bound_s)
    syncs = {vm: dispatcher.config_sync for vm, dispatcher in fleet.dispatchers.items()}
    return [vm for vm, sync in syncs.items() if sync.revision < revision]


@when("an operator applies a new share")
def when_apply(context: Context) -> None:
    async def step(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        await apply_share(fleet, 50)

    context.earlier_steps.append(step)


@when('"{zone}" is cut off and an operator applies a new share')
def when_cut_apply(context: Context, zone: str) -> None:
    async def step(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.cut_off(fleet.vms_in_zone(zone))
        await anyio.sleep(10)
        await apply_share(fleet, 50)

    context.earlier_steps.append(step)


@then("revision {revision:d} is in force on all VMs within {bound_s:d} s")
def then_in_force(context: Context, revision: int, bound_s: int) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> list[str]:
        return await wait_and_list_behind(fleet, revision, bound_s)

    behind = run_fleet(context, action)
    assert not behind, behind


@when("nothing happens for {idle_s:d} s")
def when_idle(context: Context, idle_s: int) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> float:
        calls_before = len(fleet.store.calls)
        await anyio.sleep(idle_s)
        context.watches = sum(call.verb == "watch" for call in fleet.store.calls[calls_before:])
        return (len(fleet.store.calls) - calls_before) / idle_s / len(fleet.dispatchers)

    context.calls_per_s = run_fleet(context, action)
    context.idle_s = idle_s


@then("the dispatchers made at most {bound:d} Object API call per VM and second")
def then_calls(context: Context, bound: int) -> None:
    assert 0 < context.calls_per_s <= bound, context.calls_per_s


@then("at most {watchers:d} dispatchers watched the head")
def then_watchers(context: Context, watchers: int) -> None:
    watches_each = context.idle_s / WATCH_TIMEOUT_S + 1
    assert 0 < context.watches <= watchers * watches_each, context.watches


def restart(fleet: DispatcherFleet, vm: str, tasks: TaskGroup) -> None:
    fleet.kill_vm(vm)
    fleet.start_vm(vm, tasks)


@when('the store goes down and "{vm}" restarts')
def when_down_restart(context: Context, vm: str) -> None:
    async def step(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        await anyio.sleep(5)
        fleet.store.faults.is_down = True
        restart(fleet, vm, tasks)

    context.earlier_steps.append(step)


@when('the store goes down and "{vm}" restarts, cut off from all others')
def when_isolated(context: Context, vm: str) -> None:
    async def step(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.store.faults.is_down = True
        fleet.cut_off([vm])
        restart(fleet, vm, tasks)

    context.earlier_steps.append(step)


@when('the peers miss a new share, the store is slow and "{vm}" restarts')
def when_peers_behind(context: Context, vm: str) -> None:
    async def step(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.kill_vm(vm)
        for dispatcher in fleet.dispatchers.values():
            dispatcher.config_sync.apply_bundle = lambda bundle: None
            dispatcher.config_sync._apply_config = lambda config: None
        await apply_share(fleet, 50)
        fleet.store.faults.latency_s = 0.5
        fleet.start_vm(vm, tasks)

    context.earlier_steps.append(step)


@then(
    '"{vm}" and its local programs are ready within {bound_s:d} s, and never below '
    "revision {revision:d}"
)
def then_ready(context: Context, vm: str, bound_s: int, revision: int) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> list[int]:
        revisions = []
        dispatcher = fleet.dispatchers[vm]
        view = FleetView(dispatcher._settings, dispatcher._environment)
        tasks.start_soon(view.run)
        for _ in range(int(bound_s / SAMPLE_S)):
            await anyio.sleep(SAMPLE_S)
            if dispatcher.is_ready:
                revisions.append(dispatcher.config_sync.revision)
            if view.is_ready:
                revisions.append(view.config.revision)
        return [*revisions, view.config.revision]

    revisions = run_fleet(context, action)
    assert revisions and set(revisions) == {revision}, revisions


@then('"{vm}" isn\'t ready for {wait_s:d} s')
def then_not_ready(context: Context, vm: str, wait_s: int) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> bool:
        for _ in range(int(wait_s / SAMPLE_S)):
            await anyio.sleep(SAMPLE_S)
            if fleet.dispatchers[vm].is_ready:
                return True
        return False

    assert not run_fleet(context, action)


@when(
    "{count:d} revisions are applied while VMs restart, the store goes down and "
    '"{zone}" is cut off'
)
def when_faults(context: Context, count: int, zone: str) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> list[str]:
        context.ready_revisions = {vm: [] for vm in fleet.entries}
        tasks.start_soon(record_ready_revisions, fleet, context.ready_revisions)
        for number in range(count):
            context.last_revision = await apply_share(fleet, 50 + number)
            await anyio.sleep(3)
            fleet.store.faults.is_down = True
            restart(fleet, f"vm-{number + 1}", tasks)
            await anyio.sleep(5)
            fleet.cut_off(fleet.vms_in_zone(zone))
            await anyio.sleep(10)
            fleet.store.faults.is_down = False
            fleet.network.cut_links.clear()
            await anyio.sleep(1)
        return await wait_and_list_behind(fleet, context.last_revision, 10)

    context.behind = run_fleet(context, action)


async def record_ready_revisions(fleet: DispatcherFleet, revisions: dict[str, list[int]]) -> None:
    while True:
        await anyio.sleep(SAMPLE_S)
        for vm, dispatcher in fleet.dispatchers.items():
            if dispatcher.is_ready:
                revisions[vm].append(dispatcher.config_sync.revision)


@then("no VM was ever ready with a lower revision than before")
def then_monotone(context: Context) -> None:
    for vm, revisions in context.ready_revisions.items():
        assert revisions == sorted(revisions), vm


@then("the last revision is in force on all VMs")
def then_last(context: Context) -> None:
    assert not context.behind, context.behind


@given("a store at revision 1")
def given_store(context: Context) -> None:
    context.store = StandinObjectApi(seed=1)

    async def apply_first() -> None:
        await apply_config(context.store, inventory_of(SERVERS), rules_of(), 0)

    run_virtual(apply_first)


def run_store(context: Context, action: Callable[[], Awaitable[object]]) -> object:
    """Runs an action on the store; its virtual time begins 10 s after the store's last call."""

    async def run() -> object:
        await anyio.sleep(context.store.calls[-1].at_s + 10)
        return await action()

    return run_virtual(run)


@when("an operator applies a new share and the {store_fault}")
def when_lost(context: Context, store_fault: str) -> None:
    faults = context.store.faults
    if "answer is lost" in store_fault:
        faults.lose_answer_probability = 0.5
    else:
        faults.late_write_probability, faults.late_write_s = 0.7, 0.3

    async def run() -> int:
        context.revision = await apply_config(context.store, inventory_of(SERVERS), rules_of(50), 1)
        faults.lose_answer_probability = faults.late_write_probability = 0.0
        await anyio.sleep(5)
        return context.revision

    run_store(context, run)


@when("an operator applies the same new share twice")
def when_twice(context: Context) -> None:
    async def run() -> None:
        for _ in range(2):
            inventory = inventory_of(SERVERS)
            context.revision = await apply_config(context.store, inventory, rules_of(50), 1)

    run_store(context, run)


@then("exactly one new revision was made")
def then_one_revision(context: Context) -> None:
    async def run() -> list[int]:
        return [entry.revision for entry in (await read_head(context.store)).history]

    assert context.revision == 2 and run_store(context, run) == [1, 2], run_store(context, run)


@when("two operators who saw revision 1 apply different shares at once")
def when_race(context: Context) -> None:
    context.outcomes = []

    async def apply(percent: float) -> None:
        try:
            inventory = inventory_of(SERVERS)
            outcome = await apply_config(context.store, inventory, rules_of(percent), 1)
            context.outcomes.append(outcome)
        except ConfigConflict as error:
            context.outcomes.append(error)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(apply, 41)
            tasks.start_soon(apply, 42)

    run_store(context, run)


@then("one is accepted and the other gets a conflict with the difference")
def then_conflict(context: Context) -> None:
    accepted = [outcome for outcome in context.outcomes if outcome == 2]
    refused = [str(o) for o in context.outcomes if isinstance(o, ConfigConflict)]
    assert len(accepted) == len(refused) == 1, context.outcomes
    assert "you saw 1" in refused[0] and "-  percent: 100" in refused[0], refused[0]
    assert "+  percent: 4" in refused[0], refused[0]


@when("an operator who still saw revision 1 applies another share")
def when_stale_apply(context: Context) -> None:
    async def run() -> BriarvaleError | int:
        try:
            return await apply_config(context.store, inventory_of(SERVERS), rules_of(51), 1)
        except ConfigConflict as error:
            return error

    context.outcome = run_store(context, run)


@then("that operator gets a conflict, and revision 2 stays in force")
def then_stale_refused(context: Context) -> None:
    async def run() -> int:
        return (await read_head(context.store)).revision

    assert isinstance(context.outcome, ConfigConflict), context.outcome
    assert "you saw 1" in str(context.outcome) and run_store(context, run) == 2


@when("an operator applies an inventory of {servers:d} backend servers")
def when_large(context: Context, servers: int) -> None:
    context.inventory = inventory_of(servers)

    async def run() -> None:
        try:
            await apply_config(context.store, context.inventory, rules_of(), 1)
        except BriarvaleError as error:
            context.error = error

    run_store(context, run)


@when("an operator applies an inventory of {members:d} members, then changes one member")
def when_one_member(context: Context, members: int) -> None:
    def part(number: int, key: int) -> str:
        return yaml.safe_dump(
            {"members": [{"id": f"m-{number}", "api_key_sha256": [f"{key:064x}"]}]}
        )

    async def run() -> int:
        texts = {f"inventory/{n}.yaml": part(n, n) for n in range(members)}
        texts[RULES_NAME] = yaml.safe_dump({"shares": []})
        await apply_documents(context.store, texts, 1)
        calls_before = len(context.store.calls)
        changed = {**texts, "inventory/7.yaml": part(7, members)}
        await apply_documents(context.store, changed, 2)
        return sum(call.is_write for call in context.store.calls[calls_before:])

    context.writes = run_store(context, run)


@then("the change took at most {bound:d} writes")
def then_writes(context: Context, bound: int) -> None:
    assert 0 < context.writes <= bound, context.writes


@then("the store returns the complete inventory")
def then_stored(context: Context) -> None:
    async def run() -> dict[str, bytes]:
        bundle = (await fetch_config(context.store)).bundle
        return {document.name: document.body for document in bundle.documents}

    assert run_store(context, run)[INVENTORY_NAME] == context.inventory.encode()


@then("each stored object is under the Object API's limit")
def then_under_limit(context: Context) -> None:
    async def run() -> list[int]:
        return [len(context.store.peek(key)) for key in context.store.peek_keys("config/")]

    sizes = run_store(context, run)
    assert max(sizes) <= MAX_VALUE_BYTES and len(sizes) > 4, sizes


@then('it is refused with "{code}" and the head stays at revision 1')
def then_refused(context: Context, code: str) -> None:
    async def run() -> int:
        return (await read_head(context.store)).revision

    assert context.error.code == code and run_store(context, run) == 1


@when("{count:d} revisions are applied and revision {target:d} is rolled back to")
def when_rollback(context: Context, count: int, target: int) -> None:
    async def run() -> None:
        for number in range(count):
            rules = rules_of(number + 1)
            await apply_config(context.store, inventory_of(1), rules, number + 1)
        context.revision = await rollback_config(context.store, target)

    run_store(context, run)


@then("revision {new:d} has the documents of revision {old:d}")
def then_rolled_back(context: Context, new: int, old: int) -> None:
    async def run() -> bool:
        bundles = [await fetch_revision(context.store, revision) for revision in (new, old)]
        return bundles[0].documents == bundles[1].documents

    assert context.revision == new and run_store(context, run)


@then("the history has {kept:d} revisions, and the store has no other manifest")
def then_bounded(context: Context, kept: int) -> None:
    async def run() -> tuple[set[str], set[str]]:
        manifests = {entry.manifest for entry in (await read_head(context.store)).history}
        keys = context.store.peek_keys("config/documents/")
        stored = {key for key in keys if b'"nonce"' in context.store.peek(key)}
        return {f"config/documents/{digest}" for digest in manifests}, stored

    named, stored = run_store(context, run)
    assert kept == MAX_HISTORY_REVISIONS == len(named) and stored == named, len(stored)


def wait_after_apply(context: Context, frozen: list[str]) -> None:
    """Applies a share while VMs are frozen, and waits until it is in force on all live VMs."""

    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> list[str]:
        fleet.network.frozen_hosts |= {fleet.host(vm) for vm in frozen}
        revision = await apply_share(fleet, 50)
        started_s = anyio.current_time()
        behind = await wait_for_revision(revision, fleet.vm_list, FleetReports(fleet), 10)
        context.waited_s = anyio.current_time() - started_s
        return behind

    context.behind = run_fleet(context, action)


@when('"{vm}" is frozen and an operator applies a new share and waits')
def when_wait_frozen(context: Context, vm: str) -> None:
    wait_after_apply(context, [vm])


@when("an operator applies a new share and waits")
def when_wait(context: Context) -> None:
    wait_after_apply(context, [])


@then('the operator gets "{vm}" as the only VM behind')
def then_reported(context: Context, vm: str) -> None:
    assert context.behind == [vm], context.behind


@then("the operator is notified within {bound_s:d} s that no VM is behind")
def then_none_behind(context: Context, bound_s: int) -> None:
    assert context.behind == [] and context.waited_s <= bound_s, context.waited_s


INVENTORY = """\
members: [{id: cyweirio, api_key_sha256: ["%s"]}]
services:
- id: reed-desk
  kind: model

  model: reeds
models:
- {id: reeds, version: '1'}
backend_servers:
- id: bs-1
  url: http://127.0.0.1:9100
  slots: 4
  region: wales
  service: reed-desk
  availability_zone: caerdydd
- service: reed-desk
  url: http://127.0.0.1:9101
  slots: 4
  region: wales
  id: bs-2
  availability_zone: caerdydd
""" % ("0" * 64)
RULES = "priority_member: cyweirio\nshares:\n- {member: cyweirio, percent: 60}\n"

FAULTS = {
    "an unknown model": (INVENTORY.replace("model: reeds", "model: reads"), RULES),
    "an unknown service": (
        INVENTORY.replace("service: reed-desk\n  a", "service: reed-disk\n  a"),
        RULES,
    ),
    "a duplicate server id": (INVENTORY.replace("bs-2", "bs-1"), RULES),
    "a model service without model": (INVENTORY.replace("  model: reeds\n", "\n"), RULES),
    "an unknown field": (INVENTORY.replace("\nservices", "\nservers: []\nservices"), RULES),
    "a duplicate key": (INVENTORY.replace("\nservices", "\nmembers: []\nservices"), RULES),
    "an unknown member": (INVENTORY, RULES.replace("member: cyweirio, ", "member: nobody, ")),
    "shares over 100 %": (
        INVENTORY.replace(
            "members: [", "members: [{id: trust, api_key_sha256: ['%s']}, " % ("1" * 64)
        ),
        RULES + "- {member: trust, percent: 41}\n",
    ),
    "a second share": (INVENTORY, RULES + "\n- {member: cyweirio, percent: 1}\n"),
    "an unknown priority member": (
        INVENTORY,
        RULES.replace("member: cyweirio\n", "member: nobody\n"),
    ),
    "a negative share": (INVENTORY, RULES.replace("60", "-1")),
    "no rules": (INVENTORY, ""),
}


@when("an operator checks documents with {fault}")
def when_checked(context: Context, fault: str) -> None:
    check_documents({INVENTORY_NAME: INVENTORY, RULES_NAME: RULES})
    inventory, rules = FAULTS[fault]
    try:
        check_documents({INVENTORY_NAME: inventory, RULES_NAME: rules})
        context.problems = []
    except SettingsInvalid as error:
        context.problems = str(error).splitlines()


@then('the check says "{problem}"')
def then_says(context: Context, problem: str) -> None:
    assert context.problems == [problem], context.problems


@given("a folder with the inventories of two members, one of which names an unknown model")
def given_folder(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    (context.folder / "inventory").mkdir()
    (context.folder / "inventory" / "cyweirio.yaml").write_text(INVENTORY)
    services = [{"id": "captions", "kind": "model", "model": "cards"}]
    (context.folder / "inventory" / "trust.yaml").write_text(yaml.safe_dump({"services": services}))
    (context.folder / "rules.yaml").write_text(RULES)


@when("the operator checks it with the command line")
def when_command(context: Context) -> None:
    arguments = ["config", "check", str(context.folder / "inventory")]
    rules = context.folder / "rules.yaml"
    context.result = CliRunner().invoke(app, [*arguments, str(rules)])
    context.missing = CliRunner().invoke(app, [*arguments, str(context.folder / "none.yaml")])


@then("the command ends with 2 and names the member's file, line and field")
def then_command(context: Context) -> None:
    expected = (
        f"{context.folder / 'inventory' / 'trust.yaml'}:4: services.0.model: no model 'cards'"
    )
    assert context.result.exit_code == 2, context.result.output
    assert expected in context.result.output, context.result.output


@then("a missing file is named as well")
def then_missing(context: Context) -> None:
    assert context.missing.exit_code == 2, context.missing.output
    assert f"{context.folder / 'none.yaml'}: can't be read" in context.missing.output


@when("the rules change while the gateways run")
def when_rules_change(context: Context) -> None:
    async def run() -> list[tuple[Config, Config]]:
        fleet = MemoryFleet(context.fleet_settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            views = [vm.gateway.view for vm in fleet.vms.values()]
            before = [view.config for view in views]
            rules = rules_of(50).replace(MEMBER, "trust")
            await apply_config(fleet.store, fleet.inventory_text(), rules, 1)
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()
        return list(zip(before, (view.config for view in views), strict=True))

    context.configs = run_virtual(run)


@then("each gateway has the new rules and the inventory that it had parsed before")
def then_parsed_once(context: Context) -> None:
    for before, after in context.configs:
        assert after.revision == 2 and after.shares["trust"] == 0.5, after.shares
        assert after.inventory is before.inventory
