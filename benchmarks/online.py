"""Online policy benchmark: the same load in virtual time under several policies."""

import random
from typing import NamedTuple

import anyio
from loguru import logger

from briarvale.slot_client import SlotClient
from briarvale.slot_owner import QueueFactory, SlotOwner
from briarvale.slots import SlotQueue
from briarvale.standins.memory_fleet import FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

from .online_baselines import LaggingSlots
from .online_load import (
    Arrival,
    BatchLoad,
    OnlineLoad,
    OnlineRecord,
    percentile,
)

SETTLE_S = 2.0
WARM_UP_S = 5.0

__all__ = ["Outcome", "Scenario", "measure"]


class Scenario(NamedTuple):
    """One run: a policy and its load."""

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


class Outcome(NamedTuple):
    """What callers saw and what batch got."""

    name: str
    records: tuple[OnlineRecord, ...]
    batch_tokens_per_s: float
    revocations: int
    slot_waits_s: tuple[float, ...]

    def first_token_ms(self, percent: float, member: str = "") -> float:
        """Returns a percentile of the time to the first token."""
        rows = [r.first_token_s for r in self.records if member in ("", r.member)]
        return percentile(rows, percent) * 1_000

    def between_tokens_ms(self, percent: float) -> float:
        """Returns a percentile of the time between tokens."""
        return percentile([gap for r in self.records for gap in r.gaps_s], percent) * 1_000

    @property
    def failed(self) -> int:
        """Requests without a whole answer."""
        return sum(not record.is_whole for record in self.records)


class BenchFleet(MemoryFleet):
    """A fleet whose owners use the scenario's slot queue."""

    def __init__(self, scenario: Scenario) -> None:
        rules = (("harm_weight", scenario.harm_weight), ("batch_budget_percent", 100))
        super().__init__(
            FleetSettings(
                engine_count=scenario.engines, plain_count=0, slots=scenario.slots, rules=rules
            )
        )
        self._make_queue = scenario.make_queue

    def start_vm(self, index, tasks):
        """Starts a VM with the scenario's slot queue in its dispatcher."""
        vm = super().start_vm(index, tasks)
        vm.dispatcher.slot_owner = SlotOwner(self.clock, self._make_queue)
        return vm


class TimedSlots:
    """Notes how long online requests wait for slots."""

    def __init__(self, slots, waits_s: list[float]) -> None:
        self._slots = slots
        self._waits_s = waits_s

    def __getattr__(self, name: str):
        return getattr(self._slots, name)

    def hold(self, request):
        """Holds a slot and notes the wait."""
        return _TimedHold(self._slots.hold(request), self._waits_s)


class _TimedHold:
    def __init__(self, hold, waits_s: list[float]) -> None:
        self._hold = hold
        self._waits_s = waits_s

    async def __aenter__(self):
        started_s = anyio.current_time()
        slot = await self._hold.__aenter__()
        self._waits_s.append(anyio.current_time() - started_s)
        return slot

    async def __aexit__(self, *error):
        return await self._hold.__aexit__(*error)


def measure(scenario: Scenario) -> Outcome:
    """Runs a scenario in virtual time."""
    logger.remove()
    return run_virtual(_run, scenario, seed=scenario.seed)


async def _run(scenario: Scenario) -> Outcome:
    fleet = BenchFleet(scenario)
    waits_s: list[float] = []
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(SETTLE_S)
        batch_slots = _connect(fleet, scenario, tasks, waits_s)
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
    return Outcome(
        scenario.name, tuple(online.records), batch_tokens_per_s, revocations, tuple(waits_s)
    )


def _batch_tokens(fleet: MemoryFleet, online: OnlineLoad) -> int:
    """Tokens generated so far that no online request got."""
    engines = fleet.backends.engines.values()
    return sum(engine.tokens_generated for engine in engines) - online.tokens


def _connect(fleet: BenchFleet, scenario: Scenario, tasks, waits_s: list[float]) -> list:
    """Connects online to its slots and returns those of batch."""
    random.seed(scenario.seed)
    for index, vm in enumerate(fleet.vms.values()):
        vm.gateway.online._router._random.seed(scenario.seed + index)
    if not scenario.has_slots:
        lagging = LaggingSlots(fleet)
        tasks.start_soon(lagging.run)
        for vm in fleet.vms.values():
            vm.gateway.online._slots = lagging
            vm.gateway.online._router = lagging
        return [lagging]
    for vm in fleet.vms.values():
        vm.gateway.online._slots = TimedSlots(vm.gateway.online._slots, waits_s)
    return [
        SlotClient(fleet.environment(name, "batch"), vm.batch.view, tasks)
        for name, vm in fleet.vms.items()
    ]
