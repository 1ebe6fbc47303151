"""`briarvale status`: the fleet in tables, or as JSON."""

import json
from typing import Annotated

import typer
from rich.table import Table

from ..clock import MS_PER_S
from ..errors import StoreThrottled, StoreUnavailable
from ..fleet_status import FleetStatus, fleet_status
from ..job_overview import JobRow, read_job_rows
from ..object_store import ObjectStore
from ._common import SettingsOption, console, local_time, or_exit, with_fleet, with_store

__all__ = ["job_table", "status", "status_tables"]


def status(
    settings: SettingsOption,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Shows VMs, members, backend servers and unfinished jobs."""
    fleet = or_exit(lambda: with_fleet(settings, fleet_status))
    jobs = or_exit(lambda: with_store(settings, _jobs_or_none))
    if as_json:
        text = json.dumps({**fleet, "jobs": jobs})
        console.print(text, markup=False, highlight=False, soft_wrap=True)
        return
    for table in status_tables(fleet):
        console.print(table)
    if jobs is None:
        console.print("The Object API is unavailable, so jobs can't be listed.")
    else:
        console.print(job_table(jobs))


def status_tables(fleet: FleetStatus) -> tuple[Table, Table, Table]:
    """Returns the tables of VMs, members and backend servers."""
    return _vm_table(fleet), _member_table(fleet), _server_table(fleet)


def job_table(jobs: list[JobRow]) -> Table:
    """Returns the table of unfinished jobs."""
    columns = ("member", "job", "state", "done", "failed", "items", "due at", "late by")
    table = Table(*columns, title="Jobs, the earliest due first")
    for job in jobs:
        late_ms = max(0, job["late_until_ms"] - job["due_at_ms"]) if job["late_until_ms"] else 0
        table.add_row(
            job["member"],
            job["job_id"],
            job["state"],
            str(job["done_count"]),
            str(job["failed_count"]),
            str(job["item_count"]),
            local_time(job["due_at_ms"]),
            f"{late_ms / MS_PER_S:.0f} s" if late_ms else "",
        )
    return table


async def _jobs_or_none(store: ObjectStore) -> list[JobRow] | None:
    """Returns the unfinished jobs; none if the Object API does not list them."""
    try:
        return await read_job_rows(store)
    except (StoreUnavailable, StoreThrottled):
        return None


def _vm_table(fleet: FleetStatus) -> Table:
    table = Table("VM", "region", "zone", "health", "ready", "config", title="VMs")
    newest = max((vm["config_revision"] for vm in fleet["vms"]), default=0)
    for vm in fleet["vms"]:
        is_behind = vm["config_revision"] < newest
        revision = f"{vm['config_revision']}{' (behind)' if is_behind else ''}"
        ready = "yes" if vm["is_ready"] else "no"
        table.add_row(
            vm["vm"], vm["region"], vm["availability_zone"], vm["health"], ready, revision
        )
    return table


def _member_table(fleet: FleetStatus) -> Table:
    table = Table("member", "share", "online", "batch", "borrowed", title="Members, in slots")
    for member in fleet["members"]:
        table.add_row(
            member["member"],
            f"{member['share_slots']:.1f}",
            str(member["online_slots"]),
            str(member["batch_slots"]),
            f"{member['borrowed_slots']:.1f}",
        )
    return table


def _server_table(fleet: FleetStatus) -> Table:
    columns = ("server", "service", "owner", "health", "held", "queued", "limit")
    table = Table(*columns, title="Backend servers")
    for server in fleet["servers"]:
        table.add_row(
            server["backend_server"],
            server["service"],
            server["owner"],
            server["health"],
            str(server["held"]),
            str(server["queued"]),
            str(server["limit"]),
        )
    return table
