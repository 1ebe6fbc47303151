"""One backend server of a pool: its grants, its health, and what is known of its speed."""

from typing import NamedTuple

from . import logs
from ._generated.messages import SlotRelease, WorkClass
from .grants import GrantTable
from .live_servers import LiveServer
from .pools import PrefixHoldings, ServerRates, ServerSpeed
from .run_monitor import RunMonitor

# Run times vary with the requests that a server happens to get, so it counts as slow only if its
# mean is more than this many times the usual. The ratio is limited.
SLOW_FACTOR = 1.5
MAX_SLOWNESS = 5.0

log = logs.component_logger("pool")

__all__ = ["PoolServer", "ServerRuns"]


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
        slowness: How many times as long its runs take as usual; 1 if it is not slow.
        holdings: What it has probably cached.
        speed: Its speed beside that of the others.
        rates: Coefficients of the cost of a request here; none if they have to be computed.
        excess_cost: Cost of its recent load above the mean, in usual times of a run.
    """

    def __init__(self, live_server: LiveServer) -> None:
        self.live_server = live_server
        self.is_listed = True
        self.is_draining = False
        self.grants = GrantTable()
        self.foreign_runs = 0
        self.monitor = RunMonitor()
        self.slowness = 1.0
        self.holdings = PrefixHoldings()
        self.speed = ServerSpeed()
        self.excess_cost = 0.0
        self.rates: ServerRates | None = None

    @property
    def is_ready(self) -> bool:
        """Whether new requests may run here: listed, and not reported as draining by a holder."""
        return self.is_listed and not self.is_draining

    @property
    def runs(self) -> int:
        """Runs on the server, with and without a grant."""
        return self.grants.slots + self.foreign_runs

    @property
    def load(self) -> float:
        """Runs as a fraction of the slots."""
        return self.runs / max(1, self.live_server.slots)

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

    def record_draining(self, release: SlotRelease) -> None:
        """Marks the server as draining if the release says so of its current process."""
        is_current_process = release.server_started_at_ms == self.live_server.started_at_ms
        if not release.is_server_draining or not is_current_process or self.is_draining:
            return
        self.is_draining = True
        log.info(
            "Stopped granting slots on a server that a holder reported as draining.",
            backend_server=self.live_server.id,
            started_at_ms=release.server_started_at_ms,
        )

    def update_slowness(self, usual_ms: float, now_ms: int) -> None:
        """Updates the slowness; `usual_ms` is the usual duration of a run in the pool."""
        mean_ms = self.monitor.mean_ms(now_ms)
        ratio = mean_ms / usual_ms if mean_ms is not None and usual_ms > 0 else 1.0
        self.slowness = min(MAX_SLOWNESS, ratio) if ratio > SLOW_FACTOR else 1.0
