"""`briarvale config`: checks, applies and shows the inventory and the rules."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from ..clock import Clock
from ..config_bundle import diff_texts, texts_of
from ..config_files import read_config_files
from ..config_head import (
    Head,
    apply_documents,
    fetch_config,
    fetch_revision,
    read_head,
    rollback_config,
)
from ..errors import ObjectNotFound
from ..fleet_status import wait_for_revision
from ..object_store import ObjectStore
from ._common import (
    EXIT_FAILED,
    SettingsOption,
    console,
    local_time,
    or_exit,
    with_fleet,
    with_store,
)

WAIT_TIMEOUT_S = 20.0

InventoryArgument = Annotated[
    Path, typer.Argument(help="The inventory: a file, or a folder with a file for each member.")
]
RulesArgument = Annotated[Path, typer.Argument(help="The rules' file.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Return when the revision is in force on all live VMs.")
]
BaseRevisionOption = Annotated[
    int | None, typer.Option("--seen", help="The revision that your change is based on.")
]

app = typer.Typer(no_args_is_help=True, help="Inventory and rules.")


@app.command()
def check(inventory: InventoryArgument, rules: RulesArgument) -> None:
    """Checks the files; an error names file, line and field."""
    or_exit(lambda: read_config_files(inventory, rules).check())
    console.print("The inventory and the rules are good.")


@app.command()
def diff(inventory: InventoryArgument, rules: RulesArgument, settings: SettingsOption) -> None:
    """Shows what the files would change."""
    files = or_exit(lambda: read_config_files(inventory, rules))

    async def compare(store: ObjectStore) -> tuple[int, dict[str, str]]:
        try:
            bundle = (await fetch_config(store)).bundle
        except ObjectNotFound:
            return 0, {}
        return bundle.revision, texts_of(bundle.documents)

    revision, texts = or_exit(lambda: with_store(settings, compare))
    console.print(f"Revision {revision} is in force.")
    _print_plain(diff_texts(texts, files.texts) or "The files change nothing.")


@app.command()
def apply(
    inventory: InventoryArgument,
    rules: RulesArgument,
    settings: SettingsOption,
    base_revision: BaseRevisionOption = None,
    wait: WaitOption = False,
) -> None:
    """Puts the files in force; repeating it after a lost answer does no harm."""
    files = or_exit(lambda: read_config_files(inventory, rules))
    or_exit(files.check)

    async def put(store: ObjectStore) -> int:
        expected = await _revision_in_force(store) if base_revision is None else base_revision
        now_ms = Clock.from_system().now_ms()
        return await apply_documents(store, files.texts, expected, now_ms)

    revision = or_exit(lambda: with_store(settings, put))
    console.print(f"Revision {revision} is accepted.")
    if wait:
        _wait_in_force(settings, revision)


@app.command()
def show(settings: SettingsOption, revision: int | None = None) -> None:
    """Shows the documents in force, or those of an earlier --revision."""

    async def fetch(store: ObjectStore) -> dict[str, str]:
        if revision is None:
            return texts_of((await fetch_config(store)).bundle.documents)
        return texts_of((await fetch_revision(store, revision)).documents)

    for name, text in or_exit(lambda: with_store(settings, fetch)).items():
        _print_plain(f"--- {name}\n{text}")


@app.command()
def history(settings: SettingsOption) -> None:
    """Lists the last revisions."""
    head: Head = or_exit(lambda: with_store(settings, read_head))
    table = Table("revision", "applied at", "manifest")
    for entry in reversed(head.history):
        table.add_row(str(entry.revision), local_time(entry.applied_at_ms), entry.manifest[:12])
    console.print(table)


@app.command()
def rollback(revision: int, settings: SettingsOption, wait: WaitOption = False) -> None:
    """Puts an earlier REVISION's documents in force, as a new revision."""

    async def put(store: ObjectStore) -> int:
        return await rollback_config(store, revision, Clock.from_system().now_ms())

    accepted = or_exit(lambda: with_store(settings, put))
    console.print(f"Revision {accepted} is accepted, with the documents of {revision}.")
    if wait:
        _wait_in_force(settings, accepted)


def _wait_in_force(settings: Path, revision: int) -> None:
    vms_behind = or_exit(
        lambda: with_fleet(
            settings,
            lambda vm_list, reports: wait_for_revision(revision, vm_list, reports, WAIT_TIMEOUT_S),
        )
    )
    if vms_behind:
        console.print(f"Revision {revision} is not in force on: {', '.join(vms_behind)}")
        sys.exit(EXIT_FAILED)
    console.print(f"Revision {revision} is in force on all live VMs.")


async def _revision_in_force(store: ObjectStore) -> int:
    try:
        return (await read_head(store)).revision
    except ObjectNotFound:
        return 0


def _print_plain(text: str) -> None:
    console.print(text, markup=False, highlight=False, soft_wrap=True)
