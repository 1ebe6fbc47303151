"""Log lines: short sentences, each with the prefix of its part."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

from .settings import Settings

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[part]}: {message}"

__all__ = ["configure", "part"]


def configure(settings: Settings) -> None:
    """Sends log lines to standard error in the settings' form and level."""
    logger.remove()
    logger.configure(extra={"part": "briarvale", "vm": settings.vm})
    logger.add(
        sys.stderr,
        level=settings.log_level,
        format=TEXT_FORMAT,
        serialize=settings.log_format == "json",
    )


def part(name: str) -> "Logger":
    """Returns the logger of one part, which prefixes its lines with the name."""
    return logger.bind(part=name)
