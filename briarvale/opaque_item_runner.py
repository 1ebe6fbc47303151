"""Runs one opaque item until it has a result, retrying with new slots and backend servers."""

import base64
import random
from typing import Protocol

import anyio

from . import logs
from ._generated.messages import Outcome, SlotRequest, WorkClass
from .clock import MS_PER_S
from .crash_guard import WatchedRun
from .errors import (
    AnswerTooLong,
    BriarvaleError,
    DeadlineExceeded,
    ServerConnectFailed,
    ServerFull,
    ServerLost,
    ServerNotReady,
    ServerStalled,
)
from .event_stream import EventCursor, EventSplitter, StreamEvent
from .forward_request import ForwardRequest
from .live_servers import LiveServer
from .opaque_jobs import OpaqueItem, OpaqueJob
from .serving_components import ServingComponents
from .shard_log import ItemProgress, ItemResult
from .slot_client import HeldSlot
from .traces import tracer

SLOT_WAIT_MS = 5_000
# How long an item waits for a slot on a server other than the one that its last run failed on.
OTHER_SERVER_WAIT_MS = 1_000
# A page of results may hold 1 MB.
MAX_TEXT_BYTES = 990_000
MAX_FAILURE_BODY_BYTES = 1_048_576
# Callers abandon a stream after two seconds without an event; an item may wait a little longer.
MAX_SILENCE_S = 3.0
RETRY_START_S = 0.05
RETRY_MAX_S = 1.0
# The same after runs in a row whose server crashed before it answered.
CRASH_RETRY_START_S = 0.25
CRASH_RETRY_MAX_S = 60.0
# More doublings would overflow the float that holds the delay.
MAX_DOUBLINGS = 10
ITEM_REFUSED = "item_refused"
ATTEMPTS_EXHAUSTED = "attempts_exhausted"
GIVEN_UP = "given_up"

log = logs.component_logger("batch")

__all__ = ["ItemDecoder", "ItemState", "OpaqueItemRunner"]


class ItemDecoder(Protocol):
    """Builds the request that runs a stored item."""

    def item_request(self, job: OpaqueJob, item: OpaqueItem, body: bytes) -> ForwardRequest:
        """Returns the request to send to a backend server; `body` is the item's decoded body."""


class ItemState:
    """State of an item that is kept from one run to the next.

    Args:
        index: Index of the item in its job.
        item: The item, with its body.
        progress: Where an earlier runner stopped; none to start from the beginning.

    Attributes:
        data: The data of the events received so far, in order.
        cursor: Position in the event stream, from which the next run resumes.
        failed_attempts: Runs that a backend server answered with status 500.
        retries: Runs that raised an error since the last one that didn't.
        is_stalled: Whether the last run was cancelled after `MAX_SILENCE_S` without an event.
        excluded: The server that the last run failed on, which the next run avoids.
        run: The current or latest run; none before the first.
        crashes: Runs in a row whose server crashed before it answered.
        worked_ms: For how long runs worked on the events received so far; the time of an earlier
            runner isn't known and counts as 1.
        error_code: Why the item has no text; empty while it runs and if it completed.
    """

    def __init__(self, index: int, item: OpaqueItem, progress: ItemProgress | None = None) -> None:
        self.index = index
        self.item = item
        self.data: list[str] = [] if progress is None else [progress.text]
        self.text_bytes = sum(len(text.encode()) for text in self.data)
        self.cursor = EventCursor(None if progress is None else progress.last_event_id)
        self.failed_attempts = 0
        self.retries = 0
        self.run: WatchedRun | None = None
        self.crashes = 0
        self.last_event_at_s = 0.0
        self.is_stalled = False
        self.excluded: list[str] = []
        self.is_complete = False
        self.error_code = ""
        self.worked_ms = 0 if progress is None else 1

    def record_events(self, events: list[StreamEvent]) -> None:
        """Adds new events, skipping duplicates; raises `AnswerTooLong` if the text is too long."""
        for event in events:
            if not self.cursor.accept(event):
                continue
            self.last_event_at_s = anyio.current_time()
            self.data.append(event.data)
            self.text_bytes += len(event.data.encode()) + 1
            if self.run is not None:
                self.run.record_events(1)
        if self.text_bytes > MAX_TEXT_BYTES:
            raise AnswerTooLong(f"the text of an item is over {MAX_TEXT_BYTES} bytes")

    def start_over(self) -> None:
        """Discards all received events."""
        self.data.clear()
        self.text_bytes = 0
        self.cursor = EventCursor()
        self.worked_ms = 0

    def record_work(self, began_at_s: float) -> None:
        """Adds the time of a run that received events."""
        worked_s = self.last_event_at_s - began_at_s
        self.worked_ms += max(0, round(worked_s * MS_PER_S))

    @property
    def progress(self) -> ItemProgress | None:
        """Progress that another runner can resume from; none without an event id."""
        if self.cursor.last_id is None:
            return None
        return ItemProgress(self.index, self.cursor.last_id, "\n".join(self.data))


