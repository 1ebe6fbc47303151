"""Behave's hooks."""

from behave.runner import Context
from loguru import logger


def before_all(context: Context) -> None:
    """Silences the log lines of the parts under test."""
    logger.remove()
