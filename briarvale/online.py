"""Online completions: routing, slots, streaming, and resuming elsewhere if a server is lost.

The gateway program runs them; a node forwards requests unchanged instead (`forwarding.py`).
"""

import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from opentelemetry.trace import Span, get_current_span

from . import logs, metrics
from ._generated.messages import Outcome, SlotRequest, SuspectNotice
from .clock import MS_PER_S
from .config import BackendServer
from .engine_client import Engine, Token
from .environment import Environment
from .errors import (
    RETRY_LATER_MS,
    RETRY_SOON_MS,
    BriarvaleError,
    DeadlineExceeded,
    InvalidRequest,
    NoServer,
    Quarantined,
    ServerConnectFailed,
    ServerLost,
    ServerNotReady,
    ServerStalled,
)
from .fleet_view import FleetView
from .online_answer import OnlineAnswer, OnlineRequest, describe_attempt, record_token_interval
from .prefix_cache import PrefixCache
from .quarantine import Quarantine
from .retries import RETRYABLE, RetryBudgets
from .routing import Choice, Router, RouteRequest
from .slot_client import HeldSlot, SlotClient
from .streams import TokenOrder, first_token_timeout_s, next_token_timeout_s
from .traces import tracer

CANCEL_TIMEOUT_S = 1.0
# Errors that are answered without a retry time.
NEVER_RETRY = (Quarantined,)

log = logs.component_logger("gateway")

__all__ = ["OnlineParts", "OnlineRequest", "OnlineService"]


class OnlineParts(NamedTuple):
    """The components of a gateway that online completions use."""

    view: FleetView
    router: Router
    slots: SlotClient
    quarantine: Quarantine
    prefix_cache: PrefixCache


