"""One VM's gateway: the components behind the callers' HTTP interface.

The program `briarvale-gateway` runs it. A node (`platform/node.py`) serves callers through
`ingress.py` and `forwarding.py` instead.
"""

import anyio

from . import logs
from .clock import MS_PER_S
from .environment import Environment
from .fleet_view import FleetView
from .job_service import JobService
from .online import OnlineParts, OnlineService
from .plain_calls import PlainCalls
from .prefix_cache import PrefixCache
from .quarantine import Quarantine
from .request_count import RequestCount
from .routing import Router
from .settings import Settings
from .slot_client import SlotClient

# Longest wait at a stop for outcomes of calls to be written to the store.
FLUSH_TIMEOUT_S = 30.0

log = logs.component_logger("gateway")

__all__ = ["Gateway"]


class Gateway:
    """The gateway of one VM; `run` runs its background tasks.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self.settings = settings
        self.environment = environment
        self.view = FleetView(settings, environment)
        self.jobs = JobService(environment, self.view)
        self.requests = RequestCount()
        self._is_draining = False
        self._tasks = anyio.create_task_group()
        slots = SlotClient(environment, self.view, self._tasks)
        self.prefix_cache = PrefixCache(environment, self.view)
        router = Router(self.view, prefix_cache=self.prefix_cache, region=settings.region)
        slots.subscribe_load(router.loads.record_load)
        self.quarantine = Quarantine(environment, self.view)
        parts = OnlineParts(self.view, router, slots, self.quarantine, self.prefix_cache)
        self.online = OnlineService(environment, parts, self._tasks)
        self.plain_calls = PlainCalls(environment, self.view, router, slots, self._tasks)

    @property
    def is_ready(self) -> bool:
        """Whether the platform's load balancer should send requests here."""
        return self.view.is_ready and self.quarantine.is_loaded and not self._is_draining

    async def run(self) -> None:
        """Runs until cancelled."""
        async with self._tasks as tasks:
            tasks.start_soon(self.view.run)
            tasks.start_soon(self.quarantine.run)
            tasks.start_soon(self.prefix_cache.run)
            await anyio.sleep_forever()

    async def drain(self) -> None:
        """Becomes unready, and waits until the load balancer has noticed and all requests ended.

        Then waits until the outcomes of calls are written, for at most `FLUSH_TIMEOUT_S`.
        """
        self._is_draining = True
        noticed_at_ms = self.environment.clock.now_ms() + self.settings.balancer_lag_s * MS_PER_S
        await self.environment.clock.sleep_until(noticed_at_ms)
        await self.requests.wait_idle()
        log.info("The last request has ended.")
        with anyio.move_on_after(FLUSH_TIMEOUT_S):
            await self.plain_calls.flush()
