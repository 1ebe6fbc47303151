"""Revocation of batch slots of a pool."""

from collections.abc import Iterable

from . import metrics
from ._generated.messages import SlotRevoke
from .pool_server import PoolServer

__all__ = ["revoke_batch"]


def revoke_batch(servers: Iterable[PoolServer], count: int) -> None:
    """Revokes up to `count` batch slots, late items' first, then that of the item due last."""
    if count <= 0:
        return
    revocable = [
        (
            grant.is_late,
            grant.start_by_ms,
            grant.granted_at_ms,
            grant.held.grant_id,
            server,
            grant,
        )
        for server in servers
        for grant in server.grants.revocable()
    ]
    ordered = sorted(revocable, key=lambda entry: entry[:4], reverse=True)
    for *_, server, grant in ordered[:count]:
        server.grants.mark_revoking(grant.held.grant_id)
        grant.holder.notify(SlotRevoke(grant.held.grant_id, 1, "online"))
        metrics.SLOTS_REVOKED.inc({"backend_server": server.live_server.id, "reason": "online"})
