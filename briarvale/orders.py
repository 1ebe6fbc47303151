"""Reconciles a service's engines with the state that the inventory declares, by sending orders.

Each pass reads every engine and decides from these reads alone, so the next pass corrects the
effects of orders that were lost, repeated, answered late or sent by an earlier lease holder.
"""

from collections.abc import Sequence
from typing import NamedTuple

import anyio

from . import logs, metrics
from .config import BackendServer, Config, Model
from .engine_client import EngineLoad, Order
from .environment import BackendClients
from .errors import BriarvaleError, StaleOrder
from .leases import Lease
from .weight_store import WeightStoreBudget

SERVING_ROLE = "mixed"
DRAINING_ROLE = "draining"
# A draining engine is given other weights no sooner than this, even if it has no requests.
DRAIN_NOTICE_S = 4.0
MAX_UNAVAILABLE_FRACTION = 0.25

log = logs.component_logger("orders")

__all__ = [
    "DRAINING_ROLE",
    "EngineReconciler",
    "EngineState",
    "SERVING_ROLE",
    "Step",
    "next_step",
]


class EngineState(NamedTuple):
    """An engine as last read; `load` is none if it did not answer."""

    server: BackendServer
    load: EngineLoad | None
    draining_since_s: float = 0.0

    @property
    def is_serving(self) -> bool:
        """Whether the engine accepts requests."""
        return self.load is not None and bool(self.load.model) and not self.load.is_draining


class Keep(NamedTuple):
    """No order: the engine is as declared, unreachable, loading, draining or may not drain yet."""


class Adjust(NamedTuple):
    """Change adapters or role; the weights are as declared."""


class Drain(NamedTuple):
    """Stop new requests to the engine, before it loads other weights."""


class LoadWeights(NamedTuple):
    """Load the declared weights; the engine has no requests."""


Step = Keep | Adjust | Drain | LoadWeights


def next_step(state: EngineState, model: Model, now_s: float, *, may_drain: bool) -> Step:
    """Decides the next order for one engine.

    Args:
        state: The engine as last read.
        model: The model that the inventory declares for it.
        now_s: The time, by the clock of `draining_since_s`.
        may_drain: Whether one more engine of the service may stop serving.
    """
    load = state.load
    if load is None:
        return Keep()
    is_loading = not load.model
    if load.version == model.version and (is_loading or load.model == model.id):
        is_adjusted = load.adapters == model.adapters and load.role == SERVING_ROLE
        return Keep() if is_adjusted else Adjust()
    if is_loading:
        return LoadWeights()
    if load.role != DRAINING_ROLE:
        return Drain() if may_drain else Keep()
    is_empty = load.streams == 0 and load.waiting == 0
    is_notice_over = now_s - state.draining_since_s >= DRAIN_NOTICE_S
    return LoadWeights() if is_empty and is_notice_over else Keep()


class EngineReconciler:
    """Brings one service's engines to their declared state by orders, while its lease is held.

    Args:
        service: Name of the service.
        backends: Clients of the engines.
        lease: The service's lease; its epoch goes with each order.
        budget: The weight store's budget, shared by all controllers.
    """

    def __init__(
        self, service: str, backends: BackendClients, lease: Lease, budget: WeightStoreBudget
    ) -> None:
        self._service = service
        self._backends = backends
        self._lease = lease
        self._budget = budget
        self._draining_since_s: dict[str, float] = {}

    async def reconcile(self, config: Config) -> None:
        """Reads all engines and sends each at most one order."""
        model = config.models.get(config.services[self._service].model)
        servers = config.servers_of(self._service)
        if model is None or not self._lease.is_held:
            return
        states = await self._read_all(servers)
        unavailable_count = sum(not state.is_serving for state in states)
        max_unavailable_count = max(1, int(len(states) * MAX_UNAVAILABLE_FRACTION))
        for state in states:
            may_drain = unavailable_count < max_unavailable_count
            step = next_step(state, model, anyio.current_time(), may_drain=may_drain)
            if isinstance(step, Drain):
                unavailable_count += 1
            await self._execute(step, state, model, config.rules.weight_store_gb_per_s)

    async def _execute(
        self, step: Step, state: EngineState, model: Model, rate_gb_per_s: float
    ) -> None:
        match step:
            case Adjust():
                await self._send_order(state, model, SERVING_ROLE)
            case Drain() if state.load is not None:
                current = Model(state.load.model, state.load.version, state.load.adapters)
                await self._send_order(state, current, DRAINING_ROLE)
            case LoadWeights():
                if await self._budget.reserve(model.size_gb, rate_gb_per_s):
                    await self._send_order(state, model, SERVING_ROLE)

    async def _send_order(self, state: EngineState, model: Model, role: str) -> None:
        """Sends one order; the next pass reads whether the engine applied it."""
        if not self._lease.is_held:
            return
        order = Order(
            fencing_number=self._lease.epoch,
            model=model.id,
            version=model.version,
            adapters=list(model.adapters),
            role=role,
        )
        log.info(
            "Ordering {} to use {} {} in role {}.", state.server.id, model.id, model.version, role
        )
        result = "answered"
        try:
            with anyio.fail_after(self._lease.times.order_timeout_s):
                await self._backends.engine(state.server).order(order)
        except StaleOrder:
            result = "stale"
            log.warning(
                "{} rejected an order with the stale fencing number {}.",
                state.server.id,
                self._lease.epoch,
            )
        except (BriarvaleError, TimeoutError):
            result = "unanswered"
        metrics.ORDERS.inc({"service": self._service, "result": result})

    async def _read_all(self, servers: Sequence[BackendServer]) -> list[EngineState]:
        loads: dict[str, EngineLoad | None] = {}

        async def read(server: BackendServer) -> None:
            loads[server.id] = await self._read(server)

        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(read, server)
        for server in servers:
            self._record_load(server, loads[server.id])
        return [
            EngineState(server, loads[server.id], self._draining_since_s.get(server.id, 0.0))
            for server in servers
        ]

    async def _read(self, server: BackendServer) -> EngineLoad | None:
        try:
            with anyio.fail_after(self._lease.times.order_timeout_s):
                return await self._backends.engine(server).load()
        except (BriarvaleError, TimeoutError):
            return None

    def _record_load(self, server: BackendServer, load: EngineLoad | None) -> None:
        """Records since when the engine drains; keeps the lease's epoch above its number."""
        if load is None:
            return
        if load.role == DRAINING_ROLE:
            self._draining_since_s.setdefault(server.id, anyio.current_time())
        else:
            self._draining_since_s.pop(server.id, None)
        if load.fencing_number > self._lease.epoch:
            self._lease.raise_epoch_above(load.fencing_number)
