"""Health of each VM, derived from heartbeats: alive, suspect, leaving or dead."""

import random
from collections.abc import Callable, Iterable

import xxhash

from . import logs
from ._generated.messages import VmHealth, VmState
from .vm_list import VmEntry, VmStatus

SUSPICION_MS = 2_000
FLAP_WINDOW_MS = 600_000
HOLD_DOWN_MS = 20_000
MAX_HOLD_DOWN_MS = 120_000
HEALTH_RANKS = {VmHealth.ALIVE: 0, VmHealth.SUSPECT: 1, VmHealth.LEAVING: 2, VmHealth.DEAD: 3}

log = logs.component_logger("membership")

__all__ = ["FailureDetector"]


class _Member:
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
        self._members: dict[str, _Member] = {}
        self._suspects: set[str] = set()
        self._ring: list[str] | None = None
        self._has_list = False
        self.revived: set[str] = set()
        self.version = 0
        self.update_count = 0

    @property
    def states(self) -> tuple[VmState, ...]:
        """All listed VMs and this one, sorted by name."""
        listed = [member.state for member in self._members.values() if member.is_listed]
        return tuple(sorted([*listed, self.own]))

    def state(self, vm: str) -> VmState | None:
        """Returns the state of this or a listed VM; None for others."""
        if vm == self.own.vm:
            return self.own
        member = self._members.get(vm)
        return member.state if member is not None and member.is_listed else None

    def candidates(self) -> list[str]:
        """Returns the VMs that are not dead, this one included, in ring order."""
        if self._ring is None:
            names = [name for name, member in self._members.items() if _is_probed(member)]
            self._ring = sorted([*names, self.own.vm], key=_ring_position)
        return self._ring

    def probe_target(self, tick: int) -> str | None:
        """Returns the VM to probe at a tick, at a ring distance that is the same for all VMs."""
        ring = self.candidates()
        if len(ring) < 2:
            return None
        distance = xxhash.xxh3_64_intdigest(tick.to_bytes(8, "big")) % (len(ring) - 1) + 1
        return ring[(ring.index(self.own.vm) + distance) % len(ring)]

    def dead_probe_target(self, random_source: random.Random) -> str | None:
        """Returns a random listed VM that is dead, to probe whether it is back."""
        dead = [n for n, m in self._members.items() if m.is_listed and not _is_probed(m)]
        return random_source.choice(dead) if dead else None

    def zone_peer(self, vm: str, random_source: random.Random) -> str | None:
        """Returns a random alive VM of the same availability zone."""
        zone = self._members[vm].state.availability_zone if vm in self._members else ""
        peers = [
            name
            for name, member in self._members.items()
            if member.state.availability_zone == zone
            and member.state.health is VmHealth.ALIVE
            and member.is_listed
        ]
        return random_source.choice(peers) if peers else None

    def apply_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Applies the VM list: which VMs may be members, and which are leaving.

        VMs of the first list are presumed alive until probes fail; those of later lists are
        presumed dead until a report of a higher incarnation arrives.
        """
        presumed = VmHealth.DEAD if self._has_list else VmHealth.ALIVE
        listed = {entry.vm: entry for entry in entries}
        own_entry = listed.pop(self.own.vm, None)
        if own_entry is not None and self._is_listed_as_leaving(own_entry):
            self.leave()
        for entry in listed.values():
            self._apply_entry(entry, presumed)
        for name in [n for n, m in self._members.items() if m.is_listed and n not in listed]:
            del self._members[name]
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
        member = self._members.get(update.vm)
        if member is None:
            self._members[update.vm] = _Member(update, is_listed=False)
            if should_spread:
                self._spread(update)
            return
        if update.incarnation == 0 and update.health is VmHealth.SUSPECT:
            # The sender has not heard from this VM, so its suspicion is of the current incarnation.
            update = update._replace(incarnation=member.state.incarnation)
        if not _is_newer(update, member.state) or now_ms < member.held_until_ms:
            return
        if update.health is VmHealth.DEAD and member.state.health is VmHealth.ALIVE:
            update = update._replace(health=VmHealth.SUSPECT)
        should_spread = should_spread and not _confirms(update, member.state)
        self._set_state(member, update, now_ms, should_spread=should_spread)

    def record_contact(self, vm: str, config_revision: int, now_ms: int) -> None:
        """Records a datagram received from a VM itself, which clears a local suspicion of it."""
        member = self._members.get(vm)
        if member is None:
            return
        if member.is_local:
            alive = member.state._replace(health=VmHealth.ALIVE)
            self._set_state(member, alive, now_ms, should_spread=False)
        if config_revision > member.state.config_revision:
            member.state = member.state._replace(config_revision=config_revision)
            self.update_count += 1

    def suspect(self, vm: str, now_ms: int, *, is_local: bool) -> None:
        """Marks a VM that acknowledged no probe as suspect, or as dead if it was leaving.

        Args:
            is_local: Whether no other VM confirmed that the target is unreachable.
        """
        member = self._members.get(vm)
        if member is None or member.state.health is VmHealth.DEAD:
            return
        if member.state.health is VmHealth.SUSPECT:
            member.is_local = member.is_local and is_local
            return
        is_leaving = member.state.health is VmHealth.LEAVING
        health = VmHealth.DEAD if is_leaving else VmHealth.SUSPECT
        new_state = member.state._replace(health=health)
        self._set_state(member, new_state, now_ms, should_spread=not is_local)
        member.is_local = is_local

    @property
    def has_suspects(self) -> bool:
        """Whether any VM is suspect."""
        return bool(self._suspects)

    def expire_suspects(self, now_ms: int) -> None:
        """Marks suspects that did not refute the suspicion in time as dead."""
        for name in list(self._suspects):
            member = self._members[name]
            if now_ms < member.suspect_until_ms:
                continue
            is_local = member.is_local
            dead = member.state._replace(health=VmHealth.DEAD)
            self._set_state(member, dead, now_ms, should_spread=not is_local)
            member.is_local = is_local

    def postpone_suspects(self, delay_ms: int) -> None:
        """Extends the deadlines of suspects, after this process itself was paused."""
        for name in self._suspects:
            self._members[name].suspect_until_ms += delay_ms

    def leave(self) -> None:
        """Marks this VM as leaving."""
        self._update_own(self.own.incarnation + 1, VmHealth.LEAVING)

    def set_runs_batch(self, runs_batch: bool) -> None:
        """Sets whether a batch program is connected here, and spreads a change."""
        if runs_batch != self.own.runs_batch:
            self.own = self.own._replace(runs_batch=runs_batch)
            self._update_own(self.own.incarnation + 1, self.own.health)

    def _is_listed_as_leaving(self, entry: VmEntry) -> bool:
        is_here = entry.host == self.own.host and entry.status is VmStatus.LEAVING
        return is_here and self.own.health is not VmHealth.LEAVING

    def _apply_entry(self, entry: VmEntry, presumed: VmHealth) -> None:
        member = self._members.get(entry.vm)
        if member is None:
            member = self._members[entry.vm] = _Member(_presumed_state(entry, presumed, 0), True)
            self._record_change()
        elif member.state.host != entry.host and member.state.health is VmHealth.DEAD:
            member.state = _presumed_state(entry, VmHealth.DEAD, member.state.incarnation)
            self._record_change()
        if not member.is_listed:
            member.is_listed = True
            self._record_change()
        is_alive = member.state.health in (VmHealth.ALIVE, VmHealth.SUSPECT)
        if entry.status is VmStatus.LEAVING and is_alive:
            self._set_state(member, member.state._replace(health=VmHealth.LEAVING), 0)

    def _set_state(
        self, member: _Member, state: VmState, now_ms: int, *, should_spread: bool = True
    ) -> None:
        previous_health, ran_batch = member.state.health, member.state.runs_batch
        member.state = state
        member.is_local = False
        self.update_count += 1
        self._suspects.discard(state.vm)
        match state.health:
            case VmHealth.SUSPECT:
                self._suspects.add(state.vm)
                member.suspect_until_ms = now_ms + SUSPICION_MS
            case VmHealth.ALIVE if previous_health is VmHealth.DEAD:
                self.revived.add(state.vm)
            case VmHealth.DEAD if previous_health is not VmHealth.DEAD and should_spread:
                self._record_death(member, now_ms)
        if previous_health is not state.health:
            log.info("{} is {}, at incarnation {}.", state.vm, state.health, state.incarnation)
        if (previous_health, ran_batch) != (state.health, state.runs_batch):
            self._record_change()
        if should_spread:
            self._spread(state)

    def _record_death(self, member: _Member, now_ms: int) -> None:
        recent = [at_ms for at_ms in member.deaths_ms if now_ms - at_ms < FLAP_WINDOW_MS]
        member.deaths_ms = (*recent, now_ms)
        if recent:
            hold_down_ms = HOLD_DOWN_MS * 2 ** (len(recent) - 1)
            member.held_until_ms = now_ms + min(hold_down_ms, MAX_HOLD_DOWN_MS)

    def _refute(self, update: VmState) -> None:
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


def _is_probed(member: _Member) -> bool:
    return member.is_listed and member.state.health is not VmHealth.DEAD


def _confirms(update: VmState, current: VmState) -> bool:
    """Whether an update adds only the incarnation to a state presumed from the VM list."""
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
