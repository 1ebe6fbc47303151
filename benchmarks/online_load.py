"""Online and batch load on an in-memory fleet, and records of what callers observe."""

import math
import random
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple, Protocol

import anyio

from briarvale._generated.messages import Outcome, SlotRequest, WorkClass
from briarvale.engine_client import Completion
from briarvale.errors import BriarvaleError, Overloaded
from briarvale.online import OnlineRequest
from briarvale.slot_client import HeldSlot, new_request_id
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MODEL, MemoryFleet

DEADLINE_MS = 10_000
ONLINE_PROMPT_TOKENS = range(150, 851)
ONLINE_OUTPUT_TOKENS = range(40, 161)
BATCH_PROMPT_TOKENS = range(200, 601)
BATCH_OUTPUT_TOKENS = range(100, 301)
BATCH_WAIT_MS = 60_000
BURST_PERIOD_S = 40.0
BURST_START_S = 14.0
BURST_LENGTH_S = 6.0

__all__ = ["Arrival", "BatchLoad", "OnlineLoad", "OnlineRecord", "percentile", "poisson_arrivals"]


class Arrival(NamedTuple):
    """A scheduled online request; `at_s` counts from the start of the load."""

    at_s: float
    member: str
    prompt_tokens: int
    output_tokens: int


class OnlineRecord(NamedTuple):
    """Timing and completeness of one online request, as observed by its caller."""

    member: str
    started_s: float
    first_token_s: float
    gaps_s: tuple[float, ...]
    is_complete: bool


class SlotSource(Protocol):
    """A source of slots for batch."""

    def hold(self, request: SlotRequest): ...


def poisson_arrivals(
    rate_per_s: float, burst_factor: float, duration_s: float, member: str, seed: int
) -> list[Arrival]:
    """Returns Poisson arrivals with periodic bursts; the same seed gives the same arrivals."""
    rng = random.Random(seed)
    arrivals, at_s = [], 0.0
    peak_rate_per_s = rate_per_s * burst_factor
    while (at_s := at_s + rng.expovariate(peak_rate_per_s)) < duration_s:
        in_burst = BURST_START_S <= at_s % BURST_PERIOD_S < BURST_START_S + BURST_LENGTH_S
        sizes = rng.choice(ONLINE_PROMPT_TOKENS), rng.choice(ONLINE_OUTPUT_TOKENS)
        if rng.random() < (1.0 if in_burst else 1 / burst_factor):
            arrivals.append(Arrival(at_s, member, *sizes))
    return arrivals


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * percent / 100) - 1)]


class OnlineLoad:
    """Sends arrivals to the gateways round-robin and records the answers."""

    def __init__(self, fleet: MemoryFleet, arrivals: list[Arrival]) -> None:
        self._fleet = fleet
        self._arrivals = sorted(arrivals)
        self.records: list[OnlineRecord] = []
        self.tokens = 0

    async def run(self) -> None:
        """Sends all arrivals and waits for their answers."""
        started_s = anyio.current_time()
        gateways = [vm.gateway for vm in self._fleet.vms.values()]
        async with anyio.create_task_group() as tasks:
            for index, arrival in enumerate(self._arrivals):
                await anyio.sleep(max(0.0, started_s + arrival.at_s - anyio.current_time()))
                gateway = gateways[index % len(gateways)]
                tasks.start_soon(self._send, gateway, index, arrival)

    async def _send(self, gateway, index: int, arrival: Arrival) -> None:
        started_s = last_token_s = anyio.current_time()
        first_token_s = DEADLINE_MS / 1_000
        gaps_s: list[float] = []
        count = 0
        request = OnlineRequest(
            new_request_id(),
            arrival.member,
            ENGINE_SERVICE,
            " ".join(f"o{index}.{n}" for n in range(arrival.prompt_tokens)),
            arrival.output_tokens,
            self._fleet.clock.now_ms() + DEADLINE_MS,
        )
        with suppress(BriarvaleError):
            async for _ in gateway.online.stream(request):
                now_s = anyio.current_time()
                if count == 0:
                    first_token_s = now_s - started_s
                else:
                    gaps_s.append(now_s - last_token_s)
                count, last_token_s = count + 1, now_s
                self.tokens += 1
        is_complete = count == arrival.output_tokens
        self.records.append(
            OnlineRecord(arrival.member, started_s, first_token_s, tuple(gaps_s), is_complete)
        )


