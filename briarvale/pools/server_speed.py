"""Speeds of the servers of a pool, estimated from their recent runs.

A server's step is the median over its recent runs, each of which is a mean over the run's events.
So slow single steps change little, and a lasting change shows after half a window of runs.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from .linear_fit import LinearFit
from .run_records import RunTimes

WINDOW_RUNS = 15
MIN_RUNS = 5
# A server that had no run for this long counts as a server of median speed, so that it is tried.
VALID_MS = 20_000
# A server counts as different from the median only beyond this difference, and beyond twice the
# standard error of its median. Otherwise servers that are alike would be told apart by chance.
MIN_DIFFERENCE = 0.08
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0
# Standard error of a median by the median absolute deviation of normally distributed samples.
MEDIAN_ERROR_FACTOR = 1.253 * 1.483
# More would say that one run delays another as if both had the server's whole capacity.
MAX_LOAD_SLOPE = 0.5
LOAD_FIT_RUNS = 300
# A token's prefill takes little beside the noise of single steps, so its time needs more runs, and
# is taken to be the default until there are some. Weight of the latter: 400 runs whose uncached
# tokens differ by 100.
PREFILL_FIT_RUNS = 10_000
PREFILL_PRIOR_WEIGHT = 400 * 100.0**2
LOAD_PRIOR_WEIGHT = 20.0
DEFAULT_STEP_MS = 40.0
DEFAULT_PREFILL_MS_PER_TOKEN = 0.02
DEFAULT_HOLD_MS = 1_000.0

__all__ = ["PoolSpeeds", "ServerSpeed"]


class _RecentRuns:
    """The values of a server's latest runs, and their median."""

    def __init__(self) -> None:
        self._values: deque[float] = deque(maxlen=WINDOW_RUNS)
        self._recorded_at_ms = 0
        self._median: float | None = None
        self._error = 0.0

    def add(self, value: float, now_ms: int) -> None:
        """Adds the value of a run; older ones than `VALID_MS` before it are dropped."""
        if now_ms - self._recorded_at_ms > VALID_MS:
            self._values.clear()
        self._values.append(value)
        self._recorded_at_ms = now_ms
        self._median = None

    def median(self, now_ms: int) -> float | None:
        """Returns the median; none if there are too few runs or the last is too old."""
        if len(self._values) < MIN_RUNS or now_ms - self._recorded_at_ms > VALID_MS:
            return None
        if self._median is None:
            self._median = middle = median(self._values)
            deviation = median([abs(value - middle) for value in self._values])
            self._error = MEDIAN_ERROR_FACTOR * deviation / math.sqrt(len(self._values))
        return self._median

    def factor(self, usual: float, now_ms: int) -> float | None:
        """Returns the median as a multiple of the usual value, 1 if it hardly differs from it."""
        middle = self.median(now_ms)
        if middle is None or usual <= 0:
            return None
        ratio = middle / usual
        if abs(ratio - 1) <= max(MIN_DIFFERENCE, 2 * self._error / usual):
            return 1.0
        return max(MIN_FACTOR, min(MAX_FACTOR, ratio))


class ServerSpeed:
    """Estimates for one server; `PoolSpeeds.update` sets the factors.

    Attributes:
        step_factor: Time of its steps as a multiple of the usual one; 1 if not known.
        prefill_factor: The same for the time to the first event, and so to prefill a token.
        is_known: Whether the factors come from its own runs.
    """

    def __init__(self) -> None:
        self.steps = _RecentRuns()
        self.first_events = _RecentRuns()
        self.holds = _RecentRuns()
        self.step_factor = 1.0
        self.prefill_factor = 1.0
        self.is_known = False


