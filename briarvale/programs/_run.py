"""What the programs share: settings, logs, traces, signals and the operator port."""

import secrets
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from .. import logs, traces
from ..environment import Environment, open_environment
from ..errors import SettingsInvalid
from ..peer import PeerIdentity
from ..settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2

Main = Callable[[Settings, Environment, Callable[[], Awaitable[None]]], Awaitable[None]]

__all__ = ["EXIT_BAD_SETTINGS", "run_program"]


def run_program(path: Path, program: str, main: Main) -> None:
    """Loads the settings and runs `main` until SIGTERM or SIGINT has been served.

    Exits with 2 and starts nothing if the settings are wrong.
    """
    try:
        settings = load_settings(path)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure(settings)
    traces.configure(settings, program)
    anyio.run(_run, settings, program, main)


async def _run(settings: Settings, program: str, main: Main) -> None:
    identity = PeerIdentity(settings.vm, program, secrets.token_hex(8))
    stopped = anyio.Event()
    async with AsyncExitStack() as stack:
        environment = await open_environment(settings, identity, stack)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_signals, program, stopped)
            await main(settings, environment, stopped.wait)
            tasks.cancel_scope.cancel()


async def _watch_signals(program: str, stopped: anyio.Event) -> None:
    log = logs.part(program)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stopped.is_set():
                log.warning("Stops now, at the second {}.", number.name)
                sys.exit(1)
            log.info("Stops gracefully, at {}.", number.name)
            stopped.set()
