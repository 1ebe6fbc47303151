"""Claimants of one lease that freeze at random, with a simulated Object API that has faults."""

import random
from typing import Any, NamedTuple

import anyio

from briarvale.leases import Lease, LeaseTimes
from briarvale.standins.object_api import StandinObjectApi

from .virtual import run_virtual

CLAIMANTS = 3
FAULT_SPAN_S = 300.0
QUIET_SPAN_S = 60.0
CHECK_INTERVAL_S = 0.1
ORDER_INTERVAL_S = 0.5

__all__ = ["Freezable", "LeaseReport", "run_leases"]


class Freezable:
    """A proxy for an object with async methods; while frozen, calls neither start nor return."""

    def __init__(self, target: Any) -> None:
        self._target = target
        self._thawed = anyio.Event()
        self._thawed.set()
        self.slow_start_s = 0.0

    @property
    def is_frozen(self) -> bool:
        """Whether calls are blocked."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Blocks calls from now on."""
        self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Lets blocked calls continue."""
        self._thawed.set()

    def __getattr__(self, name: str) -> Any:
        function = getattr(self._target, name)

        async def call(*args: Any) -> Any:
            await self._thawed.wait()
            result = await function(*args)
            await self._thawed.wait()
            return result

        return call


class LeaseReport(NamedTuple):
    """Counts from one schedule of faults.

    Attributes:
        double_holdings: Checks at which more than one claimant held the lease.
        old_epochs: Orders that took effect after one with a higher epoch.
        holders: Different pairs of claimant and epoch that sent orders.
        held_in_the_end: Claimants that held the lease at the end.
        store_calls_per_s: Rate of store calls after the faults ended.
    """

    seed: int
    double_holdings: int
    old_epochs: int
    holders: int
    held_in_the_end: int
    store_calls_per_s: float


class _LeaseSchedule:
    """A seeded random schedule of faults for the claimants, and the counts for its report.

    Attributes:
        proxies: Each claimant's access to the store; blocked while the claimant is frozen.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.store = StandinObjectApi(seed)
        self.proxies = [Freezable(self.store) for _ in range(CLAIMANTS)]
        self.leases = [Lease(p, "reed-desk", f"vm-{n}") for n, p in enumerate(self.proxies)]  # type: ignore[arg-type]
        self.double_holdings = 0
        self.old_epochs = 0
        self.highest_epoch = 0
        self.holders: set[tuple[int, int]] = set()

    async def run(self) -> LeaseReport:
        async with anyio.create_task_group() as tasks:
            for index, lease in enumerate(self.leases):
                tasks.start_soon(self._maintain_lease, index, lease)
                tasks.start_soon(self._send_orders, index, lease)
            tasks.start_soon(self._count_double_holdings)
            await self._inject_faults()
            await anyio.sleep(QUIET_SPAN_S)
            calls_before = len(self.store.calls)
            await anyio.sleep(QUIET_SPAN_S)
            calls_per_s = (len(self.store.calls) - calls_before) / QUIET_SPAN_S
            held = sum(lease.is_held for lease in self.leases)
            tasks.cancel_scope.cancel()
        return LeaseReport(
            self.seed,
            self.double_holdings,
            self.old_epochs,
            len(self.holders),
            held,
            calls_per_s,
        )

    async def _maintain_lease(self, index: int, lease: Lease) -> None:
        await anyio.sleep(self.random.random())
        while True:
            await lease.renew_or_claim()
            await anyio.sleep(lease.times.renew_interval_s)

    async def _send_orders(self, index: int, lease: Lease) -> None:
        """Sends orders while the lease is held; each takes effect up to the order timeout later."""
        while True:
            if lease.is_held and not self.proxies[index].is_frozen:
                epoch = lease.epoch
                await anyio.sleep(self.random.uniform(0, LeaseTimes().order_timeout_s))
                self.holders.add((index, epoch))
                self.old_epochs += epoch < self.highest_epoch
                self.highest_epoch = max(epoch, self.highest_epoch)
            await anyio.sleep(ORDER_INTERVAL_S)

    async def _count_double_holdings(self) -> None:
        while True:
            self.double_holdings += sum(lease.is_held for lease in self.leases) > 1
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _inject_faults(self) -> None:
        until_s = anyio.current_time() + FAULT_SPAN_S
        faults, choice = self.store.faults, self.random.choice
        while anyio.current_time() < until_s:
            faults.is_down = self.random.random() < 0.2
            faults.latency_s = choice((0.003, 0.05, 1.0, 4.0))
            faults.lose_answer_probability = choice((0.0, 0.3, 0.8))
            faults.late_write_probability = choice((0.0, 0.3, 0.8))
            faults.late_write_s = choice((0.5, 5.0, 20.0))
            proxy = choice(self.proxies)
            if proxy.is_frozen:
                proxy.thaw()
            elif self.random.random() < 0.5:
                proxy.freeze()
            await anyio.sleep(self.random.expovariate(0.1))
        self.store.faults = type(faults)()
        for proxy in self.proxies:
            proxy.thaw()


def run_leases(seed: int) -> LeaseReport:
    """Runs one schedule in virtual time; the same seed gives the same schedule."""
    return run_virtual(_LeaseSchedule(seed).run, seed=seed)
