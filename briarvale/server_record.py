"""How the runs on one backend server of a pool end, and how long they take."""

from ._generated.messages import Outcome
from .outliers import OutcomeWindow, StreamOutcome

# A server that failed is used last for this long, twice as long after each more failure in a row.
AVOID_START_MS = 500
AVOID_MAX_MS = 8_000
# A server that fails most of its runs gets none for this long, twice as long each further time.
EJECT_START_MS = 1_000
EJECT_MAX_MS = 8_000
# After that it runs one at a time, until so many in a row have succeeded.
TRIAL_SUCCESSES = 3
# Weight of the latest run in the mean time; runs that are older than this tell nothing.
TIME_WEIGHT = 0.2
TIME_VALID_MS = 10_000
MIN_TIMES = 3

__all__ = ["ServerRecord"]


class ServerRecord:
    """The latest outcomes and times of one server's runs."""

    def __init__(self) -> None:
        self._avoid_until_ms = 0
        self._failures = 0
        self._outcomes = OutcomeWindow()
        self._ejections = 0
        self._ejected_until_ms = 0
        self._trials_left = 0
        self._mean_ms = 0.0
        self._time_count = 0
        self._timed_at_ms = 0

    def is_avoided(self, now_ms: int) -> bool:
        """Whether others are preferred, since it failed a moment ago."""
        return now_ms < self._avoid_until_ms

    def is_ejected(self, now_ms: int) -> bool:
        """Whether it is to get nothing now."""
        return now_ms < self._ejected_until_ms

    @property
    def is_on_trial(self) -> bool:
        """Whether it is to run one request at a time."""
        return self._trials_left > 0

    def record_outcome(self, outcome: Outcome, now_ms: int) -> bool:
        """Takes how a run ended; returns whether the server should be ejected now."""
        match outcome:
            case Outcome.FINISHED:
                self._failures = 0
                self._avoid_until_ms = 0
                self._trials_left = max(0, self._trials_left - 1)
                if not self.is_on_trial:
                    self._ejections = max(0, self._ejections - 1)
            case Outcome.FAILED | Outcome.CRASHED:
                delay_ms = min(AVOID_MAX_MS, AVOID_START_MS * 2**self._failures)
                self._failures += 1
                self._avoid_until_ms = now_ms + delay_ms
            case _:
                return False
        self._outcomes.add(StreamOutcome(now_ms, outcome, 0))
        has_failed_trial = self.is_on_trial and outcome is not Outcome.FINISHED
        return has_failed_trial or self._outcomes.is_failing(now_ms)

    def eject(self, now_ms: int) -> int:
        """Ejects the server; returns until when."""
        if not self.is_ejected(now_ms):
            delay_ms = min(EJECT_MAX_MS, EJECT_START_MS * 2**self._ejections)
            self._ejections += 1
            self._ejected_until_ms = now_ms + delay_ms
        self._trials_left = TRIAL_SUCCESSES
        self._outcomes.clear()
        return self._ejected_until_ms

    def record_duration(self, took_ms: float, now_ms: int) -> None:
        """Takes how long a run that succeeded held its slot."""
        if now_ms - self._timed_at_ms > TIME_VALID_MS:
            self._time_count = 0
        self._timed_at_ms = now_ms
        self._time_count += 1
        weight = max(TIME_WEIGHT, 1 / self._time_count)
        self._mean_ms += weight * (took_ms - self._mean_ms)

    def mean_ms(self, now_ms: int) -> float | None:
        """Returns the mean time of its latest runs; none if these are too few or too old."""
        if self._time_count < MIN_TIMES or now_ms - self._timed_at_ms > TIME_VALID_MS:
            return None
        return self._mean_ms
