"""`python -m benchmarks.routing`: routing, compared with two baselines under the same load.

Eight gateways send sessions with shared prefixes to nine engines in virtual time, with bursts. The
baselines are a random choice, and the least loaded engine by reports up to two seconds old.
"""

import os
import random
import statistics
import sys
from collections.abc import Collection
from typing import NamedTuple

import anyio
from loguru import logger
from rich.console import Console
from rich.table import Table

from briarvale.online import OnlineRequest
from briarvale.routing import Choice, Router, RouteRequest
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MemoryFleet
from features.support.online import MEMBER, count_prefill, prefix_of, run_on_fleet

PYTHON_HASH_SEED = "0"
VMS, ENGINES, SLOTS = 8, 9, 32
DURATION_S, REQUESTS_PER_S, BURST_REQUESTS, BURST_INTERVAL_S = 40, 35, 70, 8
SESSIONS, PREFIX_TOKENS, ANSWER_TOKENS = 240, 640, 40
REPORT_INTERVAL_S = 2.0
FIRST_TOKEN_TARGET_MS = 910
WARM_UP_S = 8

__all__ = ["PolicyResult", "measure_policies"]


class PolicyResult(NamedTuple):
    """The measurements of one policy.

    Attributes:
        prefill_fraction: Fraction of the prompt tokens that the engines prefilled.
        peak_ratio: p95 of the highest load of an engine, relative to the mean of all, in bursts.
    """

    policy: str
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    prefill_fraction: float
    peak_ratio: float
    failed: int


class RandomRouter(Router):
    """Baseline: a random candidate."""

    def choose_with_reason(self, request: RouteRequest, excluded: Collection[str] = ()) -> Choice:
        """Returns a random candidate."""
        candidates = self._candidates(request, excluded)
        return Choice(self._random.choice(candidates), (), "random")


class StaleLeastRouter(Router):
    """Baseline: the least loaded candidate by reports that every gateway reads at intervals."""

    reports: dict[str, int]

    def choose_with_reason(self, request: RouteRequest, excluded: Collection[str] = ()) -> Choice:
        """Returns the candidate with the least reported load."""
        candidates = self._candidates(request, excluded)
        least = min(candidates, key=lambda server: self.reports.get(server.id, 0))
        return Choice(least, (), "least reported load")


POLICIES: dict[str, type[Router] | None] = {
    "random": RandomRouter,
    "least of all, stale load": StaleLeastRouter,
    "briarvale": None,
}


def measure_policies() -> list[PolicyResult]:
    """Runs all policies under the same seeded load."""
    return [_run(policy) for policy in POLICIES]


def _run(policy: str) -> PolicyResult:
    async def run_load(fleet: MemoryFleet) -> PolicyResult:
        reports: dict[str, int] = {}
        for index, vm in enumerate(fleet.vms.values()):
            make_router = POLICIES[policy]
            if make_router is not None:
                router = make_router(vm.gateway.view, index)
                router.reports = reports  # type: ignore[attr-defined]
                vm.gateway.online._router = router
        first_token_ms: list[float] = []
        peaks: list[float] = []
        failed = 0
        rng = random.Random(7)
        counts = count_prefill(fleet)

        async def send_request(index: int, vm: str, session: int) -> None:
            nonlocal failed
            prompt = f"{prefix_of(session, PREFIX_TOKENS)} {index}"
            started_s = anyio.current_time()
            deadline_ms = fleet.clock.now_ms() + 30_000
            request = OnlineRequest(
                f"r{index}", MEMBER, ENGINE_SERVICE, prompt, ANSWER_TOKENS, deadline_ms
            )
            try:
                stream = fleet.vms[vm].gateway.online.stream(request)
                await anext(stream)
                first_token_ms.append((anyio.current_time() - started_s) * 1_000)
                async for _ in stream:
                    continue
            except Exception:
                failed += 1

        async def update_reports() -> None:
            while True:
                for name, engine in fleet.backends.engines.items():
                    reports[name] = (await engine.load()).streams
                await anyio.sleep(REPORT_INTERVAL_S)

        async def record_peaks() -> None:
            while True:
                await anyio.sleep(0.05)
                streams = [engine.stream_count for engine in fleet.backends.engines.values()]
                if sum(streams) >= BURST_REQUESTS:
                    peaks.append(max(streams) / statistics.mean(streams))

        index = 0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(update_reports)
            tasks.start_soon(record_peaks)
            async with anyio.create_task_group() as callers:
                for step in range(DURATION_S * REQUESTS_PER_S):
                    is_burst = step and step % (BURST_INTERVAL_S * REQUESTS_PER_S) == 0
                    for _ in range(BURST_REQUESTS if is_burst else 1):
                        vm = f"vm-{rng.randrange(VMS) + 1}"
                        callers.start_soon(send_request, index, vm, rng.randrange(SESSIONS))
                        index += 1
                    await anyio.sleep(1 / REQUESTS_PER_S)
                    if step == WARM_UP_S * REQUESTS_PER_S:
                        counts.clear()
                        first_token_ms.clear()
                        peaks.clear()
            tasks.cancel_scope.cancel()
        percentiles_ms = statistics.quantiles(first_token_ms, n=100)
        return PolicyResult(
            policy,
            percentiles_ms[49],
            percentiles_ms[94],
            percentiles_ms[98],
            counts["prefilled"] / counts["prompt"],
            statistics.quantiles(peaks, n=100)[94],
            failed,
        )

    return run_on_fleet(run_load, vm_count=VMS, engine_count=ENGINES, slots=SLOTS)


def verdicts(measured: list[PolicyResult]) -> list[tuple[str, bool]]:
    """Returns the name of each bound, and whether it is met."""
    own = measured[-1]
    baselines = measured[:-1]
    return [
        ("first token p95 <= 910 ms", own.first_token_p95_ms <= FIRST_TOKEN_TARGET_MS),
        (
            "first token p99 below each baseline",
            all(own.first_token_p99_ms < row.first_token_p99_ms for row in baselines),
        ),
        (
            "prefilled part below each baseline",
            all(own.prefill_fraction < row.prefill_fraction for row in baselines),
        ),
        (
            "peak of one server / mean below each baseline",
            all(own.peak_ratio < row.peak_ratio for row in baselines),
        ),
        ("no request failed", own.failed == 0),
    ]


def main() -> None:
    """Prints the table and exits 1 if a bound is broken."""
    if os.environ.get("PYTHONHASHSEED") != PYTHON_HASH_SEED:
        environment = os.environ | {"PYTHONHASHSEED": PYTHON_HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "benchmarks.routing"], environment)
    logger.remove()
    measured = measure_policies()
    table = Table(title="Routing")
    for heading in ("policy", "p50 ms", "p95 ms", "p99 ms", "prefilled", "peak/mean", "failed"):
        table.add_column(heading)
    for row in measured:
        table.add_row(
            row.policy,
            f"{row.first_token_p50_ms:.0f}",
            f"{row.first_token_p95_ms:.0f}",
            f"{row.first_token_p99_ms:.0f}",
            f"{row.prefill_fraction:.2f}",
            f"{row.peak_ratio:.2f}",
            str(row.failed),
        )
    Console(width=100).print(table)
    bounds = verdicts(measured)
    for name, is_met in bounds:
        print(f"{'met' if is_met else 'BROKEN'}: {name}")
    failed = sum(not is_met for _, is_met in bounds)
    print(f"{len(bounds) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
