"""The slot pools of all services that this node owns."""

from collections.abc import Callable, Mapping, Sequence

from .live_servers import LiveServer
from .slot_granters import OwnedGranters
from .slot_pool import SlotPool

__all__ = ["PoolOwner"]


class PoolOwner(OwnedGranters[SlotPool]):
    """Runs one `SlotPool` for each owned service."""

    def reconcile(
        self,
        pools: Mapping[str, Sequence[LiveServer]],
        capacity_tokens: Callable[[str], int] = lambda service: 0,
    ) -> None:
        """Adds and removes pools so that they match `pools`; sets the ready servers of each.

        Args:
            pools: The ready servers of each owned service.
            capacity_tokens: Returns how many tokens one server of a service holds; 0 if unknown.
        """
        self._remove_owned(self._granters.keys() - pools.keys())
        for name, servers in pools.items():
            if name in self._granters:
                self._granters[name].configure(servers, capacity_tokens(name))
                continue
            pool = SlotPool(name, self._clock)
            pool.configure(servers, capacity_tokens(name))
            self._add_owned(name, pool)
