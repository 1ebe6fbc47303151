"""A workspace with the digests of its API keys, and the table of all workspaces."""

import hashlib
import hmac
from collections.abc import Iterable, Iterator
from typing import NamedTuple

__all__ = ["Workspace", "WorkspaceLimits", "WorkspaceTable", "digest_key"]


def digest_key(api_key: str) -> bytes:
    """Returns the digest by which an API key is stored and compared."""
    return hashlib.sha256(api_key.encode("utf-8", errors="surrogatepass")).digest()


class WorkspaceLimits(NamedTuple):
    """Rate limit of a workspace over all nodes; no limit if `rate_per_s` is 0."""

    rate_per_s: float = 0.0
    burst: float = 0.0


class Workspace(NamedTuple):
    """A workspace as the configuration declares it.

    Attributes:
        key_digests: Digests of the API keys in force.
        priority: Rank among the workspaces, where 0 is the highest; none if it isn't stated.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    limits: WorkspaceLimits = WorkspaceLimits()
    priority: int | None = None


class WorkspaceTable:
    """The workspaces of one version of the configuration; immutable.

    Args:
        workspaces: All workspaces; no two have a name or a key in common.
    """

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_name = {workspace.name: workspace for workspace in workspaces}
        self._by_digest = {
            digest: workspace
            for workspace in self._by_name.values()
            for digest in workspace.key_digests
        }

    def __iter__(self) -> Iterator[Workspace]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Workspace | None:
        """Returns a workspace by name."""
        return self._by_name.get(name)

    def find(self, api_key: str) -> Workspace | None:
        """Returns the workspace that holds a key.

        The look-up time depends on the key's digest alone, which callers can't choose.
        """
        digest = digest_key(api_key)
        workspace = self._by_digest.get(digest)
        if workspace is None or not any(
            hmac.compare_digest(digest, known) for known in workspace.key_digests
        ):
            return None
        return workspace
