"""Workspaces: the callers that share the fleet, their API keys and their limits."""

from .workspace import Workspace, WorkspaceLimits, WorkspaceTable, digest_key

__all__ = ["Workspace", "WorkspaceLimits", "WorkspaceTable", "digest_key"]
