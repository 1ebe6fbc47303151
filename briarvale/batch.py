"""One VM's batch program: finds jobs and runs the shards that fall to this VM."""

import anyio
from anyio.abc import TaskGroup

from . import logs
from .environment import Environment
from .errors import BriarvaleError
from .fleet_view import FleetView
from .jobs import JobRecord, JobState
from .ownership import batch_vms, rank_by_rendezvous
from .routing import Router
from .settings import Settings
from .shard_runner import ShardRunner
from .slot_client import SlotClient

JOB_POLL_S = 1.0

log = logs.part("batch")

__all__ = ["Batch"]


class Batch:
    """The batch program of one VM; `run` is its life.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self.view = FleetView(settings, environment)
        self._running: set[tuple[str, str, int]] = set()
        self._done: set[tuple[str, str, int]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether it knows the fleet."""
        return self.view.is_ready

    async def drain(self) -> None:
        """Ends its work gracefully."""

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.view.run)
            await self.view.wait_ready()
            slots = SlotClient(self._environment, self.view, tasks)
            runner = ShardRunner(self._environment, self.view, Router(self.view), slots)
            while True:
                try:
                    await self._start_shards(runner, tasks)
                except BriarvaleError as error:
                    log.warning("Can't read the jobs: {}.", error)
                await anyio.sleep(JOB_POLL_S)

    async def _start_shards(self, runner: ShardRunner, tasks: TaskGroup) -> None:
        store = self._environment.store
        for key in await store.list_keys("jobs/"):
            job = JobRecord.decode((await store.get(key)).value)
            if job.state is not JobState.RUNNING:
                continue
            for shard_index in range(len(job.shards)):
                shard = (job.member, job.job_id, shard_index)
                if shard in self._running or shard in self._done or not self._is_mine(shard):
                    continue
                self._running.add(shard)
                tasks.start_soon(self._run_shard, runner, job, shard)

    async def _run_shard(
        self, runner: ShardRunner, job: JobRecord, shard: tuple[str, str, int]
    ) -> None:
        try:
            await runner.run(job, shard[2])
            self._done.add(shard)
            log.info("Finished shard {} of {}.", shard[2], job.job_id)
        except* BriarvaleError as errors:
            log.warning("Shard {} of {}: {}.", shard[2], job.job_id, errors.exceptions[0])
        finally:
            self._running.discard(shard)

    def _is_mine(self, shard: tuple[str, str, int]) -> bool:
        alive = batch_vms(self.view.vms)
        key = "\0".join(str(part) for part in shard)
        return bool(alive) and rank_by_rendezvous(key, alive)[0] == self._settings.vm
