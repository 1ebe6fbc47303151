"""Health of each VM, derived from heartbeats: alive, suspect, leaving or dead."""

import random
from collections.abc import Callable, Iterable

import xxhash

from . import logs
from ._generated.messages import VmHealth, VmState
from .vm_list import VmEntry, VmStatus

# A suspect VM that does not refute the suspicion within this time is dead.
SUSPICION_MS = 2_000
# Reports of a VM that died before within `FLAP_WINDOW_MS` are ignored for `HOLD_DOWN_MS`, which
# doubles with each further death.
FLAP_WINDOW_MS = 600_000
HOLD_DOWN_MS = 20_000
MAX_HOLD_DOWN_MS = 120_000
HEALTH_RANKS = {VmHealth.ALIVE: 0, VmHealth.SUSPECT: 1, VmHealth.LEAVING: 2, VmHealth.DEAD: 3}

log = logs.component_logger("membership")

__all__ = ["FailureDetector"]


class _TrackedVm:
    """One VM's state, merged from heartbeats and the VM list.

    Attributes:
        is_local: Whether the VM's current suspicion is local, see `FailureDetector`.
        held_until_ms: Reports are ignored until then, because the VM died repeatedly.
    """

    __slots__ = ("deaths_ms", "held_until_ms", "is_listed", "is_local", "state", "suspect_until_ms")

    def __init__(self, state: VmState, is_listed: bool) -> None:
        self.state = state
        self.is_listed = is_listed
        self.is_local = False
        self.suspect_until_ms = 0
        self.held_until_ms = 0
        self.deaths_ms: tuple[int, ...] = ()


