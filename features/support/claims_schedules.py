"""Seeded schedules of faults against claims, and checks of what the stand-ins recorded."""

import random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from .claims_world import ClaimsWorld, Reply
from .virtual import run_virtual

KEY_COUNT = 8
SENDS_PER_KEY = 4
FAULT_SPAN_S = 30.0
SETTLE_S = 600.0

__all__ = ["ScheduleReport", "run_schedule"]


class ScheduleReport(NamedTuple):
    """The outcome of one schedule; `violations` adds up the counts that must be 0.

    Attributes:
        doubled_keys: Keys, and calls without a key, that ran more than once.
        false_not_run: Attempts that ran though their callers were told that they did not.
        differing_answers: Keys for which callers got different answers.
        forgotten_answers: Keys whose answer was received once, but not by the last resend.
        unsettled_keys: Keys whose last resend got neither an answer nor `outcome_unknown`.
        needlessly_blocked_keys: Keys whose call never ran, though no gateway was killed and no
            server broke a connection before the run.
        reported_not_run: Attempts whose callers were told that they did not run.
        blocked_keys: Keys whose call never ran.
    """

    seed: int
    doubled_keys: int
    false_not_run: int
    differing_answers: int
    forgotten_answers: int
    unsettled_keys: int
    needlessly_blocked_keys: int
    runs: int
    reported_not_run: int
    blocked_keys: int

    @property
    def violations(self) -> int:
        """The sum of the counts that must be 0."""
        return sum(self[1:7])


class _Schedule:
    """One schedule: senders and faults at random times drawn from the seed.

    Gateways are killed, and connections broken before the run, only if `has_kills`.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.world = ClaimsWorld(seed)
        self.replies: list[Reply] = []
        self.final_replies: dict[str, Reply] = {}
        self.has_kills = self.random.random() < 0.7

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                await self.world.start_gateway(tasks)
            async with anyio.create_task_group() as senders:
                senders.start_soon(self._inject_faults, tasks)
                for key in range(KEY_COUNT):
                    senders.start_soon(self._send_often, f"key-{key}")
                    senders.start_soon(self._send, "", f"no-key-{key}")
            self._stop_faults()
            await anyio.sleep(SETTLE_S)
            for key in range(KEY_COUNT):
                gateway = self.world.gateways[-1]
                name = f"key-{key}"
                self.final_replies[name] = await gateway.send(
                    name, f"{name} last", "register", b"{}"
                )
            tasks.cancel_scope.cancel()

    async def _send_often(self, key: str) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(SENDS_PER_KEY):
                tasks.start_soon(self._send, key, f"{key} {number}")
                if self.random.random() < 0.7:
                    await anyio.sleep(self.random.expovariate(0.3))

    async def _send(self, key: str, attempt: str) -> None:
        await anyio.sleep(self.random.uniform(0, FAULT_SPAN_S / 2))
        gateway = self.random.choice(self.world.gateways[-3:])
        self.replies.append(await gateway.send(key, attempt, "register", b"{}"))

    async def _inject_faults(self, tasks: TaskGroup) -> None:
        end_s = anyio.current_time() + FAULT_SPAN_S
        while anyio.current_time() < end_s:
            self._change_store_faults()
            self._change_service_faults()
            if self.has_kills and self.random.random() < 0.3:
                self.random.choice(self.world.gateways[-3:]).kill()
                await self.world.start_gateway(tasks)
            await anyio.sleep(self.random.expovariate(1.0))

    def _change_store_faults(self) -> None:
        faults, draw = self.world.store.faults, self.random.random
        faults.is_down = draw() < 0.15
        faults.latency_s = self.random.choice((0.003, 0.05, 0.5))
        faults.lose_answer_probability = self.random.choice((0.0, 0.0, 0.3, 0.8))
        faults.late_write_probability = self.random.choice((0.0, 0.0, 0.3, 0.8))
        faults.late_write_s = self.random.choice((0.5, 2.0, 10.0, 40.0))
        faults.writes_per_s = self.random.choice((500.0, 500.0, 2.0))

    def _change_service_faults(self) -> None:
        for service in self.world.services.values():
            service.faults.is_down = self.random.random() < 0.2
            service.faults.lose_answers = self.random.random() < 0.15
            service.faults.lose_before_run = self.has_kills and self.random.random() < 0.1
            service.faults.latency_s = self.random.choice((0.01, 0.3, 2.0, 8.0))
        self.world.is_overloaded = self.random.random() < 0.15

    def _stop_faults(self) -> None:
        self.world.store.faults = type(self.world.store.faults)()
        self.world.is_overloaded = False
        for service in self.world.services.values():
            service.faults = type(service.faults)()

    def report(self) -> ScheduleReport:
        keys = [f"key-{n}" for n in range(KEY_COUNT)]
        not_run = [reply for reply in self.replies if reply.is_not_run]
        blocked = sum(self.world.run_count(key) == 0 for key in keys)
        doubled = sum(self.world.run_count(key) > 1 for key in keys)
        doubled += sum(self.world.attempt_run_count(f"no-key-{n}") > 1 for n in range(KEY_COUNT))
        return ScheduleReport(
            seed=self.seed,
            doubled_keys=doubled,
            false_not_run=sum(self.world.attempt_run_count(r.attempt) > 0 for r in not_run),
            differing_answers=sum(len(self._answers(key)) > 1 for key in keys),
            forgotten_answers=0 if self.has_kills else self._forgotten_count(keys),
            unsettled_keys=sum(not self._is_settled(key) for key in keys),
            needlessly_blocked_keys=0 if self.has_kills else blocked,
            runs=sum(len(service.runs) for service in self.world.services.values()),
            reported_not_run=len(not_run),
            blocked_keys=blocked,
        )

    def _answers(self, key: str) -> set[bytes]:
        replies = [*self.replies, self.final_replies[key]]
        return {r.answer.body for r in replies if r.key == key and r.answer is not None}

    def _forgotten_count(self, keys: list[str]) -> int:
        return sum(
            bool(self._answers(key)) and self.final_replies[key].answer is None for key in keys
        )

    def _is_settled(self, key: str) -> bool:
        reply = self.final_replies[key]
        is_unknown = reply.error is not None and reply.error.code == "outcome_unknown"
        return reply.answer is not None or is_unknown


def run_schedule(seed: int) -> ScheduleReport:
    """Runs one schedule in virtual time; the same seed gives the same schedule."""
    random.seed(seed)
    schedule = _Schedule(seed)
    run_virtual(schedule.run, seed=seed)
    return schedule.report()
