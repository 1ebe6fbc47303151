"""Online policy benchmark: runs the same load in virtual time under several policies."""

import random
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from briarvale._generated.messages import SlotRelease
from briarvale.clock import Clock
from briarvale.config import BackendServer, Rules
from briarvale.grants import Grant
from briarvale.slot_client import SlotClient
from briarvale.slot_owner import QueueFactory
from briarvale.slot_queue import SlotQueue
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

from .online_baselines import LaggingRouter, LaggingSlots
from .online_load import (
    Arrival,
    BatchLoad,
    OnlineLoad,
    OnlineRecord,
    percentile,
)

SETTLE_S = 2.0
WARM_UP_S = 5.0

__all__ = ["RunResult", "Scenario", "measure"]


class Scenario(NamedTuple):
    """A policy and the load that it is run with."""

    name: str
    arrivals: tuple[Arrival, ...]
    duration_s: float
    has_batch: bool = True
    make_queue: QueueFactory = SlotQueue
    has_slots: bool = True
    harm_weight: float = 0.0
    engines: int = 3
    slots: int = 32
    seed: int = 1


class RunResult(NamedTuple):
    """What callers observed in one scenario, and the throughput and revocations of batch.

    Attributes:
        slot_return_times_s: Times from the revocation of a slot to its release.
    """

    name: str
    records: tuple[OnlineRecord, ...]
    batch_tokens_per_s: float
    revocations: int
    slot_return_times_s: tuple[float, ...]

    def first_token_ms(self, percent: float, member: str = "") -> float:
        """Returns a percentile of the time to the first token, of one member or of all."""
        times_s = [r.first_token_s for r in self.records if member in ("", r.member)]
        return percentile(times_s, percent) * 1_000

    def between_tokens_ms(self, percent: float) -> float:
        """Returns a percentile of the time between tokens."""
        return percentile([gap for r in self.records for gap in r.gaps_s], percent) * 1_000

    @property
    def failed(self) -> int:
        """Number of requests without a complete answer."""
        return sum(not record.is_complete for record in self.records)


class BenchmarkFleet(MemoryFleet):
    """A fleet whose owners use the scenario's slot queue."""

    def __init__(self, scenario: Scenario) -> None:
        rules = (("harm_weight", scenario.harm_weight), ("batch_budget_percent", 100))
        super().__init__(
            FleetSettings(
                engine_count=scenario.engines, plain_count=0, slots=scenario.slots, rules=rules
            )
        )
        self.return_times_s: list[float] = []
        self._make_queue = scenario.make_queue
        if scenario.make_queue is SlotQueue:
            self._make_queue = partial(TimedQueue, self.return_times_s)

    def start_vm(self, index, tasks):
        """Starts a VM with the scenario's slot queue in its dispatcher."""
        vm = super().start_vm(index, tasks)
        vm.dispatcher.slot_owner.set_queue_factory(self._make_queue)
        return vm


class TimedQueue(SlotQueue):
    """A slot queue that records how long revoked slots take to be released."""

    def __init__(
        self, return_times_s: list[float], server: BackendServer, clock: Clock, rules: Rules
    ) -> None:
        super().__init__(server, clock, rules)
        self._return_times_s = return_times_s
        self._revoked_at_s: dict[str, float] = {}

    def release(self, release: SlotRelease) -> None:
        """Releases a slot, and records the time since its revocation if it was revoked."""
        revoked_at_s = self._revoked_at_s.pop(release.grant_id, None)
        if revoked_at_s is not None:
            self._return_times_s.append(anyio.current_time() - revoked_at_s)
        super().release(release)

    def _revoke(self, grant: Grant, reason: str) -> None:
        self._revoked_at_s[grant.held.grant_id] = anyio.current_time()
        super()._revoke(grant, reason)


def measure(scenario: Scenario) -> RunResult:
    """Runs a scenario in virtual time."""
    logger.remove()
    return run_virtual(_run, scenario, seed=scenario.seed)


async def _run(scenario: Scenario) -> RunResult:
    fleet = BenchmarkFleet(scenario)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(SETTLE_S)
        batch_slots = _set_up_slots(fleet, scenario, tasks)
        batch = BatchLoad(fleet, batch_slots, ["cyweirio", "trust"], scenario.slots + 4)
        if scenario.has_batch:
            tasks.start_soon(batch.run)
        await anyio.sleep(WARM_UP_S)
        online = OnlineLoad(fleet, list(scenario.arrivals))
        tokens_before, revocations_before = _batch_tokens(fleet, online), batch.revocations
        async with anyio.create_task_group() as loads:
            loads.start_soon(online.run)
            await anyio.sleep(scenario.duration_s)
            batch_tokens_per_s = (
                _batch_tokens(fleet, online) - tokens_before
            ) / scenario.duration_s
        revocations = batch.revocations - revocations_before
        tasks.cancel_scope.cancel()
    return RunResult(
        scenario.name,
        tuple(online.records),
        batch_tokens_per_s,
        revocations,
        tuple(fleet.return_times_s),
    )


def _batch_tokens(fleet: MemoryFleet, online: OnlineLoad) -> int:
    """Returns the tokens generated so far, less those of online requests."""
    engines = fleet.backends.engines.values()
    return sum(engine.tokens_generated for engine in engines) - online.tokens


def _set_up_slots(fleet: BenchmarkFleet, scenario: Scenario, tasks: TaskGroup) -> list:
    """Seeds the routers, sets up the slots of online requests, and returns the slots for batch."""
    random.seed(scenario.seed)
    for index, vm in enumerate(fleet.vms.values()):
        vm.gateway.online._router._random.seed(scenario.seed + index)
    if not scenario.has_slots:
        lagging = LaggingSlots(fleet)
        tasks.start_soon(lagging.run)
        for vm in fleet.vms.values():
            vm.gateway.online._slots = lagging
            vm.gateway.online._router = LaggingRouter(vm.gateway.view, lagging)
        return [lagging]
    return [
        SlotClient(fleet.environment(name, "batch"), vm.batch.view, tasks)
        for name, vm in fleet.vms.items()
    ]
