"""What it costs to load the busiest servers of a pool further, so that loads stay even over time.

The cost of a server rises while its load is above the mean and falls while it is below. It settles
where it outweighs the reason for which the server was preferred, such as its speed, and changes too
slowly to outweigh what differs from one request to the next, such as cached parts of a prompt.
"""

from collections.abc import Collection, Mapping

# A server may be this far above the mean at no cost.
FREE_EXCESS = 0.04
# Change of the cost at each sample, ten a second, for an excess of the mean load.
COST_PER_SAMPLE = 0.01
MAX_COST = 2.0
# Weight of the latest sample in the mean load of the pool, which covers several seconds.
SAMPLE_WEIGHT = 0.02

__all__ = ["LoadBalance"]


class LoadBalance:
    """Cost of each server's load beside the others', in usual times of a run.

    Load is counted as a fraction of a server's slots. At an equal load, each server gets work in
    proportion to its speed.
    """

    def __init__(self) -> None:
        self._costs: dict[str, float] = {}
        self._mean_load = 0.0

    def sample(self, loads: Mapping[str, float], compared: Collection[str]) -> dict[str, float]:
        """Adds the current load of each server and returns their costs.

        Args:
            loads: The load of each server; others are forgotten.
            compared: The servers over which to take the mean.
        """
        mean_load = sum(loads[server_id] for server_id in compared) / max(1, len(compared))
        self._mean_load += SAMPLE_WEIGHT * (mean_load - self._mean_load)
        scale = COST_PER_SAMPLE / max(mean_load, self._mean_load, 1e-6)
        free_load = (1 + FREE_EXCESS) * mean_load
        self._costs = {
            server_id: min(
                MAX_COST,
                max(0.0, self._costs.get(server_id, 0.0) + scale * (load - free_load)),
            )
            for server_id, load in loads.items()
        }
        return self._costs
