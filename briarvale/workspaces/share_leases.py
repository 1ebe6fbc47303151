"""Which nodes' shares of the limits an owner may spend, and for how long it could."""

__all__ = ["HOLD_MS", "LEASE_MS", "ShareLeases"]

# A message that delegates a share repeats the stamp of the owner's last answer. The owner counts
# the share for `LEASE_MS` after that stamp; the node neither spends it nor delegates it to another
# for `HOLD_MS` after the answer arrived, which is later. The difference allows for clocks of
# different speed. While an owner that is lost holds the shares, its workspaces have only their
# tolerance; a shorter lease would end when an owner is busy for half a second.
LEASE_MS = 1_200
HOLD_MS = 1_300


class ShareLeases:
    """The shares that nodes delegate to one owner.

    Args:
        now_ms: Time of the start.

    Attributes:
        covered_ms: Sum over all nodes of the time in which their shares were delegated.
    """

    def __init__(self, now_ms: int) -> None:
        self._until_ms: dict[str, int] = {}
        # Messages may arrive out of order, as a node may use two connections one after the other.
        self._last_request_ids: dict[str, int] = {}
        self._advanced_to_ms = now_ms
        self.covered_ms = 0.0

    @property
    def count(self) -> int:
        """How many nodes delegate their shares, as of the last call of `advance`."""
        return len(self._until_ms)

    def advance(self, now_ms: int) -> None:
        """Counts the time that passed and drops the leases that ended."""
        passed_ms = now_ms - self._advanced_to_ms
        if passed_ms <= 0:
            return
        for node, until_ms in list(self._until_ms.items()):
            if until_ms <= now_ms:
                self.covered_ms += max(0, until_ms - self._advanced_to_ms)
                del self._until_ms[node]
        self.covered_ms += passed_ms * len(self._until_ms)
        self._advanced_to_ms = now_ms

    def renew(self, node: str, request_id: int, until_ms: int) -> None:
        """Extends a node's lease, unless a later message of the node has been handled."""
        if self._is_latest(node, request_id) and until_ms > self._advanced_to_ms:
            self._until_ms[node] = max(until_ms, self._until_ms.get(node, 0))

    def release(self, node: str, request_id: int) -> None:
        """Ends a node's lease, unless a later message of the node has been handled."""
        if self._is_latest(node, request_id):
            self._until_ms.pop(node, None)

    def _is_latest(self, node: str, request_id: int) -> bool:
        if request_id < self._last_request_ids.get(node, 0):
            return False
        self._last_request_ids[node] = request_id
        return True