class _BatchItem:
    """A batch item and the tokens generated for it so far."""

    def __init__(self, member: str, number: int) -> None:
        rng = random.Random(number)
        self.member = member
        self.prompt_tokens = rng.choice(BATCH_PROMPT_TOKENS)
        self.output_tokens = rng.choice(BATCH_OUTPUT_TOKENS)
        self.prompt = " ".join(f"b{number}.{n}" for n in range(self.prompt_tokens))
        self.tokens: list[str] = []


class BatchLoad:
    """Endless batch items on every engine; a revoked item is resumed after its last token.

    Args:
        fleet: The fleet that runs the items.
        slots: Sources of slots; workers use them in turn.
        members: Owners of the items, in turn.
        workers: Number of concurrent items on each engine.
    """

    def __init__(
        self, fleet: MemoryFleet, slots: list[SlotSource], members: list[str], workers: int
    ) -> None:
        self._fleet = fleet
        self._slots = slots
        self._members = members
        self._workers = workers
        self._interrupted: deque[_BatchItem] = deque()
        self._item_numbers = self._count_up()
        self.revocations = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            for index in range(self._workers):
                for server in self._fleet.backends.engines:
                    slots = self._slots[index % len(self._slots)]
                    tasks.start_soon(self._run_worker, slots, server)

    async def _run_worker(self, slots: SlotSource, server: str) -> None:
        while True:
            item = self._next_item()
            try:
                async with slots.hold(self._request(item, server)) as slot:
                    await self._run_item(item, server, slot)
            except Overloaded as error:
                await self._fleet.clock.sleep_until(error.retry_at_ms or 0)
            except BriarvaleError:
                await anyio.sleep(0.1)
            if len(item.tokens) < item.output_tokens:
                self._interrupted.append(item)

    def _next_item(self) -> _BatchItem:
        if self._interrupted:
            return self._interrupted.popleft()
        number = next(self._item_numbers)
        return _BatchItem(self._members[number % len(self._members)], number)

    def _request(self, item: _BatchItem, server: str) -> SlotRequest:
        remaining_tokens = item.output_tokens - len(item.tokens)
        prompt_tokens = item.prompt_tokens + len(item.tokens)
        deadline_ms = self._fleet.clock.now_ms() + BATCH_WAIT_MS
        return SlotRequest(
            new_request_id(),
            server,
            item.member,
            WorkClass.BATCH,
            1,
            prompt_tokens + remaining_tokens,
            deadline_ms,
            prompt_tokens=prompt_tokens,
        )

    async def _run_item(self, item: _BatchItem, server: str, slot: HeldSlot) -> None:
        engine = self._fleet.backends.engines[server]
        request_id = new_request_id()
        completion = Completion(
            request_id, MODEL, item.prompt, item.output_tokens, "", tuple(item.tokens)
        )

        async def cancel_when_revoked() -> None:
            await slot.revoked.wait()
            self.revocations += 1
            await engine.cancel(request_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_when_revoked)
            tokens = await engine.complete_unread(completion)
            tasks.cancel_scope.cancel()
        item.tokens += tokens
        slot.tokens = len(tokens)
        slot.outcome = Outcome.REVOKED if slot.revoked.is_set() else Outcome.FINISHED

    @staticmethod
    def _count_up() -> Iterator[int]:
        number = 0
        while True:
            yield number
            number += 1
