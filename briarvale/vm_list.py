"""The platform's list of live and leaving VMs, which lags behind their real state."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from .errors import BriarvaleError

__all__ = ["VmEntry", "VmList", "VmListUnavailable", "VmStatus", "entry_from_row"]


class VmListUnavailable(BriarvaleError):
    """The VM list did not answer."""

    code, http_status = "vm_list_unavailable", 503


class VmStatus(StrEnum):
    """Status of a VM on the list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(NamedTuple):
    """One VM of the list.

    Attributes:
        processor_cores: Processor capacity, in cores; 0 if unknown.
    """

    vm: str
    host: str
    region: str
    availability_zone: str
    status: VmStatus
    processor_cores: float = 0.0


class VmList(Protocol):
    """Access to the VM list."""

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Returns the latest VMs known to the platform; raises `VmListUnavailable`."""

    async def wait_changed(self) -> None:
        """Waits for a change of the list; forever if changes are found only by polling."""


def entry_from_row(row: Mapping[str, Any]) -> VmEntry:
    """Parses one row of the list's JSON."""
    return VmEntry(
        vm=row["vm"],
        host=row["host"],
        region=row["region"],
        availability_zone=row["availability_zone"],
        status=VmStatus(row["status"]),
        processor_cores=float(row.get("processor_cores", 0.0)),
    )
