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

WaitForStop = Callable[[], Awaitable[None]]
Main = Callable[[Settings, Environment, WaitForStop], Awaitable[None]]

__all__ = ["Component", "WaitForStop", "program", "serve_component"]


class LogFormat(StrEnum):
    """Formats of the log lines."""

    TEXT = "text"
    JSON = "json"


class Component(Protocol):
    """What a program runs, for example the dispatcher of a VM."""

    @property
    def is_ready(self) -> bool:
        """Whether the component is ready to serve."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def drain(self) -> None:
        """Drains the component; returns once a stop would interrupt no request or job."""


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


async def serve_component(
    settings: Settings, component: Component, port: int, wait_for_stop: WaitForStop, *routes: Route
) -> None:
    """Runs a component, with these routes on its operator port; drains it when asked to stop."""

    async def wait_drained() -> None:
        await wait_for_stop()
        await component.drain()

    operators = operator_app(settings, lambda: component.is_ready, list(routes))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(component.run)
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
    stop_requested = anyio.Event()
    async with AsyncExitStack() as stack:
        environment = await open_environment(settings, identity, stack)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_signals, name, stop_requested)
            await main(settings, environment, stop_requested.wait)
            tasks.cancel_scope.cancel()


async def _watch_signals(name: str, stop_requested: anyio.Event) -> None:
    log = logs.component_logger(name)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            if stop_requested.is_set():
                log.warning("Stopping at once, after a second signal: {}.", received.name)
                sys.exit(EXIT_FORCED_STOP)
            log.info("Stopping gracefully, after {}.", received.name)
            stop_requested.set()
