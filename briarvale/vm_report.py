"""A dispatcher's report for operators: its VM, its backend servers and their members."""

from typing import TypedDict

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .dispatcher import Dispatcher

__all__ = ["MemberReport", "ServerReport", "VmReport", "report_route", "vm_report"]


class MemberReport(TypedDict):
    """A member's slots on one backend server."""

    member: str
    share_slots: float
    online_slots: int
    batch_slots: int
    borrowed_slots: float


class ServerReport(TypedDict):
    """A backend server, as reported by its owner."""

    backend_server: str
    service: str
    owner: str
    health: str
    held: int
    queued: int
    limit: int
    members: list[MemberReport]


class VmReport(TypedDict):
    """One VM, its view of the health of all VMs, and the backend servers it owns."""

    vm: str
    is_ready: bool
    config_revision: int
    vms: dict[str, str]
    servers: list[ServerReport]


def vm_report(dispatcher: Dispatcher) -> VmReport:
    """Returns the report of a dispatcher."""
    return VmReport(
        vm=dispatcher.vm,
        is_ready=dispatcher.is_ready,
        config_revision=dispatcher.config_sync.revision,
        vms={vm.vm: vm.health.value for vm in dispatcher.membership.vms},
        servers=[_server_report(dispatcher, server.id) for server in dispatcher.owned_servers()],
    )


def report_route(dispatcher: Dispatcher) -> Route:
    """Returns the route `/report`, for operators."""

    async def answer(request: Request) -> Response:
        return JSONResponse(vm_report(dispatcher))

    return Route("/report", answer)


def _server_report(dispatcher: Dispatcher, name: str) -> ServerReport:
    config = dispatcher.config_sync.config
    queue = dispatcher.slot_owner.granter(name)
    return ServerReport(
        backend_server=name,
        service=config.servers[name].service if config else "",
        owner=dispatcher.vm,
        health=dispatcher.server_health.health(name).value,
        held=queue.held if queue else 0,
        queued=queue.queued if queue else 0,
        limit=queue.limit if queue else 0,
        members=[
            MemberReport(
                member=usage.member,
                share_slots=usage.share_slots,
                online_slots=usage.online_slots,
                batch_slots=usage.batch_slots,
                borrowed_slots=usage.borrowed_slots,
            )
            for usage in (queue.usage if queue else ())
        ],
    )
