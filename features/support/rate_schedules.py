"""Seeded schedules of faults for rate limits, in simulated time without a network."""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from briarvale._generated.messages import RateAnswer
from briarvale.errors import RateLimited
from briarvale.rendezvous import first_by_rendezvous
from briarvale.workspaces import Workspace, WorkspaceLimits
from briarvale.workspaces.ledger import RateOwner
from briarvale.workspaces.rate_client import (
    RENEW_INTERVAL_MS,
    Charge,
    RateClient,
    group_of,
)
from briarvale.workspaces.tolerance import Quota

QUOTA = Quota()
CONFIG_LAG_MS = 3_000
EPOCH_MS = 1_700_000_000_000
PERIODS, PERIOD_MS, RUSH_MS = 3, 10_000, 6_000


class Decision(NamedTuple):
    """One request: when it arrived, when it was decided, and whether it may run."""

    arrived_ms: float
    decided_ms: float
    is_granted: bool
    retry_at_ms: int = 0


class SimNode:
    """A node: its client, its side as an owner, and its own view of the fleet and the clock."""

    def __init__(self, world: "RateWorld", name: str) -> None:
        self.world, self.name = world, name
        self.lost_clock_ms = 0.0
        self.offset_ms = world.random.randint(-500, 500)
        self.is_up, self.is_suspended, self.run_count = True, False, 0
        self.deferred: list[Callable[[], None]] = []
        self.live: set[str] = set()
        self._ranked_live: set[str] | None = None
        self._owners: list[str] = []
        self.workspace, self.version = world.workspace, world.version
        self.start()

    def start(self) -> None:
        """Starts a process without memory of an earlier one."""
        self.run_count += 1
        self.is_up, self.is_suspended, self.deferred = True, False, []
        self.owner = RateOwner(self.name, QUOTA, self.now_ms())
        self.client = RateClient(self.name, self, self.now_ms)
        self.renew()

    def now_ms(self) -> int:
        """Returns the time of the node's own clock."""
        return int(EPOCH_MS + self.world.now_ms + self.offset_ms - self.lost_clock_ms)

    def rate_owners(self, group: int) -> Sequence[str]:
        """Returns the possible owners as this node sees the fleet."""
        if self._ranked_live != self.live:
            self._ranked_live = set(self.live)
            live = sorted(self.live | {self.name})
            self._owners = first_by_rendezvous(f"rates/{group}", live, 3)
        return self._owners

    def known_nodes(self) -> Sequence[str]:
        """Returns the VM list."""
        return self.world.names

    def is_lost(self, vm: str) -> bool:
        """Whether this node believes that another is dead."""
        return vm not in self.live

    def renew(self) -> None:
        """Delegates the share, and again after each interval."""
        run = self.run_count
        if not self.is_up:
            return
        groups = [group_of(self.world.workspace.name)]
        self.world.drive(self, self.client.renew(groups), lambda error: None)
        interval_ms = RENEW_INTERVAL_MS * self.world.random.uniform(0.95, 1.1)
        self.world.at(interval_ms, lambda: self.run_count == run and self.do(self.renew))

    def do(self, action: Callable[[], None]) -> None:
        """Runs an action of this process, once it is not suspended any more."""
        if self.is_suspended:
            self.deferred.append(action)
        elif self.is_up:
            action()


