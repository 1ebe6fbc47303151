"""Load on a `SlotPool` in simulated time: steps of online load over a backlog of batch items."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest import mock

from briarvale._generated.messages import (
    Message,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    WorkClass,
)
from briarvale.live_servers import LiveServer
from briarvale.peer import PeerAddress
from briarvale.slot_pool import SlotPool
from briarvale.workspaces import Workspace, WorkspaceLimits, WorkspaceTable, workspace_shares

TICK_MS = 100


class LoadShape(NamedTuple):
    """One pattern of load; rates in requests a second.

    The online rate alternates between `low_per_s` for `low_ms` and `high_per_s` for `high_ms`.

    Attributes:
        restart_ms: How long a started or resumed item runs before it does any work.
        failing_share: Fraction of the runs on a failing server that fail, after `fail_ms`.
        slow_factor: How many times as long a run takes on a slow server.
        hang_share: Fraction of the runs on a hanging server that last until `timeout_ms`.
        slack_ms: How long an online request may wait and still be answered in time.
        workspaces: Number of workspaces, whose sizes follow a Zipf distribution; 0 for none.
        burst_workspace: The workspace that sends `burst_factor` times its rate from
            `burst_at_ms` on, for `burst_ms`; `down_servers` servers are down in that time.
    """

    servers: int = 9
    slots: int = 8
    low_per_s: float = 14.0
    high_per_s: float = 69.0
    low_ms: int = 3_400
    high_ms: int = 2_400
    online_ms: float = 750.0
    item_ms: float = 5_000.0
    items_per_s: float = 5.0
    restart_ms: float = 100.0
    duration_ms: int = 60_000
    seed: int = 1
    failing_servers: int = 0
    failing_share: float = 0.5
    fail_ms: float = 20.0
    slow_servers: int = 0
    slow_factor: float = 3.0
    hanging_servers: int = 0
    hang_share: float = 0.4
    timeout_ms: float = 3_200.0
    slack_ms: int = 200
    workspaces: int = 0
    burst_workspace: int = 3
    burst_factor: float = 7.0
    burst_at_ms: int = 9_000
    burst_ms: int = 6_500
    down_servers: int = 0

    def rate_per_s(self, now_ms: float) -> float:
        """Returns the rate of online requests, without a burst."""
        phase = now_ms % (self.low_ms + self.high_ms)
        return self.low_per_s if phase < self.low_ms else self.high_per_s

    def is_burst(self, now_ms: float) -> bool:
        """Whether a workspace sends more than usual."""
        return self.workspaces > 0 and 0 <= now_ms - self.burst_at_ms < self.burst_ms

    def sizes(self) -> dict[str, float]:
        """Returns the fraction of the online requests that each workspace sends."""
        sizes = {f"w-{n}": (n + 1) ** -1.2 for n in range(self.workspaces)} or {"": 1.0}
        total = sum(sizes.values())
        return {name: size / total for name, size in sizes.items()}


class OnlineOutcome(NamedTuple):
    """What became of an online request."""

    workspace: str
    arrived_ms: float
    wait_ms: float
    is_refused: bool


class LoadResult(NamedTuple):
    """Outcomes and times of the requests and items of one load.

    Attributes:
        item_times_ms: Times from the arrival of an item to its completion.
        starts: How often items started or resumed.
        revoked: Slots of items that were revoked.
        revoked_early: Starts that were revoked before they had done any work.
        online_times_ms: Times from the arrival of an online request to the end of its run.
    """

    online_waits_ms: list[float]
    online_refused: int
    items_done: int
    item_times_ms: list[float]
    starts: int
    revoked: int
    revoked_early: int
    online_failed: int
    online_times_ms: list[float]
    online_hung: int
    online_outcomes: list[OnlineOutcome]

    def wait_ms(self, share: float) -> float:
        """Returns a quantile of the online waits."""
        ordered = sorted(self.online_waits_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class _Item:
    """A batch item and its remaining work; a resumed run repeats no work."""

    def __init__(self, arrived_ms: float, remaining_ms: float, due_ms: float) -> None:
        self.arrived_ms = arrived_ms
        self.remaining_ms = remaining_ms
        self.due_ms = due_ms
        self.worked_ms = 0.0


class _SimClock:
    """The clock of the simulation."""

    def __init__(self) -> None:
        self.ms = 0.0

    def now_ms(self) -> int:
        return int(self.ms)


class PoolLoad:
    """Runs one load shape; it is the only holder of the pool's slots."""

    name = "load"

    def __init__(self, shape: LoadShape, make_pool: Callable[[str, Any], SlotPool]) -> None:
        self._shape = shape
        self._clock = _SimClock()
        # One source each, so that what the pool does changes neither arrivals nor run times.
        self._random = random.Random(shape.seed)
        self._online_random = random.Random(f"online {shape.seed}")
        self._item_random = random.Random(f"items {shape.seed}")
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._sizes = shape.sizes()
        # Workspace of each online request, by request id.
        self._members: dict[str, str] = {}
        self._online: dict[str, float] = {}
        self._items: dict[str, _Item] = {}
        # Request id and start of each running item, by grant id.
        self._runs: dict[str, tuple[str, float]] = {}
        self.result = LoadResult([], 0, 0, [], 0, 0, 0, 0, [], 0, [])
        self._refused = self._done = self._starts = self._early = self._failed = self._hung = 0
        self._revoked = 0
        self.pool = make_pool("desk", self._clock)
        workspaces = (
            Workspace(each, limits=WorkspaceLimits(self._sizes[each])) for each in self._sizes
        )
        self.pool.set_shares(workspace_shares(WorkspaceTable(workspaces)))
        self._set_servers(down=0)

    @property
    def overdue_items(self) -> int:
        """Items that are not completed although their due date has passed."""
        return sum(item.due_ms < self._clock.ms for item in self._items.values())

    def run(self) -> LoadResult:
        """Runs the load to its end."""
        self._schedule(500, self._send_online)
        self._schedule(500, self._send_items)
        self._schedule(TICK_MS, self._tick)
        if self._shape.down_servers:
            down, burst_ms = self._shape.down_servers, self._shape.burst_ms
            self._schedule(self._shape.burst_at_ms, lambda: self._set_servers(down))
            self._schedule(self._shape.burst_at_ms + burst_ms, lambda: self._set_servers(0))
        ids = random.Random(self._shape.seed)
        with mock.patch("secrets.token_hex", lambda size=32: ids.randbytes(size).hex()):
            while self._heap and self._heap[0][0] <= self._shape.duration_ms:
                self._grant_due(self._heap[0][0])
                self._clock.ms, _, action = heapq.heappop(self._heap)
                action()
        return self.result._replace(
            online_refused=self._refused,
            items_done=self._done,
            starts=self._starts,
            revoked=self._revoked,
            revoked_early=self._early,
            online_failed=self._failed,
            online_hung=self._hung,
        )

    def notify(self, message: Message) -> None:
        """Handles a message of the pool."""
        match message:
            case SlotGrant(request_id=request_id) if request_id in self._online:
                self._start_online(message)
            case SlotGrant(request_id=request_id, grant_id=grant_id):
                self._start_item(request_id, grant_id)
            case SlotRefusal(request_id=request_id) if request_id in self._online:
                self._record_online(request_id, is_refused=True)
            case SlotRefusal(request_id=request_id):
                item = self._items.pop(request_id)
                self._schedule(50, lambda: self._request_item(item))
            case SlotRevoke(grant_id=grant_id):
                self._revoked += 1
                self._schedule(3, lambda: self._stop_item(grant_id))

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self._clock.ms + delay_ms, next(self._sequence), action))

    def _tick(self) -> None:
        self.pool.renew(self)
        self.pool.tick()
        self._schedule(TICK_MS, self._tick)

    def _grant_due(self, until_ms: float) -> None:
        """Lets the pool grant slots at its due time, if nothing else happens before."""
        due_at_ms = self.pool.due_at_ms
        while self._clock.ms < due_at_ms < until_ms:
            self._clock.ms = due_at_ms
            self.pool.grant_waiting()
            due_at_ms = self.pool.due_at_ms

    def _workspace_rates(self) -> dict[str, float]:
        """Returns the rate of online requests of each workspace."""
        rate_per_s = self._shape.rate_per_s(self._clock.ms)
        rates = {name: rate_per_s * size for name, size in self._sizes.items()}
        if self._shape.is_burst(self._clock.ms):
            rates[f"w-{self._shape.burst_workspace}"] *= self._shape.burst_factor
        return rates

    def _set_servers(self, down: int) -> None:
        """Sets the servers of the pool; the runs at those that are down go on."""
        shape = self._shape
        self.pool.configure(
            LiveServer(f"i-{n}", "desk", PeerAddress("127.0.0.1", 1), "a", shape.slots)
            for n in range(down, shape.servers)
        )

    def _send_online(self) -> None:
        request_id = f"o{next(self._sequence)}"
        self._online[request_id] = self._clock.ms
        rates = self._workspace_rates()
        member = ""
        if self._shape.workspaces:
            member = self._online_random.choices(list(rates), list(rates.values()))[0]
        request = self._request(request_id, WorkClass.ONLINE, 2_400)._replace(member=member)
        self._members[request_id] = member
        start_by_ms = self._clock.now_ms() + self._shape.slack_ms
        self.pool.submit(request._replace(start_by_ms=start_by_ms), self)
        delay_s = self._online_random.expovariate(sum(rates.values()))
        self._schedule(delay_s * 1_000, self._send_online)

    def _send_items(self) -> None:
        now_ms = self._clock.ms
        for _ in range(10):
            item_ms = self._shape.item_ms * self._item_random.uniform(0.6, 1.4)
            self._request_item(_Item(now_ms, item_ms, now_ms + 18_000))
        self._schedule(
            self._item_random.expovariate(self._shape.items_per_s / 10) * 1_000, self._send_items
        )

    def _request_item(self, item: _Item) -> None:
        request_id = f"b{next(self._sequence)}"
        self._items[request_id] = item
        request = self._request(request_id, WorkClass.BATCH, 5_000)
        request = request._replace(start_by_ms=int(item.due_ms), worked_ms=int(item.worked_ms))
        self.pool.submit(request._replace(priority=2), self)

    def _request(self, request_id: str, work_class: WorkClass, wait_ms: int) -> SlotRequest:
        return SlotRequest(
            request_id=request_id,
            backend_server="desk",
            work_class=work_class,
            slot_count=1,
            deadline_ms=self._clock.now_ms() + wait_ms,
        )

    def _record_online(self, request_id: str, *, is_refused: bool) -> float:
        """Records the wait of a request that got a slot or was refused, and returns it."""
        arrived_ms = self._online.pop(request_id)
        wait_ms = self._clock.ms - arrived_ms
        outcome = OnlineOutcome(self._members.pop(request_id), arrived_ms, wait_ms, is_refused)
        self.result.online_outcomes.append(outcome)
        if is_refused:
            self._refused += 1
        else:
            self.result.online_waits_ms.append(wait_ms)
        return wait_ms

    def _start_online(self, grant: SlotGrant) -> None:
        shape = self._shape
        wait_ms = self._record_online(grant.request_id, is_refused=False)
        hold_ms = shape.online_ms * self._random.uniform(0.7, 1.3)
        # Servers are numbered; the first ones fail or hang, the last ones are slow.
        number = int(grant.backend_server.removeprefix("i-"))
        outcome = Outcome.FINISHED
        if number < shape.failing_servers and self._random.random() < shape.failing_share:
            hold_ms, outcome = shape.fail_ms, Outcome.FAILED
            self._failed += 1
        elif number < shape.hanging_servers and self._random.random() < shape.hang_share:
            hold_ms, outcome = shape.timeout_ms, Outcome.CANCELLED
            self._hung += 1
        elif number >= shape.servers - shape.slow_servers:
            hold_ms *= shape.slow_factor
        self.result.online_times_ms.append(wait_ms + hold_ms)
        self._schedule(hold_ms, lambda: self._release(grant.grant_id, outcome))

    def _start_item(self, request_id: str, grant_id: str) -> None:
        self._starts += 1
        self._runs[grant_id] = (request_id, self._clock.ms)
        item = self._items[request_id]
        self._schedule(
            self._shape.restart_ms + item.remaining_ms, lambda: self._finish_item(grant_id)
        )

    def _finish_item(self, grant_id: str) -> None:
        run = self._runs.pop(grant_id, None)
        if run is not None:
            item = self._items.pop(run[0])
            self.result.item_times_ms.append(self._clock.ms - item.arrived_ms)
            self._done += 1
            self._release(grant_id, Outcome.FINISHED)

    def _stop_item(self, grant_id: str) -> None:
        run = self._runs.pop(grant_id, None)
        if run is None:
            return
        item = self._items.pop(run[0])
        worked_ms = self._clock.ms - run[1] - self._shape.restart_ms
        self._early += worked_ms <= 0
        item.remaining_ms -= max(0.0, worked_ms)
        item.worked_ms += max(0.0, worked_ms)
        self._release(grant_id, Outcome.REVOKED)
        self._request_item(item)

    def _release(self, grant_id: str, outcome: Outcome) -> None:
        self.pool.release(SlotRelease(grant_id, outcome))
