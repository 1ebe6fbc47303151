"""Limits the rate of one process's Object API calls, and retries them with back-off."""

import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import anyio
from tenacity import AsyncRetrying, retry_if_exception_type, wait_random_exponential

from . import metrics
from .errors import StoreThrottled, StoreUnavailable

MAX_CALLS_PER_S = 40.0
MIN_CALLS_PER_S = 0.5
RATE_STEP_PER_S = 1.0
SLOW_DOWN_INTERVAL_S = 1.0
BACK_OFF_START_S = 0.5
BACK_OFF_MAX_S = 20.0
MAX_BUFFER_BYTES = 64_000_000

T = TypeVar("T")

__all__ = ["BackOff", "CallRates", "MAX_BUFFER_BYTES", "StoreBudget"]


class BackOff(NamedTuple):
    """Delays between attempts: random, with a bound that doubles each time up to `max_s`."""

    start_s: float = BACK_OFF_START_S
    max_s: float = BACK_OFF_MAX_S


class CallRates(NamedTuple):
    """Bounds of one process's call rate; failures lower the rate, but not below the minimum."""

    min_per_s: float = MIN_CALLS_PER_S
    max_per_s: float = MAX_CALLS_PER_S


class StoreBudget:
    """Limits and retries calls: the rate rises additively and is halved on failure (AIMD).

    It also counts the bytes of results that wait to be committed. While `is_full`, no further item
    should be started.

    Args:
        max_buffer_bytes: Bytes of results that may wait to be committed.
        give_up_after_s: Time after which a failing call is not retried; no limit by default.
        back_off: Delays between the attempts of a call.
        rates: Lowest and highest call rate.
    """

    def __init__(
        self,
        max_buffer_bytes: int = MAX_BUFFER_BYTES,
        give_up_after_s: float = math.inf,
        back_off: BackOff = BackOff(),
        rates: CallRates = CallRates(),
    ) -> None:
        self._give_up_after_s = give_up_after_s
        self._back_off = back_off
        self._rates = rates
        self._max_buffer_bytes = max_buffer_bytes
        self._rate_per_s = rates.max_per_s
        self._next_at_s = 0.0
        self._last_slow_down_at_s = -math.inf
        self._buffered_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the results that wait to be committed fill the buffer."""
        return self._buffered_bytes >= self._max_buffer_bytes

    @property
    def entry_factor(self) -> float:
        """Factor, 1 to 8, by which log entries should grow as the rate falls."""
        return min(8.0, self._rates.max_per_s / self._rate_per_s)

    def add_buffered_bytes(self, size_bytes: int) -> None:
        """Adds to the bytes of results that wait to be committed; a negative size subtracts."""
        self._buffered_bytes += size_bytes
        metrics.BATCH_BUFFER_BYTES.set({}, self._buffered_bytes)

    async def call(self, function: Callable[..., Awaitable[T]], *args: object) -> T:
        """Makes a call, and retries it while the Object API is unavailable or throttles it.

        The call must be idempotent, as an earlier attempt may have taken effect: a read, or a write
        of the same bytes at the same key.
        """
        stop_at_s = anyio.current_time() + self._give_up_after_s
        retrying = AsyncRetrying(
            retry=retry_if_exception_type((StoreUnavailable, StoreThrottled)),
            wait=wait_random_exponential(
                multiplier=self._back_off.start_s, max=self._back_off.max_s
            ),
            stop=lambda _: anyio.current_time() >= stop_at_s,
            sleep=anyio.sleep,
            reraise=True,
        )
        return await retrying(self._call_once, function, *args)

    async def _call_once(self, function: Callable[..., Awaitable[T]], *args: object) -> T:
        await self._wait_turn()
        try:
            result = await function(*args)
        except (StoreUnavailable, StoreThrottled):
            self._slow_down()
            raise
        # Adds `RATE_STEP_PER_S` a second while calls use the full rate, however high it is.
        raised_per_s = self._rate_per_s + RATE_STEP_PER_S / self._rate_per_s
        self._rate_per_s = min(self._rates.max_per_s, raised_per_s)
        return result

    def _slow_down(self) -> None:
        """Halves the rate, at most once in `SLOW_DOWN_INTERVAL_S`, as failures come in bursts."""
        now_s = anyio.current_time()
        if now_s - self._last_slow_down_at_s >= SLOW_DOWN_INTERVAL_S:
            self._last_slow_down_at_s = now_s
            self._rate_per_s = max(self._rates.min_per_s, self._rate_per_s / 2)

    async def _wait_turn(self) -> None:
        """Waits until the rate allows the next call."""
        now_s = anyio.current_time()
        start_at_s = max(now_s, self._next_at_s)
        self._next_at_s = start_at_s + 1 / self._rate_per_s
        if start_at_s > now_s:
            await anyio.sleep(start_at_s - now_s)
