"""A token bucket whose capacity and refill depend on the shares that its owner may spend."""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens of one workspace; the caller computes the refill and the capacity.

    Args:
        level: Tokens at the start.
    """

    def __init__(self, level: float) -> None:
        self.level = level

    def refill(self, tokens: float, capacity: float) -> None:
        """Adds tokens up to the capacity; a lower capacity takes tokens away."""
        self.level = min(capacity, self.level + tokens)

    def take(self, count: int) -> int:
        """Takes up to `count` whole tokens; returns how many."""
        taken = max(0, min(count, math.floor(self.level)))
        self.level -= taken
        return taken

    def wait_ms(self, refill_per_s: float) -> float:
        """Returns the time until there is a whole token; infinite without refill."""
        missing = 1.0 - self.level
        if missing <= 0:
            return 0.0
        return missing * 1_000 / refill_per_s if refill_per_s > 0 else math.inf
