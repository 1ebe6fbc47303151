"""The VM list over HTTP."""

import anyio
import httpx

from .vm_list import VmEntry, VmListUnavailable, entry_from_row

LIST_TIMEOUT_S = 3.0

__all__ = ["HttpVmList"]


class HttpVmList:
    """A `VmList` fetched over HTTP.

    Args:
        url: URL of the list, with an IP address as its host.
        client: HTTP client; closed by the caller.
    """

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        self._url = url
        self._client = client

    async def wait_changed(self) -> None:
        """Waits forever: changes are found only by polling."""
        await anyio.sleep_forever()

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Fetches the list."""
        try:
            response = await self._client.get(self._url, timeout=LIST_TIMEOUT_S)
            response.raise_for_status()
            rows = response.json()["vms"]
        except (httpx.HTTPError, ValueError, KeyError) as error:
            raise VmListUnavailable(f"can't fetch the VM list: {type(error).__name__}") from error
        return tuple(entry_from_row(row) for row in rows)
