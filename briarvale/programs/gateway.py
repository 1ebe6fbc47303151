"""`briarvale-gateway`: the callers' HTTP interface of one VM."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import typer

from ..environment import Environment
from ..gateway import Gateway
from ..gateway_http import gateway_app
from ..http_server import serve_app
from ..settings import Settings
from ._run import run_program

app = typer.Typer(add_completion=False)


@app.command()
def run(settings: Path) -> None:
    """Runs the gateway with the SETTINGS file until SIGTERM."""
    run_program(settings, "gateway", _main)


async def _main(
    settings: Settings, environment: Environment, stopped: Callable[[], Awaitable[None]]
) -> None:
    gateway = Gateway(settings, environment)

    async def stop() -> None:
        await stopped()
        gateway.is_stopping = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(gateway.run)
        await serve_app(gateway_app(gateway), settings.host, settings.gateway_port, stop)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Entry point."""
    app()
