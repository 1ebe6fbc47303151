"""The platform's lagging list of live and leaving VMs."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from .errors import BriarvaleError

__all__ = ["VmEntry", "VmList", "VmListUnavailable", "VmStatus", "entry_from_row"]


class VmListUnavailable(BriarvaleError):
    """The VM list did not answer."""

    code, http_status = "vm_list_unavailable", 503


class VmStatus(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(NamedTuple):
    """One VM of the list."""

    vm: str
    host: str
    region: str
    availability_zone: str
    status: VmStatus


class VmList(Protocol):
    """What Briarvale asks of the VM list."""

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Returns the VMs as last known by the platform; raises `VmListUnavailable`."""


def entry_from_row(row: dict[str, str]) -> VmEntry:
    """Reads one row of the list's JSON."""
    return VmEntry(
        vm=row["vm"],
        host=row["host"],
        region=row["region"],
        availability_zone=row["availability_zone"],
        status=VmStatus(row["status"]),
    )
