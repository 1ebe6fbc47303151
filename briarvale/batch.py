"""One VM's batch program: finds jobs of prompts and runs the shards assigned to this VM."""

import random

import anyio
from anyio.abc import TaskGroup

from . import logs
from ._generated.messages import VmHealth
from .active_jobs import ActiveJobs, UploadKey
from .due_dates import DueDates, RemainingWork
from .environment import Environment
from .errors import BriarvaleError, ObjectExists
from .fleet_view import BATCH_ROLE, DRAINED_ROLE, FleetView
from .handover import Handover
from .item_runner import ItemRunner
from .item_scheduler import ItemScheduler
from .job_finisher import JobFinisher, read_seals
from .jobs import JobRecord, JobState, late_key
from .ownership import batch_vms
from .quarantine import Quarantine
from .rendezvous import first_by_rendezvous
from .retention import Retention
from .routing import Router
from .settings import Settings
from .shard_runner import RunningShard, ShardRunner
from .slot_client import SlotClient
from .store_budget import StoreBudget

POLL_INTERVAL_S = 1.0
START_GRACE_S = 3.0
FINISH_INTERVAL_S = 120.0
LOST_RACE_RETRY_START_S = 130.0
LOST_RACE_RETRY_MAX_S = 260.0
RETRY_S = 5.0
REASSIGNED_GRACE_S = 2.0
MAX_OPEN_SHARDS = 48
MAX_OPEN_SHARDS_PER_MEMBER = 6
QUEUE_FACTOR = 1.25
DRAIN_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0

log = logs.component_logger("batch")

ShardKey = tuple[UploadKey, int]

__all__ = ["BatchProgram"]


