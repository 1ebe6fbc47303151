"""Keeps an unexpected error in one part of a process from ending the others.

An error that a part doesn't handle ends what it happened in: a connection, a message, a job, or one
run of a part, which then runs again. It is logged with its traceback and counted. Cancellation
always passes through.
"""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeVarTuple, Unpack

import anyio

from . import logs, metrics

RESTART_START_S = 0.1
RESTART_MAX_S = 5.0
# After this time without an error, the next restart is again as soon as the first.
SOUND_AFTER_S = 10.0
MAX_ERROR_LENGTH = 300

log = logs.component_logger("containment")

__all__ = ["contain", "keep_running", "record_failure", "run_contained"]

Arguments = TypeVarTuple("Arguments")


@contextmanager
def contain(part: str) -> Iterator[None]:
    """Ends the block at an unexpected error, which is recorded.

    Args:
        part: What the block does, for the log and the metrics; one of few texts.
    """
    try:
        yield
    except Exception as error:
        record_failure(part, error)


async def run_contained(
    part: str, run: Callable[[Unpack[Arguments]], Awaitable[object]], *args: *Arguments
) -> None:
    """Runs a part once; an unexpected error ends it and is recorded."""
    with contain(part):
        await run(*args)


async def keep_running(
    part: str, run: Callable[[Unpack[Arguments]], Awaitable[object]], *args: *Arguments
) -> None:
    """Runs a part until it returns; after an unexpected error it runs again, with back-off."""
    delay_s = RESTART_START_S
    while True:
        started_at_s = anyio.current_time()
        try:
            await run(*args)
            return
        except Exception as error:
            record_failure(part, error)
        if anyio.current_time() - started_at_s >= SOUND_AFTER_S:
            delay_s = RESTART_START_S
        await anyio.sleep(delay_s * random.uniform(0.5, 1.5))
        delay_s = min(RESTART_MAX_S, 2 * delay_s)


def record_failure(part: str, error: Exception) -> None:
    """Logs and counts an unexpected error of a part."""
    metrics.PART_FAILURES.inc({"part": part})
    text = repr(error)[:MAX_ERROR_LENGTH]
    log.opt(exception=error).error("Unexpected error in {}: {}.", part, text, failed_part=part)
