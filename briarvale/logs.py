"""Configures logging; each line is a short sentence prefixed with the name of its part."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

from .settings import Settings

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[part]}: {message}"

__all__ = ["configure", "part"]


def configure(settings: Settings) -> None:
    """Sends log lines to standard error in the format and at the level of the settings."""
    logger.remove()
    logger.configure(extra={"part": "briarvale", "vm": settings.vm})
    logger.add(
        sys.stderr,
        level=settings.log_level,
        format=TEXT_FORMAT,
        serialize=settings.log_format == "json",
    )


def part(name: str) -> "Logger":
    """Returns the logger of one part, whose lines are prefixed with its name."""
    return logger.bind(part=name)
