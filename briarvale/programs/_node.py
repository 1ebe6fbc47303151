"""Runs the node of one VM until it is told to stop."""

import signal
import sys
import time

import anyio
from anyio.abc import TaskStatus

from .. import logs
from ..containment import contain
from ..errors import SettingsInvalid
from ..json_logs import configure_json_lines
from ..node_settings import NodeSettings
from ..platform.node import Node
from ..platform.settings_file import load_node_settings

EXIT_BAD_SETTINGS = 2
# The platform may still be writing the file as the process starts.
SETTINGS_TIMEOUT_S = 2.0
SETTINGS_RETRY_S = 0.1

log = logs.component_logger("node")

__all__ = ["run_node"]


def run_node() -> None:
    """Runs the node; exits with 2 and starts nothing if the settings are invalid."""
    try:
        settings = _load_settings()
    except SettingsInvalid:
        sys.exit(EXIT_BAD_SETTINGS)
    configure_json_lines(settings.vm_settings)
    # uvloop, because a node spends most of its time in the event loop.
    anyio.run(_run, settings, backend_options={"use_uvloop": True})


def _load_settings() -> NodeSettings:
    """Reads the settings file, again for a while if it is invalid; raises `SettingsInvalid`."""
    deadline_s = time.monotonic() + SETTINGS_TIMEOUT_S
    printed = ""
    while True:
        try:
            return load_node_settings()
        except SettingsInvalid as error:
            if str(error) != printed:
                printed = str(error)
                print(printed, file=sys.stderr, flush=True)
            if time.monotonic() >= deadline_s:
                raise
        time.sleep(SETTINGS_RETRY_S)


async def _run(settings: NodeSettings) -> None:
    stop_requested = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(_watch_signals, settings, stop_requested)
        await Node(settings, stop_requested).run()
        tasks.cancel_scope.cancel()


async def _watch_signals(
    settings: NodeSettings, stop_requested: anyio.Event, *, task_status: TaskStatus[None]
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        task_status.started()
        async for received in signals:
            match received:
                case signal.SIGHUP:
                    with contain("settings"):
                        _reload(settings)
                case _:
                    stop_requested.set()


def _reload(settings: NodeSettings) -> None:
    """Reads the settings file again and logs whether it is valid and changed; applies nothing."""
    try:
        new_settings = load_node_settings()
    except SettingsInvalid as error:
        log.error("Rejected the new settings: {}.", error)
        return
    log.info("Read the settings again.", has_changes=new_settings != settings)
