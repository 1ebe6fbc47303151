"""What heartbeats say of each VM: alive, suspect, leaving or dead, ordered by incarnation."""

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
RANKS = {VmHealth.ALIVE: 0, VmHealth.SUSPECT: 1, VmHealth.LEAVING: 2, VmHealth.DEAD: 3}

log = logs.part("membership")

__all__ = ["FailureDetector"]


class _Member:
    """One VM as heartbeats and the VM list have it."""

    __slots__ = ("deaths_ms", "held_until_ms", "is_listed", "is_local", "state", "suspect_until_ms")

    def __init__(self, state: VmState, is_listed: bool) -> None:
        self.state = state
        self.is_listed = is_listed
        self.is_local = False
        self.suspect_until_ms = 0
        self.held_until_ms = 0
        self.deaths_ms: tuple[int, ...] = ()


class FailureDetector:
    """Merges verdicts on VMs; a higher incarnation wins, then the worse health.

    A verdict that no other VM confirmed is local: it is never spread, since this VM may itself be
    the one that is cut off.

    `version` counts changes of health and membership, `update_count` all changes. `revived` gathers
    the VMs that came back from the dead until somebody clears it.

    Args:
        own: This VM's state at its start.
        spread: Called with each state that other VMs should hear.
        on_change: Called when `version` moves.
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
        """All listed VMs by name, this one included."""
        listed = [member.state for member in self._members.values() if member.is_listed]
        return tuple(sorted([*listed, self.own]))

    def state(self, vm: str) -> VmState | None:
        """Returns the state of a listed VM."""
        if vm == self.own.vm:
            return self.own
        member = self._members.get(vm)
        return member.state if member is not None and member.is_listed else None

    def candidates(self) -> list[str]:
        """Returns the VMs to probe, this one included, in the order of the ring."""
        if self._ring is None:
            names = [name for name, member in self._members.items() if _is_probed(member)]
            self._ring = sorted([*names, self.own.vm], key=_ring_position)
        return self._ring

    def probe_target(self, tick: int) -> str | None:
        """Returns whom to probe at a tick: the ring, turned by a distance common to all VMs."""
        ring = self.candidates()
        if len(ring) < 2:
            return None
        distance = xxhash.xxh3_64_intdigest(tick.to_bytes(8, "big")) % (len(ring) - 1) + 1
        return ring[(ring.index(self.own.vm) + distance) % len(ring)]

    def dead_probe_target(self, random_source: random.Random) -> str | None:
        """Returns one listed VM that counts as dead, to see whether it is back."""
        dead = [n for n, m in self._members.items() if m.is_listed and not _is_probed(m)]
        return random_source.choice(dead) if dead else None

    def zone_peer(self, vm: str, random_source: random.Random) -> str | None:
        """Returns one VM of the same availability zone that is not suspect yet."""
        zone = self._members[vm].state.availability_zone if vm in self._members else ""
        mates = [
            name
            for name, member in self._members.items()
            if member.state.availability_zone == zone
            and member.state.health is VmHealth.ALIVE
            and member.is_listed
        ]
        return random_source.choice(mates) if mates else None

    def apply_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Takes the VM list: who may be a member, and who is leaving.

        VMs of the first list count as alive until probes say otherwise; later ones join when they
        are first heard.
        """
        presumed = VmHealth.DEAD if self._has_list else VmHealth.ALIVE
        listed = {entry.vm: entry for entry in entries}
        own_entry = listed.pop(self.own.vm, None)
        if own_entry is not None and self._is_told_to_leave(own_entry):
            self.leave()
        for entry in listed.values():
            self._take_entry(entry, presumed)
        for name in [n for n, m in self._members.items() if m.is_listed and n not in listed]:
            del self._members[name]
            self._suspects.discard(name)
            self._note_change()
        if not self._has_list:
            self._has_list = True
            self._note_change()

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
            # The teller never heard this VM, so its suspicion is of whatever runs there now.
            update = update._replace(incarnation=member.state.incarnation)
        if not _is_newer(update, member.state) or now_ms < member.held_until_ms:
            return
        if update.health is VmHealth.DEAD and member.state.health is VmHealth.ALIVE:
            update = update._replace(health=VmHealth.SUSPECT)
        should_spread = should_spread and not _confirms(update, member.state)
        self._set(member, update, now_ms, should_spread=should_spread)

    def record_contact(self, vm: str, config_revision: int, now_ms: int) -> None:
        """Notes a datagram from a VM itself, which undoes a local verdict on it."""
        member = self._members.get(vm)
        if member is None:
            return
        if member.is_local:
            alive = member.state._replace(health=VmHealth.ALIVE)
            self._set(member, alive, now_ms, should_spread=False)
        if config_revision > member.state.config_revision:
            member.state = member.state._replace(config_revision=config_revision)
            self.update_count += 1

    def suspect(self, vm: str, now_ms: int, *, is_local: bool) -> None:
        """Notes that a VM answered no probe.

        Args:
            is_local: Whether no other VM confirmed that it is this VM's fault and not ours.
        """
        member = self._members.get(vm)
        if member is None or member.state.health is VmHealth.DEAD:
            return
        if member.state.health is VmHealth.SUSPECT:
            member.is_local = member.is_local and is_local
            return
        is_leaving = member.state.health is VmHealth.LEAVING
        health = VmHealth.DEAD if is_leaving else VmHealth.SUSPECT
        verdict = member.state._replace(health=health)
        self._set(member, verdict, now_ms, should_spread=not is_local)
        member.is_local = is_local

    @property
    def has_suspects(self) -> bool:
        """Whether a suspicion runs."""
        return bool(self._suspects)

    def expire_suspects(self, now_ms: int) -> None:
        """Counts suspects as dead that did not refute in time."""
        for name in list(self._suspects):
            member = self._members[name]
            if now_ms < member.suspect_until_ms:
                continue
            is_local = member.is_local
            dead = member.state._replace(health=VmHealth.DEAD)
            self._set(member, dead, now_ms, should_spread=not is_local)
            member.is_local = is_local

    def postpone_suspects(self, delay_ms: int) -> None:
        """Gives suspects more time, after this process itself was paused."""
        for name in self._suspects:
            self._members[name].suspect_until_ms += delay_ms

    def leave(self) -> None:
        """Counts this VM as leaving."""
        self._raise_own(self.own.incarnation + 1, VmHealth.LEAVING)

    def set_runs_batch(self, runs_batch: bool) -> None:
        """Tells other VMs whether a batch program is connected here."""
        if runs_batch != self.own.runs_batch:
            self.own = self.own._replace(runs_batch=runs_batch)
            self._raise_own(self.own.incarnation + 1, self.own.health)

    def _is_told_to_leave(self, entry: VmEntry) -> bool:
        is_here = entry.host == self.own.host and entry.status is VmStatus.LEAVING
        return is_here and self.own.health is not VmHealth.LEAVING

    def _take_entry(self, entry: VmEntry, presumed: VmHealth) -> None:
        member = self._members.get(entry.vm)
        if member is None:
            member = self._members[entry.vm] = _Member(_presume(entry, presumed, 0), True)
            self._note_change()
        elif member.state.host != entry.host and member.state.health is VmHealth.DEAD:
            member.state = _presume(entry, VmHealth.DEAD, member.state.incarnation)
            self._note_change()
        if not member.is_listed:
            member.is_listed = True
            self._note_change()
        is_alive = member.state.health in (VmHealth.ALIVE, VmHealth.SUSPECT)
        if entry.status is VmStatus.LEAVING and is_alive:
            self._set(member, member.state._replace(health=VmHealth.LEAVING), 0)

    def _set(
        self, member: _Member, state: VmState, now_ms: int, *, should_spread: bool = True
    ) -> None:
        was, ran_batch = member.state.health, member.state.runs_batch
        member.state = state
        member.is_local = False
        self.update_count += 1
        self._suspects.discard(state.vm)
        match state.health:
            case VmHealth.SUSPECT:
                self._suspects.add(state.vm)
                member.suspect_until_ms = now_ms + SUSPICION_MS
            case VmHealth.ALIVE if was is VmHealth.DEAD:
                self.revived.add(state.vm)
            case VmHealth.DEAD if was is not VmHealth.DEAD and should_spread:
                self._note_death(member, now_ms)
        if was is not state.health:
            log.info("{} is {}, at incarnation {}.", state.vm, state.health, state.incarnation)
        if (was, ran_batch) != (state.health, state.runs_batch):
            self._note_change()
        if should_spread:
            self._spread(state)

    def _note_death(self, member: _Member, now_ms: int) -> None:
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
        is_of_this_life = update.incarnation == self.own.incarnation
        if update.health is VmHealth.LEAVING and is_of_this_life:
            self._raise_own(update.incarnation, VmHealth.LEAVING)
            return
        self._raise_own(update.incarnation + 1, self.own.health)

    def _raise_own(self, incarnation: int, health: VmHealth) -> None:
        self.own = self.own._replace(incarnation=incarnation, health=health)
        self._spread(self.own)
        self._note_change()

    def _note_change(self) -> None:
        self._ring = None
        self.version += 1
        self.update_count += 1
        self._on_change()


def _is_probed(member: _Member) -> bool:
    return member.is_listed and member.state.health is not VmHealth.DEAD


def _confirms(update: VmState, current: VmState) -> bool:
    """Whether an update only fills in the incarnation of a VM that the first list named."""
    told = (update.health, update.runs_batch)
    return current.incarnation == 0 and told == (current.health, current.runs_batch)


def _is_newer(update: VmState, current: VmState) -> bool:
    return (update.incarnation, RANKS[update.health]) > (
        current.incarnation,
        RANKS[current.health],
    )


def _presume(entry: VmEntry, health: VmHealth, incarnation: int) -> VmState:
    return VmState(entry.vm, entry.host, entry.region, entry.availability_zone, health, incarnation)


def _ring_position(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
