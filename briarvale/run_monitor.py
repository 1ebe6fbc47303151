"""Outcomes and durations of the runs on one backend server, and its ejection for failed runs."""

from ._generated.messages import Outcome
from .outliers import OutcomeWindow, StreamOutcome

# A server that failed is avoided for this long, doubled with each further failure in a row.
AVOID_START_MS = 500
AVOID_MAX_MS = 8_000
# A server that fails most of its runs is ejected for this long, doubled with each further ejection.
EJECT_START_MS = 1_000
EJECT_MAX_MS = 8_000
# After an ejection, the server runs one request at a time until this many in a row have succeeded.
TRIAL_SUCCESSES = 3
# Weight of the latest run in the mean duration, which expires this long after the latest run.
DURATION_WEIGHT = 0.2
DURATION_VALID_MS = 10_000
MIN_DURATIONS = 3

__all__ = ["RunMonitor"]


class RunMonitor:
    """Decides by the runs on one server whether it is avoided, ejected or on trial.

    After a failure, the server is avoided: others are preferred. If many of its runs fail, it is
    ejected: it gets no requests for a while, and then one at a time, on trial.
    """

    def __init__(self) -> None:
        self._avoid_until_ms = 0
        self._consecutive_failures = 0
        self._outcomes = OutcomeWindow()
        self._ejections = 0
        self._ejected_until_ms = 0
        self._trials_remaining = 0
        self._mean_ms = 0.0
        self._duration_count = 0
        self._last_duration_at_ms = 0

    def is_avoided(self, now_ms: int) -> bool:
        """Whether other servers are preferred, since a run failed here recently."""
        return now_ms < self._avoid_until_ms

    def is_ejected(self, now_ms: int) -> bool:
        """Whether the server must get no requests now."""
        return now_ms < self._ejected_until_ms

    @property
    def is_on_trial(self) -> bool:
        """Whether the server may run only one request at a time, after an ejection."""
        return self._trials_remaining > 0

    def record_outcome(self, outcome: Outcome, now_ms: int) -> bool:
        """Records how a run ended; returns whether to eject the server now."""
        match outcome:
            case Outcome.FINISHED:
                self._consecutive_failures = 0
                self._avoid_until_ms = 0
                self._trials_remaining = max(0, self._trials_remaining - 1)
                if not self.is_on_trial:
                    self._ejections = max(0, self._ejections - 1)
            case Outcome.FAILED | Outcome.CRASHED:
                delay_ms = min(AVOID_MAX_MS, AVOID_START_MS * 2**self._consecutive_failures)
                self._consecutive_failures += 1
                self._avoid_until_ms = now_ms + delay_ms
            case _:
                return False
        self._outcomes.add(StreamOutcome(now_ms, outcome, 0))
        has_failed_trial = self.is_on_trial and outcome is not Outcome.FINISHED
        return has_failed_trial or self._outcomes.is_failing(now_ms)

    def eject(self, now_ms: int) -> int:
        """Ejects the server; returns when the ejection ends."""
        if not self.is_ejected(now_ms):
            delay_ms = min(EJECT_MAX_MS, EJECT_START_MS * 2**self._ejections)
            self._ejections += 1
            self._ejected_until_ms = now_ms + delay_ms
        self._trials_remaining = TRIAL_SUCCESSES
        self._outcomes.clear()
        return self._ejected_until_ms

    def record_duration(self, duration_ms: float, now_ms: int) -> None:
        """Records how long a successful run held its slot."""
        if now_ms - self._last_duration_at_ms > DURATION_VALID_MS:
            self._duration_count = 0
        self._last_duration_at_ms = now_ms
        self._duration_count += 1
        weight = max(DURATION_WEIGHT, 1 / self._duration_count)
        self._mean_ms += weight * (duration_ms - self._mean_ms)

    def mean_ms(self, now_ms: int) -> float | None:
        """Returns the mean duration of the latest runs; none if these are too few or too old."""
        if (
            self._duration_count < MIN_DURATIONS
            or now_ms - self._last_duration_at_ms > DURATION_VALID_MS
        ):
            return None
        return self._mean_ms
