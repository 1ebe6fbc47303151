"""The fair shares of workspaces where slots are scarce."""

from ..fairness import Shares
from .workspace import WorkspaceTable

__all__ = ["workspace_shares"]


def workspace_shares(workspaces: WorkspaceTable | None) -> Shares:
    """Returns shares in proportion to the workspaces' limits, but at least to the mean limit.

    The limit is what the configuration says of a workspace's usual rate. With equal shares, a large
    workspace at its usual rate would count as over its share in place of a smaller one at many
    times its own. The requests of a small workspace are so few that two in a row would already
    exceed a small share, so it has the mean. So have a workspace without a limit, and the callers
    on public routes together. Without any limit all shares are equal.
    """
    rates = {each.name: each.limits.rate_per_s for each in workspaces or ()}
    limited = [rate for rate in rates.values() if rate > 0]
    if not limited:
        return Shares({})
    mean = sum(limited) / len(limited)
    weights = {name: max(rate, mean) for name, rate in ({"": mean} | rates).items()}
    total = sum(weights.values())
    return Shares({name: weight / total for name, weight in weights.items()})
