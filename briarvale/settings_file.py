"""The settings file of one VM, read by each of its programs."""

from pathlib import Path

from .checked_yaml import load_checked
from .settings import Settings

__all__ = ["load_settings"]


def load_settings(path: Path) -> Settings:
    """Reads and checks the settings file.

    Raises:
        SettingsInvalid: With file, line and field, and what was expected.
    """
    return Settings.from_mapping(load_checked(path, "settings"))
