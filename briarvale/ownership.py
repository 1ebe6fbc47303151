"""Which VM's dispatcher owns a backend server: rendezvous hashing, same availability zone first."""

import heapq
from collections.abc import Iterable, Sequence

import xxhash

from ._generated.messages import VmHealth, VmState
from .config import BackendServer

__all__ = ["batch_vms", "first_by_rendezvous", "owner_of", "rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Orders names for a key, best first; the order moves little when names come and go."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


def first_by_rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the first names of the order of `rank_by_rendezvous`, at less cost for many names."""
    prefix = f"{key}\0"
    digest = xxhash.xxh3_64_intdigest
    return heapq.nlargest(count, names, key=lambda name: digest((prefix + name).encode()))


def batch_vms(vms: Iterable[VmState]) -> list[str]:
    """Returns the VMs whose batch program runs, by name."""
    running = (vm for vm in vms if vm.runs_batch)
    return sorted(vm.vm for vm in running if vm.health in (VmHealth.ALIVE, VmHealth.SUSPECT))


def owner_of(server: BackendServer, vms: Sequence[VmState]) -> VmState | None:
    """Returns the VM that owns a backend server, or none if no VM is alive.

    VMs of the server's availability zone come first, then those of its region, then all.
    """
    alive = [vm for vm in vms if vm.health in (VmHealth.ALIVE, VmHealth.SUSPECT)]
    in_region = [vm for vm in alive if vm.region == server.region]
    in_zone = [vm for vm in in_region if vm.availability_zone == server.availability_zone]
    candidates = {vm.vm: vm for vm in in_zone or in_region or alive}
    if not candidates:
        return None
    return candidates[rank_by_rendezvous(server.id, candidates)[0]]
