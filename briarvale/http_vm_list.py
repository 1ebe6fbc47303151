"""The VM list over HTTP."""

import anyio
import httpx
import msgspec

from .errors import DocumentInvalid
from .strict_json import decode_json
from .vm_list import VmEntry, VmListUnavailable, VmRow

LIST_TIMEOUT_S = 3.0

__all__ = ["HttpVmList"]


class _ListDocument(msgspec.Struct):
    """The list's JSON."""

    vms: list[VmRow]


_LIST_DECODER = msgspec.json.Decoder(_ListDocument)


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
        """Fetches the list; a list that can't be decoded as a whole is no list."""
        try:
            response = await self._client.get(self._url, timeout=LIST_TIMEOUT_S)
            response.raise_for_status()
            document = decode_json(_LIST_DECODER, response.content)
        except (httpx.HTTPError, DocumentInvalid) as error:
            raise VmListUnavailable(f"can't fetch the VM list: {error!r}") from error
        return tuple(row.to_entry() for row in document.vms)
