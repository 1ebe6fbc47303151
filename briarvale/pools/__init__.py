"""Decisions of a slot pool: the speed of servers, what they have cached, and where a run goes."""

from .placement_cost import CostTerms, ServerRates
from .prefix_holdings import PrefixHoldings
from .run_records import RunStart
from .server_choice import Choice, ServerChooser
from .server_speed import ServerSpeed

__all__ = [
    "Choice",
    "CostTerms",
    "PrefixHoldings",
    "RunStart",
    "ServerChooser",
    "ServerRates",
    "ServerSpeed",
]
