"""The expected cost of a request on a server, in ms: its terms, and what of them is known before.

A request's cost is linear in its tokens and events. So the coefficients of each server are computed
when the server changes, and not for each request.
"""

from typing import TYPE_CHECKING, NamedTuple

from .._generated.messages import SlotRequest
from .prefix_holdings import PromptShape
from .server_speed import PoolSpeeds

if TYPE_CHECKING:
    from ..pool_server import PoolServer

# Weight of the time from the first event to the last, beside the time to the first event.
REST_WEIGHT = 0.1
# A prefill also delays the other runs on the server, of which a busy one has about as many. What it
# costs them is counted at the usual speed, as it must not count against slow servers as such.
SHARED_PREFILL_WEIGHT = 7.0
# Parts that are evicted first were not used for the longest time, and not all are asked for again.
EVICTION_WEIGHT = 0.5
# Cost of each run on a server, and of each one above the mean load of the pool, as fractions of a
# run's usual time. They decide between servers that are otherwise alike.
RUN_WEIGHT = 0.004
EXCESS_RUN_WEIGHT = 0.015
# Bonus for the same availability zone; the fraction of a run's usual time is below `RUN_WEIGHT`.
ZONE_BONUS_MS = 2.0
ZONE_BONUS_FRACTION = 0.002

__all__ = ["CostTerms", "PlacementPlan", "ServerRates", "cost_terms", "rates_of"]


class CostTerms(NamedTuple):
    """Terms of the expected cost of a request on a server, in ms; their sum decides.

    Attributes:
        wait_ms: Until a slot is free.
        prefill_ms: To prefill the tokens that are not cached.
        shared_prefill_ms: For the delay of other runs by that, weighted.
        step_ms: To the first event after the prefill.
        rest_ms: To the last event, weighted.
        eviction_ms: To prefill again what others use and this request evicts, weighted.
        load_ms: For the load of the server beside that of the others.
        zone_ms: Negative in the requester's availability zone.
    """

    wait_ms: float
    prefill_ms: float
    shared_prefill_ms: float
    step_ms: float
    rest_ms: float
    eviction_ms: float
    load_ms: float
    zone_ms: float

    @property
    def total_ms(self) -> float:
        """The cost."""
        return sum(self)

    @property
    def own_ms(self) -> float:
        """The part that the request itself takes, without what it costs others."""
        return self.wait_ms + self.prefill_ms + self.step_ms + self.rest_ms


class PlacementPlan(NamedTuple):
    """What is the same for a request on all servers.

    Attributes:
        events: Expected events of the answer.
        run_ms: Usual time of the run, on a server that runs nothing else.
        zone_bonus_ms: Bonus for a server in the requester's zone.
    """

    request: SlotRequest
    prompt: PromptShape
    events: float
    run_ms: float
    zone_bonus_ms: float

    @classmethod
    def of_request(cls, request: SlotRequest, speeds: PoolSpeeds, events: float) -> "PlacementPlan":
        """Returns the plan of a request with that many expected events."""
        prompt = PromptShape.of_request(request)
        if speeds.has_steps:
            run_ms = events * speeds.step_ms + prompt.tokens * speeds.prefill_ms_per_token
        else:
            events, run_ms = 1.0, speeds.hold_ms
        zone_bonus_ms = min(ZONE_BONUS_MS, ZONE_BONUS_FRACTION * run_ms)
        return cls(request, prompt, events, run_ms, zone_bonus_ms)

    @property
    def weighted_events(self) -> float:
        """Events whose steps count, the first one in full."""
        return 1 + REST_WEIGHT * (self.events - 1)


class ServerRates(NamedTuple):
    """Coefficients of the cost on one server.

    Attributes:
        runs: The runs there for which the rates hold.
        step_ms: Time of a step with one run more.
        prefill_ms: Time to prefill a token.
        shared_prefill_ms: Weighted cost of that to the other runs there.
        load: Cost of the load, as a fraction of a run's usual time.
        room_tokens: Tokens that may be added before a part is evicted.
        eviction_ms: Weighted cost of each token beyond that.
        availability_zone: The zone of the server.
    """

    runs: int
    step_ms: float
    prefill_ms: float
    shared_prefill_ms: float
    load: float
    room_tokens: float
    eviction_ms: float
    availability_zone: str


def rates_of(server: "PoolServer", speeds: PoolSpeeds, mean_load: float) -> ServerRates:
    """Returns the rates of a server; `mean_load` is the mean of the pool, a fraction of slots."""
    runs, speed, holdings = server.runs, server.speed, server.holdings
    prefill_ms = speeds.prefill_ms_per_token * speed.prefill_factor
    excess_runs = max(0.0, runs - mean_load * server.live_server.slots)
    return ServerRates(
        runs=runs,
        step_ms=step_ms(server, speeds, runs + 1),
        prefill_ms=prefill_ms,
        shared_prefill_ms=SHARED_PREFILL_WEIGHT * speeds.prefill_ms_per_token,
        load=RUN_WEIGHT * runs + EXCESS_RUN_WEIGHT * excess_runs + server.excess_cost,
        room_tokens=holdings.room_tokens(server.grants.tokens),
        eviction_ms=EVICTION_WEIGHT * prefill_ms * holdings.reused_fraction,
        availability_zone=server.live_server.availability_zone,
    )


def step_ms(server: "PoolServer", speeds: PoolSpeeds, running: float) -> float:
    """Returns the time of a step with this many runs; that of a whole run if there are no steps."""
    speed = server.speed
    if speeds.has_steps:
        return speeds.step_on(speed, running)
    return speeds.hold_ms * (speed.step_factor if speed.is_known else server.slowness)


def cost_terms(
    rates: ServerRates, plan: PlacementPlan, cached_tokens: int, wait_ms: float = 0.0
) -> CostTerms:
    """Returns the terms of a request's cost; `ServerChooser` computes their sum in the same way."""
    uncached = plan.prompt.tokens - cached_tokens
    is_same_zone = rates.availability_zone == plan.request.availability_zone
    return CostTerms(
        wait_ms=wait_ms,
        prefill_ms=rates.prefill_ms * uncached,
        shared_prefill_ms=rates.shared_prefill_ms * uncached,
        step_ms=rates.step_ms,
        rest_ms=rates.step_ms * (plan.weighted_events - 1),
        eviction_ms=rates.eviction_ms * max(0.0, uncached - rates.room_tokens),
        load_ms=rates.load * plan.run_ms,
        zone_ms=-plan.zone_bonus_ms if is_same_zone else 0.0,
    )
