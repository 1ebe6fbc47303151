"""The platform's list of live and leaving VMs, which lags behind their real state."""

from enum import StrEnum
from typing import Annotated, NamedTuple, Protocol

import msgspec

from .errors import BriarvaleError
from .strict_json import HostName, Label, NonEmptyLabel, convert_value

MAX_PROCESSOR_CORES = 100_000

__all__ = [
    "ProcessorCores",
    "VmEntry",
    "VmList",
    "VmListUnavailable",
    "VmRow",
    "VmStatus",
    "entry_from_row",
]

ProcessorCores = Annotated[float, msgspec.Meta(ge=0, le=MAX_PROCESSOR_CORES)]


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


class VmRow(msgspec.Struct):
    """A row of the list's JSON; see `VmEntry`."""

    vm: NonEmptyLabel
    host: HostName
    region: Label
    availability_zone: Label
    status: VmStatus
    processor_cores: ProcessorCores = 0.0

    def to_entry(self) -> VmEntry:
        """Returns the VM of the row."""
        return VmEntry(*msgspec.structs.astuple(self))


def entry_from_row(row: object) -> VmEntry:
    """Converts one row of the list, as decoded from JSON or YAML; raises `DocumentInvalid`."""
    return convert_value(row, VmRow).to_entry()
