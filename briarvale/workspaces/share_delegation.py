"""A node's own share of a group's limits: to whom it is delegated, and until when."""

from .share_leases import HOLD_MS

__all__ = ["ShareDelegation"]


class ShareDelegation:
    """Delegates one share to one owner at a time.

    A process that starts delegates at once, although an earlier process of this node may have
    delegated the share as well. An owner counts a node once; another owner may count the earlier
    delegation until it ends, which adds at most the restarted nodes' part of `LEASE_MS`. Waiting
    for its end would refuse all requests for that time after every restart.
    """

    def __init__(self) -> None:
        self.owner: str | None = None
        self.free_at_ms = 0
        self.delegated_at_ms = 0
        self._last_request_id = 0

    def may_delegate(self, owner: str, now_ms: int) -> bool:
        """Whether the share may be delegated to an owner now."""
        return owner == self.owner or now_ms >= self.free_at_ms

    def delegate(self, owner: str, request_id: int, stamped_at_ms: int, now_ms: int) -> None:
        """Records that a message which delegates the share is about to be sent.

        Args:
            stamped_at_ms: When the stamp that the message repeats arrived; the start of the
                delegation.
        """
        self.owner = owner
        self.delegated_at_ms = now_ms
        self.free_at_ms = max(self.free_at_ms, stamped_at_ms + HOLD_MS)
        self._last_request_id = request_id

    def take_back(self, owner: str, request_id: int) -> None:
        """Records that the owner has answered a message which ends the delegation."""
        if owner == self.owner and request_id > self._last_request_id:
            self.owner = None
            self.free_at_ms = 0
