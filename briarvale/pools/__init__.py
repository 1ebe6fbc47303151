"""Decisions of a pool's owner, without a network: whom to serve, whom to refuse, what to revoke."""

from .release_rate import ReleaseRate
from .revocation_need import REVOCATION_MS, RevocationNeed, grant_by_ms, revocation_need

__all__ = ["REVOCATION_MS", "ReleaseRate", "RevocationNeed", "grant_by_ms", "revocation_need"]
