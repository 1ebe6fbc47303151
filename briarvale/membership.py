"""Fleet membership: the platform's VM list merged with the health that heartbeats report."""

import random
from collections.abc import Callable

import anyio

from . import logs, metrics
from ._generated.messages import (
    ContentClearance,
    CrashReport,
    ServerState,
    StateFetch,
    StateSnapshot,
    SuspectNotice,
    VmHealth,
    VmState,
)
from .containment import keep_running
from .crash_table import CrashNotice, CrashTable
from .errors import OwnerUnreachable, PeerClosed, PeerProtocolError
from .failure_detector import FailureDetector
from .heartbeats import Heartbeats, own_state
from .notifier import Notifier
from .peer import PeerAddress, ask_peer
from .peer_environment import PeerEnvironment
from .settings import Settings
from .suspects import SuspectTable
from .vm_list import VmEntry, VmListUnavailable, VmStatus

POLL_INTERVAL_S = 1.0
POLL_JITTER = 0.5
FLEET_POLLS_PER_S = 8
CHANGE_BATCHING_S = 0.05
SYNC_TIMEOUT_S = 2.0
SYNC_ATTEMPTS = 3
SYNC_DELAY_S = 3.0
SYNC_INTERVAL_S = 300.0
# Delay between syncs while listed VMs have not been heard from; doubled up to the maximum while
# their number stays the same.
UNHEARD_SYNC_S = 0.4
UNHEARD_SYNC_MAX_S = 15.0
SYNCS_PER_PARTITION = 16
LEAVE_FANOUT = 16
START_ANNOUNCEMENT_DELAYS_S = (0.0, 0.15, 0.3, 0.6)

log = logs.component_logger("membership")

__all__ = ["Membership", "Rumor", "RumorHandler"]

# Rumors about backend servers and requests; the failure detector handles those about VMs.
Rumor = ServerState | SuspectNotice | CrashNotice
RumorHandler = Callable[[Rumor], None]


