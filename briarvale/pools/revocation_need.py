"""How many batch slots the waiting online requests need, and when that has to be asked again."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from .release_rate import ReleaseRate

# The time from a revocation to the release: two messages, and the cancellation at the server.
REVOCATION_MS = 20
# Interval at which a need is computed again at the latest while requests wait without one.
RECHECK_MS = 10
# Part of the time until a request's latest start in which it may wait for releases. The latest
# start assumes a mean answer time, and many answers take longer.
WAIT_FRACTION = 0.6

__all__ = ["REVOCATION_MS", "RevocationNeed", "grant_by_ms", "revocation_need"]


class RevocationNeed(NamedTuple):
    """The slots to revoke now, and when to compute the need again; never if all get a slot."""

    slots: int
    recheck_at_ms: float


def grant_by_ms(start_by_ms: int, queued_at_ms: int) -> float:
    """Returns when a request that was queued at a time should get its slot."""
    return queued_at_ms + WAIT_FRACTION * (start_by_ms - queued_at_ms)


def revocation_need(
    grant_by_ms: Iterable[float], returning: int, rate: ReleaseRate, now_ms: int
) -> RevocationNeed:
    """Returns how many slots to revoke so that each request gets its slot in time.

    The request at position `n` needs `n` slots. It gets those that are being returned, those that
    are released until a revocation would be too late for it, and those revoked now. A request near
    its time, or past it, counts on no release.

    Args:
        grant_by_ms: When each waiting request should get its slot, in the order of service.
        returning: Slots that are being revoked already.
        rate: The recent releases.
        now_ms: The current time.
    """
    needed = 0
    position = 0
    for position, by_ms in enumerate(grant_by_ms, 1):
        missing = position - returning
        if missing <= needed:
            continue
        missing -= rate.expected(by_ms - REVOCATION_MS - now_ms, now_ms)
        needed = max(needed, missing)
    is_met = needed + returning >= position
    return RevocationNeed(needed, math.inf if is_met else now_ms + RECHECK_MS)
