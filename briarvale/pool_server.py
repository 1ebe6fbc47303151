"""One backend server of a pool: its grants, and the cost of placing a request there."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from ._generated.messages import SlotRequest, WorkClass
from .grants import GrantTable
from .live_servers import LiveServer
from .run_monitor import RunMonitor

MAX_PREFIXES = 2_048
# Reductions of the cost, in units of relative load: for a fully cached prompt, and for a server in
# the same availability zone.
PREFIX_WEIGHT = 0.15
ZONE_WEIGHT = 0.05
# Run times vary with the requests that a server happens to get, so it counts as slow only if its
# mean is more than this many times the usual. Then its load is multiplied by that ratio, up to a
# limit, so that it still gets some requests.
SLOW_FACTOR = 1.5
MAX_SLOWNESS = 5.0

__all__ = ["PoolServer", "ServerRuns", "choose_server"]


class ServerRuns(NamedTuple):
    """The requests that a backend server reports as running and as waiting."""

    server_id: str
    running: int
    waiting: int


class PoolServer:
    """One backend server of the pool.

    Attributes:
        is_listed: Whether the pool was last configured with this server.
        foreign_runs: Runs on the server that the pool has not granted.
        slowness: Factor on the load that counts against a slow server; 1 if it is not slow.
    """

    def __init__(self, live_server: LiveServer) -> None:
        self.live_server = live_server
        self.is_listed = True
        self.is_draining = False
        self.grants = GrantTable()
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.foreign_runs = 0
        self.monitor = RunMonitor()
        self.slowness = 1.0

    @property
    def is_ready(self) -> bool:
        """Whether new requests may run here: listed, and not reported as draining by a holder."""
        return self.is_listed and not self.is_draining

    @property
    def free_slots(self) -> int:
        """Slots that may be granted now."""
        if not self.is_ready:
            return 0
        slots = 1 if self.monitor.is_on_trial else self.live_server.slots
        return slots - self.grants.slots

    def free_slots_for(self, work_class: WorkClass) -> int:
        """Returns the free slots for a class; a batch item never waits behind foreign runs."""
        return self.free_slots - (self.foreign_runs if work_class is WorkClass.BATCH else 0)

    def is_healthy(self, now_ms: int) -> bool:
        """Whether the server has no recent failure and no overdue run."""
        return not (self.monitor.is_avoided(now_ms) or self.grants.has_overdue)

    def record_prefixes(self, prefix_ids: Iterable[str]) -> None:
        """Records the prefixes of a prompt that runs here; the server will probably cache them."""
        for prefix_id in prefix_ids:
            self.prefixes[prefix_id] = None
            self.prefixes.move_to_end(prefix_id)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def cached_fraction(self, prefix_ids: tuple[str, ...]) -> float:
        """Returns the fraction of a prompt's prefixes that the server has probably cached."""
        if not prefix_ids:
            return 0.0
        cached_count = 0
        for prefix_id in prefix_ids:
            if prefix_id not in self.prefixes:
                break
            cached_count += 1
        return cached_count / len(prefix_ids)

    def cost(self, request: SlotRequest) -> float:
        """Returns the load with the request, reduced for cached prefixes and for the same zone."""
        load = (self.grants.slots + self.foreign_runs + 1) / self.live_server.slots * self.slowness
        is_same_zone = self.live_server.availability_zone == request.availability_zone
        reduction = (
            PREFIX_WEIGHT * self.cached_fraction(request.prefix_ids) + ZONE_WEIGHT * is_same_zone
        )
        return load - reduction

    def update_slowness(self, usual_ms: float, now_ms: int) -> None:
        """Updates the slowness; `usual_ms` is the usual duration of a run in the pool."""
        mean_ms = self.monitor.mean_ms(now_ms)
        ratio = mean_ms / usual_ms if mean_ms is not None and usual_ms > 0 else 1.0
        self.slowness = min(MAX_SLOWNESS, ratio) if ratio > SLOW_FACTOR else 1.0


def choose_server(
    servers: Iterable[PoolServer], request: SlotRequest, now_ms: int
) -> PoolServer | None:
    """Returns the server of least `PoolServer.cost` with a free slot and no ejection, or none.

    Excluded servers are used only if no other is ready, unhealthy ones if no other is free.
    """
    ready = [server for server in servers if server.is_ready]
    preferred = [server for server in ready if server.live_server.id not in request.excluded]
    candidates = [s for s in preferred or ready if not s.monitor.is_ejected(now_ms)]
    free = [server for server in candidates if server.free_slots_for(request.work_class) > 0]
    healthy = [server for server in free if server.is_healthy(now_ms)]
    return min(healthy or free, key=lambda server: server.cost(request), default=None)
