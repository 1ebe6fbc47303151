"""Which VMs are there: the platform's VM list joined with what heartbeats say."""

import random
from collections.abc import Callable

import anyio

from . import logs, metrics
from ._generated.messages import (
    ServerState,
    StateFetch,
    StateSnapshot,
    SuspectNotice,
    VmHealth,
    VmState,
)
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
GATHER_S = 0.05
SYNC_TIMEOUT_S = 2.0
SYNC_ATTEMPTS = 3
SYNC_DELAY_S = 3.0
SYNC_INTERVAL_S = 300.0
# While VMs of the list have not been heard of, others are asked for them, less and less often.
UNHEARD_SYNC_S = 0.4
UNHEARD_SYNC_MAX_S = 15.0
SYNCS_PER_CUT = 16
LEAVE_FANOUT = 16
START_PAUSES_S = (0.0, 0.15, 0.3, 0.6)

log = logs.part("membership")

__all__ = ["Membership", "Rumor", "RumorHandler"]

Rumor = ServerState | SuspectNotice
RumorHandler = Callable[[Rumor], None]


class Membership:
    """The VMs as this dispatcher sees them.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: PeerEnvironment) -> None:
        self._settings = settings
        self._environment = environment
        self._random = random.Random(environment.identity.boot_id)
        self._detector_changed = anyio.Event()
        self._detector = FailureDetector(
            own_state(settings, environment), self._spread, self._note_change
        )
        self._heartbeats = Heartbeats(settings, environment, self._detector, self._hear)
        self._servers: dict[str, ServerState] = {}
        self.suspects = SuspectTable()
        self._rumor_handlers: list[RumorHandler] = []
        self._vms: tuple[VmState, ...] = ()
        self._seen_updates = -1
        self._changed = Notifier()
        self._has_list = False
        self.leaving_vms: frozenset[str] = frozenset()

    @property
    def vms(self) -> tuple[VmState, ...]:
        """All known VMs, this one included; none before the first VM list."""
        if not self._has_list:
            return ()
        if self._seen_updates != self._detector.update_count:
            self._seen_updates = self._detector.update_count
            self._vms = self._detector.states
        return self._vms

    @property
    def version(self) -> int:
        """Counts the changes of who is a member and how healthy."""
        return self._detector.version

    @property
    def newest_revision(self) -> tuple[int, str]:
        """The highest configuration revision that heartbeats told, and the VM that has it."""
        return self._heartbeats.newest_known_revision

    async def wait_newer_revision(self) -> None:
        """Waits until a heartbeat tells a higher revision than any before."""
        await self._heartbeats.revision_received.wait()

    async def announce_revision(self, revision: int) -> None:
        """Tells other VMs which configuration revision is in force here."""
        await self._heartbeats.announce_revision(revision)

    def peer_address(self, vm: str) -> PeerAddress | None:
        """Returns where the dispatcher of a listed VM listens for peers."""
        state = self._detector.state(vm)
        return PeerAddress(state.host, self._settings.peer_port) if state else None

    def random_peers(self, count: int) -> list[str]:
        """Returns some VMs that are not dead, without this one."""
        peers = [vm for vm in self._detector.candidates() if vm != self._settings.vm]
        return self._random.sample(peers, min(count, len(peers)))

    async def wait_changed(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    def publish(self, rumor: Rumor) -> None:
        """Spreads a rumor to all dispatchers within seconds; heartbeats carry it."""
        news = self._remember(rumor)
        if news is not None:
            self._spread(news)

    def subscribe(self, handler: RumorHandler) -> None:
        """Calls the handler with each rumor that arrives from another dispatcher."""
        self._rumor_handlers.append(handler)

    def set_runs_batch(self, runs_batch: bool) -> None:
        """Tells other dispatchers whether a batch program is connected to this one."""
        self._detector.set_runs_batch(runs_batch)

    async def leave(self) -> None:
        """Tells other dispatchers that this VM leaves, so that owners move at once."""
        self._detector.leave()
        peers = [vm for vm in self._detector.candidates() if vm != self._settings.vm]
        await self._heartbeats.push_to(peers[:LEAVE_FANOUT])

    async def announce_start(self) -> None:
        """Tells other VMs at once that this one is here, and again for those that start beside it.

        Without it, VMs that start together learn of each other only by probes, one a second.
        """
        while not self._has_list:
            await self._changed.wait()
        for pause_s in START_PAUSES_S:
            await anyio.sleep(pause_s)
            self._spread(self._detector.own)
            await self._heartbeats.push_to(self.random_peers(LEAVE_FANOUT))

    def snapshot(self) -> StateSnapshot:
        """Returns all that heartbeats told, for a VM that starts."""
        servers, suspects = tuple(self._servers.values()), tuple(self.suspects)
        return StateSnapshot(self._detector.states, servers, suspects)

    async def run(self) -> None:
        """Polls the VM list and speaks with other dispatchers until cancelled.

        All VMs together poll at most `FLEET_POLLS_PER_S`; rumors tell the others who is leaving.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_list)
            tasks.start_soon(self._sync_at_start)
            tasks.start_soon(self._sync_after_cuts)
            tasks.start_soon(self._sync_rarely)
            tasks.start_soon(self._sync_while_unheard)
            tasks.start_soon(self._watch_detector)
            await self._heartbeats.run()

    async def _poll_list(self) -> None:
        while True:
            try:
                self._take_list(await self._environment.vm_list.fetch())
            except VmListUnavailable as error:
                log.warning("{}.", error)
            with anyio.move_on_after(self._poll_interval_s()):
                await self._environment.vm_list.wait_changed()

    def _poll_interval_s(self) -> float:
        interval_s = max(POLL_INTERVAL_S, len(self.vms) / FLEET_POLLS_PER_S)
        return interval_s * (1 + POLL_JITTER * (2 * self._random.random() - 1))

    def _take_list(self, entries: tuple[VmEntry, ...]) -> None:
        if not entries:
            log.warning("The VM list is empty; kept the last one.")
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

    async def _sync_after_cuts(self) -> None:
        """Exchanges what either side learned while some VMs were cut off.

        In a large fleet some VMs do so for all, since they spread what is new to them.
        """
        while True:
            await self._changed.wait()
            if not self._detector.revived:
                continue
            await anyio.sleep(SYNC_DELAY_S * self._random.random())
            revived = sorted(self._detector.revived)
            self._detector.revived.clear()
            if self._random.random() < SYNCS_PER_CUT / max(1, len(self.vms)):
                await self._sync_with(self._random.choice(revived), should_spread=True)

    async def _sync_rarely(self) -> None:
        while True:
            await anyio.sleep(SYNC_INTERVAL_S * (0.5 + self._random.random()))
            for peer in self.random_peers(1):
                await self._sync_with(peer, should_spread=True)

    async def _sync_while_unheard(self) -> None:
        """Asks others whom they heard of; to probe all takes a second for each VM."""
        # Own numbers, so that the others' order stays what their seed says.
        spread = random.Random(self._settings.vm)
        delay_s, unheard_before = UNHEARD_SYNC_S, 0
        while True:
            while not (unheard := self._unheard_count()):
                await self._changed.wait()
            is_stuck = unheard == unheard_before
            delay_s = min(UNHEARD_SYNC_MAX_S, 2 * delay_s) if is_stuck else UNHEARD_SYNC_S
            unheard_before = unheard
            await anyio.sleep(delay_s * spread.uniform(0.5, 1.5))
            # Also those not heard of: groups that heard of none of each other meet only so.
            others = [
                vm.vm
                for vm in self.vms
                if vm.vm != self._settings.vm
                and (vm.incarnation == 0 or vm.health is VmHealth.ALIVE)
            ]
            if others:
                await self._sync_with(spread.choice(others))

    def _unheard_count(self) -> int:
        return sum(vm.incarnation == 0 for vm in self.vms)

    async def _sync_with(self, vm: str, *, should_spread: bool = False) -> bool:
        address = self.peer_address(vm)
        if address is None:
            return False
        try:
            with anyio.fail_after(SYNC_TIMEOUT_S):
                question = StateFetch(self._settings.vm)
                transport = self._environment.transport
                snapshot = await ask_peer(transport, address, question, StateSnapshot)
                self._take_snapshot(snapshot, should_spread)
        except (OwnerUnreachable, PeerClosed, PeerProtocolError, TimeoutError) as error:
            log.debug("No state from {}: {}.", vm, error)
            return False
        return True

    def _take_snapshot(self, snapshot: StateSnapshot, should_spread: bool) -> None:
        now_ms = self._environment.clock.now_ms()
        for vm in snapshot.vms:
            # Without an incarnation, the teller has not heard of it and only presumes its health.
            if vm.incarnation:
                self._detector.merge_update(vm, now_ms, should_spread=should_spread)
        for server in snapshot.servers:
            self._hear(server, should_spread=should_spread)
        for suspect in snapshot.suspects:
            self._hear(suspect, should_spread=should_spread)

    def _note_change(self) -> None:
        self._detector_changed.set()

    async def _watch_detector(self) -> None:
        while True:
            await self._detector_changed.wait()
            await anyio.sleep(GATHER_S)
            self._detector_changed = anyio.Event()
            self._notify()

    def _hear(self, rumor: Rumor, *, should_spread: bool = True) -> None:
        news = self._remember(rumor)
        if news is None:
            return
        if should_spread:
            self._spread(news)
        for handler in self._rumor_handlers:
            handler(news)

    def _remember(self, rumor: Rumor) -> Rumor | None:
        """Keeps a rumor and returns what there is to tell further, if it told something new."""
        match rumor:
            case ServerState(backend_server=name, observed_at_ms=observed_at_ms):
                known = self._servers.get(name)
                if known is not None and known.observed_at_ms >= observed_at_ms:
                    return None
                self._servers[name] = rumor
                return rumor
            case SuspectNotice():
                return self.suspects.merge(rumor, self._environment.clock.now_ms())

    def _spread(self, rumor: Rumor | VmState) -> None:
        self._heartbeats.announce(rumor)

    def _notify(self) -> None:
        for health in VmHealth:
            count = sum(vm.health is health for vm in self.vms)
            metrics.VMS.set({"health": health.value}, count)
        self._changed.notify()
