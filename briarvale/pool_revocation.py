"""Revocation of batch slots of a pool."""

from collections.abc import Iterable

from . import metrics
from ._generated.messages import SlotRevoke
from .grants import Grant
from .pool_server import PoolServer

__all__ = ["revoke_batch"]


def revoke_batch(servers: Iterable[PoolServer], count: int) -> None:
    """Revokes up to `count` batch slots, late items' first, then that of the item due last."""
    if count <= 0:
        return
    revocable = [(server, grant) for server in servers for grant in server.grants.revocable()]
    revocable.sort(key=lambda entry: _rank(entry[1]), reverse=True)
    for server, grant in revocable[:count]:
        server.grants.mark_revoking(grant.held.grant_id)
        grant.holder.notify(SlotRevoke(grant.held.grant_id, 1, "online"))
        metrics.SLOTS_REVOKED.inc({"backend_server": server.live_server.id, "reason": "online"})


def _rank(grant: Grant) -> tuple[bool, int, int, str]:
    """Sort key: grants with the highest are revoked first."""
    return grant.is_late, grant.start_by_ms, grant.granted_at_ms, grant.held.grant_id
