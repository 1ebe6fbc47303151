"""Revocation of batch slots of a pool."""

import math
from collections.abc import Iterable

from . import metrics
from ._generated.messages import SlotRevoke, WorkClass
from .grants import Grant
from .pool_queue import PoolQueue
from .pool_server import PoolServer
from .pools import REVOCATION_MS, ReleaseRate, grant_by_ms, revocation_need

# Interval between two computations of the need, while no new request is near its time.
INTERVAL_MS = 5

__all__ = ["OnlineRevocation", "revoke_batch", "revoke_excess"]


class OnlineRevocation:
    """Revokes batch slots for waiting online requests that would otherwise start too late.

    Attributes:
        due_at_ms: When to call `revoke` again, even if nothing happens until then.
        revoked: Slots revoked so far.
    """

    def __init__(self) -> None:
        self.due_at_ms = math.inf
        self.revoked = 0
        self._rate = ReleaseRate()
        self._next_at_ms = -math.inf

    def record_release(self, now_ms: int) -> None:
        """Records the release of a slot that was not revoked."""
        self._rate.observe(now_ms)

    def record_request(self, start_by_ms: int, now_ms: int) -> None:
        """Records a new request; one that is near its time is taken into account at once."""
        if grant_by_ms(start_by_ms, now_ms) - now_ms <= REVOCATION_MS:
            self._next_at_ms = -math.inf

    def revoke(self, waiting: PoolQueue, servers: Iterable[PoolServer], now_ms: int) -> None:
        """Revokes as many batch slots of the servers as the waiting online requests need."""
        if not waiting:
            self.due_at_ms, self._next_at_ms = math.inf, -math.inf
            return
        if now_ms < self._next_at_ms:
            return
        servers = list(servers)
        revoking = sum(server.grants.revoking_slots for server in servers)
        batch = sum(server.grants.slots_of(WorkClass.BATCH) for server in servers)
        self._next_at_ms = now_ms + INTERVAL_MS
        if batch <= revoking:
            self.due_at_ms = math.inf
            return
        by_ms = [
            grant_by_ms(waiter.request.start_by_ms, waiter.queued_at_ms)
            for waiter in waiting.online_order(now_ms)
        ]
        need = revocation_need(by_ms, revoking, self._rate, now_ms)
        self.due_at_ms = need.recheck_at_ms
        if need.recheck_at_ms == math.inf:
            self._next_at_ms = -math.inf
        self.revoked += revoke_batch(servers, need.slots)


def revoke_batch(servers: Iterable[PoolServer], count: int) -> int:
    """Revokes up to `count` batch slots, late items' first, then that of the item due last.

    Returns how many were revoked.
    """
    if count <= 0:
        return 0
    revocable = [(server, grant) for server in servers for grant in server.grants.revocable()]
    revocable.sort(key=lambda entry: _rank(entry[1]), reverse=True)
    for server, grant in revocable[:count]:
        server.grants.mark_revoking(grant.held.grant_id)
        grant.holder.notify(SlotRevoke(grant.held.grant_id, 1, "online"))
        metrics.SLOTS_REVOKED.inc({"backend_server": server.live_server.id, "reason": "online"})
    return min(count, len(revocable))


def revoke_excess(servers: Iterable[PoolServer]) -> None:
    """Revokes batch slots beyond a server's slots, which several owners may have granted."""
    for server in servers:
        excess = server.grants.slots - server.grants.revoking_slots - server.live_server.slots
        revoke_batch([server], excess)


def _rank(grant: Grant) -> tuple[bool, int, int, str]:
    """Sort key: grants with the highest are revoked first."""
    return grant.is_late, grant.start_by_ms, grant.granted_at_ms, grant.held.grant_id
