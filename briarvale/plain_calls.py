"""Calls to plain services; one that may not be repeated runs at most once."""

from typing import NamedTuple

from ._generated.messages import Outcome, SlotRequest, WorkClass
from .environment import Environment
from .fleet_view import FleetView
from .routing import Router, RouteRequest
from .service_client import ServiceAnswer, ServiceCall
from .slot_client import SlotClient, new_request_id

__all__ = ["PlainCalls", "PlainRequest"]


class PlainRequest(NamedTuple):
    """One call of a member to a plain service."""

    member: str
    service: str
    call: ServiceCall
    deadline_ms: int


class PlainCalls:
    """Makes calls to plain services of the fleet.

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

    async def call(self, request: PlainRequest) -> ServiceAnswer:
        """Makes the call in one attempt."""
        server = self._router.choose(RouteRequest(request.service))
        slot_request = SlotRequest(
            request_id=new_request_id(),
            backend_server=server.id,
            member=request.member,
            work_class=WorkClass.ONLINE,
            slot_count=1,
            cost_tokens=1,
            deadline_ms=request.deadline_ms,
        )
        async with self._slots.hold(slot_request) as slot:
            answer = await self._environment.backends.plain_service(server).call(request.call)
            slot.outcome = Outcome.FINISHED
            return answer
