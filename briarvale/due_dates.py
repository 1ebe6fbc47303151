"""When each job's work must start to be done before it is due, from measured item times."""

from collections.abc import Iterable
from typing import NamedTuple

from . import logs, metrics
from .clock import MS_PER_S, Clock
from .jobs import JobRecord

ITEM_TIME_WEIGHT = 0.05
DEFAULT_ITEM_MS = 5_000.0
WARN_AFTER_MS = 10_000

log = logs.part("batch")

__all__ = ["DueDates", "RemainingWork"]


class RemainingWork(NamedTuple):
    """What this VM still has to do of a job, and how many items it runs at once for its member."""

    job: JobRecord
    item_count: int
    parallel_items: int


class DueDates:
    """Measures item times and predicts when jobs end.

    Args:
        clock: Source of instants.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._item_ms: dict[str, float] = {}
        self._service_item_ms: dict[str, float] = {}
        self._start_by_ms: dict[str, int] = {}
        self._late_since_ms: dict[str, int] = {}
        self.late: set[str] = set()

    def note_item(self, job: JobRecord, took_ms: float) -> None:
        """Takes the time that one finished item took, from its first attempt."""
        known_ms = self._service_item_ms.get(job.service, took_ms)
        smoothed_ms = known_ms + ITEM_TIME_WEIGHT * (took_ms - known_ms)
        self._service_item_ms[job.service] = smoothed_ms
        known_ms = self._item_ms.get(job.key, took_ms)
        self._item_ms[job.key] = known_ms + ITEM_TIME_WEIGHT * (took_ms - known_ms)

    def start_by_ms(self, job: JobRecord) -> int:
        """Returns the instant by which the rest must start; the order of least slack."""
        return self._start_by_ms.get(job.key, job.due_at_ms)

    def finish_at_ms(self, job: JobRecord) -> int:
        """Returns the predicted end of this VM's part of the job."""
        return self._clock.now_ms() + job.due_at_ms - self.start_by_ms(job)

    def update(self, work: Iterable[RemainingWork]) -> list[JobRecord]:
        """Predicts anew; returns the jobs of which it is now said that they will be late."""
        now_ms = self._clock.now_ms()
        newly_late = []
        for rest in work:
            job = rest.job
            remaining_ms = rest.item_count * self._item_time_ms(job) / max(1, rest.parallel_items)
            self._start_by_ms[job.key] = int(job.due_at_ms - remaining_ms)
            if not rest.item_count or self._start_by_ms[job.key] > now_ms:
                self._late_since_ms.pop(job.key, None)
                continue
            since_ms = self._late_since_ms.setdefault(job.key, now_ms)
            if job.key not in self.late and now_ms - since_ms >= WARN_AFTER_MS:
                self._warn(job)
                newly_late.append(job)
        metrics.JOBS_LATE.set({}, len(self._late_since_ms))
        return newly_late

    def forget(self, job: JobRecord) -> None:
        """Drops what is known of a finished job."""
        for known in (self._item_ms, self._start_by_ms, self._late_since_ms):
            known.pop(job.key, None)
        self.late.discard(job.key)

    def _item_time_ms(self, job: JobRecord) -> float:
        service_ms = self._service_item_ms.get(job.service, DEFAULT_ITEM_MS)
        return self._item_ms.get(job.key, service_ms)

    def _warn(self, job: JobRecord) -> None:
        self.late.add(job.key)
        late_s = (self.finish_at_ms(job) - job.due_at_ms) / MS_PER_S
        log.warning("Job {} of {} will be {:.0f} s late.", job.job_id, job.member, late_s)
