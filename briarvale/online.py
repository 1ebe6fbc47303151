"""Online completions: route, wait for a slot, stream, and resume elsewhere if a server is lost."""

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from . import logs, metrics
from ._generated.messages import Outcome, SlotRequest, WorkClass
from .clock import MS_PER_S
from .engine_client import Completion, Token
from .environment import Environment
from .errors import (
    BriarvaleError,
    NoServer,
    OwnerUnreachable,
    ServerConnectFailed,
    ServerLost,
    ServerRefused,
)
from .fleet_view import FleetView
from .routing import Router, RouteRequest
from .slot_client import HeldSlot, SlotClient
from .traces import tracer

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.1

log = logs.part("gateway")

__all__ = ["OnlineRequest", "OnlineService"]


class OnlineRequest(NamedTuple):
    """One completion that a caller waits for."""

    request_id: str
    member: str
    service: str
    prompt: str
    max_tokens: int
    deadline_ms: int
    adapter: str = ""
    fingerprint: str = ""


class OnlineService:
    """Runs completions on backend servers of the fleet.

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

    async def stream(self, request: OnlineRequest) -> AsyncIterator[Token]:
        """Streams the whole answer, each token once and in order, whatever servers are lost."""
        tokens: list[str] = []
        excluded: set[str] = set()
        started_ms = self._environment.clock.now_ms()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                async for token in self._attempt(request, tokens, excluded):
                    if not tokens:
                        waited_ms = self._environment.clock.now_ms() - started_ms
                        metrics.FIRST_TOKEN_S.observe({}, waited_ms / MS_PER_S)
                    tokens.append(token.text)
                    yield token
                return
            except (
                NoServer,
                OwnerUnreachable,
                ServerConnectFailed,
                ServerLost,
                ServerRefused,
            ) as error:
                log.info("Attempt {} of {} failed: {}.", attempt, request.request_id, error)
                if attempt == MAX_ATTEMPTS:
                    raise
                if isinstance(error, NoServer):
                    excluded.clear()
            await anyio.sleep(RETRY_DELAY_S * attempt)

    async def _attempt(
        self, request: OnlineRequest, tokens: list[str], excluded: set[str]
    ) -> AsyncIterator[Token]:
        route = RouteRequest(request.service, request.prompt, request.adapter, request.fingerprint)
        server = self._router.choose(route, excluded)
        excluded.add(server.id)
        with tracer.start_as_current_span("slot wait") as span:
            span.set_attribute("briarvale.backend_server", server.id)
            slot_request = self._slot_request(request, server.id)
        async with self._slots.hold(slot_request) as slot:
            completion = self._completion(request, tokens)
            stream = self._environment.backends.engine(server).complete(completion)
            try:
                async for token in stream:
                    slot.tokens += 1
                    yield token
                slot.outcome = Outcome.FINISHED
            except BriarvaleError as error:
                _note_failure(slot, error)
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    await stream.aclose()  # type: ignore[attr-defined]

    def _completion(self, request: OnlineRequest, tokens: list[str]) -> Completion:
        service = self._view.config.services[request.service]
        return Completion(
            request_id=request.request_id,
            model=service.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            adapter=request.adapter,
            resume_tokens=tuple(tokens),
        )

    def _slot_request(self, request: OnlineRequest, backend_server: str) -> SlotRequest:
        return SlotRequest(
            request_id=request.request_id,
            backend_server=backend_server,
            member=request.member,
            work_class=WorkClass.ONLINE,
            slot_count=1,
            cost_tokens=len(request.prompt.split()) + request.max_tokens,
            deadline_ms=request.deadline_ms,
            fingerprint=request.fingerprint,
        )


def _note_failure(slot: HeldSlot, error: BriarvaleError) -> None:
    slot.outcome = Outcome.CRASHED if isinstance(error, ServerLost) else Outcome.FAILED
