"""Calls to plain services; a call that is not idempotent runs at most once."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from . import logs
from ._generated.messages import Outcome, SlotRequest, WorkClass
from .claims import Answered, AnswerLost, ClaimStore, HeldClaim, call_digest, claim_key
from .clock import MS_PER_S
from .config import BackendServer
from .environment import Environment
from .errors import (
    RETRY_SOON_MS,
    BriarvaleError,
    InProgress,
    OutcomeUnknown,
    Overloaded,
    ServerConnectFailed,
    ServerLost,
)
from .fleet_view import FleetView
from .routing import Router, RouteRequest
from .service_client import READ_TIMEOUT_S, ServiceAnswer, ServiceCall
from .slot_client import SlotClient, new_request_id
from .traces import tracer

MAX_SERVERS = 3
# Wait after the deadline for the call's own error, which says whether the call ran.
REFUSAL_GRACE_S = 0.25
CLAIM_EXPIRY_MARGIN_S = 10.0

log = logs.component_logger("plain calls")

__all__ = ["PlainCalls", "PlainRequest"]


class PlainRequest(NamedTuple):
    """One call of a member to a plain service."""

    member: str
    service: str
    call: ServiceCall
    deadline_ms: int


class _Result:
    """The result of a call that runs in its own task."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: ServiceAnswer | None = None
        self.error: Exception | None = None


class _CallState:
    """State of one call over its attempts; `excluded` are the servers that were tried.

    `may_have_run` is set just before the first byte may be sent.
    """

    def __init__(self, request: PlainRequest) -> None:
        self.request = request
        self.may_have_run = False
        self.excluded: set[str] = set()


