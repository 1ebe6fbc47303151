"""Decisions of a pool's owner, without a network: whom to serve, whom to refuse, what to revoke."""

from .fair_backlog import FairBacklog
from .item_starts import ItemStarts, required_starts, usable_slots
from .peak_forecast import BIN_MS, PeakForecast, find_period
from .release_rate import ReleaseRate
from .revocation_need import REVOCATION_MS, RevocationNeed, grant_by_ms, revocation_need
from .starvation_guard import MAX_BYPASSES, StarvationGuard

__all__ = [
    "BIN_MS",
    "MAX_BYPASSES",
    "REVOCATION_MS",
    "FairBacklog",
    "ItemStarts",
    "PeakForecast",
    "ReleaseRate",
    "RevocationNeed",
    "StarvationGuard",
    "find_period",
    "grant_by_ms",
    "required_starts",
    "revocation_need",
    "usable_slots",
]