class OnlineService:
    """Runs completions on backend servers of the fleet.

    A separate task for each answer reads from the backend server at the server's pace, so that a
    caller that reads slowly holds neither a slot nor unbounded memory.

    Args:
        environment: The outside interfaces.
        parts: The components that completions use.
        tasks: Runs the tasks that produce answers.
    """

    def __init__(self, environment: Environment, parts: OnlineParts, tasks: TaskGroup) -> None:
        self._environment = environment
        self._view, self._router, self._slots = parts.view, parts.router, parts.slots
        self._quarantine, self._prefix_cache = parts.quarantine, parts.prefix_cache
        self._running: set[OnlineAnswer] = set()
        self._quarantine.subscribe(self._interrupt_suspect)
        self._tasks = tasks
        self._budgets = RetryBudgets()

    async def stream(self, request: OnlineRequest) -> AsyncIterator[Token]:
        """Streams the complete answer, each token once and in order, even if servers are lost.

        Closing the iterator cancels the run at the backend server and frees the slot.
        """
        answer = OnlineAnswer(request, self._environment.clock.now_ms())
        self._running.add(answer)
        self._tasks.start_soon(self._produce, answer)
        try:
            async for token in answer.buffer.read():
                yield token
        finally:
            answer.scope.cancel()
            with anyio.CancelScope(shield=True):
                await answer.ended.wait()

    async def _produce(self, answer: OnlineAnswer) -> None:
        """Runs a request in a task of its own until its answer has ended."""
        error: BriarvaleError | None = None
        try:
            with answer.scope, tracer.start_as_current_span("online request") as span:
                error = await self._run_traced(answer, span)
        finally:
            self._running.discard(answer)
            answer.buffer.close(error)
            answer.ended.set()

    async def _run_traced(self, answer: OnlineAnswer, span: Span) -> BriarvaleError | None:
        """Runs the request, records its outcome, and returns the caller's error, if any."""
        span.set_attribute("briarvale.request_id", answer.request.request_id)
        span.set_attribute("briarvale.member", answer.request.member)
        span.set_attribute("briarvale.service", answer.request.service)
        span.set_attribute("briarvale.code", "cancelled")
        try:
            await self._run_until_deadline(answer)
            span.set_attribute("briarvale.code", "ok")
            self._budgets.record_finished(answer.request.member)
            self._quarantine.record_finish(answer.request.fingerprint)
            return None
        except BriarvaleError as error:
            log.info("Request {} failed: {}.", answer.request.request_id, error)
            span.set_attribute("briarvale.code", error.code)
            return self._final_error(answer, error)
        except Exception:
            log.exception("Request {} failed with an unexpected error.", answer.request.request_id)
            return self._final_error(answer, BriarvaleError("internal error"))
        finally:
            span.set_attribute("briarvale.attempts", answer.attempts)
            span.set_attribute("briarvale.tokens", len(answer.tokens))

    def _final_error(self, answer: OnlineAnswer, error: BriarvaleError) -> BriarvaleError:
        """Adds to an error whether the request was sent, and a retry time if it has none."""
        error.was_sent = answer.was_sent
        if error.retry_at_ms is None and not isinstance(error, NEVER_RETRY):
            delay_ms = random.randint(RETRY_SOON_MS, RETRY_LATER_MS)
            error.retry_at_ms = self._environment.clock.now_ms() + delay_ms
        return error

    async def _run_until_deadline(self, answer: OnlineAnswer) -> None:
        with anyio.move_on_after(self._remaining_ms(answer) / MS_PER_S):
            await self._run_attempts(answer)
            return
        raise DeadlineExceeded("the deadline passed before the answer was complete")

    async def _run_attempts(self, answer: OnlineAnswer) -> None:
        """Makes attempts until the answer is complete; pauses between two if the buffer is full."""
        async for attempt in self._budgets.retrying(answer.request.member):
            with attempt:
                while not await self._attempt(answer):
                    metrics.STREAMS_PAUSED.inc({})
                    await answer.buffer.wait_half_read()

    async def _attempt(self, answer: OnlineAnswer) -> bool:
        """Runs one attempt; returns whether the answer is complete, or only paused."""
        notice = await self._wait_if_suspect(answer)
        answer.attempts += 1
        answer.is_suspect = notice is not None
        choice = self._choose(answer, notice)
        self._router.loads.record_start(choice.server.id)
        code = "cancelled"
        with tracer.start_as_current_span("attempt") as span:
            describe_attempt(span, answer, choice)
            try:
                with anyio.CancelScope() as answer.attempt_scope:
                    is_complete = await self._hold_and_stream(answer, choice.server)
                    code = "ok" if is_complete else "paused"
                    return is_complete
                code = "suspect"
                raise ServerNotReady("the request became a suspect while it ran")
            except BriarvaleError as error:
                code = error.code
                self._record_failure(answer, choice.server.id, error)
                raise
            finally:
                self._router.loads.record_end(choice.server.id)
                span.set_attribute("briarvale.code", code)
                metrics.ATTEMPTS.inc({"service": answer.request.service, "code": code})

    async def _wait_if_suspect(self, answer: OnlineAnswer) -> SuspectNotice | None:
        """Waits until a suspect may run on probation; returns its notice, if it still is one."""
        fingerprint = answer.request.fingerprint
        if self._quarantine.check(fingerprint) is None:
            return None
        with tracer.start_as_current_span("probation wait"):
            return await self._quarantine.wait_settled(fingerprint)

    def _record_failure(self, answer: OnlineAnswer, server: str, error: BriarvaleError) -> None:
        answer.failed_servers.append(server)
        if isinstance(error, RETRYABLE):
            self._router.loads.record_failure(server)
        if isinstance(error, ServerLost):
            self._prefix_cache.drop(server)
            self._quarantine.record_crash(answer.request.fingerprint, server, answer.sent_at_ms)

    def _interrupt_suspect(self, notice: SuspectNotice) -> None:
        """Cancels attempts that started before a request became a suspect; it is retried as one."""
        if not notice.sites:
            return
        for answer in self._running:
            is_same = answer.request.fingerprint == notice.fingerprint
            if is_same and not answer.is_suspect:
                answer.attempt_scope.cancel()

    def _choose(self, answer: OnlineAnswer, notice: SuspectNotice | None) -> Choice:
        request = answer.request
        route = RouteRequest(
            request.service, request.prompt, request.adapter, request.fingerprint, answer.blocks
        )
        failed = answer.failed_servers
        if notice is not None:
            crashed = [site.backend_server for site in notice.sites]
            return self._router.choose_for_probation(route, crashed)
        # If all servers have failed, only the one that failed last is still excluded.
        for excluded in (failed, failed[-1:]):
            try:
                return self._router.choose_with_reason(route, excluded)
            except NoServer:
                continue
        return self._router.choose_with_reason(route)

    async def _hold_and_stream(self, answer: OnlineAnswer, server: BackendServer) -> bool:
        """Waits for a slot and streams; returns whether the answer is complete."""
        async with AsyncExitStack() as stack:
            with tracer.start_as_current_span("slot wait") as span:
                cached_tokens = self._prefix_cache.cached_tokens(server.id, answer.blocks)
                slot_request = answer.slot_request(server.id, cached_tokens)
                slot = await self._acquire_slot(stack, slot_request)
                self._describe_load(span, server.id)
            with tracer.start_as_current_span("stream") as span:
                try:
                    return await self._stream(answer, server, slot)
                finally:
                    span.set_attribute("briarvale.tokens", slot.tokens)

    async def _acquire_slot(self, stack: AsyncExitStack, request: SlotRequest) -> HeldSlot:
        try:
            slot = await stack.enter_async_context(self._slots.hold(request))
        except NoServer as error:
            raise ServerNotReady(str(error)) from error
        if not self._router.accepts_work(request.backend_server):
            slot.outcome = Outcome.CANCELLED
            raise ServerNotReady(
                f"{request.backend_server} stopped accepting work during the wait for a slot"
            )
        return slot

    async def _stream(self, answer: OnlineAnswer, server: BackendServer, slot: HeldSlot) -> bool:
        """Streams, and sets the slot's outcome; true if the answer is complete."""
        slot.outcome = Outcome.CANCELLED
        engine = self._environment.backends.engine(server)
        try:
            if not await self._read_tokens(answer, engine, slot):
                return False
            slot.outcome = Outcome.FINISHED
            return True
        except InvalidRequest:
            raise
        except BriarvaleError as error:
            slot.outcome = Outcome.CRASHED if isinstance(error, ServerLost) else Outcome.FAILED
            raise
        finally:
            if slot.outcome is not Outcome.FINISHED:
                self._tasks.start_soon(_cancel_quietly, engine, answer.attempt_id)

    async def _read_tokens(self, answer: OnlineAnswer, engine: Engine, slot: HeldSlot) -> bool:
        """Reads until the stream ends or the buffer is full; true if the answer is complete."""
        request = answer.request
        order = TokenOrder(len(answer.tokens), request.max_tokens)
        stream = engine.complete(answer.completion(self._view.config))
        self._prefix_cache.record_sent(slot.grant.backend_server, answer.blocks)
        was_sent_before, answer.was_sent = answer.was_sent, True
        answer.sent_at_ms = self._environment.clock.now_ms()
        first_token_at_s = 0.0
        try:
            while not answer.buffer.is_full:
                token = await self._next_token(answer, stream, slot)
                if token is None:
                    break
                if slot.tokens == 0:
                    first_token_at_s = anyio.current_time()
                    waited_ms = self._environment.clock.now_ms() - answer.sent_at_ms
                    get_current_span().set_attribute("briarvale.first_token_ms", waited_ms)
                slot.tokens += 1
                record_token_interval(slot, first_token_at_s)
                for ready in order.accept(token):
                    self._deliver(answer, ready)
            else:
                return len(answer.tokens) >= request.max_tokens
        except ServerConnectFailed:
            answer.was_sent = was_sent_before
            raise
        finally:
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await stream.aclose()  # type: ignore[attr-defined]
        if order.has_gap:
            raise ServerLost("the stream ended with a token missing")
        return True

    async def _next_token(
        self, answer: OnlineAnswer, stream: AsyncIterator[Token], slot: HeldSlot
    ) -> Token | None:
        """Returns the next token; none at the end of the stream."""
        remaining_ms = self._remaining_ms(answer)
        if slot.tokens == 0:
            prompt_tokens = answer.request.prompt_tokens + len(answer.tokens)
            timeout_s = first_token_timeout_s(prompt_tokens, remaining_ms)
        else:
            timeout_s = next_token_timeout_s(remaining_ms)
        with anyio.move_on_after(timeout_s):
            return await anext(stream, None)
        raise ServerStalled(f"{slot.grant.backend_server}: no token in {timeout_s:.1f} s")

    def _deliver(self, answer: OnlineAnswer, token: Token) -> None:
        """Adds the next token in order to the answer."""
        if not answer.tokens:
            waited_ms = self._environment.clock.now_ms() - answer.started_at_ms
            metrics.FIRST_TOKEN_S.observe({}, waited_ms / MS_PER_S)
        answer.tokens.append(token.text)
        answer.buffer.put(token)

    def _remaining_ms(self, answer: OnlineAnswer) -> int:
        return max(0, answer.request.deadline_ms - self._environment.clock.now_ms())

    def _describe_load(self, span: Span, backend_server: str) -> None:
        """Records the last reported load of a server in the span."""
        load = self._router.loads.last_report(backend_server)
        if load is not None:
            span.set_attribute("briarvale.slots_held", load.held)
            span.set_attribute("briarvale.slots_queued", load.queued)
            span.set_attribute("briarvale.slot_limit", load.limit)


async def _cancel_quietly(engine: Engine, attempt_id: str) -> None:
    """Cancels an attempt at its engine; a failure is only logged."""
    with anyio.move_on_after(CANCEL_TIMEOUT_S):
        try:
            await engine.cancel(attempt_id)
        except BriarvaleError as error:
            log.debug("Could not cancel {}: {}.", attempt_id, error)
