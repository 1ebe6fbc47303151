"""Steps for the spread of crash reports between many nodes, in virtual time."""

import random

import anyio
from anyio.abc import TaskGroup
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import CrashReport
from briarvale.clock import MS_PER_S
from briarvale.standins.memory_dispatchers import DispatcherFleet, DispatcherFleetSettings
from features.support.nodes import run_on_fleet
from features.support.virtual import run_virtual

LOAD_S = 9.0
RUN_MS = 70
FIRST_PART, DEADLY_PART = 1, 2
LIMIT_AFTER_FIFTH_S = 3.0


class DeadlyArrivals:
    """Deadly requests that arrive at random nodes; each runs unless its node refuses it."""

    def __init__(self, fleet: DispatcherFleet, generator: random.Random, beside: int) -> None:
        self._fleet = fleet
        self._random = generator
        self._beside = beside
        self._next_body = 1_000
        # When each run began and crashed its server.
        self.crashes_s: list[tuple[float, float]] = []

    async def run(self, rate_per_s: int) -> None:
        """Lets requests arrive at this rate for `LOAD_S`."""
        end_s = anyio.current_time() + LOAD_S
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end_s:
                tasks.start_soon(self._arrive)
                await anyio.sleep(self._random.expovariate(rate_per_s))

    async def _arrive(self) -> None:
        membership = self._random_membership()
        clock = self._fleet.clock
        keys = self._keys(DEADLY_PART)
        if membership.crashes.quarantined_group(keys, clock.now_ms()) is not None:
            return
        began_s, began_at_ms = anyio.current_time(), clock.now_ms()
        await anyio.sleep(RUN_MS / MS_PER_S)
        self.crashes_s.append((began_s, anyio.current_time()))
        server = f"i-{len(self.crashes_s)}"
        membership.publish(CrashReport(server, began_at_ms, clock.now_ms(), keys))
        for index in range(self._beside):
            report = CrashReport(server, began_at_ms, clock.now_ms(), self._keys(100 + index))
            self._random_membership().publish(report)

    def _random_membership(self):  # type: ignore[no-untyped-def]
        vm = self._random.choice(sorted(self._fleet.dispatchers))
        return self._fleet.dispatchers[vm].membership

    def _keys(self, part: int) -> tuple[int, ...]:
        self._next_body += 1
        return self._next_body, FIRST_PART, part


@when(
    "{rate:d} deadly requests a second, each with {beside:d} lost runs beside, arrive at {nodes:d}"
    " nodes, seed {seed:d}"
)
def when_many_nodes(context: Context, rate: int, beside: int, nodes: int, seed: int) -> None:
    async def action(fleet: DispatcherFleet, tasks: TaskGroup) -> list[tuple[float, float]]:
        arrivals = DeadlyArrivals(fleet, random.Random(seed), beside)
        await arrivals.run(rate)
        return arrivals.crashes_s

    settings = DispatcherFleetSettings(vm_count=nodes, server_count=0, seed=seed)
    context.crashes_s = run_virtual(run_on_fleet, settings, action, seed=seed)


@then("at most 3 of them run from 3 s after the fifth crash on")
def then_few_run(context: Context) -> None:
    ends_s = sorted(end_s for _, end_s in context.crashes_s)
    limit_s = ends_s[:5][-1] + LIMIT_AFTER_FIFTH_S
    late = [began_s for began_s, _ in context.crashes_s if began_s > limit_s]
    assert len(ends_s) >= 3 and len(late) <= 3, (len(ends_s), len(late))
