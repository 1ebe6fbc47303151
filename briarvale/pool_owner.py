"""The slot pools of all services that this node owns."""

from collections.abc import Callable, Mapping, Sequence

from .clock import Clock
from .fairness import Shares
from .live_servers import LiveServer
from .slot_granters import OwnedGranters
from .slot_pool import SlotPool

__all__ = ["PoolOwner"]


class PoolOwner(OwnedGranters[SlotPool]):
    """Runs one `SlotPool` for each owned service.

    Args:
        clock: Source of timestamps.

    Attributes:
        shares: Returns the weights of the workspaces; they weigh the same by default.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.shares: Callable[[], Shares] = lambda: Shares({})

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
        shares = self.shares()
        for name, servers in pools.items():
            pool = self._granters.get(name) or SlotPool(name, self._clock)
            pool.set_shares(shares)
            pool.configure(servers, capacity_tokens(name))
            if name not in self._granters:
                self._add_owned(name, pool)
