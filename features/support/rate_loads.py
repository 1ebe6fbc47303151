"""Loads below and over a rate limit, in simulated time without a network."""

import random
from enum import Enum
from typing import NamedTuple

from briarvale.workspaces import WorkspaceLimits
from briarvale.workspaces.rate_client import group_of
from features.support.rate_schedules import RateWorld, SimNode

NODES = 60
# Nodes may grant their parts of the tolerance once they have run for a window.
WARM_UP_MS = 8_000.0
END_MS = 32_000.0
LOST_AT_MS, LOST_FOR_MS = 18_500.0, 4_000.0
# Load over time, as in the note: it repeats a peak and a trough.
PEAK_MS, TROUGH_MS, PEAK_FACTOR, TROUGH_FACTOR = 2_400, 3_400, 1.87, 0.38
LIMITS = {"large": WorkspaceLimits(180.0, 180.0), "small": WorkspaceLimits(0.5, 3.0)}
# The limit is this many times the usual rate.
LIMIT_FACTOR = 1.6

__all__ = ["FullBuckets", "UsualLoad", "run_full_buckets", "run_usual_load"]


class UsualLoad(NamedTuple):
    """What became of a load: requests that fit, those refused of them, and the longest wait."""

    fitting: int
    needless_refusals: int
    longest_wait_ms: float


def owner_of(world: RateWorld) -> SimNode:
    """Returns the node that owns the workspace's limit."""
    first = next(iter(world.nodes.values()))
    return world.nodes[first.rate_owners(group_of(world.workspace.name))[0]]


def run_usual_load(size: str, seed: int, *, is_owner_lost: bool) -> UsualLoad:
    """Sends a workspace's usual load; its owner crashes in a peak, if it is to be lost."""
    world, choose = RateWorld(seed, NODES, LIMITS[size]), random.Random(seed)
    rate_per_s = LIMITS[size].rate_per_s / LIMIT_FACTOR
    at_ms = WARM_UP_MS
    while at_ms < END_MS:
        is_peak = at_ms % (PEAK_MS + TROUGH_MS) < PEAK_MS
        factor = PEAK_FACTOR if is_peak else TROUGH_FACTOR
        at_ms += choose.expovariate(rate_per_s * factor / 1_000)
        world.at(at_ms, lambda: world.request(_any_up(world, choose)))
    if is_owner_lost:
        world.at(LOST_AT_MS, lambda: world.crash(owner_of(world), LOST_FOR_MS))
    world.run(END_MS + 1_000)
    return _judge(world)


def _any_up(world: RateWorld, choose: random.Random) -> SimNode:
    return choose.choice([node for node in world.nodes.values() if node.is_up])


def _judge(world: RateWorld) -> UsualLoad:
    """Compares with one bucket for all nodes that is charged without delay."""
    rate_per_s, burst = world.workspace.limits
    level, last_ms, fitting = burst, 0.0, 0
    for decision in sorted(world.decisions):
        level = min(burst, level + (decision.arrived_ms - last_ms) * rate_per_s / 1_000)
        last_ms = decision.arrived_ms
        if level >= 1:
            level -= 1
            fitting += 1
    granted = sum(decision.is_granted for decision in world.decisions)
    longest_ms = max(decision.decided_ms - decision.arrived_ms for decision in world.decisions)
    return UsualLoad(fitting, max(0, fitting - granted), longest_ms)


class FullBuckets(Enum):
    """What happens once the buckets are full."""

    PARTITION = "a partition parts the nodes for longer than buckets fill"
    FROZEN = "the owner is suspended with its clock and comes back"
    PAUSED = "the owner is suspended and comes back"

    @classmethod
    def of(cls, text: str) -> "FullBuckets":
        """Returns the kind that a scenario names."""
        return cls(text.strip())


def run_full_buckets(kind: FullBuckets, seed: int) -> RateWorld:
    """Lets buckets fill, then a fault last, and then far more than the limit arrive for 8 s."""
    world, choose = RateWorld(seed, 8, WorkspaceLimits(60.0, 180.0)), random.Random(seed)
    fault_at_ms, fault_ms = 8_000.0, 9_000.0
    if kind is FullBuckets.PARTITION:
        rush_at_ms = fault_at_ms + fault_ms - 2_000
        world.at(fault_at_ms, lambda: world.partition(2, 2 * fault_ms))
    else:
        # The others spend what a second owner has gathered, just before the first one returns.
        rush_at_ms = fault_at_ms + fault_ms - 1_000
        is_frozen = kind is FullBuckets.FROZEN
        world.at(
            fault_at_ms,
            lambda: world.suspend(owner_of(world), fault_ms, stops_clock=is_frozen),
        )
    at_ms = 0.0
    while at_ms < rush_at_ms + 8_000:
        at_ms += choose.expovariate((300 if at_ms > rush_at_ms else 2) / 1_000)
        world.at(at_ms, lambda: world.request(choose.choice(list(world.nodes.values()))))
    world.run(at_ms + 1_000)
    return world
