"""Runs one prompt of a job until it has a result, retrying with new slots and backend servers."""

import random
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import anyio

from . import logs
from ._generated.messages import Outcome, SlotRequest, SuspectNotice, WorkClass
from .config import BackendServer
from .engine_client import Completion, Engine, Token
from .environment import Environment
from .errors import (
    BriarvaleError,
    InvalidRequest,
    Quarantined,
    ServerLost,
    ServerRefused,
)
from .fleet_view import FleetView
from .jobs import Item, JobRecord
from .quarantine import Quarantine
from .routing import Router, RouteRequest
from .shard_log import ItemResult
from .slot_client import HeldSlot, SlotClient, new_request_id
from .suspects import fingerprint_of
from .traces import tracer

SLOT_WAIT_MS = 120_000
RETRY_START_S = 0.5
RETRY_MAX_S = 30.0
SLOT_RETRY_MAX_S = 2.0
CANCEL_TIMEOUT_S = 3.0
MAX_REFUSALS = 20
TOKEN_TIMEOUT_S = 60.0
MAX_RESULT_BYTES = 500_000
ATTEMPTS_EXHAUSTED = "attempts_exhausted"
RESULT_TOO_LARGE = "result_too_large"

log = logs.component_logger("batch")

__all__ = ["ItemRunner", "ItemTask"]


class ItemTask(NamedTuple):
    """An item to run; `start_by_ms` returns when the remaining items of its job must start."""

    job: JobRecord
    item: Item
    item_index: int
    start_by_ms: Callable[[JobRecord], int]


class _Progress:
    """State of an item that is kept from one attempt to the next.

    Attributes:
        attempts: Runs in which the backend server was lost.
        refusals: Runs that a backend server refused.
        retries: Other failures since the last slot, such as no free slot or no server.
        excluded: The server of the last attempt, unless that attempt ended without an error.
        cache_server: The server that may still hold the item's KV cache after a revoked slot.
    """

    def __init__(self) -> None:
        self.request_id = new_request_id()
        self.tokens: list[str] = []
        self.is_complete = False
        self.attempts = 0
        self.refusals = 0
        self.retries = 0
        self.sent_at_ms = 0
        self.excluded: set[str] = set()
        self.cache_server: BackendServer | None = None


