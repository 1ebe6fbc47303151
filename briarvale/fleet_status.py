"""The whole fleet for operators, put together from the report of each VM."""

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol, TypedDict

import anyio
import httpx

from .errors import BriarvaleError
from .settings import Settings
from .vm_list import VmEntry, VmList, VmStatus
from .vm_report import ServerReport, VmReport

REPORT_TIMEOUT_S = 3.0
MAX_CONCURRENT_REPORTS = 50
WAIT_INTERVAL_S = 0.3

__all__ = [
    "FleetStatus",
    "HttpReports",
    "MemberStatus",
    "ReportUnavailable",
    "Reports",
    "VmStatusRow",
    "fleet_status",
    "fetch_reports",
    "wait_for_revision",
]


class ReportUnavailable(BriarvaleError):
    """A VM's dispatcher gave no report."""

    code, http_status = "report_unavailable", 503


class Reports(Protocol):
    """Gets the report of a VM."""

    async def fetch(self, entry: VmEntry) -> VmReport:
        """Returns the report; raises `ReportUnavailable`."""


class HttpReports:
    """Reports from the operator ports of the dispatchers.

    Args:
        settings: Hold the port and the shared secret.
        client: HTTP client; closed by its maker.
    """

    def __init__(self, settings: Settings, client: httpx.AsyncClient) -> None:
        self._port = settings.dispatcher_port
        self._headers = {"authorization": f"Bearer {settings.shared_secret}"}
        self._client = client

    async def fetch(self, entry: VmEntry) -> VmReport:
        """Fetches one report."""
        url = f"http://{entry.host}:{self._port}/report"
        try:
            response = await self._client.get(url, headers=self._headers, timeout=REPORT_TIMEOUT_S)
            response.raise_for_status()
            report: VmReport = response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise ReportUnavailable(f"{entry.vm}: {type(error).__name__}") from error
        return report


class VmStatusRow(TypedDict):
    """One VM of the fleet."""

    vm: str
    region: str
    availability_zone: str
    health: str
    is_ready: bool
    config_revision: int


class MemberStatus(TypedDict):
    """A member's slots on all backend servers."""

    member: str
    share_slots: float
    online_slots: int
    batch_slots: int
    borrowed_slots: float


class FleetStatus(TypedDict):
    """The fleet as its VMs report it."""

    vms: list[VmStatusRow]
    members: list[MemberStatus]
    servers: list[ServerReport]


class _Answer(NamedTuple):
    entry: VmEntry
    report: VmReport | None


async def fetch_reports(entries: Iterable[VmEntry], reports: Reports) -> list[_Answer]:
    """Asks all VMs, some at once; a VM that doesn't answer has no report."""
    answers: list[_Answer] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REPORTS)

    async def ask(entry: VmEntry) -> None:
        async with limiter:
            try:
                answers.append(_Answer(entry, await reports.fetch(entry)))
            except ReportUnavailable:
                answers.append(_Answer(entry, None))

    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(ask, entry)
    return sorted(answers, key=lambda answer: answer.entry.vm)


async def fleet_status(vm_list: VmList, reports: Reports) -> FleetStatus:
    """Returns the status of the fleet; raises `VmListUnavailable`."""
    answers = await fetch_reports(await vm_list.fetch(), reports)
    seen = _common_health(answers)
    given = [answer.report for answer in answers if answer.report is not None]
    servers = [server for report in given for server in report["servers"]]
    return FleetStatus(
        vms=[_vm_row(answer, seen) for answer in answers],
        members=_member_rows(servers),
        servers=sorted(servers, key=lambda server: server["backend_server"]),
    )


async def wait_for_revision(
    revision: int, vm_list: VmList, reports: Reports, timeout_s: float
) -> list[str]:
    """Waits until a revision is in force on all live VMs; returns the VMs where it isn't."""
    deadline_s = anyio.current_time() + timeout_s
    while True:
        live = [e for e in await vm_list.fetch() if e.status is VmStatus.LIVE]
        answers = await fetch_reports(live, reports)
        behind = [a.entry.vm for a in answers if _revision_of(a) < revision]
        if not behind or anyio.current_time() >= deadline_s:
            return behind
        await anyio.sleep(WAIT_INTERVAL_S)


def _revision_of(answer: _Answer) -> int:
    return answer.report["config_revision"] if answer.report else 0


def _common_health(answers: list[_Answer]) -> dict[str, str]:
    """Returns each VM's health as most of the VMs that answered see it."""
    seen: dict[str, list[str]] = {}
    for answer in answers:
        for vm, health in (answer.report["vms"] if answer.report else {}).items():
            seen.setdefault(vm, []).append(health)
    return {vm: max(sorted(set(told)), key=told.count) for vm, told in seen.items()}


def _vm_row(answer: _Answer, seen: dict[str, str]) -> VmStatusRow:
    entry, report = answer
    return VmStatusRow(
        vm=entry.vm,
        region=entry.region,
        availability_zone=entry.availability_zone,
        health=seen.get(entry.vm, "unknown"),
        is_ready=report["is_ready"] if report else False,
        config_revision=_revision_of(answer),
    )


def _member_rows(servers: list[ServerReport]) -> list[MemberStatus]:
    rows: dict[str, MemberStatus] = {}
    for server in servers:
        for used in server["members"]:
            row = rows.setdefault(used["member"], _empty_row(used["member"]))
            row["share_slots"] = math.fsum((row["share_slots"], used["share_slots"]))
            row["online_slots"] += used["online_slots"]
            row["batch_slots"] += used["batch_slots"]
    for row in rows.values():
        held = row["online_slots"] + row["batch_slots"]
        row["borrowed_slots"] = max(0.0, held - row["share_slots"])
    return [rows[member] for member in sorted(rows)]


def _empty_row(member: str) -> MemberStatus:
    return MemberStatus(
        member=member, share_slots=0.0, online_slots=0, batch_slots=0, borrowed_slots=0.0
    )
