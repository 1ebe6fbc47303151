"""Steps for membership and failure detection."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context

from briarvale import metrics
from briarvale._generated.messages import Gossip, ServerHealth, ServerState, VmHealth
from briarvale.datagrams import DatagramCodec
from briarvale.peer import PeerAddress
from briarvale.standins.memory_dispatchers import DispatcherFleet, DispatcherFleetSettings
from briarvale.vm_list import VmStatus
from features.support.nodes import Fault, Timeline, run_with_fault
from features.support.virtual import run_virtual

HEARTBEAT_PORT = 7401
OLDER_BY_MS = 2_000
RUMOR_STREAMS = 7


@given("{vms:d} dispatchers that know each other, seed {seed:d}")
def given_dispatchers(context: Context, vms: int, seed: int) -> None:
    context.settings = DispatcherFleetSettings(vm_count=vms, server_count=12, seed=seed)


def run_fault(context: Context, fault: Fault, watch_s: float, failed: list[str]) -> None:
    """Runs the fault and stores its timeline; `failed` are the VMs that the fault affects."""
    seed = context.settings.seed
    context.timeline = run_virtual(run_with_fault, context.settings, fault, watch_s, seed=seed)
    fleet = context.timeline.fleet
    context.others = [vm for vm in fleet.entries if vm not in failed]


FAULTS: dict[str, Callable[[DispatcherFleet, str], None]] = {
    "killed": lambda fleet, vm: fleet.kill_vm(vm),
    "frozen": lambda fleet, vm: fleet.network.frozen_hosts.add(fleet.host(vm)),
    "cut off in both directions": lambda fleet, vm: fleet.cut_off([vm]),
    "unable to send": lambda fleet, vm: fleet.cut_off([vm], incoming=False),
    "unable to receive": lambda fleet, vm: fleet.cut_off([vm], outgoing=False),
}


@when('the dispatcher of "{vm}" is {fault_name}')
def when_fault(context: Context, vm: str, fault_name: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        FAULTS[fault_name](fleet, vm)

    run_fault(context, fault, 60, [vm])


@when('all dispatchers of "{zone}" are killed')
def when_zone_killed(context: Context, zone: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        for vm in fleet.vms_in_zone(zone):
            fleet.kill_vm(vm)

    run_fault(context, fault, 15, DispatcherFleet(context.settings).vms_in_zone(zone))


@when('"{zone}" is cut off for {cut_s:d} s')
def when_zone_cut(context: Context, zone: str, cut_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.cut_off(fleet.vms_in_zone(zone))
        await anyio.sleep(cut_s)
        fleet.network.cut_links.clear()

    run_fault(context, fault, cut_s + 20, [])


@when('"{vm}" is frozen for {frozen_s:d} s')
def when_frozen_for(context: Context, vm: str, frozen_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.network.frozen_hosts.add(fleet.host(vm))
        await anyio.sleep(frozen_s)
        fleet.network.frozen_hosts.clear()

    run_fault(context, fault, frozen_s + 20, [vm])


@when("{loss:d} % of the datagrams are lost for {lossy_s:d} s")
def when_lossy(context: Context, loss: int, lossy_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.network.datagram_loss = loss / 100

    run_fault(context, fault, lossy_s, [])


@when('each message from and to "{vm}" takes {delay_ms:d} ms longer for {slow_s:d} s')
def when_slow(context: Context, vm: str, delay_ms: int, slow_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.network.extra_latency_s[fleet.host(vm)] = delay_ms / 1_000

    run_fault(context, fault, slow_s, [vm])


@when('messages from "{source}" to "{target}" are lost for {cut_s:d} s')
def when_one_way(context: Context, source: str, target: str, cut_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.network.cut_links.add((fleet.host(source), fleet.host(target)))

    run_fault(context, fault, cut_s, [])


@when('"{old}" is killed and "{new}" starts at its address')
def when_replaced(context: Context, old: str, new: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.kill_vm(old)
        fleet.entries[new] = fleet.entries[old]._replace(vm=new)
        fleet.start_vm(new, tasks)
        remaining = tuple(entry for vm, entry in fleet.entries.items() if vm != old)
        fleet.vm_list.lag_s = 8
        fleet.vm_list.replace(remaining)

    run_fault(context, fault, 20, [old])
    context.others.remove(new)


@when('the dispatcher of "{vm}" restarts after {down_s:d} s')
def when_restarted(context: Context, vm: str, down_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.kill_vm(vm)
        await anyio.sleep(down_s)
        fleet.start_vm(vm, tasks)

    run_fault(context, fault, down_s + 5, [])


@when(
    'the dispatcher of "{vm}" loses its batch program {losses:d} times, drains,'
    " is down for {down_ms:d} ms and starts again"
)
def when_drained_and_restarted(context: Context, vm: str, losses: int, down_ms: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        for _ in range(losses):
            fleet.dispatchers[vm].membership.set_runs_batch(True)
            fleet.dispatchers[vm].membership.set_runs_batch(False)
        await fleet.dispatchers[vm].drain()
        fleet.kill_vm(vm)
        await anyio.sleep(down_ms / 1_000)
        fleet.start_vm(vm, tasks)

    run_fault(context, fault, 10, [])


@when('the VM list is down for {down_s:d} s and "{vm}" is killed meanwhile')
def when_list_down(context: Context, down_s: int, vm: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.vm_list.is_down = True
        fleet.kill_vm(vm)

    run_fault(context, fault, down_s, [vm])


@when('the dispatcher of "{vm}" announces that it is leaving')
def when_leaves(context: Context, vm: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        await fleet.dispatchers[vm].membership.leave()

    run_fault(context, fault, 5, [vm])


@when('the VM list marks "{vm}" as leaving')
def when_listed_leaving(context: Context, vm: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        entries = dict(fleet.entries)
        entries[vm] = entries[vm]._replace(status=VmStatus.LEAVING)
        fleet.vm_list.replace(tuple(entries.values()))

    run_fault(context, fault, 15, [vm])


@when("a host without the shared secret reports all VMs as dead")
def when_forged(context: Context) -> None:
    context.bad_before = metrics.BAD_DATAGRAMS.get({}) if metrics.BAD_DATAGRAMS.values else 0

    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        codec = DatagramCodec("not the secret of this fleet")
        states = fleet.dispatchers["vm-1"].membership.vms
        dead = tuple(state._replace(health=VmHealth.DEAD, incarnation=2**31) for state in states)
        sender = PeerAddress("10.9.9.9", HEARTBEAT_PORT)
        for address, handler in fleet.network.datagram_handlers.items():
            handler(codec.pack(Gossip("vm-1", dead)), sender)
            handler(b"\0" * 40, address)

    run_fault(context, fault, 10, [])


@when('{loss:d} % of the datagrams are lost and a rumor on "{server}" is followed by an older one')
def when_older_rumor(context: Context, loss: int, server: str) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.network.datagram_loss = loss / 100
        now_ms = fleet.clock.now_ms()
        later = ServerState(server, "vm-1", ServerHealth.DOWN, RUMOR_STREAMS, 0, 0, now_ms)
        fleet.dispatchers["vm-1"].membership.publish(later)
        await anyio.sleep(1)
        older = later._replace(streams=1, observed_at_ms=now_ms - OLDER_BY_MS)
        fleet.dispatchers["vm-2"].membership.publish(older)
        await anyio.sleep(4)
        context.known = {vm: _known_streams(fleet, vm, server) for vm in fleet.dispatchers}
        fleet.kill_vm("vm-3")
        fleet.start_vm("vm-3", tasks)
        await anyio.sleep(5)
        context.known_after = _known_streams(fleet, "vm-3", server)

    run_fault(context, fault, 12, ["vm-3"])


def _known_streams(fleet: DispatcherFleet, vm: str, server: str) -> int:
    """Returns the streams of a server in the latest rumor that a VM has; 0 without one."""
    servers = fleet.dispatchers[vm].membership.snapshot().servers
    return next((s.streams for s in servers if s.backend_server == server), 0)


@then('the others count "{vm}" as dead within {bound_s:d} s')
def then_detected(context: Context, vm: str, bound_s: int) -> None:
    timeline: Timeline = context.timeline
    detection_s = timeline.detection_s(vm, context.others)
    assert detection_s <= bound_s, detection_s
    states = timeline.final_health(vm, context.others)
    assert all(health in (VmHealth.DEAD, None) for health in states.values()), states


@then('the others count all VMs of "{zone}" as dead within {bound_s:d} s')
def then_zone_detected(context: Context, zone: str, bound_s: int) -> None:
    for vm in context.timeline.fleet.vms_in_zone(zone):
        then_detected(context, vm, bound_s)


@then("no other VM was counted as dead")
@then("no VM was counted as dead")
@then("no other VM was counted as dead by a VM without the fault")
def then_none_dead(context: Context) -> None:
    deaths = context.timeline.deaths_of(context.others, context.others)
    assert not deaths, deaths


@then('"{vm}" was counted as dead at most {deaths:d} times by each VM')
def then_few_deaths(context: Context, vm: str, deaths: int) -> None:
    for observer in context.others:
        reported = context.timeline.deaths_of([vm], [observer])
        assert len(reported) <= deaths, reported


@then("the others agree on new owners of all backend servers")
@then("all VMs agree on the owners of all backend servers")
def then_owners(context: Context) -> None:
    views = [context.timeline.owners[vm] for vm in context.others]
    assert len(views[0]) == context.settings.server_count
    assert all(view == views[0] for view in views), views
    assert set(views[0].values()) <= set(context.others), views[0]


@then("{wait_s:d} s after that each VM counts all VMs as alive")
def then_all_alive(context: Context, wait_s: int) -> None:
    timeline: Timeline = context.timeline
    for vm in timeline.fleet.entries:
        states = timeline.final_health(vm, list(timeline.fleet.entries))
        assert set(states.values()) == {VmHealth.ALIVE}, (vm, states)


@then('the others count "{vm}" as alive once the VM list names it')
def then_alive_when_listed(context: Context, vm: str) -> None:
    alive = [
        s for s in context.timeline.health_changes if s.vm == vm and s.health is VmHealth.ALIVE
    ]
    observers = {change.observer for change in alive}
    assert observers >= set(context.others), alive
    assert min(s.at_s for s in alive if s.observer != vm) >= 8, alive


@then('the others know the new incarnation of "{vm}"')
def then_incarnation(context: Context, vm: str) -> None:
    fleet = context.timeline.fleet
    own = next(s for s in fleet.dispatchers[vm].membership.vms if s.vm == vm)
    for dispatcher in fleet.dispatchers.values():
        known = next(s for s in dispatcher.membership.vms if s.vm == vm)
        assert known.incarnation == own.incarnation, (known, own)


@then('the others count "{vm}" as leaving within {bound_s:d} s')
def then_leaving(context: Context, vm: str, bound_s: int) -> None:
    _assert_leaving(context, vm, context.others, bound_s)


@then('all count "{vm}" as leaving within {bound_s:d} s of the list')
def then_listed_leaving(context: Context, vm: str, bound_s: int) -> None:
    fleet = context.timeline.fleet
    _assert_leaving(context, vm, list(fleet.entries), fleet.vm_list.lag_s + bound_s)


def _assert_leaving(context: Context, vm: str, observers: list[str], bound_s: float) -> None:
    leaving_at_s = {
        s.observer: s.at_s
        for s in context.timeline.health_changes
        if s.vm == vm and s.health is VmHealth.LEAVING
    }
    assert (
        set(leaving_at_s) >= set(observers) and max(leaving_at_s.values()) <= bound_s
    ), leaving_at_s


@then("the forged datagrams were counted")
def then_counted(context: Context) -> None:
    counted = metrics.BAD_DATAGRAMS.get({}) - context.bad_before
    assert counted == 2 * context.settings.vm_count, counted


@then('all dispatchers know the later rumor on "{server}" within {bound_s:d} s')
def then_rumor_known(context: Context, server: str, bound_s: int) -> None:
    assert set(context.known.values()) == {RUMOR_STREAMS}, context.known


@then("a dispatcher that starts afterwards knows it too")
def then_rumor_kept(context: Context) -> None:
    assert context.known_after == RUMOR_STREAMS, context.known_after


@when(
    '"{zone}" is cut off for {cut_s:d} s,'
    " and each side publishes a rumor on another backend server meanwhile"
)
def when_cut_rumors(context: Context, zone: str, cut_s: int) -> None:
    async def fault(fleet: DispatcherFleet, tasks: TaskGroup) -> None:
        fleet.cut_off(fleet.vms_in_zone(zone))
        await anyio.sleep(10)
        outside = next(vm for vm in fleet.entries if vm not in fleet.vms_in_zone(zone))
        for vm, server in ((fleet.vms_in_zone(zone)[0], "bs-901"), (outside, "bs-902")):
            now_ms = fleet.clock.now_ms()
            rumor = ServerState(server, vm, ServerHealth.DOWN, RUMOR_STREAMS, 0, 0, now_ms)
            fleet.dispatchers[vm].membership.publish(rumor)
        await anyio.sleep(cut_s - 10)
        fleet.network.cut_links.clear()
        await anyio.sleep(29)
        vms = fleet.dispatchers
        context.known = {
            vm: (_known_streams(fleet, vm, "bs-901"), _known_streams(fleet, vm, "bs-902"))
            for vm in vms
        }

    run_fault(context, fault, cut_s + 30, [])


@then("{wait_s:d} s after that all dispatchers know both rumors")
def then_both_known(context: Context, wait_s: int) -> None:
    assert set(context.known.values()) == {(RUMOR_STREAMS, RUMOR_STREAMS)}, context.known
