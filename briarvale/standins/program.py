"""`briarvale-standins`: all external systems of a demo fleet in one process, from one YAML file."""

from pathlib import Path
from typing import Any

import anyio
import typer
import yaml

from ..http_server import serve_app, wait_forever
from ..vm_list import entry_from_row
from .engine import EngineSettings, StandinEngine
from .http import engine_app, object_api_app, plain_service_app, vm_list_app
from .object_api import StandinObjectApi
from .plain_service import StandinPlainService
from .vm_list import StandinVmList

__all__ = ["main"]

app = typer.Typer(add_completion=False)


@app.command()
def run(fleet: Path) -> None:
    """Starts the stand-ins that the FLEET file lists and serves until stopped."""
    anyio.run(_run, yaml.safe_load(fleet.read_text()))


async def _run(fleet: dict[str, Any]) -> None:
    async with anyio.create_task_group() as tasks:
        api = fleet["object_api"]
        object_api = object_api_app(StandinObjectApi())
        tasks.start_soon(serve_app, object_api, api["host"], api["port"], wait_forever)
        vms = fleet["vm_list"]
        entries = tuple(entry_from_row(row) for row in vms["vms"])
        vm_list = vm_list_app(StandinVmList(entries))
        tasks.start_soon(serve_app, vm_list, vms["host"], vms["port"], wait_forever)
        for row in fleet["engines"]:
            engine = StandinEngine(EngineSettings(name=row["name"], model=row["model"]))
            tasks.start_soon(engine.run)
            tasks.start_soon(serve_app, engine_app(engine), row["host"], row["port"], wait_forever)
        for row in fleet["plain_services"]:
            service = plain_service_app(StandinPlainService(row["name"]))
            tasks.start_soon(serve_app, service, row["host"], row["port"], wait_forever)


def main() -> None:
    """Entry point."""
    app()
