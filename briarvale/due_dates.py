"""Predicts from the measured item rate when each job must start to meet its due date."""

from collections.abc import Iterable
from typing import NamedTuple

from . import logs, metrics
from .clock import MS_PER_S, Clock
from .jobs import JobRecord

RATE_DECAY = 0.97
DEFAULT_ITEM_S = 5.0
WARN_AFTER_MS = 10_000
ORDER_STEP_MS = 60_000

log = logs.component_logger("batch")

__all__ = ["DueDates", "RemainingWork"]


class RemainingWork(NamedTuple):
    """The unfinished items of a job on this VM, and how many its member runs at once here."""

    job: JobRecord
    item_count: int
    parallel_items: int


class _Rate:
    """Items finished per second, averaged over about the last half minute in which items ran."""

    def __init__(self) -> None:
        self.finished_count = 0
        self._items = 0.0
        self._seconds = 0.0

    @property
    def items_per_s(self) -> float:
        """The rate; 0 before the first second in which items ran."""
        return self._items / self._seconds if self._seconds else 0.0

    def record_second(self) -> None:
        """Adds the last second, in which items ran, to the average."""
        self._items = self._items * RATE_DECAY + self.finished_count
        self._seconds = self._seconds * RATE_DECAY + 1
        self.finished_count = 0


class DueDates:
    """Measures the rate of each member and service on this VM and predicts when jobs end.

    Args:
        clock: Source of timestamps.

    Attributes:
        late: Keys of the jobs that were reported as late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[tuple[str, str], _Rate] = {}
        self._start_by_ms: dict[str, int] = {}
        self._late_since_ms: dict[str, int] = {}
        self.late: set[str] = set()

    def record_item(self, job: JobRecord) -> None:
        """Counts a finished item."""
        self._rate_of(job).finished_count += 1

    def start_by_ms(self, job: JobRecord) -> int:
        """Returns the time by which the remaining items must start; jobs run in this order.

        Rounded down to whole minutes, so that a job's items keep their order among themselves while
        the prediction varies.
        """
        return self._start_by_ms.get(job.key, job.due_at_ms) // ORDER_STEP_MS * ORDER_STEP_MS

    def finish_at_ms(self, job: JobRecord) -> int:
        """Returns when the job's items on this VM are predicted to be finished."""
        start_by_ms = self._start_by_ms.get(job.key, job.due_at_ms)
        return self._clock.now_ms() + job.due_at_ms - start_by_ms

    def update(self, work: Iterable[RemainingWork]) -> list[JobRecord]:
        """Updates the predictions; returns the jobs newly reported as late. Runs once a second."""
        now_ms = self._clock.now_ms()
        work = list(work)
        for rate in {
            self._rate_of(remaining.job) for remaining in work if remaining.parallel_items
        }:
            rate.record_second()
        newly_late = []
        for remaining in work:
            job = remaining.job
            self._start_by_ms[job.key] = int(job.due_at_ms - self._remaining_ms(remaining))
            if not remaining.item_count or self._start_by_ms[job.key] > now_ms:
                self._late_since_ms.pop(job.key, None)
                continue
            since_ms = self._late_since_ms.setdefault(job.key, now_ms)
            if job.key not in self.late and now_ms - since_ms >= WARN_AFTER_MS:
                self._warn(job)
                newly_late.append(job)
        metrics.JOBS_LATE.set({}, len(self._late_since_ms))
        return newly_late

    def forget(self, job: JobRecord) -> None:
        """Drops the predictions for a finished job."""
        for times_ms in (self._start_by_ms, self._late_since_ms):
            times_ms.pop(job.key, None)
        self.late.discard(job.key)

    def _remaining_ms(self, remaining: RemainingWork) -> float:
        """Returns how long the job would take at the member's entire item rate on this VM."""
        items_per_s = self._rate_of(remaining.job).items_per_s
        if not items_per_s:
            items_per_s = max(1, remaining.parallel_items) / DEFAULT_ITEM_S
        return remaining.item_count / items_per_s * MS_PER_S

    def _rate_of(self, job: JobRecord) -> _Rate:
        return self._rates.setdefault((job.member, job.service), _Rate())

    def _warn(self, job: JobRecord) -> None:
        """Reports a job as late, once."""
        self.late.add(job.key)
        late_s = (self.finish_at_ms(job) - job.due_at_ms) / MS_PER_S
        log.warning("Job {} of member {} will be {:.0f} s late.", job.job_id, job.member, late_s)
