"""The operators' configuration files: the rules, and the inventory as a file or a folder."""

from pathlib import Path
from typing import NamedTuple

from .config import INVENTORY_FOLDER, INVENTORY_NAME, RULES_NAME, check_documents
from .errors import SettingsInvalid

__all__ = ["ConfigFiles", "read_config_files"]


class ConfigFiles(NamedTuple):
    """Texts of the documents and the files that they came from, both by document name."""

    texts: dict[str, str]
    sources: dict[str, str]

    def check(self) -> None:
        """Checks the documents; raises `SettingsInvalid` with file, line and field."""
        check_documents(self.texts, self.sources)


def read_config_files(inventory: Path, rules: Path) -> ConfigFiles:
    """Reads the configuration files without checking their content.

    Args:
        inventory: A file, or a folder with one file for each member.
        rules: The rules file.

    Raises:
        SettingsInvalid: If a file can't be read.
    """
    files = {RULES_NAME: rules}
    if inventory.is_dir():
        files |= {f"{INVENTORY_FOLDER}{p.name}": p for p in sorted(inventory.glob("*.yaml"))}
        if len(files) == 1:
            raise SettingsInvalid(f"{inventory}: contains no *.yaml file")
    else:
        files[INVENTORY_NAME] = inventory
    texts = {name: _read(path) for name, path in files.items()}
    return ConfigFiles(texts, {name: str(path) for name, path in files.items()})


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"{path}: can't be read: {error}") from error
