"""Start-up shared by the programs: settings, logs, traces, signals and the operator port."""

import secrets
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Protocol

import anyio
import typer
from starlette.routing import Route

from .. import logs, trace_export
from ..environment import Environment, open_environment
from ..errors import SettingsInvalid
from ..http_server import serve_app
from ..operator_http import operator_app
from ..peer import PeerIdentity
from ..settings import Settings
from ..settings_file import load_settings

EXIT_FORCED_STOP = 1
EXIT_BAD_SETTINGS = 2

Shutdown = Callable[[], Awaitable[None]]
Main = Callable[[Settings, Environment, Shutdown], Awaitable[None]]

__all__ = ["Part", "Shutdown", "program", "serve_part"]


class LogFormat(StrEnum):
    """Formats of the log lines."""

    TEXT = "text"
    JSON = "json"


class Part(Protocol):
    """The component of a VM that a program runs."""

    @property
    def is_ready(self) -> bool:
        """Whether the part is ready to serve."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def drain(self) -> None:
        """Drains the part; returns once stopping it would interrupt no work."""


def program(name: str, summary: str, main: Main) -> typer.Typer:
    """Returns a program's command line: `briarvale-NAME SETTINGS [--log-format json]`.

    It exits with 2 and starts nothing if the settings are invalid. SIGTERM or SIGINT starts a
    graceful shutdown; a second signal ends the program at once, with exit code 1.
    """
    app = typer.Typer(add_completion=False)

    @app.command(help=summary)
    def run(
        settings: Annotated[Path, typer.Argument(help="Settings file of this VM.")],
        log_format: Annotated[
            LogFormat | None, typer.Option(help="Format of the log lines.")
        ] = None,
    ) -> None:
        loaded = _load_or_exit(settings)
        if log_format is not None:
            loaded = loaded._replace(log_format=log_format.value)
        logs.configure(loaded)
        trace_export.configure(loaded, name)
        anyio.run(_run, loaded, name, main)

    return app


async def serve_part(
    settings: Settings, part: Part, port: int, shutdown: Shutdown, *routes: Route
) -> None:
    """Runs a part, and serves these routes on its operator port; drains the part at shutdown."""

    async def wait_drained() -> None:
        await shutdown()
        await part.drain()

    operators = operator_app(settings, lambda: part.is_ready, list(routes))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(part.run)
        await serve_app(operators, settings.host, port, wait_drained)
        tasks.cancel_scope.cancel()


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


async def _run(settings: Settings, name: str, main: Main) -> None:
    identity = PeerIdentity(settings.vm, name, secrets.token_hex(8))
    stopped = anyio.Event()
    async with AsyncExitStack() as stack:
        environment = await open_environment(settings, identity, stack)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_signals, name, stopped)
            await main(settings, environment, stopped.wait)
            tasks.cancel_scope.cancel()


async def _watch_signals(name: str, stopped: anyio.Event) -> None:
    log = logs.component_logger(name)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stopped.is_set():
                log.warning("Stopping at once, after a second signal: {}.", number.name)
                sys.exit(EXIT_FORCED_STOP)
            log.info("Stopping gracefully, after {}.", number.name)
            stopped.set()
