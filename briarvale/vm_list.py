"""The platform's lagging list of live and leaving VMs."""

from enum import StrEnum
from typing import NamedTuple, Protocol

import httpx

from .errors import BriarvaleError

LIST_TIMEOUT_S = 3.0

__all__ = ["HttpVmList", "VmEntry", "VmList", "VmListUnavailable", "VmStatus", "entry_from_row"]


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


class HttpVmList:
    """The VM list over HTTP.

    Args:
        url: URL of the list, by IP number.
        client: HTTP client; closed by its maker.
    """

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        self._url = url
        self._client = client

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Fetches the list."""
        try:
            response = await self._client.get(self._url, timeout=LIST_TIMEOUT_S)
            response.raise_for_status()
            rows = response.json()["vms"]
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise VmListUnavailable(f"VM list: {type(error).__name__}") from error
        return tuple(entry_from_row(row) for row in rows)


def entry_from_row(row: dict[str, str]) -> VmEntry:
    """Reads one row of the list's JSON."""
    return VmEntry(
        vm=row["vm"],
        host=row["host"],
        region=row["region"],
        availability_zone=row["availability_zone"],
        status=VmStatus(row["status"]),
    )
