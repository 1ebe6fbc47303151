"""One number for two priorities, since a slot request carries one: the workspace's goes first."""

from .workspace import Workspace

# Ranks of routes within one rank of workspaces; lower route priorities count as the last of them.
ROUTE_RANKS = 256

__all__ = ["combine_priorities"]


def combine_priorities(workspace: Workspace | None, route_priority: int) -> int:
    """Returns the priority of a workspace's request; lower numbers precede.

    Callers without a workspace, and workspaces that state no priority, have the highest.
    """
    rank = 0 if workspace is None else workspace.priority or 0
    return rank * ROUTE_RANKS + min(route_priority, ROUTE_RANKS - 1)
