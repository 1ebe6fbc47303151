"""`briarvale`: the operators' command line."""

import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated, TypeVar

import anyio
import httpx
import typer
from rich.console import Console

from ..config import Config
from ..config_head import apply_config, fetch_config
from ..errors import BriarvaleError, ObjectNotFound
from ..object_store import HttpObjectStore, ObjectStore
from ..settings import load_settings

T = TypeVar("T")

app = typer.Typer(add_completion=False, no_args_is_help=True)
config_app = typer.Typer(no_args_is_help=True, help="Inventory and rules.")
app.add_typer(config_app, name="config")

SettingsOption = Annotated[Path, typer.Option("--settings", help="Settings file of a VM.")]
console = Console()


@config_app.command("check")
def config_check(inventory: Path, rules: Path) -> None:
    """Checks the INVENTORY and RULES files; an error names file, line and field."""
    _or_exit(lambda: Config.from_texts(0, inventory.read_text(), rules.read_text()))
    console.print("The inventory and the rules are good.")


@config_app.command("apply")
def config_apply(inventory: Path, rules: Path, settings: SettingsOption) -> None:
    """Puts the INVENTORY and RULES files in force."""

    async def apply(store: ObjectStore) -> int:
        try:
            seen_revision = (await fetch_config(store)).revision
        except ObjectNotFound:
            seen_revision = 0
        return await apply_config(store, inventory.read_text(), rules.read_text(), seen_revision)

    revision = _or_exit(lambda: _with_store(settings, apply))
    console.print(f"Revision {revision} is accepted.")


def _with_store(settings_path: Path, action: Callable[[ObjectStore], Awaitable[T]]) -> T:
    settings = load_settings(settings_path)

    async def run() -> T:
        async with AsyncExitStack() as stack:
            client = await stack.enter_async_context(httpx.AsyncClient(trust_env=False))
            return await action(HttpObjectStore(settings.object_api_url, client))

    return anyio.run(run)


def _or_exit(action: Callable[[], T]) -> T:
    try:
        return action()
    except BriarvaleError as error:
        Console(stderr=True).print(f"{error.code}: {error}", markup=False, soft_wrap=True)
        sys.exit(2 if error.code == "settings_invalid" else 1)


def main() -> None:
    """Entry point."""
    app()