class ItemRunner:
    """Runs items of jobs of prompts.

    Args:
        environment: Clock, store, network and backend servers.
        view: The latest fleet view.
        router: Chooses backend servers.
        slots: Requests slots from the servers' owners.
        quarantine: Tracks which items crash backend servers.
    """

    def __init__(
        self,
        environment: Environment,
        view: FleetView,
        router: Router,
        slots: SlotClient,
        quarantine: Quarantine,
    ) -> None:
        self._environment = environment
        self._view = view
        self._router = router
        self._slots = slots
        self._quarantine = quarantine
        self._attempt_scopes: dict[str, set[anyio.CancelScope]] = {}
        quarantine.subscribe(self._interrupt_suspect)

    async def run(self, task: ItemTask) -> ItemResult:
        """Runs an item until it has a result: its text, or an error code if it can't complete.

        Only a server lost while it ran the item counts as a failed attempt. Waiting for a slot or
        a server doesn't count, nor does a revoked slot.
        """
        progress = _Progress()
        while not progress.is_complete:
            try:
                await self._attempt(task, progress)
            except (InvalidRequest, Quarantined) as error:
                return ItemResult(task.item_index, "", error.code)
            except ServerLost as error:
                progress.attempts += 1
                log.info(
                    "Lost the server of item {} of job {}: {}.",
                    task.item_index,
                    task.job.job_id,
                    error,
                )
                await _back_off(progress.attempts, RETRY_MAX_S)
            except ServerRefused:
                progress.refusals += 1
                await _back_off(progress.refusals, RETRY_MAX_S)
            except BriarvaleError as error:
                progress.retries += 1
                log.debug(
                    "Can't run item {} of job {}: {}.", task.item_index, task.job.job_id, error
                )
                await _back_off(progress.retries, SLOT_RETRY_MAX_S)
            if self._is_exhausted(progress):
                return ItemResult(task.item_index, "", ATTEMPTS_EXHAUSTED)
        return _result(task, progress)

    def _is_exhausted(self, progress: _Progress) -> bool:
        max_attempts = self._view.config.rules.max_attempts
        return progress.attempts >= max_attempts or progress.refusals >= MAX_REFUSALS

    async def _attempt(self, task: ItemTask, progress: _Progress) -> None:
        """Runs one attempt, on its probation server if the item is a suspect."""
        fingerprint = fingerprint_of(task.job.service, task.item["prompt"])
        notice = self._quarantine.check(fingerprint)
        if notice is not None:
            notice = await self._quarantine.wait_settled(fingerprint)
        server = self._choose(task, progress, notice)
        progress.excluded = {server.id}
        self._router.loads.record_start(server.id)
        try:
            with anyio.CancelScope() as scope:
                if notice is None:
                    self._attempt_scopes.setdefault(fingerprint, set()).add(scope)
                await self._run_with_slot(task, progress, server)
        except ServerLost:
            self._quarantine.record_crash(fingerprint, server.id, progress.sent_at_ms)
            raise
        finally:
            self._forget_attempt(fingerprint, scope)
            self._router.loads.record_end(server.id)
        progress.excluded = set()
        if progress.is_complete:
            self._quarantine.record_finish(fingerprint)

    def _choose(
        self, task: ItemTask, progress: _Progress, notice: SuspectNotice | None
    ) -> BackendServer:
        """Chooses a server; for a suspect, one on which its prompt hasn't crashed yet."""
        if notice is not None:
            crashed = [site.backend_server for site in notice.sites]
            return self._router.choose_for_probation(_route(task), crashed).server
        return self._router.choose(_route(task), self._excluded(task, progress))

    def _forget_attempt(self, fingerprint: str, scope: anyio.CancelScope) -> None:
        scopes = self._attempt_scopes.get(fingerprint, set())
        scopes.discard(scope)
        if not scopes:
            self._attempt_scopes.pop(fingerprint, None)

    def _interrupt_suspect(self, notice: SuspectNotice) -> None:
        """Cancels attempts that started before the item became a suspect; it is retried as one."""
        if notice.sites:
            for scope in self._attempt_scopes.get(notice.fingerprint, ()):
                scope.cancel()

    async def _run_with_slot(
        self, task: ItemTask, progress: _Progress, server: BackendServer
    ) -> None:
        with tracer.start_as_current_span("batch item") as span:
            span.set_attribute("briarvale.backend_server", server.id)
            async with self._slots.hold(self._slot_request(task, progress, server.id)) as slot:
                progress.retries = 0
                await self._move_cache(progress, server)
                progress.sent_at_ms = self._environment.clock.now_ms()
                try:
                    await self._stream(task, progress, slot, server)
                except ServerLost:
                    slot.outcome = Outcome.CRASHED
                    raise

    async def _stream(
        self, task: ItemTask, progress: _Progress, slot: HeldSlot, server: BackendServer
    ) -> None:
        """Reads tokens until the last one, or until the owner revokes the slot."""
        engine = self._environment.backends.engine(server)
        stream = engine.complete(self._completion(task, progress))
        errors: list[BriarvaleError] = []

        async def read() -> None:
            try:
                await _read_tokens(stream, progress, slot)
            except BriarvaleError as error:
                errors.append(error)
            reading.cancel_scope.cancel()

        async with anyio.create_task_group() as reading:
            reading.start_soon(read)
            try:
                await slot.revoked.wait()
            finally:
                is_stopped = not progress.is_complete and not errors
                if is_stopped:
                    await _cancel_quietly(engine, progress.request_id)
                reading.cancel_scope.cancel()
        if progress.is_complete:
            slot.outcome = Outcome.FINISHED
        elif is_stopped:
            slot.outcome = Outcome.REVOKED
            progress.cache_server = server
        else:
            raise errors[0]

    async def _move_cache(self, progress: _Progress, server: BackendServer) -> None:
        """Moves the KV cache to the next server; if that fails, the prompt is prefilled again."""
        source, progress.cache_server = progress.cache_server, None
        if source is None or source.id == server.id:
            return
        backends = self._environment.backends
        try:
            data = await backends.engine(source).export_kv(progress.request_id)
            if data:
                await backends.engine(server).import_kv(progress.request_id, data)
        except BriarvaleError as error:
            log.debug("Can't move the KV cache from {}: {}.", source.id, error)

    def _excluded(self, task: ItemTask, progress: _Progress) -> set[str]:
        """Returns the servers to avoid; none if no other server is ready."""
        ready = {server.id for server in self._view.ready_servers(task.job.service)}
        return progress.excluded if ready - progress.excluded else set()

    def _completion(self, task: ItemTask, progress: _Progress) -> Completion:
        return Completion(
            request_id=progress.request_id,
            model=self._view.config.services[task.job.service].model,
            prompt=task.item["prompt"],
            max_tokens=task.item["max_tokens"],
            adapter=task.item.get("adapter", ""),
            resume_tokens=tuple(progress.tokens),
        )

    def _slot_request(
        self, task: ItemTask, progress: _Progress, backend_server: str
    ) -> SlotRequest:
        prompt_tokens = len(task.item["prompt"].split())
        return SlotRequest(
            request_id=new_request_id(),
            backend_server=backend_server,
            member=task.job.member,
            work_class=WorkClass.BATCH,
            slot_count=1,
            cost_tokens=prompt_tokens + task.item["max_tokens"] - len(progress.tokens),
            deadline_ms=self._environment.clock.now_ms() + SLOT_WAIT_MS,
            fingerprint=fingerprint_of(task.job.service, task.item["prompt"]),
            start_by_ms=max(0, task.start_by_ms(task.job)),
        )


