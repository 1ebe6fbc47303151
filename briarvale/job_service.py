"""The gateway's operations on batch jobs: submission, reading of records and cancellation."""

from collections.abc import AsyncIterator

from .cancellation import cancel_job
from .environment import Environment
from .fleet_view import FleetView
from .jobs import JobRecord, JobRequest, load_job
from .submission import SubmissionLimits, Submitter

__all__ = ["JobService"]


class JobService:
    """Serves the callers of batch jobs.

    Args:
        environment: Clock, store, network and backend servers.
        view: The fleet view, for the rules.
    """

    def __init__(self, environment: Environment, view: FleetView) -> None:
        self._store = environment.store
        self._clock = environment.clock
        self._view = view
        self._submitter = Submitter(environment.store, environment.clock)

    async def submit(self, request: JobRequest, lines: AsyncIterator[bytes]) -> JobRecord:
        """Accepts a job; see `Submitter.submit`."""
        rules = self._view.config.rules
        limits = SubmissionLimits(rules.max_job_bytes, rules.max_active_jobs)
        return await self._submitter.submit(request, lines, limits)

    async def get(self, member: str, job_id: str) -> JobRecord:
        """Reads a job's record; raises `NotFound`."""
        return (await load_job(self._store, member, job_id))[0]

    async def cancel(self, member: str, job_id: str) -> JobRecord:
        """Requests a job's cancellation; see `cancel_job`."""
        return await cancel_job(self._store, self._clock, member, job_id)
