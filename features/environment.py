"""Behave's hooks."""

import logging
import sys

from behave.model import Step
from behave.runner import Context
from loguru import logger


def before_all(context: Context) -> None:
    """Silences the logs of the code under test and of the tests' HTTP client."""
    logger.remove()
    logging.getLogger("httpx").setLevel(logging.WARNING)


def after_step(context: Context, step: Step) -> None:
    """Prints why a step failed, which the short format leaves out."""
    if step.exception is not None:
        # Behave shows what hooks print only with its longer formats.
        reason = f"  ASSERT FAILED: {step.name}: {step.exception!r}"
        print("\n" + reason.replace("\n", " "), file=sys.__stderr__, flush=True)
