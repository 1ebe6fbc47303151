"""Decisions of a pool's owner, without a network: whom to serve, where, and what to revoke."""

from .fair_backlog import FairBacklog
from .item_starts import ItemStarts, required_starts, usable_slots
from .peak_forecast import BIN_MS, PeakForecast, find_period
from .placement_cost import CostTerms, ServerRates
from .prefix_holdings import PrefixHoldings
from .release_rate import ReleaseRate
from .revocation_need import REVOCATION_MS, RevocationNeed, grant_by_ms, revocation_need
from .run_records import RunStart
from .server_choice import Choice, ServerChooser
from .server_speed import ServerSpeed
from .starvation_guard import MAX_BYPASSES, StarvationGuard

__all__ = [
    "BIN_MS",
    "MAX_BYPASSES",
    "REVOCATION_MS",
    "Choice",
    "CostTerms",
    "FairBacklog",
    "ItemStarts",
    "PeakForecast",
    "PrefixHoldings",
    "ReleaseRate",
    "RevocationNeed",
    "RunStart",
    "ServerChooser",
    "ServerRates",
    "ServerSpeed",
    "StarvationGuard",
    "find_period",
    "grant_by_ms",
    "required_starts",
    "revocation_need",
    "usable_slots",
]
