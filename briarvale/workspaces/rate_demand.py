"""What one node needs of one workspace's limit: its recent demand, tokens in hand, refusals."""

import math

# Requests for which tokens are requested at once: those expected within this time.
PREFETCH_MS = 100
MAX_PREFETCH = 64
DEMAND_WINDOW_MS = 500
# While shares are on the way to an owner, it may have tokens earlier than it expects.
ASK_AGAIN_MS = 100

__all__ = ["RateDemand"]


class RateDemand:
    """One workspace at one node.

    Attributes:
        refused_until_ms: Until then the owner is not asked.
        retry_at_ms: When the owner expects to have a token.
        is_partial: Whether the owner refused for lack of shares or of knowledge of the past.
        tolerance_refused_until_ms: Until then no holder has a token beyond the limit.
    """

    def __init__(self, now_ms: int) -> None:
        self._tokens = 0
        self._expires_at_ms = 0
        self._window_began_ms = now_ms
        self._current = 0
        self._previous = 0
        self.refused_until_ms = 0
        self.retry_at_ms = 0
        self.is_partial = False
        self.tolerance_refused_until_ms = 0

    def count(self, now_ms: int) -> None:
        """Counts one request."""
        passed_ms = now_ms - self._window_began_ms
        if passed_ms >= DEMAND_WINDOW_MS:
            self._previous = self._current if passed_ms < 2 * DEMAND_WINDOW_MS else 0
            self._current = 0
            self._window_began_ms = now_ms
        self._current += 1

    def prefetch_count(self) -> int:
        """Returns how many tokens to request at once; more than one only at a high rate."""
        expected = self._previous * PREFETCH_MS / DEMAND_WINDOW_MS
        return max(1, min(MAX_PREFETCH, math.floor(expected)))

    def keep(self, tokens: int, expires_at_ms: int) -> None:
        """Keeps granted tokens for the next requests."""
        self._tokens = tokens
        self._expires_at_ms = expires_at_ms

    def spend(self, now_ms: int) -> bool:
        """Spends a token in hand; returns whether there was one that had not expired."""
        if self._tokens == 0 or now_ms >= self._expires_at_ms:
            return False
        self._tokens -= 1
        return True

    def refuse(self, retry_after_ms: int, now_ms: int, *, is_partial: bool) -> None:
        """Records an owner's refusal; one that lacks shares is asked again soon."""
        self.retry_at_ms = now_ms + max(1, retry_after_ms)
        self.refused_until_ms = self.retry_at_ms
        if is_partial:
            self.refused_until_ms = min(self.retry_at_ms, now_ms + ASK_AGAIN_MS)
        self.is_partial = is_partial

    def refuse_tolerance(self, retry_after_ms: int, now_ms: int) -> None:
        """Records the refusal of all holders that answered."""
        self.tolerance_refused_until_ms = now_ms + max(1, retry_after_ms)