class OpaqueItemRunner:
    """Runs opaque items.

    Args:
        components: Slots, servers and engines that requests run on.
        decoder: Builds the requests that run the items.
    """

    def __init__(self, components: ServingComponents, decoder: ItemDecoder) -> None:
        self._components = components
        self._clock = components.clock
        self._servers = components.servers
        self._slots = components.slots
        self._forward_client = components.forward_client
        self._crash_guard = components.crash_guard
        self._decoder = decoder

    async def run(self, job: OpaqueJob, state: ItemState) -> ItemResult:
        """Runs an item of a job until it has a result: its text, or an error code.

        A lost run is retried, on another server if there is one, until the job's `give_up_at_ms`,
        no matter how many servers crash while running the item. But after each crash without an
        answer the item waits longer, and while parts of its prompt are quarantined it runs only on
        trial.
        """
        while not state.is_complete and not state.error_code:
            if self._clock.now_ms() >= job.give_up_at_ms:
                state.error_code = GIVEN_UP
                break
            try:
                request = self._request(job, state)
                if await self._wait_for_trial(job, request):
                    continue
                await self._run_once(job, request, state)
                state.retries = 0
            except BriarvaleError as error:
                state.retries += 1
                log.info(
                    "A run of an item ended early.",
                    job_id=job.job_id,
                    item_id=state.item.id,
                    code=error.code,
                    reason=str(error),
                    events=len(state.data),
                    crashes=state.crashes,
                )
                await _back_off(state)
            except Exception as error:
                # An unexpected error must end only this run, not those of the job's other items.
                state.retries += 1
                log.exception(
                    "A run of an item failed: {!r}.",
                    error,
                    job_id=job.job_id,
                    item_id=state.item.id,
                )
                await _back_off(state)
        text = "" if state.error_code else "\n".join(state.data)
        return ItemResult(state.index, text, state.error_code)

    async def _wait_for_trial(self, job: OpaqueJob, request: ForwardRequest) -> bool:
        """Waits while parts of the prompt are quarantined; false if the item may run now."""
        trial_at_ms = self._crash_guard.trial_at_ms(request)
        if trial_at_ms == 0:
            return False
        log.info(
            "Holds back an item whose content crashed servers.",
            job_id=job.job_id,
            item_id=request.request_id,
            trial_at_ms=trial_at_ms,
        )
        await self._clock.sleep_until(min(trial_at_ms, job.give_up_at_ms))
        return self._crash_guard.trial_at_ms(request) > self._clock.now_ms()

    def _request(self, job: OpaqueJob, state: ItemState) -> ForwardRequest:
        """Returns the item's request without its body, which is decoded only for a run.

        It has no fingerprint, as the body is run until it ends.
        """
        return self._decoder.item_request(job, state.item, b"")._replace(fingerprint="")

    async def _run_once(self, job: OpaqueJob, request: ForwardRequest, state: ItemState) -> None:
        """Runs an item once, with a slot; raises a `BriarvaleError` if the run fails."""
        slot_request = self._slot_request(job, request, state)
        state.excluded = []
        async with self._slots.hold(slot_request) as slot:
            server = self._servers.get(slot.grant.backend_server)
            if server is None:
                raise ServerConnectFailed("this node doesn't list the granted server")
            if self._crash_guard.trial_at_ms(request) > self._clock.now_ms():
                # The content was quarantined while the item waited for its slot.
                return
            request = request._replace(body=base64.b64decode(state.item.body_base64))
            try:
                await self._run_at(job, request, state, slot, server)
            except (ServerLost, ServerConnectFailed, ServerFull, ServerStalled) as error:
                if state.text_bytes > MAX_TEXT_BYTES:
                    state.start_over()
                if isinstance(error, ServerLost):
                    await self._record_loss(state)
                slot.outcome = Outcome.FAILED
                state.excluded = [server.id]
                raise
            except ServerNotReady:
                state.excluded = [server.id]
                raise
            finally:
                if self._servers.is_draining(server):
                    slot.record_draining(server)

    async def _record_loss(self, state: ItemState) -> None:
        """Counts the lost run if its server crashed before it answered."""
        if state.run is None:
            return
        has_crashed = await state.run.record_loss()
        if has_crashed or state.run.has_answered:
            state.crashes = state.crashes + 1 if has_crashed else 0

    def _slot_request(
        self, job: OpaqueJob, request: ForwardRequest, state: ItemState
    ) -> SlotRequest:
        """Returns a slot request, which excludes the server of a failed run if there was one."""
        wait_ms = OTHER_SERVER_WAIT_MS if state.excluded else SLOT_WAIT_MS
        slot_request = self._components.slot_request(
            request,
            WorkClass.BATCH,
            deadline_ms=self._clock.now_ms() + wait_ms,
            priority=job.priority,
            excluded=state.excluded,
        )
        return slot_request._replace(start_by_ms=max(0, job.due_at_ms), worked_ms=state.worked_ms)

    async def _run_at(
        self,
        job: OpaqueJob,
        request: ForwardRequest,
        state: ItemState,
        slot: HeldSlot,
        server: LiveServer,
    ) -> None:
        """Runs an item on one server until it is complete or fails, or its slot is revoked."""
        with tracer.start_as_current_span("batch item") as span:
            span.set_attribute("briarvale.backend_server", server.id)
            error: BriarvaleError | None = None
            failures_before = state.failed_attempts
            began_at_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_when_revoked, slot, tasks.cancel_scope)
                tasks.start_soon(_cancel_when_silent, state, tasks.cancel_scope)
                error = await self._stream(job, request, state, server, slot)
                tasks.cancel_scope.cancel()
            state.record_work(began_at_s)
            if state.is_stalled:
                error = ServerStalled(f"{server.id} sent no event for {MAX_SILENCE_S} s")
            if error is not None:
                raise error
        if state.failed_attempts > failures_before:
            slot.outcome = Outcome.FAILED
            state.excluded = [server.id]
        elif state.is_complete:
            slot.outcome = Outcome.FINISHED
        elif slot.revoked.is_set():
            slot.outcome = Outcome.REVOKED

    async def _stream(
        self,
        job: OpaqueJob,
        request: ForwardRequest,
        state: ItemState,
        server: LiveServer,
        slot: HeldSlot,
    ) -> BriarvaleError | None:
        """Reads the run's events; returns its error, which a task group would wrap if raised."""
        remaining_s = (request.deadline_at_ms - self._clock.now_ms()) / MS_PER_S
        try:
            with anyio.fail_after(max(0.0, remaining_s)):
                await self._read_events(job, request, state, server, slot)
        except TimeoutError:
            return DeadlineExceeded("the item's deadline passed")
        except BriarvaleError as error:
            return error
        return None

    async def _read_events(
        self,
        job: OpaqueJob,
        request: ForwardRequest,
        state: ItemState,
        server: LiveServer,
        slot: HeldSlot,
    ) -> None:
        """Reads the response, resuming after the last event; updates the item's state."""
        splitter = EventSplitter()
        if state.cursor.last_id is None:
            # Without event ids a stream can't be resumed.
            state.start_over()
        state.run = self._crash_guard.watch(request, server, len(state.data))
        slot.stream_times.record_sent()
        async with self._forward_client.run(request, server, state.cursor.last_id) as run:
            if run.head.status != 200:
                await run.read_full_body(MAX_FAILURE_BODY_BYTES)
                log.info(
                    "A server answered an item with a failure.",
                    job_id=job.job_id,
                    item_id=request.request_id,
                    backend_server=server.id,
                    status=run.head.status,
                    signature=run.metadata.signature,
                )
                self._record_failure(job, run.head.status, state)
                return
            if not run.metadata.is_signed:
                raise ServerLost("a response with status 200 has no signature")
            while data := await run.read():
                events = splitter.feed(data)
                state.record_events(events)
                slot.stream_times.record_events(len(events))
            splitter.check_end(has_framed_end=run.head.has_framed_end)
            state.is_complete = True
            state.run.record_answer()

    def _record_failure(self, job: OpaqueJob, status: int, state: ItemState) -> None:
        """Applies a failure status: no retry after 422, `max_attempts` runs that end with 500."""
        match status:
            case 422:
                state.error_code = ITEM_REFUSED
            case 500:
                state.failed_attempts += 1
                if state.failed_attempts >= job.max_attempts:
                    state.error_code = ATTEMPTS_EXHAUSTED
            case _:
                raise ServerLost(f"the server answered with status {status}")


async def _back_off(state: ItemState) -> None:
    """Sleeps before a retry: exponential back-off with jitter, longer if servers crash."""
    limit_s = min(RETRY_MAX_S, RETRY_START_S * 2 ** min(state.retries, MAX_DOUBLINGS))
    crash_limit_s = CRASH_RETRY_START_S * 2 ** min(state.crashes, MAX_DOUBLINGS)
    if state.crashes:
        limit_s = max(limit_s, min(CRASH_RETRY_MAX_S, crash_limit_s))
    await anyio.sleep(limit_s * random.uniform(0.5, 1.0))


async def _cancel_when_silent(state: ItemState, scope: anyio.CancelScope) -> None:
    """Cancels a run after `MAX_SILENCE_S` without a new event, even on an open connection."""
    state.last_event_at_s = anyio.current_time()
    state.is_stalled = False
    while (remaining_s := state.last_event_at_s + MAX_SILENCE_S - anyio.current_time()) > 0:
        await anyio.sleep(remaining_s)
    state.is_stalled = True
    scope.cancel()


async def _cancel_when_revoked(slot: HeldSlot, scope: anyio.CancelScope) -> None:
    await slot.revoked.wait()
    scope.cancel()
