"""Behave's hooks."""

import logging

from behave.runner import Context
from loguru import logger


def before_all(context: Context) -> None:
    """Silences the logs of the code under test and of the tests' HTTP client."""
    logger.remove()
    logging.getLogger("httpx").setLevel(logging.WARNING)
