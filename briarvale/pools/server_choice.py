"""Chooses the server on which a request runs, by the time that it is expected to cost there."""

import math
from collections.abc import Callable, Collection, Iterator, Mapping
from heapq import heapify, heappop
from typing import TYPE_CHECKING, NamedTuple

from .. import logs, metrics
from .._generated.messages import Outcome, SlotRelease, SlotRequest, WorkClass
from .event_counts import EventCounts
from .load_balance import LoadBalance
from .placement_cost import CostTerms, PlacementPlan, cost_terms, rates_of, step_ms
from .run_records import RunStart, RunTimes
from .server_speed import PoolSpeeds

if TYPE_CHECKING:
    from ..grants import Grant
    from ..pool_server import PoolServer

# A wait must save this much, and as much again as it takes, as the end of a run is only estimated.
# In simulated load, smaller savings than that made first events no earlier.
WAIT_MARGIN_MS = 30.0
WAIT_MARGIN_FACTOR = 1.0
# A run past its expected end is taken to need this fraction of a usual run more.
OVERRUN_FRACTION = 0.15
# A request that waits for a better server gets a free one this long before it must start. Waits are
# reconsidered at each release, and at least at each tick, every 100 ms.
START_MARGIN_MS = 120
# The load of servers that are slower than this factor is not compared with that of the others.
MAX_COMPARED_FACTOR = 2.0
LOG_INTERVAL_MS = 5_000

log = logs.component_logger("pool")

__all__ = ["Choice", "ServerChooser"]


class Choice(NamedTuple):
    """Where a request runs, and the terms of its cost there."""

    server: "PoolServer"
    terms: CostTerms


