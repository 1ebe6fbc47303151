"""`briarvale status`: the fleet in tables, or as JSON."""

import json
from typing import Annotated

import typer
from rich.table import Table

from ..fleet_status import FleetStatus, fleet_status
from ._common import SettingsOption, console, or_exit, with_fleet

__all__ = ["status"]


def status(
    settings: SettingsOption,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Shows VMs, members and backend servers."""
    told = or_exit(lambda: with_fleet(settings, fleet_status))
    if as_json:
        console.print(json.dumps(told), markup=False, highlight=False, soft_wrap=True)
        return
    for table in (_vm_table(told), _member_table(told), _server_table(told)):
        console.print(table)


def _vm_table(told: FleetStatus) -> Table:
    table = Table("VM", "region", "zone", "health", "ready", "config", title="VMs")
    newest = max((vm["config_revision"] for vm in told["vms"]), default=0)
    for vm in told["vms"]:
        is_behind = vm["config_revision"] < newest
        revision = f"{vm['config_revision']}{' (behind)' if is_behind else ''}"
        ready = "yes" if vm["is_ready"] else "no"
        table.add_row(
            vm["vm"], vm["region"], vm["availability_zone"], vm["health"], ready, revision
        )
    return table


def _member_table(told: FleetStatus) -> Table:
    table = Table("member", "share", "online", "batch", "borrowed", title="Members, in slots")
    for member in told["members"]:
        table.add_row(
            member["member"],
            f"{member['share_slots']:.1f}",
            str(member["online_slots"]),
            str(member["batch_slots"]),
            f"{member['borrowed_slots']:.1f}",
        )
    return table


def _server_table(told: FleetStatus) -> Table:
    columns = ("server", "service", "owner", "health", "held", "queued", "limit")
    table = Table(*columns, title="Backend servers")
    for server in told["servers"]:
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
