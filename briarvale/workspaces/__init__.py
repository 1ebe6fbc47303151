"""Workspaces: the callers that share the fleet, their API keys and their limits."""

from .priority import combine_priorities
from .shares import workspace_shares
from .workspace import Workspace, WorkspaceLimits, WorkspaceTable, digest_key

__all__ = [
    "Workspace",
    "WorkspaceLimits",
    "WorkspaceTable",
    "combine_priorities",
    "digest_key",
    "workspace_shares",
]
