"""How often a request is tried again: a budget for each member, and jittered back-off."""

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
# Nothing reached a backend server, so a retry multiplies no load there.
FREE = (OwnerUnreachable, ServerNotReady)
RETRYABLE = (*FREE, ServerConnectFailed, ServerLost, ServerRefused, ServerStalled)

__all__ = ["RETRYABLE", "RetryBudgets"]


class RetryBudgets:
    """Retries that each member has left here.

    A finished request earns `RETRY_RATIO` of a retry, up to `BUDGET_RETRIES`, which is also what a
    member starts with. While nothing finishes, nothing is earned, so an outage can't be multiplied.
    """

    def __init__(self) -> None:
        self._left: dict[str, float] = {}

    def record_finished(self, member: str) -> None:
        """Earns a part of a retry."""
        left = self._left.get(member, BUDGET_RETRIES)
        self._left[member] = min(BUDGET_RETRIES, left + RETRY_RATIO)

    def try_spend(self, member: str) -> bool:
        """Takes one retry if there is one."""
        left = self._left.get(member, BUDGET_RETRIES)
        if left < 1:
            metrics.RETRIES.inc({"member": member, "result": "refused"})
            return False
        self._left[member] = left - 1
        metrics.RETRIES.inc({"member": member, "result": "allowed"})
        return True

    def retrying(self, member: str) -> AsyncRetrying:
        """Returns the attempts of one request; the last failure is raised as it is."""

        free_retries = 0

        def is_spent(state: RetryCallState) -> bool:
            nonlocal free_retries
            error = state.outcome.exception() if state.outcome else None
            if isinstance(error, FREE):
                free_retries += 1
                return free_retries > MAX_FREE_RETRIES
            is_last = state.attempt_number - free_retries >= MAX_ATTEMPTS
            return is_last or not self.try_spend(member)

        return AsyncRetrying(
            sleep=anyio.sleep,
            retry=retry_if_exception_type(RETRYABLE),
            stop=is_spent,
            wait=wait_random_exponential(multiplier=BACKOFF_BASE_S, max=BACKOFF_MAX_S),
            reraise=True,
        )
