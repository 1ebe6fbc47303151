"""A simulated VM list of the platform; changes become visible after a lag."""

import anyio

from ..vm_list import VmEntry, VmListUnavailable

LIST_LAG_S = 5.0

__all__ = ["StandinVmList"]


class StandinVmList:
    """Implements the `VmList` protocol in memory.

    Args:
        entries: VMs at the start, known at once.
    """

    def __init__(self, entries: tuple[VmEntry, ...]) -> None:
        self.is_down = False
        self.lag_s = LIST_LAG_S
        # The time from which readers see each version of the list.
        self._versions: list[tuple[float, tuple[VmEntry, ...]]] = [(float("-inf"), entries)]

    def replace(self, entries: tuple[VmEntry, ...]) -> None:
        """Changes the list; readers see it after the lag."""
        self._versions.append((anyio.current_time() + self.lag_s, entries))

    async def wait_changed(self) -> None:
        """Never returns: changes of this list are only found by polling."""
        await anyio.sleep_forever()

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Returns the list as it was `lag_s` ago."""
        if self.is_down:
            raise VmListUnavailable("the VM list is down")
        now_s = anyio.current_time()
        return [entries for from_s, entries in self._versions if from_s <= now_s][-1]
