"""Runs the items of one shard and commits their results to its log."""

import secrets

import anyio

from . import logs, metrics
from ._generated.messages import Outcome, SlotRequest, WorkClass
from .engine_client import Completion
from .environment import Environment
from .errors import BriarvaleError
from .fleet_view import FleetView
from .jobs import Item, JobRecord, load_shard
from .routing import Router, RouteRequest
from .shard_log import ItemResult, LogEntry, ShardLog, log_prefix
from .slot_client import SlotClient, new_request_id
from .traces import tracer

ITEMS_AT_ONCE = 16
COMMIT_RESULTS = 100
COMMIT_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.5
SLOT_WAIT_MS = 30_000

log = logs.part("batch")

__all__ = ["ShardRunner"]


class ShardRunner:
    """Runs one shard until its log is sealed.

    Args:
        environment: The outside interfaces.
        view: The fleet as last told.
        router: Chooses backend servers.
        slots: Asks their owners for slots.
    """

    def __init__(
        self, environment: Environment, view: FleetView, router: Router, slots: SlotClient
    ) -> None:
        self._environment = environment
        self._view = view
        self._router = router
        self._slots = slots

    async def run(self, job: JobRecord, shard_index: int) -> None:
        """Runs what the log lacks, then seals it."""
        prefix = log_prefix(job.member, job.job_id, shard_index)
        shard_log = ShardLog(self._environment.store, prefix)
        await shard_log.replay()
        if shard_log.is_sealed:
            return
        items = await load_shard(self._environment.store, job.shards[shard_index])
        pending = [index for index in range(len(items)) if index not in shard_log.results]
        results: list[ItemResult] = []
        limiter = anyio.CapacityLimiter(ITEMS_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._commit_until_sealed, shard_log, results, len(items))
            for index in pending:
                tasks.start_soon(self._run_item, job, items[index], index, results, limiter)

    async def _run_item(
        self,
        job: JobRecord,
        item: Item,
        index: int,
        results: list[ItemResult],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            for _ in range(self._view.config.rules.max_attempts):
                try:
                    text = await self._complete(job, item)
                    results.append(ItemResult(index, text))
                    return
                except BriarvaleError as error:
                    log.info("Item {} of {} failed: {}.", index, job.job_id, error)
                await anyio.sleep(RETRY_DELAY_S)
            results.append(ItemResult(index, "", "attempts_exhausted"))

    async def _complete(self, job: JobRecord, item: Item) -> str:
        server = self._router.choose(RouteRequest(job.service, item["prompt"]))
        request = SlotRequest(
            request_id=new_request_id(),
            backend_server=server.id,
            member=job.member,
            work_class=WorkClass.BATCH,
            slot_count=1,
            cost_tokens=len(item["prompt"].split()) + item["max_tokens"],
            deadline_ms=self._environment.clock.now_ms() + SLOT_WAIT_MS,
        )
        model = self._view.config.services[job.service].model
        completion = Completion(request.request_id, model, item["prompt"], item["max_tokens"])
        with tracer.start_as_current_span("batch item") as span:
            span.set_attribute("briarvale.backend_server", server.id)
            async with self._slots.hold(request) as slot:
                engine = self._environment.backends.engine(server)
                tokens = [token.text async for token in engine.complete(completion)]
                slot.outcome, slot.tokens = Outcome.FINISHED, len(tokens)
                return "".join(tokens)

    async def _commit_until_sealed(
        self, shard_log: ShardLog, results: list[ItemResult], item_count: int
    ) -> None:
        while not shard_log.is_sealed:
            await anyio.sleep(COMMIT_INTERVAL_S)
            batch = [result for result in results if result.item_index not in shard_log.results]
            is_complete = len(shard_log.results) + len(batch) == item_count
            if batch or is_complete:
                nonce = secrets.token_hex(8)
                entry = LogEntry(shard_log.next_sequence, nonce, tuple(batch), is_complete)
                if await shard_log.append(entry):
                    metrics.ITEMS.add({"result": "committed"}, len(batch))
