"""Forecast of the online demand of a pool from its period, if it has a clear one."""

from collections import deque
from operator import mul
from statistics import fmean

BIN_MS = 200
BIN_COUNT = 120
MIN_PERIOD_BINS = 5
# A period must be covered this many times by what was observed before it counts.
MIN_PERIODS = 2.5
# Random changes of the load have lower correlations; a regular step has about 0.9.
MIN_CORRELATION = 0.75
# Below this ratio of the highest to the mean demand there are no peaks worth a forecast.
MIN_PEAK_RATIO = 1.25
DETECT_INTERVAL_MS = 1_000

__all__ = ["BIN_MS", "PeakForecast"]


class PeakForecast:
    """Records the demand in bins of `BIN_MS` and detects its period.

    Attributes:
        period_bins: The period, in bins; 0 without a clear one.
    """

    def __init__(self) -> None:
        self.period_bins = 0
        self._bins: deque[int] = deque(maxlen=BIN_COUNT)
        self._bin_end_ms = 0
        self._current = 0
        self._detect_at_ms = 0

    def observe(self, demand: int, now_ms: int) -> None:
        """Records the slots that online requests hold and wait for now."""
        if now_ms >= self._bin_end_ms + BIN_COUNT * BIN_MS:
            # Nothing is known of the time since the last observation.
            self._bins.clear()
            self._bin_end_ms = now_ms + BIN_MS
        while now_ms >= self._bin_end_ms:
            self._bins.append(self._current)
            self._bin_end_ms += BIN_MS
            self._current = demand
        self._current = max(self._current, demand)
        if now_ms >= self._detect_at_ms:
            self._detect_at_ms = now_ms + DETECT_INTERVAL_MS
            self.period_bins = find_period(list(self._bins))

    def expected(self) -> list[int]:
        """Returns the highest demand expected in each bin of a period, from the current one on.

        It is empty without a clear period.
        """
        period = self.period_bins
        if not period:
            return []
        bins = [*self._bins, self._current]
        last = len(bins) - 1
        # A bin more on each side, as neither the period nor the load is exact.
        return [
            max(bins[last + ahead - period - 1 : min(last, last + ahead - period + 1) + 1])
            for ahead in range(period)
        ]


def find_period(bins: list[int]) -> int:
    """Returns the period of a demand, in bins, by its autocorrelation; 0 without a clear one."""
    longest = int(len(bins) / MIN_PERIODS)
    if longest <= MIN_PERIOD_BINS or max(bins) < MIN_PEAK_RATIO * fmean(bins):
        return 0
    mean = fmean(bins)
    deviations = [demand - mean for demand in bins]
    variance = fmean(deviation**2 for deviation in deviations)
    correlations = [
        _covariance(deviations, lag) / variance for lag in range(MIN_PERIOD_BINS, longest + 1)
    ]
    best = max(range(len(correlations)), key=correlations.__getitem__)
    # Under a slow change the correlation only falls with the lag; a period is a peak after a dip.
    is_peak = min(correlations[: best + 1]) < 0
    is_clear = correlations[best] >= MIN_CORRELATION
    return best + MIN_PERIOD_BINS if is_peak and is_clear else 0


def _covariance(deviations: list[float], lag: int) -> float:
    products = map(mul, deviations[lag:], deviations)
    return sum(products) / (len(deviations) - lag)
