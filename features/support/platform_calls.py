"""Calls of one caller to one node, and what is observed of them."""

import time
from typing import Any

import anyio
from anyio.abc import SocketStream
from behave.runner import Context

from features.support.platform_engine import Behaviour, PlatformEngineStandin
from features.support.platform_fleet import (
    PLAIN,
    Answer,
    Caller,
    PlatformFleet,
    platform_fleet,
)

__all__ = [
    "BODY",
    "EVENT_COUNT",
    "Observations",
    "TARGET_LATENCY_S",
    "ends_within",
    "one_call",
    "run_on_node",
]

EVENT_COUNT = 6
# The target latency of the stand-in's routes.
TARGET_LATENCY_S = 0.3
BODY = b"\x00look\xff" * 50


class Observations:
    """What one run of a scenario observed."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.engines: list[PlatformEngineStandin] = []
        self.took_s = 0.0
        self.still_running = 0
        self.facts: dict[str, Any] = {}

    @property
    def reached_count(self) -> int:
        """Number of requests that reached servers."""
        return sum(len(engine.seen) for engine in self.engines)


def run_on_node(
    context: Context, scenario: Any, server_count: int = 2, service: str = PLAIN
) -> None:
    """Runs a scenario on a fleet of one node and some servers."""

    async def run() -> Observations:
        observed = Observations()
        async with platform_fleet() as fleet:
            for index in range(server_count):
                observed.engines.append(await fleet.add_engine(f"i-{index}", service))
            caller = Caller(fleet.nodes["vm-1"])
            await scenario(fleet, caller, observed)
        return observed

    context.observed = anyio.run(run)


def one_call(method: str, path: str, *behaviours: Behaviour, usual: Behaviour | None = None) -> Any:
    """Returns a scenario of one call; the servers answer with `behaviours`, then `usual`."""

    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        shared = observed.engines[0].behaviours
        shared.extend(behaviours)
        for engine in observed.engines:
            engine.behaviours = shared
            engine.default_behaviour = usual or Behaviour.SERVE
        started_s = time.monotonic()
        answer = await caller.call(method, path, BODY, request_id="req-1")
        observed.took_s = time.monotonic() - started_s
        assert answer is not None
        observed.answers.append(answer)
        await anyio.sleep(0.1)
        observed.still_running = sum(engine.running for engine in observed.engines)

    return scenario


async def ends_within(stream: SocketStream, limit_s: float) -> bool:
    """Reads until the other side closes; false if it does not in time."""
    with anyio.move_on_after(limit_s):
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True
    return False
