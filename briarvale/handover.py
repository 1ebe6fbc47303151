"""Delays the start of reassigned shards, so that the previous VM can finish running items first."""

import math
from collections.abc import Sequence

import anyio

from ._generated.messages import VmState
from .ownership import batch_vms
from .rendezvous import first_by_rendezvous

HANDOVER_S = 15.0
# VMs that started less than this apart count as started together.
SAME_START_MS = 10_000

__all__ = ["Handover"]


class Handover:
    """Tracks whether a shard's previous VM may still run it.

    This only avoids duplicate work; the shard log ensures that each item has one result.

    Args:
        vm: This VM.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._live_vms: tuple[str, ...] = ()
        self._previous_vms: tuple[str, ...] = ()
        # Until when this VM counts as newly started.
        self._new_until_s = math.inf
        self._ends_at_s = -math.inf

    def record_change(self, vms: Sequence[VmState]) -> None:
        """Records a change of the set of live VMs, after which shards are assigned anew."""
        now_s = anyio.current_time()
        live_vms = tuple(batch_vms(vms))
        if self._new_until_s == math.inf:
            self._new_until_s = now_s + HANDOVER_S
        if now_s < self._new_until_s:
            self._previous_vms = self._earlier_vms(vms)
        elif now_s >= self._ends_at_s:
            self._previous_vms = self._live_vms
        self._previous_vms = tuple(vm for vm in self._previous_vms if vm in live_vms)
        self._live_vms = live_vms
        self._ends_at_s = now_s + HANDOVER_S

    def is_over(self, shard: str) -> bool:
        """Whether the shard may start: no other live VM was assigned it before the last change.

        True for all shards `HANDOVER_S` after that change.
        """
        if not self._previous_vms or anyio.current_time() >= self._ends_at_s:
            return True
        return first_by_rendezvous(shard, self._previous_vms, 1)[0] == self._vm

    def _earlier_vms(self, vms: Sequence[VmState]) -> tuple[str, ...]:
        """Returns the VMs that started well before this one; incarnations are start times in ms."""
        own = next((vm.incarnation for vm in vms if vm.vm == self._vm), 0)
        earlier = [vm for vm in vms if vm.incarnation < own - SAME_START_MS]
        return tuple(batch_vms(earlier))
