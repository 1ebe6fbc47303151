"""Finds the workspace of a request by its API key, which is never forwarded."""

from ..errors import InvalidKey
from ..http_wire import Headers, end_to_end_headers, find_header
from ..routes import RouteTable
from ..workspaces import Workspace

API_KEY = b"briarvale-credential"
WORKSPACE = b"briarvale-tenant"
# What callers say in these is never forwarded.
IDENTITY_HEADERS = frozenset((API_KEY, WORKSPACE))

__all__ = ["IDENTITY_HEADERS", "WORKSPACE", "authenticate", "identified_headers"]


def authenticate(table: RouteTable, headers: Headers, *, is_public: bool) -> Workspace | None:
    """Returns the workspace that holds the request's key; none if there is no key to check.

    Args:
        table: The routes in force, with their workspaces.
        headers: The request's headers.
        is_public: Whether the request needs no key; one in force still names its workspace.

    Raises:
        InvalidKey: If the request needs a key and has none that is in force.
    """
    if table.workspaces is None:
        return None
    api_key = (find_header(headers, API_KEY) or b"").decode("latin-1").strip()
    workspace = table.workspaces.find(api_key) if api_key else None
    if workspace is None and not is_public:
        raise InvalidKey("the request has no API key that is in force")
    return workspace


def identified_headers(headers: Headers, workspace: Workspace | None) -> Headers:
    """Returns the end-to-end headers with the workspace's name, and without the key.

    The headers that concern one connection go first, as they may name others to be left out.
    """
    kept = tuple(
        header for header in end_to_end_headers(headers) if header[0] not in IDENTITY_HEADERS
    )
    if workspace is None:
        return kept
    return (*kept, (WORKSPACE, workspace.name.encode()))