class PoolSpeeds:
    """What the servers of a pool have in common, and the comparison between them.

    Attributes:
        step_ms: Usual time between two events on a server that runs nothing else.
        load_slope: Relative growth of that time with each further run on the server.
        prefill_ms_per_token: Usual time to prefill a token.
        hold_ms: Usual time that a run holds its slot.
        has_steps: Whether the runs of this pool report events.
    """

    def __init__(self) -> None:
        self.step_ms = DEFAULT_STEP_MS
        self.load_slope = 0.0
        self.prefill_ms_per_token = DEFAULT_PREFILL_MS_PER_TOKEN
        self.hold_ms = DEFAULT_HOLD_MS
        self.has_steps = False
        self._first_event_base_ms = 0.0
        self._load_fit = LinearFit(LOAD_FIT_RUNS)
        self._prefill_fit = LinearFit(PREFILL_FIT_RUNS)

    def record_hold(self, speed: ServerSpeed, held_ms: float, now_ms: int) -> None:
        """Records how long a finished online run held its slot."""
        speed.holds.add(held_ms, now_ms)

    def record(self, speed: ServerSpeed, run: RunTimes, now_ms: int) -> None:
        """Records the events of a run of a server."""
        step_ms = run.step_ms
        if step_ms is None:
            return
        speed.steps.add(step_ms / self._load_factor(run.running), now_ms)
        self._load_fit.add(run.running - 1, step_ms / speed.step_factor)
        self._record_first_event(speed, run, now_ms)

    def _record_first_event(self, speed: ServerSpeed, run: RunTimes, now_ms: int) -> None:
        usual_ms = self._first_event_base_ms + self.prefill_ms_per_token * run.uncached_tokens
        speed.first_events.add(run.first_event_ms / max(1.0, usual_ms), now_ms)
        first_event_ms = run.first_event_ms / speed.prefill_factor
        self._prefill_fit.add(run.uncached_tokens, first_event_ms)

    def step_on(self, speed: ServerSpeed, running: float) -> float:
        """Returns the time between two events on a server with this many runs."""
        return self.step_ms * speed.step_factor * self._load_factor(running)

    def _load_factor(self, running: float) -> float:
        return 1 + self.load_slope * max(0.0, running - 1)

    def update(self, speeds: Iterable[ServerSpeed], now_ms: int) -> None:
        """Compares the servers with each other; call a few times a second."""
        servers = list(speeds)
        step_ms = _usual(servers, now_ms, lambda speed: speed.steps)
        hold_ms = _usual(servers, now_ms, lambda speed: speed.holds)
        first_event_ratio = _usual(servers, now_ms, lambda speed: speed.first_events)
        self.has_steps = step_ms is not None
        self.step_ms = step_ms or self.step_ms
        self.hold_ms = hold_ms or self.hold_ms
        self._update_fits()
        for speed in servers:
            self._update_factors(speed, first_event_ratio or 1.0, now_ms)

    def _update_fits(self) -> None:
        load = self._load_fit.line(0.0, LOAD_PRIOR_WEIGHT)
        if load is not None and load.base > 0:
            self.load_slope = min(MAX_LOAD_SLOPE, max(0.0, load.slope / load.base))
        prefill = self._prefill_fit.line(DEFAULT_PREFILL_MS_PER_TOKEN, PREFILL_PRIOR_WEIGHT)
        if prefill is not None:
            self.prefill_ms_per_token = max(0.0, prefill.slope)
            self._first_event_base_ms = max(0.0, prefill.base)

    def _update_factors(self, speed: ServerSpeed, first_event_ratio: float, now_ms: int) -> None:
        if self.has_steps:
            step_factor = speed.steps.factor(self.step_ms, now_ms)
        else:
            step_factor = speed.holds.factor(self.hold_ms, now_ms)
        speed.is_known = step_factor is not None
        speed.step_factor = step_factor or 1.0
        first_event_factor = speed.first_events.factor(first_event_ratio, now_ms)
        speed.prefill_factor = first_event_factor or speed.step_factor


def _usual(
    servers: list[ServerSpeed], now_ms: int, runs_of: Callable[[ServerSpeed], _RecentRuns]
) -> float | None:
    """Returns the median over the servers whose recent runs are known; none if there are none."""
    known = [runs_of(speed).median(now_ms) for speed in servers]
    values = [value for value in known if value is not None]
    return median(values) if values else None