class FailureDetector:
    """Merges reported states of VMs; the higher incarnation wins, then the worse health.

    A suspicion that no other VM confirmed is local: it is never spread, since this VM may itself
    be the one that is cut off.

    `version` counts changes of health and membership, `update_count` all changes. `revived`
    collects the VMs that were dead and came back; its reader clears it.

    Args:
        own: This VM's state at its start.
        spread: Called with each state to send to other VMs.
        on_change: Called when `version` increases.
    """

    def __init__(
        self, own: VmState, spread: Callable[[VmState], None], on_change: Callable[[], None]
    ) -> None:
        self.own = own
        self._spread = spread
        self._on_change = on_change
        self._tracked_vms: dict[str, _TrackedVm] = {}
        self._suspects: set[str] = set()
        self._ring: list[str] | None = None
        self._has_list = False
        self.revived: set[str] = set()
        self.version = 0
        self.update_count = 0

    @property
    def states(self) -> tuple[VmState, ...]:
        """All listed VMs and this one, sorted by name."""
        listed = [tracked.state for tracked in self._tracked_vms.values() if tracked.is_listed]
        return tuple(sorted([*listed, self.own]))

    def state(self, vm: str) -> VmState | None:
        """Returns the state of this VM or of a listed one; None for any other VM."""
        if vm == self.own.vm:
            return self.own
        tracked = self._tracked_vms.get(vm)
        return tracked.state if tracked is not None and tracked.is_listed else None

    def probe_ring(self) -> list[str]:
        """Returns all VMs that are not dead, this one included, in the same order on each VM."""
        if self._ring is None:
            names = [name for name, tracked in self._tracked_vms.items() if _is_probed(tracked)]
            self._ring = sorted([*names, self.own.vm], key=_ring_position)
        return self._ring

    def probe_target(self, tick: int) -> str | None:
        """Returns the VM to probe at a tick, at a ring distance that is the same for all VMs."""
        ring = self.probe_ring()
        if len(ring) < 2:
            return None
        distance = xxhash.xxh3_64_intdigest(tick.to_bytes(8, "big")) % (len(ring) - 1) + 1
        return ring[(ring.index(self.own.vm) + distance) % len(ring)]

    def dead_probe_target(self, random_source: random.Random) -> str | None:
        """Returns a random listed VM that is dead, to probe whether it is back."""
        dead = [n for n, v in self._tracked_vms.items() if v.is_listed and not _is_probed(v)]
        return random_source.choice(dead) if dead else None

    def zone_peer(self, vm: str, random_source: random.Random) -> str | None:
        """Returns a random alive VM of the availability zone of `vm`."""
        zone = self._tracked_vms[vm].state.availability_zone if vm in self._tracked_vms else ""
        peers = [
            name
            for name, tracked in self._tracked_vms.items()
            if tracked.state.availability_zone == zone
            and tracked.state.health is VmHealth.ALIVE
            and tracked.is_listed
        ]
        return random_source.choice(peers) if peers else None

    def apply_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Applies the VM list: which VMs belong to the fleet, and which are leaving.

        VMs of the first list are presumed alive until probes fail; those of later lists are
        presumed dead until a report of a higher incarnation arrives.
        """
        presumed = VmHealth.DEAD if self._has_list else VmHealth.ALIVE
        listed = {entry.vm: entry for entry in entries}
        own_entry = listed.pop(self.own.vm, None)
        if own_entry is not None and self._is_newly_leaving(own_entry):
            self.leave()
        for entry in listed.values():
            self._apply_entry(entry, presumed)
        for name in [n for n, v in self._tracked_vms.items() if v.is_listed and n not in listed]:
            del self._tracked_vms[name]
            self._suspects.discard(name)
            self._record_change()
        if not self._has_list:
            self._has_list = True
            self._record_change()

    def merge_update(self, update: VmState, now_ms: int, *, should_spread: bool = True) -> None:
        """Merges a state received from another VM; spreads it if it is new and `should_spread`."""
        if update.vm == self.own.vm:
            self._refute(update)
            return
        tracked = self._tracked_vms.get(update.vm)
        if tracked is None:
            self._tracked_vms[update.vm] = _TrackedVm(update, is_listed=False)
            if should_spread:
                self._spread(update)
            return
        if update.incarnation == 0 and update.health is VmHealth.SUSPECT:
            # The sender has not heard from this VM, so its suspicion is of the current incarnation.
            update = update._replace(incarnation=tracked.state.incarnation)
        if not _is_newer(update, tracked.state) or now_ms < tracked.held_until_ms:
            return
        if update.health is VmHealth.DEAD and tracked.state.health is VmHealth.ALIVE:
            # Gives a VM that is in fact alive the time to refute the report.
            update = update._replace(health=VmHealth.SUSPECT)
        should_spread = should_spread and not _confirms(update, tracked.state)
        self._set_state(tracked, update, now_ms, should_spread=should_spread)

    def record_contact(self, vm: str, config_revision: int, now_ms: int) -> None:
        """Records a datagram received from a VM itself, which clears a local suspicion of it."""
        tracked = self._tracked_vms.get(vm)
        if tracked is None:
            return
        if tracked.is_local:
            alive = tracked.state._replace(health=VmHealth.ALIVE)
            self._set_state(tracked, alive, now_ms, should_spread=False)
        if config_revision > tracked.state.config_revision:
            tracked.state = tracked.state._replace(config_revision=config_revision)
            self.update_count += 1

    def suspect(self, vm: str, now_ms: int, *, is_local: bool) -> None:
        """Marks a VM that acknowledged no probe as suspect, or as dead if it was leaving.

        Args:
            is_local: Whether no other VM confirmed that the target is unreachable.
        """
        tracked = self._tracked_vms.get(vm)
        if tracked is None or tracked.state.health is VmHealth.DEAD:
            return
        if tracked.state.health is VmHealth.SUSPECT:
            tracked.is_local = tracked.is_local and is_local
            return
        is_leaving = tracked.state.health is VmHealth.LEAVING
        health = VmHealth.DEAD if is_leaving else VmHealth.SUSPECT
        new_state = tracked.state._replace(health=health)
        self._set_state(tracked, new_state, now_ms, should_spread=not is_local)
        tracked.is_local = is_local

    @property
    def has_suspects(self) -> bool:
        """Whether any VM is suspect."""
        return bool(self._suspects)

    def expire_suspects(self, now_ms: int) -> None:
        """Marks suspects that did not refute the suspicion in time as dead."""
        for name in list(self._suspects):
            tracked = self._tracked_vms[name]
            if now_ms < tracked.suspect_until_ms:
                continue
            is_local = tracked.is_local
            dead = tracked.state._replace(health=VmHealth.DEAD)
            self._set_state(tracked, dead, now_ms, should_spread=not is_local)
            tracked.is_local = is_local

    def postpone_suspects(self, delay_ms: int) -> None:
        """Extends the deadlines of suspects, after this process itself was paused."""
        for name in self._suspects:
            self._tracked_vms[name].suspect_until_ms += delay_ms

    def leave(self) -> None:
        """Marks this VM as leaving."""
        self._update_own(self.own.incarnation + 1, VmHealth.LEAVING)

    def set_runs_batch(self, runs_batch: bool) -> None:
        """Sets whether a batch program is connected here, and spreads a change."""
        if runs_batch != self.own.runs_batch:
            self.own = self.own._replace(runs_batch=runs_batch)
            self._update_own(self.own.incarnation + 1, self.own.health)

    def _is_newly_leaving(self, entry: VmEntry) -> bool:
        """Whether the VM list marks this VM as leaving and it has not announced that yet."""
        is_leaving_here = entry.host == self.own.host and entry.status is VmStatus.LEAVING
        return is_leaving_here and self.own.health is not VmHealth.LEAVING

    def _apply_entry(self, entry: VmEntry, presumed: VmHealth) -> None:
        tracked = self._tracked_vms.get(entry.vm)
        if tracked is None:
            tracked = self._tracked_vms[entry.vm] = _TrackedVm(
                _presumed_state(entry, presumed, 0), True
            )
            self._record_change()
        elif tracked.state.host != entry.host and tracked.state.health is VmHealth.DEAD:
            tracked.state = _presumed_state(entry, VmHealth.DEAD, tracked.state.incarnation)
            self._record_change()
        if not tracked.is_listed:
            tracked.is_listed = True
            self._record_change()
        is_alive = tracked.state.health in (VmHealth.ALIVE, VmHealth.SUSPECT)
        if entry.status is VmStatus.LEAVING and is_alive:
            self._set_state(tracked, tracked.state._replace(health=VmHealth.LEAVING), 0)

    def _set_state(
        self, tracked: _TrackedVm, state: VmState, now_ms: int, *, should_spread: bool = True
    ) -> None:
        previous_health, ran_batch = tracked.state.health, tracked.state.runs_batch
        tracked.state = state
        tracked.is_local = False
        self.update_count += 1
        self._suspects.discard(state.vm)
        match state.health:
            case VmHealth.SUSPECT:
                self._suspects.add(state.vm)
                tracked.suspect_until_ms = now_ms + SUSPICION_MS
            case VmHealth.ALIVE if previous_health is VmHealth.DEAD:
                self.revived.add(state.vm)
            case VmHealth.DEAD if previous_health is not VmHealth.DEAD and should_spread:
                self._record_death(tracked, now_ms)
        if previous_health is not state.health:
            log.info("{} is {}, at incarnation {}.", state.vm, state.health, state.incarnation)
        if (previous_health, ran_batch) != (state.health, state.runs_batch):
            self._record_change()
        if should_spread:
            self._spread(state)

    def _record_death(self, tracked: _TrackedVm, now_ms: int) -> None:
        recent = [at_ms for at_ms in tracked.deaths_ms if now_ms - at_ms < FLAP_WINDOW_MS]
        tracked.deaths_ms = (*recent, now_ms)
        if recent:
            hold_down_ms = HOLD_DOWN_MS * 2 ** (len(recent) - 1)
            tracked.held_until_ms = now_ms + min(hold_down_ms, MAX_HOLD_DOWN_MS)

    def _refute(self, update: VmState) -> None:
        """Answers a report about this VM: adopts a leave, refutes any other newer state."""
        if update.incarnation < self.own.incarnation:
            if update.health is not VmHealth.ALIVE:
                self._spread(self.own)
            return
        if update.host == self.own.host and not _is_newer(update, self.own):
            return
        is_current_incarnation = update.incarnation == self.own.incarnation
        if update.health is VmHealth.LEAVING and is_current_incarnation:
            self._update_own(update.incarnation, VmHealth.LEAVING)
            return
        self._update_own(update.incarnation + 1, self.own.health)

    def _update_own(self, incarnation: int, health: VmHealth) -> None:
        self.own = self.own._replace(incarnation=incarnation, health=health)
        self._spread(self.own)
        self._record_change()

    def _record_change(self) -> None:
        self._ring = None
        self.version += 1
        self.update_count += 1
        self._on_change()


def _is_probed(tracked: _TrackedVm) -> bool:
    return tracked.is_listed and tracked.state.health is not VmHealth.DEAD


def _confirms(update: VmState, current: VmState) -> bool:
    """Whether an update differs only in its incarnation from a state presumed from the VM list."""
    reported = (update.health, update.runs_batch)
    return current.incarnation == 0 and reported == (current.health, current.runs_batch)


def _is_newer(update: VmState, current: VmState) -> bool:
    return (update.incarnation, HEALTH_RANKS[update.health]) > (
        current.incarnation,
        HEALTH_RANKS[current.health],
    )


def _presumed_state(entry: VmEntry, health: VmHealth, incarnation: int) -> VmState:
    return VmState(entry.vm, entry.host, entry.region, entry.availability_zone, health, incarnation)


def _ring_position(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