class BatchProgram:
    """The batch program of one VM, active while `run` runs.

    Args:
        settings: This VM's settings.
        environment: Clock, store, network and backend servers.
        due_dates: Order of a member's jobs; least slack first by default.
    """

    def __init__(
        self, settings: Settings, environment: Environment, due_dates: DueDates | None = None
    ) -> None:
        self._settings = settings
        self._environment = environment
        self.view = FleetView(settings, environment)
        self.quarantine = Quarantine(environment, self.view)
        self.budget = StoreBudget()
        self.due_dates = due_dates or DueDates(environment.clock)
        self.jobs = ActiveJobs(environment.store, self.budget)
        self.finisher = JobFinisher(environment.store, self.budget, environment.clock)
        self._running: dict[ShardKey, RunningShard] = {}
        self._sealed: dict[UploadKey, set[int]] = {}
        # Earliest next start of a shard.
        self._not_before_s: dict[ShardKey, float] = {}
        # Delay before a shard's start after its next run that loses a log entry to another runner.
        self._lost_race_retry_s: dict[ShardKey, float] = {}
        self._reassigned_since_s: dict[ShardKey, float] = {}
        self._assigned_shards: dict[UploadKey, list[int]] = {}
        self._seals_read: set[UploadKey] = set()
        self._assigned_to_vms: tuple[str, ...] = ()
        self._handover = Handover(settings.vm)
        self._handled_pause_count = 0
        self._scheduler: ItemScheduler | None = None
        self._is_draining = False
        self._is_leaving = False
        self._is_drained = False

    @property
    def is_ready(self) -> bool:
        """Whether the fleet view has been received."""
        return self.view.is_ready

    @property
    def started_count(self) -> int:
        """Items started since the program began, counting restarts."""
        return self._scheduler.started_count if self._scheduler else 0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.view.run)
            await self.view.wait_ready()
            slots = SlotClient(self._environment, self.view, tasks)
            router = Router(self.view)
            items = ItemRunner(self._environment, self.view, router, slots, self.quarantine)
            tasks.start_soon(self.quarantine.run)
            scheduler = ItemScheduler(items, self.due_dates, self.budget, self._items_at_once)
            self._scheduler = scheduler
            runner = ShardRunner(self._environment, self.budget, scheduler, self.finisher)
            retention = Retention(self._environment, self.budget, self.view, self.is_assigned_here)
            tasks.start_soon(scheduler.run)
            tasks.start_soon(self.jobs.run)
            tasks.start_soon(retention.run, self.jobs)
            tasks.start_soon(self._finish_jobs)
            tasks.start_soon(self._watch_due_dates, scheduler)
            await anyio.sleep(START_GRACE_S)
            while True:
                self._update_assignments()
                await self._update_leaving()
                self._update_shards()
                self._start_shards(runner, tasks)
                with anyio.move_on_after(POLL_INTERVAL_S):
                    await self.jobs.wait_changed()

    async def drain(self) -> None:
        """Starts no further items, waits for running ones and commits their results.

        Items still running after `DRAIN_TIMEOUT_S` are stopped and run again on another VM.
        """
        self._is_draining = True
        self._drain_shards()
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await self._wait_drained()
        for running in self._running.values():
            running.stop()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            await self._wait_drained()

    async def _wait_drained(self) -> None:
        while self._running:
            await anyio.sleep(0.1)

    def _drain_shards(self) -> None:
        for running in self._running.values():
            running.drain()

    async def _update_leaving(self) -> None:
        """Drains the shards while the VM is leaving, and announces the VM's role.

        It announces `DRAINED_ROLE` once no shard runs, and `BATCH_ROLE` if the VM stays after all.
        """
        health = {vm.vm: vm.health for vm in self.view.vms}.get(self._settings.vm)
        was_leaving, self._is_leaving = self._is_leaving, health is VmHealth.LEAVING
        if self._is_leaving:
            self._drain_shards()
        is_drained = self._is_leaving and not self._running
        if is_drained and not self._is_drained:
            await self.view.announce_role(DRAINED_ROLE)
        if was_leaving and not self._is_leaving:
            await self.view.announce_role(BATCH_ROLE)
        self._is_drained = is_drained

    def is_assigned_here(self, key: str) -> bool:
        """Whether rendezvous hashing assigns the key to this VM among the VMs that are alive."""
        live_vms = self._live_vms()
        return bool(live_vms) and first_by_rendezvous(key, live_vms, 1)[0] == self._settings.vm

    def _is_assigned_when_all_live(self, key: str) -> bool:
        """Whether the key would be assigned to this VM if all VMs in the fleet view were alive.

        Otherwise this VM runs the shard's items in reverse, so that two runners of the shard seldom
        run the same ones.
        """
        names = [vm.vm for vm in self.view.vms]
        return not names or first_by_rendezvous(key, names, 1)[0] == self._settings.vm

    def _live_vms(self) -> tuple[str, ...]:
        return tuple(batch_vms(self.view.vms))

    def _update_assignments(self) -> None:
        """Clears this VM's shard assignments when the set of live VMs changes."""
        live_vms = self._live_vms()
        if live_vms != self._assigned_to_vms:
            self._handover.record_change(self.view.vms)
            self._assigned_to_vms = live_vms
            self._assigned_shards.clear()
            self._seals_read.clear()
            self._lost_race_retry_s.clear()
            self._not_before_s.clear()

    def _update_shards(self) -> None:
        """Applies changed records, process pauses and new assignments to running shards."""
        must_replay = self._handled_pause_count != self.jobs.pause_count
        self._handled_pause_count = self.jobs.pause_count
        for key, running in self._running.items():
            job = self.jobs.records.get(key[0])
            if job is None:
                running.scope.cancel()
                continue
            if job is not running.job:
                running.update(job)
            if must_replay:
                running.request_replay()
            if self._is_reassigned(key):
                running.drain()

    def _is_reassigned(self, key: ShardKey) -> bool:
        """Whether the shard has been assigned to another VM for `REASSIGNED_GRACE_S`."""
        if self.is_assigned_here(_shard_name(key)):
            self._reassigned_since_s.pop(key, None)
            return False
        since_s = self._reassigned_since_s.setdefault(key, anyio.current_time())
        return anyio.current_time() - since_s >= REASSIGNED_GRACE_S

    def _start_shards(self, runner: ShardRunner, tasks: TaskGroup) -> None:
        """Opens shards up to the limits, those of jobs with the least slack first."""
        if self._is_draining or self._is_leaving:
            return
        jobs_by_slack = sorted(
            self.jobs.records.items(), key=lambda row: (self.due_dates.start_by_ms(row[1]), row[0])
        )
        for upload, job in jobs_by_slack:
            if len(self._running) >= MAX_OPEN_SHARDS:
                return
            if not job.state.is_final and self._has_room(upload):
                self._start_shards_of_job(runner, tasks, upload, job)

    def _has_room(self, upload: UploadKey) -> bool:
        """Whether the member may open another shard; a job without an open shard always may."""
        member_shards = [key for key in self._running if key[0].member == upload.member]
        has_open_shard = any(key[0] == upload for key in member_shards)
        return len(member_shards) < MAX_OPEN_SHARDS_PER_MEMBER or not has_open_shard

    def _start_shards_of_job(
        self, runner: ShardRunner, tasks: TaskGroup, upload: UploadKey, job: JobRecord
    ) -> None:
        for index in self._startable_indexes(upload, job):
            key = (upload, index)
            if self._has_room(upload) and len(self._running) < MAX_OPEN_SHARDS:
                is_reversed = not self._is_assigned_when_all_live(_shard_name(key))
                self._running[key] = RunningShard(
                    job, index, is_reversed=is_reversed, is_contested=key in self._lost_race_retry_s
                )
                tasks.start_soon(self._run_shard, runner, key, self._running[key])

    def _startable_indexes(self, upload: UploadKey, job: JobRecord) -> list[int]:
        """Returns this VM's shards of a job that may start: not sealed, running or delayed."""
        now_s = anyio.current_time()
        sealed = self._sealed.get(upload, set())
        return [
            index
            for index in self._assigned_indexes(upload, job)
            if index not in sealed
            and (upload, index) not in self._running
            and self._handover.is_over(_shard_name((upload, index)))
            and self._not_before_s.get((upload, index), 0.0) <= now_s
        ]

    def _assigned_indexes(self, upload: UploadKey, job: JobRecord) -> list[int]:
        """Returns the indexes of a job's shards that are assigned to this VM."""
        if upload not in self._assigned_shards:
            indexes = range(len(job.shard_items))
            self._assigned_shards[upload] = [
                i for i in indexes if self.is_assigned_here(_shard_name((upload, i)))
            ]
        return self._assigned_shards[upload]

    async def _run_shard(self, runner: ShardRunner, key: ShardKey, running: RunningShard) -> None:
        """Runs a shard to its seal, or delays its next start if the run ends before that."""
        retry_s = RETRY_S
        try:
            if await self._is_sealed(key, running.job) or await runner.run(running):
                self._sealed.setdefault(key[0], set()).add(key[1])
                log.info("Finished shard {} of job {}.", key[1], key[0].job_id)
                await self._finish_after_last(key, running.job)
            elif running.has_lost_race:
                retry_s = self._lost_race_retry_s.get(key, LOST_RACE_RETRY_START_S)
                self._lost_race_retry_s[key] = min(LOST_RACE_RETRY_MAX_S, 2 * retry_s)
        except BriarvaleError as error:
            log.warning("Can't run shard {} of job {}: {}.", key[1], key[0].job_id, error)
        finally:
            del self._running[key]
            self._not_before_s[key] = anyio.current_time() + retry_s * random.uniform(0.7, 1.3)

    async def _is_sealed(self, key: ShardKey, job: JobRecord) -> bool:
        """Whether a shard is sealed; reads the job's seals once per change of the live VMs."""
        if key[0] not in self._seals_read:
            self._seals_read.add(key[0])
            seals = await read_seals(self._environment.store, self.budget, job)
            self._sealed.setdefault(key[0], set()).update(seal.shard_index for seal in seals)
        return key[1] in self._sealed.get(key[0], set())

    async def _finish_after_last(self, key: ShardKey, job: JobRecord) -> None:
        """After this VM's last shard of a job, ends the job if all its shards are sealed."""
        upload = key[0]
        other_keys = [k for k in self._running if k[0] == upload and k != key]
        if not other_keys and self._sealed[upload].issuperset(self._assigned_indexes(upload, job)):
            self._sealed[upload] |= await self.finisher.finish_if_sealed(job)

    async def _finish_jobs(self) -> None:
        """Ends jobs whose last runner was lost after it sealed its shard; cleans up ended jobs."""
        while True:
            for upload, job in sorted(self.jobs.records.items()):
                if not self.is_assigned_here("/".join(upload)):
                    continue
                if upload in self.jobs.awaiting_cleanup:
                    await self.finisher.clean_up(job)
                elif not job.state.is_final:
                    self._sealed[upload] = await self.finisher.finish_if_sealed(job)
            self._remove_ended()
            await anyio.sleep(FINISH_INTERVAL_S * random.uniform(0.8, 1.2))

    def _remove_ended(self) -> None:
        """Drops the state of jobs that have ended."""
        for upload, job in list(self.jobs.records.items()):
            if job.state.is_final:
                self._forget(upload, job)
        for upload in [
            u for u in (*self._sealed, *self._assigned_shards) if u not in self.jobs.records
        ]:
            self._sealed.pop(upload, None)
            self._assigned_shards.pop(upload, None)
            self._seals_read.discard(upload)
        for key in [key for key in self._not_before_s if key[0] not in self.jobs.records]:
            del self._not_before_s[key]
            self._reassigned_since_s.pop(key, None)
            self._lost_race_retry_s.pop(key, None)

    def _forget(self, upload: UploadKey, job: JobRecord) -> None:
        self.jobs.forget(upload)
        self.due_dates.forget(job)

    async def _watch_due_dates(self, scheduler: ItemScheduler) -> None:
        """Predicts when jobs end, and stores the predicted end of each that will be late."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            work = [
                RemainingWork(job, self._items_left(upload, job), scheduler.running_of(job.member))
                for upload, job in self.jobs.records.items()
                if job.state is JobState.RUNNING
            ]
            for job in self.due_dates.update(work):
                await self._record_late(job)

    def _items_left(self, upload: UploadKey, job: JobRecord) -> int:
        """Returns the number of a job's items that this VM has still to finish."""
        item_count = sum(job.shard_items[index] for index in self._startable_indexes(upload, job))
        for key, running in self._running.items():
            if key[0] == upload and running.open_shard is not None:
                item_count += running.open_shard.unfinished_count
        return item_count

    async def _record_late(self, job: JobRecord) -> None:
        """Stores the predicted end of a job that will be late, unless one is stored."""
        value = str(self.due_dates.finish_at_ms(job)).encode()
        try:
            await self.budget.call(self._environment.store.create, late_key(job), value)
        except ObjectExists:
            return

    def _items_at_once(self) -> int:
        """Returns this VM's share of all slots times `QUEUE_FACTOR`, so that some items wait."""
        slots = sum(server.slots for server in self.view.config.servers.values())
        return round(slots * QUEUE_FACTOR / max(1, len(self._live_vms())))


def _shard_name(key: ShardKey) -> str:
    """Returns the key by which rendezvous hashing assigns a shard."""
    return "/".join((*key[0], str(key[1])))
