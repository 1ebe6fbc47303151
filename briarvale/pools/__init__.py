"""Decisions of a pool's owner, without a network: whom to serve, whom to refuse, what to revoke."""

from .fair_backlog import FairBacklog
from .release_rate import ReleaseRate
from .revocation_need import REVOCATION_MS, RevocationNeed, grant_by_ms, revocation_need
from .starvation_guard import MAX_BYPASSES, StarvationGuard

__all__ = [
    "MAX_BYPASSES",
    "REVOCATION_MS",
    "FairBacklog",
    "ReleaseRate",
    "RevocationNeed",
    "StarvationGuard",
    "grant_by_ms",
    "revocation_need",
]
