"""Forwards a node's requests to backend servers: slots, retries, timeouts, resumed streams."""

import math
import random
from contextlib import AsyncExitStack
from typing import NamedTuple

import anyio

from . import logs, metrics
from ._generated.messages import Outcome, SlotRequest, WorkClass
from .answer_times import AnswerTimes
from .caller_timeout import slot_wait_deadline_ms
from .clock import MS_PER_S
from .errors import (
    AttemptsExhausted,
    BriarvaleError,
    DeadlineExceeded,
    IngressExhausted,
    NoServer,
    Overloaded,
    OwnerUnreachable,
    ServerConnectFailed,
    ServerFailed,
    ServerFull,
    ServerLost,
    ServerNotReady,
    ServerStalled,
)
from .event_stream import EventSplitter
from .forward_client import ForwardRun
from .forward_progress import (
    AnswerSink,
    ForwardProgress,
    is_repeatable,
    may_run_again,
    pause_limit_ms,
)
from .forward_request import ForwardRequest
from .live_servers import LiveServer
from .local_balancer import LocalBalancer
from .routes import StreamRoute
from .server_timeouts import TimedReader, server_timeout
from .serving_components import ServingComponents
from .slot_client import HeldSlot
from .stream_times import StreamTimes
from .traces import tracer
from .wait_limit import WaitLimit

SERVER_FULL_RETRY_DELAY_MS = 20
MAX_REFUSALS = 8
MAX_BUFFERED_BYTES = 1_000_000
# Mean delay before another slot is requested to resume a partly sent answer.
RESUME_RETRY_DELAY_MS = 250
# Statuses that count as server failures; 504 only reports that the request's deadline passed.
SERVER_ERROR_STATUSES = frozenset((500, 502, 503))
# Errors of a run that ended without a complete answer.
RUN_ERRORS = (ServerLost, ServerFailed, ServerStalled, ServerConnectFailed, ServerFull)
# Errors after which the request has not run at all.
NOT_RUN_ERRORS = (
    Overloaded,
    NoServer,
    OwnerUnreachable,
    ServerNotReady,
    ServerFull,
    ServerConnectFailed,
)
# Errors of a granted server that did not run the request; another server may still run it.
RETRY_ELSEWHERE = (ServerFull, ServerConnectFailed, ServerNotReady)

log = logs.component_logger("gateway")

__all__ = ["AnswerSink", "Forwarder"]


class _Attempt(NamedTuple):
    """One attempt: its backend server, and its slot if an owner granted one."""

    request: ForwardRequest
    server: LiveServer
    slot: HeldSlot | None


