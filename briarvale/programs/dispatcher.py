"""`briarvale-dispatcher`: the dispatcher of one VM."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import typer

from ..dispatcher import Dispatcher
from ..environment import Environment
from ..http_server import serve_app
from ..operator_http import operator_app
from ..settings import Settings
from ._run import run_program

app = typer.Typer(add_completion=False)


@app.command()
def run(settings: Path) -> None:
    """Runs the dispatcher with the SETTINGS file until SIGTERM."""
    run_program(settings, "dispatcher", _main)


async def _main(
    settings: Settings, environment: Environment, stopped: Callable[[], Awaitable[None]]
) -> None:
    dispatcher = Dispatcher(settings, environment)
    operators = operator_app(settings, lambda: dispatcher.is_ready, [])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dispatcher.run)
        await serve_app(operators, settings.host, settings.dispatcher_port, stopped)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Entry point."""
    app()