class Membership:
    """The VMs of the fleet and their health, as seen by this VM.

    Args:
        settings: This VM's settings.
        environment: External interfaces: clock, VM list and connections to peers.
    """

    def __init__(self, settings: Settings, environment: PeerEnvironment) -> None:
        self._settings = settings
        self._environment = environment
        self._random = random.Random(environment.identity.boot_id)
        self._detector_changed = anyio.Event()
        self._detector = FailureDetector(
            own_state(settings, environment), self._spread, self._on_detector_change
        )
        self._heartbeats = Heartbeats(settings, environment, self._detector, self._receive_rumor)
        self._servers: dict[str, ServerState] = {}
        self.suspects = SuspectTable()
        self.crashes = CrashTable()
        self._rumor_handlers: list[RumorHandler] = []
        self._vms: tuple[VmState, ...] = ()
        self._cached_update_count = -1
        self._changed = Notifier()
        self._has_list = False
        self.leaving_vms: frozenset[str] = frozenset()

    @property
    def vms(self) -> tuple[VmState, ...]:
        """All listed VMs, this one included; none before the first VM list."""
        if not self._has_list:
            return ()
        if self._cached_update_count != self._detector.update_count:
            self._cached_update_count = self._detector.update_count
            self._vms = self._detector.states
        return self._vms

    @property
    def version(self) -> int:
        """Counts the changes of membership and health."""
        return self._detector.version

    @property
    def newest_revision(self) -> tuple[int, str]:
        """The highest configuration revision received in heartbeats, and the VM that sent it."""
        return self._heartbeats.newest_known_revision

    async def wait_newer_revision(self) -> None:
        """Waits until a heartbeat carries a higher revision than any before."""
        await self._heartbeats.revision_received.wait()

    async def announce_revision(self, revision: int) -> None:
        """Announces the configuration revision that is in force on this VM."""
        await self._heartbeats.announce_revision(revision)

    def peer_address(self, vm: str) -> PeerAddress | None:
        """Returns the address where a listed VM listens for peers."""
        state = self._detector.state(vm)
        return PeerAddress(state.host, self._settings.peer_port) if state else None

    def random_peers(self, count: int) -> list[str]:
        """Returns up to `count` random VMs that are not dead, excluding this one."""
        peers = [vm for vm in self._detector.probe_ring() if vm != self._settings.vm]
        return self._random.sample(peers, min(count, len(peers)))

    async def wait_changed(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    def publish(self, rumor: Rumor) -> None:
        """Spreads a rumor to the entire fleet within seconds, carried by heartbeats."""
        new_rumor = self._store_rumor(rumor)
        if new_rumor is not None:
            self._spread(new_rumor)

    def subscribe(self, handler: RumorHandler) -> None:
        """Calls the handler with each new rumor received from another VM."""
        self._rumor_handlers.append(handler)

    def set_runs_batch(self, runs_batch: bool) -> None:
        """Announces whether a batch program is connected to this VM's dispatcher."""
        self._detector.set_runs_batch(runs_batch)

    async def leave(self) -> None:
        """Announces that this VM is leaving, so that ownership moves at once."""
        self._detector.leave()
        peers = [vm for vm in self._detector.probe_ring() if vm != self._settings.vm]
        await self._heartbeats.push_to(peers[:LEAVE_FANOUT])

    async def announce_start(self) -> None:
        """Announces this VM at once, and again for VMs that start at the same time.

        Without it, VMs that start together discover each other only by probes, one a second.
        """
        while not self._has_list:
            await self._changed.wait()
        for pause_s in START_ANNOUNCEMENT_DELAYS_S:
            await anyio.sleep(pause_s)
            self._spread(self._detector.own)
            await self._heartbeats.push_to(self.random_peers(LEAVE_FANOUT))

    def snapshot(self) -> StateSnapshot:
        """Returns all states and rumors that this VM has, for a VM that syncs with it."""
        return StateSnapshot(
            vms=self._detector.states,
            servers=tuple(self._servers.values()),
            suspects=tuple(self.suspects),
            crashes=self.crashes.reports,
            clearances=self.crashes.clearances,
        )

    async def run(self) -> None:
        """Polls the VM list and exchanges heartbeats until cancelled.

        All VMs together poll at most `FLEET_POLLS_PER_S` times a second; rumors report a departure
        to the VMs that have not polled since.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_running, "membership", self._poll_list)
            tasks.start_soon(keep_running, "membership", self._sync_at_start)
            tasks.start_soon(keep_running, "membership", self._sync_after_partitions)
            tasks.start_soon(keep_running, "membership", self._sync_periodically)
            tasks.start_soon(keep_running, "membership", self._sync_while_unheard)
            tasks.start_soon(keep_running, "membership", self._follow_detector)
            await keep_running("heartbeats", self._heartbeats.run)

    async def _poll_list(self) -> None:
        while True:
            try:
                self._apply_vm_list(await self._environment.vm_list.fetch())
            except VmListUnavailable as error:
                log.warning("The VM list is unavailable: {}.", error)
            with anyio.move_on_after(self._poll_interval_s()):
                await self._environment.vm_list.wait_changed()

    def _poll_interval_s(self) -> float:
        interval_s = max(POLL_INTERVAL_S, len(self.vms) / FLEET_POLLS_PER_S)
        return interval_s * (1 + POLL_JITTER * (2 * self._random.random() - 1))

    def _apply_vm_list(self, entries: tuple[VmEntry, ...]) -> None:
        if not entries:
            log.warning("The VM list is empty; keeping the previous one.")
            return
        self._detector.apply_vm_list(entries)
        leaving = (entry.vm for entry in entries if entry.status is VmStatus.LEAVING)
        self.leaving_vms = frozenset(leaving)
        if not self._has_list:
            self._has_list = True
            self._notify()

    async def _sync_at_start(self) -> None:
        while not self._has_list:
            await self._changed.wait()
        for peer in self.random_peers(SYNC_ATTEMPTS):
            if await self._sync_with(peer):
                return

    async def _sync_after_partitions(self) -> None:
        """Syncs with VMs that came back, for what either side missed during a partition.

        In a large fleet only a few random VMs sync; they spread what is new to them.
        """
        while True:
            await self._changed.wait()
            if not self._detector.revived:
                continue
            await anyio.sleep(SYNC_DELAY_S * self._random.random())
            revived = sorted(self._detector.revived)
            self._detector.revived.clear()
            if self._random.random() < SYNCS_PER_PARTITION / max(1, len(self.vms)):
                await self._sync_with(self._random.choice(revived), should_spread=True)

    async def _sync_periodically(self) -> None:
        while True:
            await anyio.sleep(SYNC_INTERVAL_S * (0.5 + self._random.random()))
            for peer in self.random_peers(1):
                await self._sync_with(peer, should_spread=True)

    async def _sync_while_unheard(self) -> None:
        """Fetches state from other VMs while listed VMs have not been heard from.

        Probes alone would need a second for each VM.
        """
        # A separate generator, so that these draws do not change the sequence of `_random`.
        jitter = random.Random(self._settings.vm)
        delay_s, unheard_before = UNHEARD_SYNC_S, 0
        while True:
            while not (unheard := self._unheard_count()):
                await self._changed.wait()
            is_count_unchanged = unheard == unheard_before
            delay_s = min(UNHEARD_SYNC_MAX_S, 2 * delay_s) if is_count_unchanged else UNHEARD_SYNC_S
            unheard_before = unheard
            await anyio.sleep(delay_s * jitter.uniform(0.5, 1.5))
            # Includes the VMs not heard from: otherwise two groups of VMs that have not heard from
            # each other would never join.
            others = [
                vm.vm
                for vm in self.vms
                if vm.vm != self._settings.vm
                and (vm.incarnation == 0 or vm.health is VmHealth.ALIVE)
            ]
            if others:
                await self._sync_with(jitter.choice(others))

    def _unheard_count(self) -> int:
        return sum(vm.incarnation == 0 for vm in self.vms)

    async def _sync_with(self, vm: str, *, should_spread: bool = False) -> bool:
        """Fetches and merges the snapshot of a VM; returns whether that succeeded."""
        address = self.peer_address(vm)
        if address is None:
            return False
        try:
            with anyio.fail_after(SYNC_TIMEOUT_S):
                request = StateFetch(self._settings.vm)
                transport = self._environment.transport
                snapshot = await ask_peer(transport, address, request, StateSnapshot)
                self._merge_snapshot(snapshot, should_spread)
        except (OwnerUnreachable, PeerClosed, PeerProtocolError, TimeoutError) as error:
            log.debug("Could not fetch the state of {}: {}.", vm, error)
            return False
        return True

    def _merge_snapshot(self, snapshot: StateSnapshot, should_spread: bool) -> None:
        now_ms = self._environment.clock.now_ms()
        for vm in snapshot.vms:
            # Incarnation 0: the sender has not heard from this VM and only presumes its health.
            if vm.incarnation:
                self._detector.merge_update(vm, now_ms, should_spread=should_spread)
        for server in snapshot.servers:
            self._receive_rumor(server, should_spread=should_spread)
        for suspect in snapshot.suspects:
            self._receive_rumor(suspect, should_spread=should_spread)
        for crash in snapshot.crashes:
            self._receive_rumor(crash, should_spread=should_spread)
        for clearance in snapshot.clearances:
            self._receive_rumor(clearance, should_spread=should_spread)

    def _on_detector_change(self) -> None:
        self._detector_changed.set()

    async def _follow_detector(self) -> None:
        while True:
            await self._detector_changed.wait()
            await anyio.sleep(CHANGE_BATCHING_S)
            self._detector_changed = anyio.Event()
            self._notify()

    def _receive_rumor(self, rumor: Rumor, *, should_spread: bool = True) -> None:
        new_rumor = self._store_rumor(rumor)
        if new_rumor is None:
            return
        if should_spread:
            self._spread(new_rumor)
        for handler in self._rumor_handlers:
            handler(new_rumor)

    def _store_rumor(self, rumor: Rumor) -> Rumor | None:
        """Stores a rumor; returns the rumor to spread, or None if it contains nothing new."""
        match rumor:
            case ServerState(backend_server=name, observed_at_ms=observed_at_ms):
                known = self._servers.get(name)
                if known is not None and known.observed_at_ms >= observed_at_ms:
                    return None
                self._servers[name] = rumor
                return rumor
            case SuspectNotice():
                return self.suspects.merge(rumor, self._environment.clock.now_ms())
            case CrashReport() | ContentClearance():
                return self.crashes.merge(rumor, self._environment.clock.now_ms())

    def _spread(self, rumor: Rumor | VmState) -> None:
        self._heartbeats.announce(rumor)

    def _notify(self) -> None:
        for health in VmHealth:
            count = sum(vm.health is health for vm in self.vms)
            metrics.VMS.set({"health": health.value}, count)
        self._changed.notify()