class PlainCalls:
    """Makes calls to plain services of the fleet.

    Args:
        environment: The outside interfaces.
        view: The fleet as last reported.
        router: Chooses backend servers.
        slots: Requests slots from the owners of the servers.
        tasks: Runs calls to their end, even if their caller disconnects.
    """

    def __init__(
        self,
        environment: Environment,
        view: FleetView,
        router: Router,
        slots: SlotClient,
        tasks: TaskGroup,
    ) -> None:
        self._environment = environment
        self._view = view
        self._router = router
        self._slots = slots
        self._tasks = tasks
        self._claims = ClaimStore(environment.store, environment.clock, tasks)

    async def call(self, request: PlainRequest) -> ServiceAnswer:
        """Makes the call, or returns the answer stored under its idempotency key.

        Raises:
            InProgress: If the call with this key is running, or still runs at the deadline.
            OutcomeUnknown: If it may have run and its answer is lost.
            BriarvaleError: If it was refused; `not_run` is true only if no byte was sent.
        """
        if self._view.config.services[request.service].idempotent:
            return await self._send_repeatable(request)
        if not request.call.idempotency_key:
            timeout_error = OutcomeUnknown("no answer before the deadline; the call may have run")
            return await self._run_detached(request, self._send_once, timeout_error)
        keyed_timeout_error = InProgress(
            "no answer before the deadline; send the call again with the same key",
            retry_at_ms=max(request.deadline_ms, self._environment.clock.now_ms()) + RETRY_SOON_MS,
        )
        return await self._run_detached(request, self._send_claimed, keyed_timeout_error)

    async def flush(self) -> None:
        """Waits until no outcome in memory is still to be written to the store."""
        await self._claims.flush()

    async def _run_detached(
        self,
        request: PlainRequest,
        send: Callable[[PlainRequest], Awaitable[ServiceAnswer]],
        timeout_error: BriarvaleError,
    ) -> ServiceAnswer:
        """Runs `send` in its own task, so that it continues if the caller disconnects."""
        result = _Result()
        self._tasks.start_soon(self._store_result, request, send, result)
        with anyio.move_on_after(self._remaining_s(request) + REFUSAL_GRACE_S):
            await result.done.wait()
        if result.error is not None:
            raise result.error
        if result.answer is None:
            raise timeout_error
        return result.answer

    async def _store_result(
        self,
        request: PlainRequest,
        send: Callable[[PlainRequest], Awaitable[ServiceAnswer]],
        result: _Result,
    ) -> None:
        """Runs `send` and stores its answer or error in `result`."""
        try:
            result.answer = await send(request)
        except BriarvaleError as error:
            result.error = self._with_retry_time(error)
        except Exception as error:
            log.exception("A call to {} failed.", request.service)
            result.error = error
        result.done.set()

    async def _send_once(self, request: PlainRequest) -> ServiceAnswer:
        """Sends a call without an idempotency key."""
        return await self._send(_CallState(request))

    async def _send_claimed(self, request: PlainRequest) -> ServiceAnswer:
        """Claims the key, sends the call and records the outcome.

        Implements the rule SendAfterClaim of specs/claims.pml.
        """
        key = claim_key(request.member, request.call.idempotency_key)
        expiry_delay_s = READ_TIMEOUT_S + CLAIM_EXPIRY_MARGIN_S
        expires_at_ms = request.deadline_ms + int(expiry_delay_s * MS_PER_S)
        digest = call_digest(request.service, request.call)
        match await self._claims.claim(key, digest, expires_at_ms):
            case ServiceAnswer() as answer:
                return answer
            case HeldClaim() as held:
                return await self._send_held(request, held)

    async def _send_held(self, request: PlainRequest, held: HeldClaim) -> ServiceAnswer:
        """Sends a call whose key this process has claimed, and records its outcome."""
        state = _CallState(request)
        try:
            answer = await self._send(state)
        except Exception as error:
            if not state.may_have_run:
                await self._claims.mark_not_run(held)
                raise
            await self._claims.record(held, AnswerLost("the answer was lost"))
            raise OutcomeUnknown(f"the call may have run: {error}") from error
        await self._claims.record(held, Answered(answer))
        return answer

    async def _send(self, state: _CallState) -> ServiceAnswer:
        """Sends the call; tries another server only if no byte was sent."""
        while True:
            try:
                return await self._send_to_one(state)
            except ServerConnectFailed:
                if len(state.excluded) == MAX_SERVERS:
                    raise

    async def _send_repeatable(self, request: PlainRequest) -> ServiceAnswer:
        """Sends a call that may be repeated, to another server after each loss."""
        state = _CallState(request)
        while True:
            try:
                return await self._send_to_one(state)
            except (ServerConnectFailed, ServerLost) as error:
                if len(state.excluded) == MAX_SERVERS:
                    raise self._final_error(state, error) from error
            except BriarvaleError as error:
                raise self._final_error(state, error) from error

    async def _send_to_one(self, state: _CallState) -> ServiceAnswer:
        """Sends the call to a server that was not tried yet, with a slot from its owner."""
        request = state.request
        server = self._router.choose(RouteRequest(request.service), state.excluded)
        state.excluded.add(server.id)
        async with self._slots.hold(self._slot_request(request, server)) as slot:
            if self._remaining_s(request) <= 0:
                raise Overloaded("the deadline passed while the call waited for a slot")
            may_have_run_before, state.may_have_run = state.may_have_run, True
            try:
                with tracer.start_as_current_span("plain call") as span:
                    span.set_attribute("briarvale.backend_server", server.id)
                    service = self._environment.backends.plain_service(server)
                    answer = await service.call(request.call)
            except ServerConnectFailed:
                state.may_have_run = may_have_run_before
                raise
            except ServerLost:
                slot.outcome = Outcome.CRASHED
                raise
            slot.outcome = Outcome.FINISHED
            return answer

    def _final_error(self, state: _CallState, error: BriarvaleError) -> BriarvaleError:
        """Returns the caller's error; never says not run if an earlier attempt may have run."""
        if state.may_have_run and error.not_run:
            return ServerLost(f"the answer of an earlier attempt was lost; then: {error}")
        return self._with_retry_time(error)

    def _with_retry_time(self, error: BriarvaleError) -> BriarvaleError:
        """Adds a retry time to a server-side error of a call that did not run."""
        if error.not_run and error.retry_at_ms is None and error.http_status >= 500:
            error.retry_at_ms = self._environment.clock.now_ms() + RETRY_SOON_MS
        return error

    def _remaining_s(self, request: PlainRequest) -> float:
        return max(0.0, (request.deadline_ms - self._environment.clock.now_ms()) / MS_PER_S)

    def _slot_request(self, request: PlainRequest, server: BackendServer) -> SlotRequest:
        return SlotRequest(
            request_id=new_request_id(),
            backend_server=server.id,
            member=request.member,
            work_class=WorkClass.ONLINE,
            slot_count=1,
            cost_tokens=1,
            deadline_ms=request.deadline_ms,
        )