async def _cancel_quietly(engine: Engine, request_id: str) -> None:
    """Cancels a completion at its engine; a failure is only logged."""
    with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        try:
            await engine.cancel(request_id)
        except BriarvaleError as error:
            log.debug("Can't cancel completion {}: {}.", request_id, error)


async def _back_off(failures: int, max_s: float) -> None:
    """Sleeps before a retry: exponential back-off with jitter."""
    limit_s = min(max_s, RETRY_START_S * 2 ** min(failures - 1, 10))
    await anyio.sleep(limit_s * random.uniform(0.5, 1))


async def _read_tokens(stream: AsyncIterator[Token], progress: _Progress, slot: HeldSlot) -> None:
    """Records tokens until the end; raises `ServerLost` after `TOKEN_TIMEOUT_S` without a token."""
    try:
        while True:
            with anyio.fail_after(TOKEN_TIMEOUT_S):
                token = await anext(stream, None)
            if token is None:
                progress.is_complete = True
                return
            progress.tokens.append(token.text)
            slot.tokens += 1
    except TimeoutError as error:
        raise ServerLost("no token before the timeout") from error
    finally:
        with anyio.CancelScope(shield=True):
            await stream.aclose()  # type: ignore[attr-defined]


def _route(task: ItemTask) -> RouteRequest:
    service, item = task.job.service, task.item
    fingerprint = fingerprint_of(service, item["prompt"])
    return RouteRequest(service, item["prompt"], item.get("adapter", ""), fingerprint)


def _result(task: ItemTask, progress: _Progress) -> ItemResult:
    """Returns a complete item's text, or an error if it is too long."""
    result = ItemResult(task.item_index, "".join(progress.tokens))
    if result.size_bytes > MAX_RESULT_BYTES:
        return ItemResult(task.item_index, "", RESULT_TOO_LARGE)
    return result
