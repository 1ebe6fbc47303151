"""Behave's hooks."""

import logging

from behave.runner import Context
from loguru import logger


def before_all(context: Context) -> None:
    """Silences the log lines of the parts under test and of the test's own client."""
    logger.remove()
    logging.getLogger("httpx").setLevel(logging.WARNING)
