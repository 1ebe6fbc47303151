"""The status of the fleet for operators, aggregated from the reports of its VMs."""

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
    """A VM's dispatcher returned no report."""

    code, http_status = "report_unavailable", 503


class Reports(Protocol):
    """Access to the reports of VMs."""

    async def fetch(self, entry: VmEntry) -> VmReport:
        """Returns the report; raises `ReportUnavailable`."""


class HttpReports:
    """Reports from the operator ports of the dispatchers.

    Args:
        settings: Source of the port and the shared secret.
        client: HTTP client; closed by the caller.
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
    """The fleet, as reported by its VMs."""

    vms: list[VmStatusRow]
    members: list[MemberStatus]
    servers: list[ServerReport]


class _FetchedReport(NamedTuple):
    """A VM and its report; none if its dispatcher did not answer."""

    entry: VmEntry
    report: VmReport | None


async def fetch_reports(entries: Iterable[VmEntry], reports: Reports) -> list[_FetchedReport]:
    """Fetches reports, `MAX_CONCURRENT_REPORTS` at once; None for a VM that doesn't answer."""
    fetched: list[_FetchedReport] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REPORTS)

    async def fetch_one(entry: VmEntry) -> None:
        async with limiter:
            try:
                fetched.append(_FetchedReport(entry, await reports.fetch(entry)))
            except ReportUnavailable:
                fetched.append(_FetchedReport(entry, None))

    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(fetch_one, entry)
    return sorted(fetched, key=lambda result: result.entry.vm)


async def fleet_status(vm_list: VmList, reports: Reports) -> FleetStatus:
    """Returns the status of the fleet; raises `VmListUnavailable`."""
    fetched = await fetch_reports(await vm_list.fetch(), reports)
    health_by_vm = _most_reported_health(fetched)
    received = [result.report for result in fetched if result.report is not None]
    servers = [server for report in received for server in report["servers"]]
    return FleetStatus(
        vms=[_vm_row(result, health_by_vm) for result in fetched],
        members=_member_rows(servers),
        servers=sorted(servers, key=lambda server: server["backend_server"]),
    )


async def wait_for_revision(
    revision: int, vm_list: VmList, reports: Reports, timeout_s: float
) -> list[str]:
    """Waits until a revision is in force on all live VMs.

    Returns the VMs where it is not in force after `timeout_s`; an empty list if there are none.
    """
    deadline_s = anyio.current_time() + timeout_s
    while True:
        live = [entry for entry in await vm_list.fetch() if entry.status is VmStatus.LIVE]
        fetched = await fetch_reports(live, reports)
        behind = [result.entry.vm for result in fetched if _revision_of(result) < revision]
        if not behind or anyio.current_time() >= deadline_s:
            return behind
        await anyio.sleep(WAIT_INTERVAL_S)


def _revision_of(result: _FetchedReport) -> int:
    return result.report["config_revision"] if result.report else 0


def _most_reported_health(fetched: list[_FetchedReport]) -> dict[str, str]:
    """Returns the most often reported health of each VM."""
    health_by_vm: dict[str, list[str]] = {}
    for result in fetched:
        for vm, health in (result.report["vms"] if result.report else {}).items():
            health_by_vm.setdefault(vm, []).append(health)
    return {
        vm: max(sorted(set(reported)), key=reported.count) for vm, reported in health_by_vm.items()
    }


def _vm_row(result: _FetchedReport, health_by_vm: dict[str, str]) -> VmStatusRow:
    entry, report = result
    return VmStatusRow(
        vm=entry.vm,
        region=entry.region,
        availability_zone=entry.availability_zone,
        health=health_by_vm.get(entry.vm, "unknown"),
        is_ready=report["is_ready"] if report else False,
        config_revision=_revision_of(result),
    )


def _member_rows(servers: list[ServerReport]) -> list[MemberStatus]:
    rows: dict[str, MemberStatus] = {}
    for server in servers:
        for usage in server["members"]:
            row = rows.setdefault(usage["member"], _empty_member_row(usage["member"]))
            row["share_slots"] = math.fsum((row["share_slots"], usage["share_slots"]))
            row["online_slots"] += usage["online_slots"]
            row["batch_slots"] += usage["batch_slots"]
    for row in rows.values():
        held = row["online_slots"] + row["batch_slots"]
        row["borrowed_slots"] = max(0.0, held - row["share_slots"])
    return [rows[member] for member in sorted(rows)]


def _empty_member_row(member: str) -> MemberStatus:
    return MemberStatus(
        member=member, share_slots=0.0, online_slots=0, batch_slots=0, borrowed_slots=0.0
    )