class ServerChooser:
    """Chooses servers for the requests of one pool, and learns from their runs.

    Attributes:
        speeds: Estimates of the servers' speeds.
        deferred: Requests that wait for a better server than a free one since `begin_pass`.
    """

    def __init__(self) -> None:
        self.speeds = PoolSpeeds()
        self.deferred = 0
        self._balance = LoadBalance()
        self._events = EventCounts()
        self._mean_load = 0.0
        self._awaited: set[str] = set()
        self._spare_slots: Callable[[], int] = lambda: -1
        self._log_at_ms = 0

    def begin_pass(self, spare_slots: Callable[[], int]) -> None:
        """Begins to choose for the waiting requests, of which one may wait for each full server.

        Args:
            spare_slots: Returns the free slots less all waiting requests. If there are too few for
                all, none may stay empty while a request waits for a better one.
        """
        self._awaited.clear()
        self._spare_slots = spare_slots
        self.deferred = 0

    def choose(
        self, servers: Collection["PoolServer"], request: SlotRequest, now_ms: int
    ) -> Choice | None:
        """Returns the choice of least cost among the servers that are not ejected.

        Excluded servers are used only if no other is ready, unhealthy ones if no other is free.
        None is returned if no slot is free, or if the request is to wait for a better one.
        """
        ready = [server for server in servers if server.is_listed and not server.is_draining]
        if request.excluded:
            preferred = [s for s in ready if s.live_server.id not in request.excluded]
            ready = preferred or ready
        plan = PlacementPlan.of_request(request, self.speeds, self._events.expected(request))
        unhealthy: PoolServer | None = None
        full: list[PoolServer] = []
        for server in self._by_cost(ready, plan):
            if server.monitor.is_ejected(now_ms):
                continue
            if server.free_slots_for(request.work_class) <= 0:
                full.append(server)
            elif server.is_healthy(now_ms):
                terms = self._terms(server, plan)
                if self._should_wait(full, plan, terms, now_ms):
                    self.deferred += 1
                    return None
                return Choice(server, terms)
            elif unhealthy is None:
                unhealthy = server
        return None if unhealthy is None else Choice(unhealthy, self._terms(unhealthy, plan))

    def start(self, choice: Choice, request: SlotRequest, now_ms: int) -> RunStart:
        """Records that the chosen server gets the request's run; returns what is known of it."""
        server = choice.server
        plan = PlacementPlan.of_request(request, self.speeds, self._events.expected(request))
        cached = server.holdings.cached_tokens(plan.prompt)
        uncached = plan.prompt.tokens - cached
        running = server.runs + 1
        prefill_ms = uncached * self.speeds.prefill_ms_per_token * server.speed.prefill_factor
        took_ms = prefill_ms + plan.events * step_ms(server, self.speeds, running)
        server.holdings.record(plan.prompt, server.grants.tokens + request.cost_tokens)
        server.rates = None
        metrics.PROMPT_TOKENS.add({"cached": "yes"}, cached)
        metrics.PROMPT_TOKENS.add({"cached": "no"}, uncached)
        self._log_choice(choice, request, uncached, now_ms)
        return RunStart(uncached, request.output_tokens, running, now_ms + took_ms)

    def record_end(
        self, server: "PoolServer", grant: "Grant", release: SlotRelease, now_ms: int
    ) -> None:
        """Records how a run went whose grant was removed."""
        work_class = grant.held.work_class
        if release.outcome is Outcome.FINISHED:
            self._events.record(work_class, grant.start.output_tokens, release.event_count)
            if work_class is WorkClass.ONLINE:
                self.speeds.record_hold(server.speed, now_ms - grant.granted_at_ms, now_ms)
        is_sound = release.outcome in (Outcome.FINISHED, Outcome.REVOKED)
        if is_sound and grant.start.running:
            run = RunTimes.of_release(release, grant.start, server.runs + 1)
            self.speeds.record(server.speed, run, now_ms)
        if release.outcome is Outcome.CRASHED:
            server.holdings.clear()
        server.rates = None

    def tick(self, servers: Mapping[str, "PoolServer"], now_ms: int) -> None:
        """Compares speeds and loads of the servers; call at each tick of the pool."""
        self.speeds.update((server.speed for server in servers.values()), now_ms)
        ready = {server_id: server for server_id, server in servers.items() if server.is_ready}
        loads = {server_id: server.load for server_id, server in ready.items()}
        compared = [
            server_id
            for server_id, server in ready.items()
            if server.speed.step_factor <= MAX_COMPARED_FACTOR
        ]
        self._mean_load = sum(loads.values()) / max(1, len(loads))
        costs = self._balance.sample(loads, compared)
        for server_id, server in ready.items():
            server.excess_cost = costs[server_id]
            server.rates = None

    def _by_cost(
        self, servers: Collection["PoolServer"], plan: PlacementPlan
    ) -> Iterator["PoolServer"]:
        """Yields the servers, that of least cost first.

        This runs for each server at each request, so it computes the sum of `cost_terms` inline.
        """
        prompt_tokens, run_ms, events = plan.prompt.tokens, plan.run_ms, plan.weighted_events
        first_part = plan.prompt.part_ids[0] if plan.prompt.part_ids else None
        zone, zone_bonus_ms = plan.request.availability_zone, plan.zone_bonus_ms
        ranked: list[tuple[float, int, PoolServer]] = []
        for index, server in enumerate(servers):
            rates = server.rates
            if rates is None or rates[0] != server.grants.slots + server.foreign_runs:
                rates = server.rates = rates_of(server, self.speeds, self._mean_load)
            _, server_step_ms, prefill_ms, shared_ms, load, room_tokens, eviction_ms, at = rates
            uncached = prompt_tokens
            if first_part in server.holdings.parts:
                uncached -= server.holdings.cached_tokens(plan.prompt)
            cost_ms = server_step_ms * events + (prefill_ms + shared_ms) * uncached + load * run_ms
            if uncached > room_tokens:
                cost_ms += eviction_ms * (uncached - room_tokens)
            if at == zone:
                cost_ms -= zone_bonus_ms
            ranked.append((cost_ms, index, server))
        heapify(ranked)
        while ranked:
            yield heappop(ranked)[2]

    def _terms(self, server: "PoolServer", plan: PlacementPlan, wait_ms: float = 0.0) -> CostTerms:
        rates = server.rates or rates_of(server, self.speeds, self._mean_load)
        return cost_terms(rates, plan, server.holdings.cached_tokens(plan.prompt), wait_ms)

    def _should_wait(
        self, full: Collection["PoolServer"], plan: PlacementPlan, free: CostTerms, now_ms: int
    ) -> bool:
        """Whether the request is expected to be faster on a full server, by a margin.

        Args:
            full: The full servers that would cost less, but for the wait.
            plan: The request.
            free: The cost on the best server that is free.
            now_ms: The current time.
        """
        is_online = plan.request.work_class is WorkClass.ONLINE
        latest_wait_ms = plan.request.start_by_ms - START_MARGIN_MS - now_ms
        if not (full and is_online and latest_wait_ms > 0) or self._spare_slots() < 0:
            return False
        best_ms, best_id = math.inf, ""
        for server in full:
            if server.live_server.id in self._awaited or server.monitor.is_on_trial:
                continue
            wait_ms = self._wait_ms(server, plan, now_ms)
            if wait_ms > latest_wait_ms or not server.is_healthy(now_ms):
                continue
            cost_ms = self._terms(server, plan, wait_ms).own_ms + WAIT_MARGIN_FACTOR * wait_ms
            if cost_ms < best_ms:
                best_ms, best_id = cost_ms, server.live_server.id
        if best_ms + WAIT_MARGIN_MS >= free.own_ms:
            return False
        self._awaited.add(best_id)
        return True

    def _wait_ms(self, server: "PoolServer", plan: PlacementPlan, now_ms: int) -> float:
        """Returns the expected time to the first release on a full server."""
        overrun_ms = OVERRUN_FRACTION * plan.run_ms * server.speed.step_factor
        remaining_ms = server.grants.next_end_ms - now_ms
        return remaining_ms if remaining_ms > 0 else overrun_ms

    def _log_choice(self, choice: Choice, request: SlotRequest, uncached: int, now_ms: int) -> None:
        """Logs the terms of a choice every `LOG_INTERVAL_MS`."""
        if now_ms < self._log_at_ms:
            return
        self._log_at_ms = now_ms + LOG_INTERVAL_MS
        speed = choice.server.speed
        log.info(
            "Chose a server by its expected cost.",
            request_id=request.request_id,
            pool=request.backend_server,
            backend_server=choice.server.live_server.id,
            cost_ms=round(choice.terms.total_ms, 1),
            uncached_tokens=uncached,
            running=choice.server.runs,
            step_factor=round(speed.step_factor, 2),
            prefill_factor=round(speed.prefill_factor, 2),
            usual_step_ms=round(self.speeds.step_ms, 2),
            load_slope=round(self.speeds.load_slope, 3),
            **{name: round(value, 1) for name, value in choice.terms._asdict().items()},
        )