class Forwarder:
    """Forwards requests to backend servers.

    Args:
        components: The components that run requests.

    Attributes:
        slot_waits: Limits the waits for slots when this node stops.
    """

    def __init__(self, components: ServingComponents) -> None:
        self._components = components
        self._clock = components.clock
        self._servers = components.servers
        self._slots = components.slots
        self._forward_client = components.forward_client
        self._crash_guard = components.crash_guard
        self._local_balancer = LocalBalancer(components.servers)
        self._answer_times = AnswerTimes()
        self.slot_waits = WaitLimit(components.clock)

    async def forward(self, request: ForwardRequest, sink: AnswerSink) -> None:
        """Runs a request and forwards its answer, with retries where the route allows them.

        Raises:
            BriarvaleError: If no answer is complete; `not_run`, `was_sent` say if it may have run.
        """
        progress = ForwardProgress(request)
        remaining_s = max(0.0, (request.answer_by_ms - self._clock.now_ms()) / MS_PER_S)
        try:
            with anyio.fail_after(remaining_s):
                await self._run_attempts(request, sink, progress)
        except TimeoutError as error:
            timed_out = DeadlineExceeded("no complete answer before the deadline")
            timed_out.was_sent = progress.may_have_run
            raise timed_out from error
        except BriarvaleError as error:
            error.was_sent = error.was_sent or progress.may_have_run
            raise

    async def _run_attempts(
        self, request: ForwardRequest, sink: AnswerSink, progress: ForwardProgress
    ) -> None:
        while True:
            self._crash_guard.check(request)
            try:
                await self._attempt(request, sink, progress)
                return
            except NOT_RUN_ERRORS as error:
                await self._wait_to_retry(request, sink, progress, error)
            except (ServerFailed, ServerLost, ServerStalled) as error:
                progress.may_have_run = True
                progress.failed_runs += 1
                self._log_failed_attempt(request, progress, error)
                if not is_repeatable(request, sink, progress):
                    raise
                if progress.failed_runs >= request.route.max_attempts:
                    raise AttemptsExhausted(f"{progress.failed_runs} attempts failed") from error

    async def _wait_to_retry(
        self,
        request: ForwardRequest,
        sink: AnswerSink,
        progress: ForwardProgress,
        error: BriarvaleError,
    ) -> None:
        """Waits before the next attempt of a request that did not run, or raises the error.

        A partly sent answer is retried until the deadline, since it may still be completed.
        """
        if not sink.has_started and not isinstance(error, RETRY_ELSEWHERE):
            raise error
        self._log_failed_attempt(request, progress, error)
        if sink.has_started:
            await anyio.sleep(RESUME_RETRY_DELAY_MS * random.uniform(0.5, 1.5) / MS_PER_S)
            return
        progress.refusals += 1
        if progress.refusals >= MAX_REFUSALS:
            raise error
        if isinstance(error, ServerFull):
            await anyio.sleep(SERVER_FULL_RETRY_DELAY_MS * random.uniform(0.5, 1.5) / MS_PER_S)

    async def _attempt(
        self, request: ForwardRequest, sink: AnswerSink, progress: ForwardProgress
    ) -> None:
        """Runs the request once, with a slot, or without one if no owner can grant it."""
        slot_request = self._slot_request(request, progress)
        requested_at_ms = self._clock.now_ms()
        try:
            async with AsyncExitStack() as stack:
                with self.slot_waits.limit():
                    slot = await stack.enter_async_context(self._slots.hold(slot_request))
                log.info(
                    "Got a slot.",
                    request_id=request.request_id,
                    backend_server=slot.grant.backend_server,
                    waited_ms=self._clock.now_ms() - requested_at_ms,
                )
                server = self._servers.get(slot.grant.backend_server)
                if server is None:
                    raise ServerConnectFailed("this node has no entry for the granted server")
                await self._run_at(_Attempt(request, server, slot), sink, progress)
        except (NoServer, OwnerUnreachable) as error:
            now_ms = self._clock.now_ms()
            server = self._local_balancer.choose(request.service, progress.excluded, now_ms)
            log.info(
                "Chose a server without a slot from its owner.",
                request_id=request.request_id,
                backend_server=server.id,
                reason=error.code,
            )
            await self._run_at(_Attempt(request, server, None), sink, progress)

    def _slot_request(self, request: ForwardRequest, progress: ForwardProgress) -> SlotRequest:
        slot_request = self._components.slot_request(
            request,
            WorkClass.ONLINE,
            deadline_ms=slot_wait_deadline_ms(request, self._clock.now_ms(), progress.has_events),
            priority=request.route.priority,
            excluded=progress.excluded,
        )
        start_by_ms = self._start_by_ms(request, progress)
        return slot_request._replace(fingerprint=request.fingerprint, start_by_ms=start_by_ms)

    def _start_by_ms(self, request: ForwardRequest, progress: ForwardProgress) -> int:
        """Returns when a run must start so that the answer, or the next event, meets its target."""
        match request.route.kind:
            case StreamRoute(gap_target_ms=gap_ms) if progress.has_events:
                target_at_ms = self._clock.now_ms() + gap_ms
            case _:
                target_at_ms = request.received_at_ms + request.route.target_latency_ms
        return max(0, math.floor(target_at_ms - self._answer_times.mean_ms(request.service)))

    async def _run_at(self, attempt: _Attempt, sink: AnswerSink, progress: ForwardProgress) -> None:
        server, slot = attempt.server, attempt.slot
        # The content may have been quarantined while the request waited for its slot.
        self._crash_guard.check(attempt.request)
        progress.excluded = [*progress.excluded, server.id][-2:]
        self._local_balancer.record_start(server)
        outcome = Outcome.CANCELLED
        run = progress.run = self._crash_guard.watch(attempt.request, server, progress.event_count)
        try:
            with tracer.start_as_current_span("backend server") as span:
                span.set_attribute("briarvale.backend_server", server.id)
                span.set_attribute("briarvale.request_id", attempt.request.request_id)
                outcome = await self._forward_answer(attempt, sink, progress)
            if outcome is Outcome.FINISHED:
                run.record_answer()
            metrics.ATTEMPTS.inc({"service": attempt.request.service, "code": "finished"})
        except anyio.get_cancelled_exc_class():
            progress.may_have_run = True
            raise
        except RUN_ERRORS as error:
            if isinstance(error, ServerLost):
                await run.record_loss()
            outcome = Outcome.FAILED
            metrics.ATTEMPTS.inc({"service": attempt.request.service, "code": error.code})
            raise
        finally:
            self._local_balancer.record_end(server, outcome, self._clock.now_ms())
            if slot is not None:
                slot.outcome = outcome
                if self._servers.is_draining(server):
                    slot.record_draining(server)

    def _answer_timeout_ms(
        self, request: ForwardRequest, sink: AnswerSink, progress: ForwardProgress
    ) -> float:
        """Returns the timeout for an answer's head; infinite if no other run may follow in time."""
        if not may_run_again(request, sink, progress):
            return math.inf
        overdue_ms = self._answer_times.overdue_ms(request)
        remaining_ms = request.answer_by_ms - self._clock.now_ms()
        return overdue_ms if 2 * overdue_ms <= remaining_ms else math.inf

    async def _forward_answer(
        self, attempt: _Attempt, sink: AnswerSink, progress: ForwardProgress
    ) -> Outcome:
        """Forwards the answer of one run; times out early enough for another run.

        A server's error status is forwarded only if the request may not run again, and never after
        the start of an answer, which it would complete wrongly.
        """
        request = attempt.request
        timeout_ms = self._answer_timeout_ms(request, sink, progress)
        sent_at_ms = self._clock.now_ms()
        stream_times = StreamTimes() if attempt.slot is None else attempt.slot.stream_times
        stream_times.record_sent()
        run_context = self._forward_client.run(request, attempt.server, progress.cursor.last_id)
        async with AsyncExitStack() as stack:
            with server_timeout(timeout_ms):
                run = await stack.enter_async_context(run_context)
            self._answer_times.record(request.service, self._clock.now_ms() - sent_at_ms)
            is_success = 200 <= run.head.status < 300
            if is_success and not run.metadata.is_signed:
                raise ServerLost("the server's successful answer has no signature")
            has_failed = run.head.status in SERVER_ERROR_STATUSES
            may_retry = has_failed and may_run_again(request, sink, progress)
            if may_retry or (sink.has_started and not is_success):
                raise ServerFailed(f"{attempt.server.id} answered {run.head.status}")
            match request.route.kind:
                case StreamRoute() if is_success:
                    reader = TimedReader(pause_limit_ms(request, progress))
                    await _forward_events(run, sink, progress, reader, stream_times)
                case _:
                    await _forward_body(run, sink)
        return Outcome.FAILED if has_failed else Outcome.FINISHED

    def _log_failed_attempt(
        self, request: ForwardRequest, progress: ForwardProgress, error: BriarvaleError
    ) -> None:
        log.info(
            "An attempt failed.",
            request_id=request.request_id,
            backend_server=progress.excluded[-1] if progress.excluded else "",
            code=error.code,
            reason=str(error),
            attempts=progress.failed_runs,
            has_events=progress.has_events,
        )