class RateWorld:
    """A fleet in simulated time.

    Args:
        seed: Seed of all random choices.
        node_count: Nodes at the start.
        limits: Limits of the one workspace.
    """

    def __init__(self, seed: int, node_count: int, limits: WorkspaceLimits) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.version = 1
        self.workspace = Workspace(f"w{seed}", limits=limits)
        self.limits_since: list[tuple[float, WorkspaceLimits]] = [(0.0, limits)]
        self.decisions: list[Decision] = []
        self.slow_links: set[tuple[str, str]] = set()
        self.sides: dict[str, int] = {}
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._count = 0
        self.nodes: dict[str, SimNode] = {}
        self.names: list[str] = []
        for index in range(node_count):
            self._add(f"vm-{index}")
        for node in self.nodes.values():
            node.live = set(self.nodes)

    def _add(self, name: str) -> None:
        self.names = [*self.names, name]
        self.nodes[name] = SimNode(self, name)

    def at(self, delay_ms: float, action: Callable[[], Any]) -> None:
        """Runs an action after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def run(self, until_ms: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def request(self, node: SimNode) -> None:
        """A caller's request arrives at a node."""
        arrived_ms, run = self.now_ms, node.run_count

        def decide(error: RateLimited | None) -> None:
            retry_at_ms = (error.retry_at_ms or 0) if error else 0
            self.decisions.append(Decision(arrived_ms, self.now_ms, error is None, retry_at_ms))

        def start() -> None:
            if node.run_count == run:
                self.drive(node, node.client.charge(node.workspace, node.version), decide)

        node.do(start)

    def drive(
        self, node: SimNode, charge: Charge, end: Callable[[RateLimited | None], None]
    ) -> None:
        """Runs a charge with simulated messages."""
        run = node.run_count

        def resume(answer: RateAnswer | None, is_first: bool = False) -> None:
            try:
                call = next(charge) if is_first else charge.send(answer)
            except StopIteration:
                end(None)
                return
            except RateLimited as error:
                end(error)
                return
            if call.node == node.name:
                resume(node.owner.answer(call.request, node.name, self.names, node.now_ms()))
                return
            is_over = False

            def finish(answer: RateAnswer | None) -> None:
                nonlocal is_over
                if not is_over and node.run_count == run:
                    is_over = True
                    resume(answer)

            def reply(receiver: SimNode) -> None:
                now_ms = receiver.now_ms()
                found = receiver.owner.answer(call.request, node.name, self.names, now_ms)
                self._send(receiver, node, lambda: finish(found))

            self.at(
                call.timeout_ms, lambda: node.run_count == run and node.do(lambda: finish(None))
            )
            if call.node in self.nodes:
                receiver = self.nodes[call.node]
                self._send(node, receiver, lambda: reply(receiver))

        resume(None, is_first=True)

    def _send(self, sender: SimNode, receiver: SimNode, deliver: Callable[[], None]) -> None:
        if self.sides.get(sender.name, 0) != self.sides.get(receiver.name, 0):
            return
        delay_ms = self.random.uniform(0.5, 3)
        if (sender.name, receiver.name) in self.slow_links:
            delay_ms = self.random.choice((20, 70, 200, 1_000, 3_000))
        run = receiver.run_count
        self.at(delay_ms, lambda: receiver.run_count == run and receiver.do(deliver))

    def update_views(self, min_ms: float = 800, max_ms: float = 3_500) -> None:
        """Lets each node notice, each at its own time, who is reachable from it."""
        for node in self.nodes.values():
            delay_ms = self.random.uniform(min_ms, max_ms)
            self.at(delay_ms, lambda node=node: self._update_view(node))

    def _update_view(self, node: SimNode) -> None:
        side = self.sides.get(node.name, 0)
        node.live = {
            other.name
            for other in self.nodes.values()
            if other.is_up and not other.is_suspended and self.sides.get(other.name, 0) == side
        }

    def crash(self, node: SimNode, down_ms: float) -> None:
        """Ends a process; a new one starts after `down_ms`."""
        node.is_up, node.is_suspended = False, False
        node.run_count += 1
        self.update_views()

        def restart() -> None:
            if not node.is_up:
                node.start()
                self._update_view(node)
                self.update_views(100, 3_000)

        self.at(down_ms, restart)

    def suspend(self, node: SimNode, pause_ms: float, *, stops_clock: bool) -> None:
        """Stops a process for a while; its messages wait meanwhile."""
        if not node.is_up or node.is_suspended:
            return
        node.is_suspended = True
        run = node.run_count
        self.update_views()

        def resume() -> None:
            if node.run_count != run:
                return
            node.is_suspended = False
            node.lost_clock_ms += pause_ms if stops_clock else 0
            deferred, node.deferred = node.deferred, []
            self.random.shuffle(deferred)
            for action in deferred:
                node.do(action)
            self.update_views(50, 2_000)

        self.at(pause_ms, resume)

    def partition(self, sides: int, length_ms: float) -> None:
        """Cuts the fleet into sides for a while."""
        self.sides = {name: self.random.randrange(sides) for name in self.nodes}
        self.update_views()

        def heal() -> None:
            self.sides = {}
            self.update_views()

        self.at(length_ms, heal)

    def change_limits(self, limits: WorkspaceLimits) -> None:
        """Changes the limits; each node applies the new version within `CONFIG_LAG_MS`."""
        self.version += 1
        self.workspace = self.workspace._replace(limits=limits)
        self.limits_since.append((self.now_ms, limits))
        for node in self.nodes.values():
            version, workspace = self.version, self.workspace

            def apply(
                node: SimNode = node, version: int = version, workspace: Workspace = workspace
            ) -> None:
                if version > node.version:
                    node.version, node.workspace = version, workspace

            self.at(self.random.uniform(0, CONFIG_LAG_MS), apply)

    def join(self) -> None:
        """Adds a node to the VM list."""
        name = f"vm-{len(self.nodes)}"
        self._add(name)
        self._update_view(self.nodes[name])
        self.update_views(100, 2_000)

    def worst_excess(self) -> float:
        """Returns the most by which a window passed what is allowed; negative if none did."""
        granted = sorted(d.arrived_ms for d in self.decisions if d.is_granted)
        worst, first = -float("inf"), 0
        for last, arrived_ms in enumerate(granted):
            while granted[first] <= arrived_ms - QUOTA.window_ms:
                first += 1
            allowed = self._allowed(arrived_ms)
            worst = max(worst, last - first + 1 - allowed)
        return worst

    def _allowed(self, end_ms: float) -> float:
        # A lowered limit binds one window after all nodes have applied it.
        from_ms = end_ms - 2 * QUOTA.window_ms - CONFIG_LAG_MS
        sizes = []
        for index, (since_ms, limits) in enumerate(self.limits_since):
            is_last = index + 1 == len(self.limits_since)
            until_ms = end_ms if is_last else self.limits_since[index + 1][0]
            if since_ms <= end_ms and until_ms >= from_ms:
                sizes.append(limits.rate_per_s * QUOTA.window_ms / 1_000 + limits.burst)
        return max(sizes) * (1 + QUOTA.overage) + QUOTA.slack


