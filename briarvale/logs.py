"""Configures logging; each line is a short sentence prefixed with the name of its component.

The field `part` of a log line holds that name.
"""

import sys
from typing import TYPE_CHECKING

from loguru import logger

from .settings import Settings

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[part]}: {message}"

__all__ = ["component_logger", "configure"]


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


def component_logger(name: str) -> "Logger":
    """Returns the logger of one component, whose lines are prefixed with its name."""
    return logger.bind(part=name)