async def _forward_body(run: ForwardRun, sink: AnswerSink) -> None:
    """Sends a body in one piece, or streams it once it is over `MAX_BUFFERED_BYTES`."""
    chunks: list[bytes] = []
    size_bytes = 0
    while data := await run.read():
        if sink.has_started:
            await sink.send(data)
            continue
        await _hold(sink, len(data))
        chunks.append(data)
        size_bytes += len(data)
        if size_bytes > MAX_BUFFERED_BYTES:
            await sink.start(run.head)
            await sink.send(b"".join(chunks))
            chunks.clear()
    if sink.has_started:
        await sink.finish()
    else:
        await sink.answer(run.head.status, run.head.headers, b"".join(chunks))


async def _hold(sink: AnswerSink, size_bytes: int) -> None:
    """Waits until there is room for a part of the answer; the request has run if there is none."""
    try:
        await sink.hold(size_bytes)
    except IngressExhausted as error:
        error.was_sent = True
        raise


async def _forward_events(
    run: ForwardRun,
    sink: AnswerSink,
    progress: ForwardProgress,
    reader: TimedReader,
    stream_times: StreamTimes,
) -> None:
    """Forwards complete events as they arrive; a resumed run repeats none of them."""
    splitter = EventSplitter()
    if not sink.has_started and progress.cursor.last_id is not None:
        await sink.start(run.head)
    while data := await reader.read(run):
        events = [event for event in splitter.feed(data) if progress.cursor.accept(event)]
        if not events:
            continue
        reader.record_event()
        stream_times.record_events(len(events))
        progress.record_events(len(events))
        if not sink.has_started:
            await sink.start(run.head)
        await sink.send(b"".join(event.raw for event in events))
    splitter.check_end(has_framed_end=run.head.has_framed_end)
    if not sink.has_started:
        await sink.start(run.head)
    await sink.finish()
