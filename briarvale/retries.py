"""Retries of a request: a retry budget for each member, and back-off with jitter."""

import anyio
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_exception_type,
    wait_random_exponential,
)

from . import metrics
from .errors import (
    OwnerUnreachable,
    ServerConnectFailed,
    ServerLost,
    ServerNotReady,
    ServerRefused,
    ServerStalled,
)

MAX_ATTEMPTS = 4
RETRY_RATIO = 0.1
BUDGET_RETRIES = 32
MAX_FREE_RETRIES = 8
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0
# Nothing reached a backend server, so a retry adds no load there and spends no budget.
FREE_ERRORS = (OwnerUnreachable, ServerNotReady)
RETRYABLE = (*FREE_ERRORS, ServerConnectFailed, ServerLost, ServerRefused, ServerStalled)

__all__ = ["RETRYABLE", "RetryBudgets"]


class RetryBudgets:
    """The retry budget of each member in this process.

    A finished request adds `RETRY_RATIO` of a retry, up to `BUDGET_RETRIES`, which is also the
    initial budget. While no request finishes, nothing is added, so retries can't multiply the load
    of an outage.
    """

    def __init__(self) -> None:
        self._remaining: dict[str, float] = {}

    def record_finished(self, member: str) -> None:
        """Adds `RETRY_RATIO` of a retry to the budget."""
        remaining = self._remaining.get(member, BUDGET_RETRIES)
        self._remaining[member] = min(BUDGET_RETRIES, remaining + RETRY_RATIO)

    def try_spend(self, member: str) -> bool:
        """Spends one retry; false if the budget has none."""
        remaining = self._remaining.get(member, BUDGET_RETRIES)
        if remaining < 1:
            metrics.RETRIES.inc({"member": member, "result": "refused"})
            return False
        self._remaining[member] = remaining - 1
        metrics.RETRIES.inc({"member": member, "result": "allowed"})
        return True

    def retrying(self, member: str) -> AsyncRetrying:
        """Returns the iterator of one request's attempts; the last error is raised unchanged.

        It ends after `MAX_ATTEMPTS`, when the member's budget is spent, or after more than
        `MAX_FREE_RETRIES` attempts that ended with one of `FREE_ERRORS`. Such attempts do not
        count towards `MAX_ATTEMPTS`.
        """

        free_retries = 0

        def should_stop(state: RetryCallState) -> bool:
            nonlocal free_retries
            error = state.outcome.exception() if state.outcome else None
            if isinstance(error, FREE_ERRORS):
                free_retries += 1
                return free_retries > MAX_FREE_RETRIES
            is_last = state.attempt_number - free_retries >= MAX_ATTEMPTS
            return is_last or not self.try_spend(member)

        return AsyncRetrying(
            sleep=anyio.sleep,
            retry=retry_if_exception_type(RETRYABLE),
            stop=should_stop,
            wait=wait_random_exponential(multiplier=BACKOFF_BASE_S, max=BACKOFF_MAX_S),
            reraise=True,
        )
