"""Decides which jobs a node runs at a time, by the memory that their unfinished items take.

Jobs beyond the capacity wait in the store. A service of which no job runs here may always start
one, so that a service without servers doesn't keep the jobs of other services from running.
"""

from collections import Counter
from typing import NamedTuple

from .ingress_budget import PROCESS_BYTES
from .opaque_jobs import MAX_PART_BYTES, OpaqueItem, OpaqueJob

__all__ = ["DEFAULT_CAPACITY_BYTES", "JobMemory", "item_bytes", "job_bytes", "job_memory_capacity"]

# What an unfinished item takes beside its body: its task, its request for a slot and its headers.
ITEM_OVERHEAD_BYTES = 24_000
# Part for jobs of what a process leaves; the other part is for what callers make it hold.
CAPACITY_FRACTION = 0.5
MIN_CAPACITY_BYTES = 16_000_000
DEFAULT_CAPACITY_BYTES = 256_000_000


class _RunningJob(NamedTuple):
    """What one running job takes."""

    service: str
    size_bytes: int


class JobMemory:
    """Counts the memory of running jobs.

    Args:
        capacity_bytes: What they may take together.

    Attributes:
        used_bytes: What they take.
    """

    def __init__(self, capacity_bytes: int = DEFAULT_CAPACITY_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self._jobs: dict[str, _RunningJob] = {}
        self._service_jobs: Counter[str] = Counter()
        self.used_bytes = 0

    def may_start(self, service: str, size_bytes: int) -> bool:
        """Whether a job of a service may start now."""
        if not self._service_jobs[service]:
            return True
        return self.used_bytes + size_bytes <= self._capacity_bytes

    def start(self, job_id: str, service: str, size_bytes: int) -> None:
        """Counts a job that starts."""
        self._jobs[job_id] = _RunningJob(service, size_bytes)
        self._service_jobs[service] += 1
        self.used_bytes += size_bytes

    def resize(self, job_id: str, size_bytes: int) -> None:
        """Sets what a job takes, once its items are known."""
        job = self._jobs[job_id]
        self.used_bytes += size_bytes - job.size_bytes
        self._jobs[job_id] = job._replace(size_bytes=size_bytes)

    def release(self, job_id: str, size_bytes: int) -> None:
        """Subtracts what an item took that has finished."""
        self.resize(job_id, max(0, self._jobs[job_id].size_bytes - size_bytes))

    def end(self, job_id: str) -> None:
        """Stops counting a job that no longer runs here."""
        job = self._jobs.pop(job_id)
        self._service_jobs[job.service] -= 1
        self.used_bytes -= job.size_bytes


def job_memory_capacity(memory_bytes: int) -> int:
    """Derives the capacity from the memory of the machine; 0 stands for an unknown one."""
    if not memory_bytes:
        return DEFAULT_CAPACITY_BYTES
    derived_bytes = int((memory_bytes - PROCESS_BYTES) * CAPACITY_FRACTION)
    return min(DEFAULT_CAPACITY_BYTES, max(MIN_CAPACITY_BYTES, derived_bytes))


def item_bytes(item: OpaqueItem) -> int:
    """Returns what an unfinished item takes."""
    return len(item.body_base64) + ITEM_OVERHEAD_BYTES


def job_bytes(job: OpaqueJob) -> int:
    """Returns what the items of a job take; for a digest, the most that they may take."""
    unread_bytes = len(job.part_ids) * MAX_PART_BYTES if job.is_digest else 0
    return unread_bytes + sum(item_bytes(item) for item in job.items)
