"""Online load on a `SlotPool` whose servers differ in speed and cache prompts, in simulated time.

A run is prefilled, except for the cached beginning of its prompt, and then sends its events one
step after the other; some steps take long.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from briarvale._generated.messages import (
    Message,
    Outcome,
    SlotGrant,
    SlotRelease,
    SlotRequest,
    WorkClass,
)
from briarvale.live_servers import LiveServer
from briarvale.peer import PeerAddress
from briarvale.slot_pool import SlotPool

TICK_MS = 100
START_MS = 1_000
SLOTS, STEP_MS, LOAD_SLOPE, PREFILL_TOKENS_PER_MS = 8, 36.0, 0.02, 51.2
SLOW_SHARE, SLOW_FACTOR = 0.15, 2.5
PREFIXES, PREFIX_TOKENS, OWN_TOKENS, EVENTS = 120, 200, 250, 18


class ModelShape(NamedTuple):
    """Servers and load.

    Attributes:
        speeds: Speeds as multiples of the mean; the servers take them in turn.
        capacity_tokens: Memory of a server, for running requests and cached parts.
        known_capacity_tokens: What the pool is told of it.
    """

    speeds: tuple[float, ...] = (0.6, 1.0, 1.6)
    capacity_tokens: int = 30_000
    known_capacity_tokens: int = 30_000
    servers: int = 18
    online_per_s: float = 80.0
    duration_ms: int = 25_000


class ModelServer:
    """A server with a memory, of which the least recently used parts are evicted."""

    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.runs = 0
        self.prefilled_at_ms = 0.0
        self.finished = 0

    def prefill_tokens(self, parts: dict[str, int], capacity_tokens: int) -> int:
        """Caches a prompt; returns how many of its tokens were not cached."""
        missing = list(itertools.dropwhile(lambda part: part in self.parts, parts))
        for part in reversed(parts):
            self.parts[part] = parts[part]
            self.parts.move_to_end(part)
        while sum(self.parts.values()) + self.runs * EVENTS > capacity_tokens:
            self.parts.popitem(last=False)
        return sum(parts[part] for part in missing)


class ServerModel:
    """Runs a load; it is the only holder of the pool's slots.

    Attributes:
        first_event_ms: Times from the arrival of a request to its first event.
        prefilled_again: Runs whose shared part was prefilled although a server had held it.
    """

    name = "model"

    def __init__(self, shape: ModelShape) -> None:
        self._shape = shape
        self._ms = 0.0
        self._random = random.Random(1)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._waiting: dict[str, tuple[float, SlotRequest]] = {}
        self._weights = [1 / (n + 1) for n in range(PREFIXES)]
        self._held: set[str] = set()
        self.first_event_ms: list[float] = []
        self.prefilled_again = 0
        speeds = itertools.islice(itertools.cycle(shape.speeds), shape.servers)
        self.servers = {f"i-{n}": ModelServer(speed) for n, speed in enumerate(speeds)}
        self.pool = SlotPool("desk", self)
        address = PeerAddress("127.0.0.1", 1)
        servers = [LiveServer(name, "desk", address, "a", SLOTS) for name in self.servers]
        self.pool.configure(servers, shape.known_capacity_tokens)

    def now_ms(self) -> int:
        """The clock of the simulation."""
        return int(self._ms)

    def run(self) -> "ServerModel":
        """Runs the load to its end."""
        self._schedule(START_MS, self._send)
        self._schedule(TICK_MS, self._tick)
        ids = random.Random(1)
        with mock.patch("secrets.token_hex", lambda size=32: ids.randbytes(size).hex()):
            while self._heap[0][0] <= self._shape.duration_ms:
                self._ms, _, action = heapq.heappop(self._heap)
                action()
        return self

    @property
    def spread(self) -> float:
        """The most runs of a server relative to its speed, as a multiple of the mean."""
        work = [server.finished / server.speed for server in self.servers.values()]
        return max(work) / (sum(work) / len(work))

    def notify(self, message: Message) -> None:
        """Starts a granted run; nothing is refused or revoked."""
        assert isinstance(message, SlotGrant), message
        arrived_ms, request = self._waiting.pop(message.request_id)
        server = self.servers[message.backend_server]
        server.runs += 1
        parts = dict(zip(request.prefix_ids, request.prefix_tokens, strict=True))
        missing = server.prefill_tokens(parts, self._shape.capacity_tokens)
        self.prefilled_again += missing > OWN_TOKENS and request.prefix_ids[0] in self._held
        self._held.add(request.prefix_ids[0])
        prefill_ms = missing / (PREFILL_TOKENS_PER_MS * server.speed)
        server.prefilled_at_ms = max(self._ms, server.prefilled_at_ms) + prefill_ms
        step_ms = STEP_MS / server.speed * (1 + LOAD_SLOPE * server.runs)
        is_slow = [self._random.random() < SLOW_SHARE for _ in range(EVENTS)]
        steps_ms = [step_ms * (SLOW_FACTOR if slow else 1) for slow in is_slow]
        first_ms = server.prefilled_at_ms - self._ms + steps_ms[0]
        last_ms = first_ms + sum(steps_ms[1:])
        self.first_event_ms.append(self._ms + first_ms - arrived_ms)
        times = {"first_event_ms": round(first_ms), "last_event_ms": round(last_ms)}
        release = SlotRelease(message.grant_id, Outcome.FINISHED, event_count=EVENTS, **times)
        self._schedule(last_ms, lambda: self._end(server, release))

    def _end(self, server: ModelServer, release: SlotRelease) -> None:
        server.runs -= 1
        server.finished += 1
        self.pool.release(release)

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self._ms + delay_ms, next(self._sequence), action))

    def _tick(self) -> None:
        self.pool.renew(self)
        self.pool.tick()
        self._schedule(TICK_MS, self._tick)

    def _send(self) -> None:
        request_id = f"r{next(self._sequence)}"
        prefix = self._random.choices(range(PREFIXES), self._weights)[0]
        request = SlotRequest(
            request_id=request_id,
            backend_server="desk",
            work_class=WorkClass.ONLINE,
            slot_count=1,
            cost_tokens=PREFIX_TOKENS + OWN_TOKENS + EVENTS,
            deadline_ms=self.now_ms() + 5_000,
            start_by_ms=self.now_ms() + 240,
            prompt_tokens=PREFIX_TOKENS + OWN_TOKENS,
            prefix_ids=(f"p{prefix}", request_id),
            prefix_tokens=(PREFIX_TOKENS, OWN_TOKENS),
            output_tokens=EVENTS,
        )
        self._waiting[request_id] = (self._ms, request)
        self.pool.submit(request, self)
        self._schedule(self._random.expovariate(self._shape.online_per_s) * 1_000, self._send)
