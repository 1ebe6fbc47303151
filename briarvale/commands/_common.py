"""Helpers shared by the commands: settings option, Object API, fleet reports and exit codes."""

import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from datetime import datetime
from pathlib import Path
from typing import Annotated, TypeVar

import anyio
import httpx
import typer
from rich.console import Console

from ..clock import MS_PER_S
from ..errors import BriarvaleError, SettingsInvalid
from ..fleet_status import HttpReports, Reports
from ..http_object_store import HttpObjectStore
from ..http_vm_list import HttpVmList
from ..object_store import ObjectStore
from ..settings_file import load_settings
from ..vm_list import VmList

EXIT_FAILED = 1
EXIT_INVALID = 2

T = TypeVar("T")
SettingsOption = Annotated[Path, typer.Option("--settings", help="Settings file of a VM.")]
console = Console()

__all__ = [
    "EXIT_FAILED",
    "SettingsOption",
    "console",
    "local_time",
    "or_exit",
    "with_fleet",
    "with_store",
]


def with_store(settings_path: Path, action: Callable[[ObjectStore], Awaitable[T]]) -> T:
    """Runs an async action on the Object API that the settings name."""
    settings = load_settings(settings_path)

    async def run() -> T:
        async with AsyncExitStack() as stack:
            client = await stack.enter_async_context(httpx.AsyncClient(trust_env=False))
            return await action(HttpObjectStore(settings.object_api_url, client))

    return anyio.run(run)


def with_fleet(settings_path: Path, action: Callable[[VmList, Reports], Awaitable[T]]) -> T:
    """Runs an async action on the VM list and the VMs' reports."""

    async def run() -> T:
        settings = load_settings(settings_path)
        async with httpx.AsyncClient(trust_env=False) as client:
            vm_list = HttpVmList(settings.vm_list_url, client)
            return await action(vm_list, HttpReports(settings, client))

    return anyio.run(run)


def local_time(instant_ms: int) -> str:
    """Formats a timestamp in the local time zone."""
    return datetime.fromtimestamp(instant_ms / MS_PER_S).isoformat(" ", "seconds")


def or_exit(action: Callable[[], T]) -> T:
    """Runs an action; a failure is printed with its code and ends the program.

    Exits with 2 for an invalid file and with 1 for any other failure.
    """
    try:
        return action()
    except BriarvaleError as error:
        Console(stderr=True).print(f"{error.code}: {error}", markup=False, soft_wrap=True)
        sys.exit(EXIT_INVALID if isinstance(error, SettingsInvalid) else EXIT_FAILED)
