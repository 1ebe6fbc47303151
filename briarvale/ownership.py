"""Ownership of backend servers by VMs: rendezvous hashing, same availability zone first."""

from collections.abc import Iterable, Mapping, Sequence

from ._generated.messages import VmHealth, VmState
from .config import BackendServer
from .rendezvous import first_by_rendezvous

NO_VMS: frozenset[str] = frozenset()

__all__ = [
    "OwnershipTable",
    "batch_vms",
]


class OwnershipTable:
    """The owners of all backend servers, recomputed only where the candidate VMs changed.

    Args:
        vm: This VM; `owned` lists its backend servers.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._revisions: tuple[int, int] = (-1, -1)
        self._vm_groups = _VmGroups(())
        self._owners: dict[str, tuple[frozenset[str], str]] = {}
        self.owned: tuple[BackendServer, ...] = ()

    def refresh(
        self,
        servers: Mapping[str, BackendServer],
        vms: Sequence[VmState],
        revisions: tuple[int, int],
    ) -> None:
        """Recomputes the owners, unless `revisions` (of the servers and VMs) are unchanged."""
        if revisions == self._revisions:
            return
        self._revisions = revisions
        self._vm_groups = vm_groups = _VmGroups(vms, self._vm_groups)
        owners = {}
        for name, server in servers.items():
            candidates = vm_groups.candidates(server)
            entry = self._owners.get(name)
            if entry is None or entry[0] is not candidates:
                entry = (candidates, next(iter(first_by_rendezvous(name, candidates, 1)), ""))
            owners[name] = entry
        self._owners = owners
        self.owned = tuple(s for name, s in servers.items() if owners[name][1] == self._vm)

    def owner(self, backend_server: str) -> str:
        """Returns the VM that owns a backend server; empty if no VM is alive."""
        entry = self._owners.get(backend_server)
        return entry[1] if entry else ""


class _VmGroups:
    """Sets of the live VMs (alive or suspect): by availability zone, by region, and of all.

    Args:
        vms: All VMs.
        previous: The groups before a change. Unchanged sets are reused, so that `is` compares them.
    """

    def __init__(self, vms: Sequence[VmState], previous: "_VmGroups | None" = None) -> None:
        groups: dict[tuple[str, ...], set[str]] = {}
        for vm in vms:
            if vm.health in (VmHealth.ALIVE, VmHealth.SUSPECT):
                for area in ((), (vm.region,), (vm.region, vm.availability_zone)):
                    groups.setdefault(area, set()).add(vm.vm)
        previous_groups = previous._groups if previous else {}
        self._groups: dict[tuple[str, ...], frozenset[str]] = {
            area: previous_groups[area] if previous_groups.get(area) == names else frozenset(names)
            for area, names in groups.items()
        }

    def candidates(self, server: BackendServer) -> frozenset[str]:
        """Returns the live VMs of the server's zone, or else of its region, or else all of them."""
        region, zone = (server.region,), (server.region, server.availability_zone)
        groups = self._groups
        return groups.get(zone) or groups.get(region) or groups.get(()) or NO_VMS


def batch_vms(vms: Iterable[VmState]) -> list[str]:
    """Returns the VMs whose batch program runs, sorted by name.

    A leaving VM is included until its batch program has finished its items, so that no other VM
    runs them again.
    """
    return sorted(vm.vm for vm in vms if vm.runs_batch and vm.health is not VmHealth.DEAD)