def random_schedule(seed: int) -> RateWorld:
    """Runs 30 s of faults; in each period buckets fill, then far more than the limit arrives."""
    choose = random.Random(f"schedule {seed}")
    rate = choose.choice((0.4, 5.0, 15.0, 40.0))
    limits = WorkspaceLimits(rate, rate * choose.choice((0.2, 1.0, 3.0)))
    world = RateWorld(seed, choose.randint(3, 8), limits)
    idle_ms = PERIOD_MS - RUSH_MS
    _add_load(world, choose, rate)
    for period in range(1, PERIODS):
        for _ in range(choose.randint(0, 3)):
            # Most faults begin while buckets fill or just after the rush has begun.
            at_ms = period * PERIOD_MS + choose.uniform(-RUSH_MS, idle_ms + 400)
            world.at(at_ms, lambda: _random_fault(world, choose))
    world.run(PERIODS * PERIOD_MS)
    return world


def _add_load(world: RateWorld, choose: random.Random, rate: float) -> None:
    at_ms = 0.0
    while at_ms < PERIODS * PERIOD_MS:
        is_rush = at_ms % PERIOD_MS > PERIOD_MS - RUSH_MS
        at_ms += choose.expovariate((4 * rate if is_rush else 0.2 * rate) / 1_000)
        world.at(at_ms, lambda: world.request(choose.choice(list(world.nodes.values()))))


def _random_fault(world: RateWorld, choose: random.Random) -> None:
    group = group_of(world.workspace.name)
    nodes = list(world.nodes.values())
    owner = world.nodes[choose.choice(nodes).rate_owners(group)[0]]
    node = owner if choose.random() < 0.6 else choose.choice(nodes)
    match choose.randrange(7):
        case 0 | 1:
            world.crash(node, choose.choice((50, 500, 3_000, 8_000)))
        case 2 | 3:
            pause_ms = choose.choice((60, 300, 1_000, 2_500, 6_000))
            world.suspend(node, pause_ms, stops_clock=choose.random() < 0.5)
        case 4:
            world.partition(choose.choice((2, 3)), choose.choice((300, 2_000, 8_000)))
        case 5:
            factor = choose.choice((0.3, 0.7, 2.0))
            rate_per_s, burst = world.workspace.limits
            world.change_limits(WorkspaceLimits(rate_per_s * factor, burst * factor))
        case _ if choose.random() < 0.5:
            world.join()
        case _:
            names = list(world.nodes)
            world.slow_links = {(choose.choice(names), choose.choice(names)) for _ in names}
