"""`briarvale config`: the inventory and the rules."""

from pathlib import Path

import typer

from ..config import Config
from ..config_head import apply_config, fetch_config
from ..errors import ObjectNotFound
from ..object_store import ObjectStore
from ._common import SettingsOption, console, or_exit, with_store

app = typer.Typer(no_args_is_help=True, help="Inventory and rules.")


@app.command()
def check(inventory: Path, rules: Path) -> None:
    """Checks the INVENTORY and RULES files; an error names file, line and field."""
    or_exit(lambda: Config.from_texts(0, inventory.read_text(), rules.read_text()))
    console.print("The inventory and the rules are good.")


@app.command()
def apply(inventory: Path, rules: Path, settings: SettingsOption) -> None:
    """Puts the INVENTORY and RULES files in force."""

    async def put(store: ObjectStore) -> int:
        try:
            seen_revision = (await fetch_config(store)).revision
        except ObjectNotFound:
            seen_revision = 0
        return await apply_config(store, inventory.read_text(), rules.read_text(), seen_revision)

    revision = or_exit(lambda: with_store(settings, put))
    console.print(f"Revision {revision} is accepted.")
