"""Steps for the status of the fleet."""

import io
import json
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from behave import then, when
from behave.runner import Context
from rich.console import Console

from briarvale._generated.messages import Message, SlotRequest, WorkClass
from briarvale.commands.status import job_table, status_tables
from briarvale.fleet_status import FleetStatus, HttpReports, fleet_status
from briarvale.job_overview import JobRow, read_job_rows
from briarvale.jobs import JobRequest
from briarvale.operator_http import operator_app
from briarvale.standins.memory_dispatchers import MEMBER, DispatcherFleet
from briarvale.standins.memory_fleet import ENGINE_SERVICE, SHARED_SECRET, MemoryFleet
from briarvale.vm_report import report_route
from features.support.nodes import run_on_fleet
from features.support.virtual import run_virtual

SLOTS = 16
DEAD_AFTER_S = 6


class Holder:
    """A slot holder that discards the messages sent to it."""

    name = "gateway vm-1"

    def notify(self, message: Message) -> None:
        """Discards a message."""


class FleetHttp(httpx.AsyncBaseTransport):
    """Routes requests to the operator application of the VM that has the URL's host."""

    def __init__(self, fleet: DispatcherFleet) -> None:
        self._apps = {}
        for vm, dispatcher in fleet.dispatchers.items():
            routes = [report_route(dispatcher)]
            app = operator_app(dispatcher._settings, lambda d=dispatcher: d.is_ready, routes)
            self._apps[fleet.host(vm)] = httpx.ASGITransport(app=app)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Returns the response of the URL's VM; a dead VM refuses the connection."""
        if request.url.host not in self._apps:
            raise httpx.ConnectError("refused")
        return await self._apps[request.url.host].handle_async_request(request)


@when('a member holds slots beyond its share and "{vm}" is killed')
def when_borrowed(context: Context, vm: str) -> None:
    async def prepare(fleet: DispatcherFleet) -> None:
        fleet.kill_vm(vm)
        await anyio.sleep(DEAD_AFTER_S)
        owner = next(d for d in fleet.dispatchers.values() if d.owned_servers())
        server = next(iter(owner.owned_servers()))
        for number in range(SLOTS):
            deadline_ms = fleet.clock.now_ms() + 600_000
            request = SlotRequest(
                f"r-{number}", server.id, "guest", WorkClass.ONLINE, 1, 10, deadline_ms
            )
            owner.slot_owner.handle(Holder(), request)
        context.held = owner.slot_owner.granter(server.id).held

    context.prepare = prepare


@when("the operator asks for the status over HTTP")
def when_status(context: Context) -> None:
    async def fetch(fleet: DispatcherFleet, tasks: TaskGroup) -> FleetStatus:
        await context.prepare(fleet)
        settings = fleet.dispatchers["vm-1"]._settings
        async with httpx.AsyncClient(transport=FleetHttp(fleet)) as client:
            return await fleet_status(fleet.vm_list, HttpReports(settings, client))

    context.status = run_virtual(run_on_fleet, context.settings, fetch, seed=context.settings.seed)


@then('"{vm}" shows as dead and not ready, and the others as alive at revision {revision:d}')
def then_vms(context: Context, vm: str, revision: int) -> None:
    rows = {row["vm"]: row for row in context.status["vms"]}
    assert len(rows) == context.settings.vm_count
    dead = rows.pop(vm)
    assert (dead["health"], dead["is_ready"], dead["config_revision"]) == ("dead", False, 0)
    states = {(row["health"], row["is_ready"], row["config_revision"]) for row in rows.values()}
    assert states == {("alive", True, revision)}, states


@then("each backend server shows once, with a live owner")
def then_servers(context: Context) -> None:
    servers = context.status["servers"]
    names = [server["backend_server"] for server in servers]
    assert len(names) == len(set(names)) == context.settings.server_count
    assert "vm-2" not in {server["owner"] for server in servers}


@then("the borrowed slots show for the member that holds them")
def then_borrowed(context: Context) -> None:
    rows = {row["member"]: row for row in context.status["members"]}
    total = SLOTS * context.settings.server_count
    assert rows[MEMBER]["share_slots"] == total and rows[MEMBER]["borrowed_slots"] == 0
    guest = rows["guest"]
    assert context.held > 0, "the guest holds nothing"
    assert guest["online_slots"] == guest["borrowed_slots"] == context.held, guest


@then("the tables name each VM, member and backend server")
def then_tables(context: Context) -> None:
    console = Console(width=120, record=True, file=io.StringIO())
    for table in status_tables(context.status):
        console.print(table)
    text = console.export_text()
    rows: list[Any] = [*context.status["vms"], *context.status["members"]]
    names = [row.get("vm") or row.get("member") for row in rows]
    names += [server["backend_server"] for server in context.status["servers"]]
    assert all(name in text for name in names), text


@when('a client without the shared secret requests the report of "{vm}"')
def when_no_secret(context: Context, vm: str) -> None:
    async def fetch(fleet: DispatcherFleet, tasks: TaskGroup) -> list[httpx.Response]:
        async with httpx.AsyncClient(transport=FleetHttp(fleet)) as client:
            url = f"http://{fleet.host(vm)}:7402/report"
            secrets = ("wrong", SHARED_SECRET)
            headers = [{"authorization": f"Bearer {secret}"} for secret in secrets]
            return [await client.get(url, headers=header) for header in headers]

    context.answers = run_virtual(run_on_fleet, context.settings, fetch, seed=context.settings.seed)


@then('the client is refused with "{code}"')
def then_refused(context: Context, code: str) -> None:
    refused, allowed = context.answers
    assert refused.json()["code"] == code and allowed.json()["vm"] == "vm-1"


@when("two jobs run and the operator asks for the jobs")
def when_jobs(context: Context) -> None:
    async def run() -> list[JobRow]:
        fleet = MemoryFleet(context.fleet_settings)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            jobs = fleet.vms["vm-1"].gateway.jobs
            for job_id, due_s in (("late", 7_200), ("early", 3_600)):
                due_at_ms = fleet.clock.now_ms() + due_s * 1_000
                await jobs.submit(
                    JobRequest("trust", job_id, ENGINE_SERVICE, due_at_ms), job_lines(400)
                )
            await anyio.sleep(3)
            rows = await read_job_rows(fleet.store)
            tasks.cancel_scope.cancel()
        return rows

    context.jobs = run_virtual(run)


async def job_lines(items: int) -> AsyncIterator[bytes]:
    for index in range(items):
        yield json.dumps({"prompt": f"card {index}", "max_tokens": 64}).encode()


@then("both jobs show, the earlier due first, and neither has more items done than it has")
def then_jobs(context: Context) -> None:
    assert [row["job_id"] for row in context.jobs] == ["early", "late"], context.jobs
    assert all(0 <= row["done_count"] <= row["item_count"] == 400 for row in context.jobs)
    console = Console(width=140, record=True, file=io.StringIO())
    console.print(job_table(context.jobs))
    assert "early" in console.export_text()
