"""One backend server of a pool: what is granted there, and what a request would cost there."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from ._generated.messages import SlotRequest, WorkClass
from .grants import GrantTable
from .live_servers import LiveServer
from .server_record import ServerRecord

MAX_PREFIXES = 2_048
# What a whole cached prompt, or the same availability zone, is worth in relative load.
PREFIX_WEIGHT = 0.15
ZONE_WEIGHT = 0.05
# Times of servers differ by what they happen to run; one beyond this is slow, and its load counts
# as many times as its runs take longer, up to a limit, so that it goes on being tried.
SLOW_FACTOR = 1.5
MAX_SLOWNESS = 5.0

__all__ = ["PoolServer", "ServerRuns"]


class ServerRuns(NamedTuple):
    """What a backend server says that it has in hand."""

    server_id: str
    running: int
    waiting: int


class PoolServer:
    """One backend server of the pool."""

    def __init__(self, server: LiveServer) -> None:
        self.server = server
        self.is_listed = True
        self.is_draining = False
        self.grants = GrantTable()
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.foreign_runs = 0
        self.record = ServerRecord()
        self.slowness = 1.0

    @property
    def is_ready(self) -> bool:
        """Whether it takes new work, by its entry and by what holders know."""
        return self.is_listed and not self.is_draining

    @property
    def free(self) -> int:
        """Slots that may be granted now."""
        if not self.is_ready:
            return 0
        slots = 1 if self.record.is_on_trial else self.server.slots
        return slots - self.grants.slots

    def free_for(self, work_class: WorkClass) -> int:
        """Returns the slots that a class may get; an item never queues behind foreign runs."""
        return self.free - (self.foreign_runs if work_class is WorkClass.BATCH else 0)

    def is_healthy(self, now_ms: int) -> bool:
        """Whether nothing speaks against it: no failure a moment ago, no run that does not end."""
        return not (self.record.is_avoided(now_ms) or self.grants.has_overdue)

    def record_prefixes(self, prefix_ids: Iterable[str]) -> None:
        """Takes that a prompt with these parts is read there."""
        for prefix_id in prefix_ids:
            self.prefixes[prefix_id] = None
            self.prefixes.move_to_end(prefix_id)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def cached_share(self, prefix_ids: tuple[str, ...]) -> float:
        """Returns which share of a prompt's leading parts it probably holds."""
        if not prefix_ids:
            return 0.0
        count = 0
        for prefix_id in prefix_ids:
            if prefix_id not in self.prefixes:
                break
            count += 1
        return count / len(prefix_ids)

    def cost(self, request: SlotRequest) -> float:
        """Returns the relative load with the request, less what cache and nearness save."""
        load = (self.grants.slots + self.foreign_runs + 1) / self.server.slots * self.slowness
        is_near = self.server.availability_zone == request.availability_zone
        saved = PREFIX_WEIGHT * self.cached_share(request.prefix_ids) + ZONE_WEIGHT * is_near
        return load - saved

    def update_slowness(self, usual_ms: float, now_ms: int) -> None:
        """Takes how long runs usually take, on any server of the pool."""
        mean_ms = self.record.mean_ms(now_ms)
        ratio = mean_ms / usual_ms if mean_ms is not None and usual_ms > 0 else 1.0
        self.slowness = min(MAX_SLOWNESS, ratio) if ratio > SLOW_FACTOR else 1.0
