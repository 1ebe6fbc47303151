"""Steps for head-of-line blocking at the owner, on a fleet in memory."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context

from briarvale._generated.messages import SlotRequest, WorkClass
from briarvale.engine_client import Completion
from briarvale.errors import BriarvaleError, ServerLost
from briarvale.slot_client import SlotClient, new_request_id
from briarvale.standins.engine import (
    BASE_STEP_S,
    PREFILL_STEP_S,
    PREFILL_TOKENS_PER_STEP,
    STREAM_STEP_S,
)
from briarvale.standins.memory_fleet import MODEL, FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

SLOTS = 16
STEP_S = BASE_STEP_S + STREAM_STEP_S * SLOTS + PREFILL_STEP_S * PREFILL_TOKENS_PER_STEP
REQUEST_TIMEOUT_MS = 30_000
PROBE_COUNT = 8

Load = Callable[["BlockingHarness"], Awaitable[None]]


class BlockingHarness:
    """A fleet of two engines, with one holder for online requests and one for batch items."""

    def __init__(self, tasks: TaskGroup, harm_weight: float) -> None:
        rules = (("harm_weight", harm_weight), ("batch_budget_percent", 100))
        settings = FleetSettings(engine_count=2, plain_count=0, slots=SLOTS, rules=rules)
        self.fleet = MemoryFleet(settings)
        self.tasks = tasks

    async def start(self) -> None:
        """Starts the fleet and waits until its owners grant slots."""
        await self.fleet.start(self.tasks)
        self.client, self.batch_client = (self._client(vm) for vm in ("vm-2", "vm-3"))
        await anyio.sleep(2)

    def _client(self, vm: str) -> SlotClient:
        gateway = self.fleet.vms[vm].gateway
        return SlotClient(gateway.environment, gateway.view, self.tasks)

    def request(
        self, member: str, work_class: WorkClass, server: str, prompt_tokens: int
    ) -> SlotRequest:
        """Returns a slot request."""
        deadline_ms = self.fleet.clock.now_ms() + REQUEST_TIMEOUT_MS
        request = SlotRequest(
            new_request_id(), server, member, work_class, 1, prompt_tokens + 64, deadline_ms
        )
        return request._replace(prompt_tokens=prompt_tokens)

    async def batch_item(self, prompt_tokens: int) -> None:
        """Runs one batch item; after a revocation, resumes it from its tokens."""
        text = " ".join(f"w{n}" for n in range(prompt_tokens))
        tokens: list[str] = []
        while len(tokens) < 64:
            request = self.request("cyweirio", WorkClass.BATCH, "bs-1", prompt_tokens)
            try:
                async with self.batch_client.hold(request) as slot:
                    completion = Completion(request.request_id, MODEL, text, 64, "", tuple(tokens))
                    await self._run_until_revoked(completion, slot.revoked, tokens)
            except BriarvaleError as error:
                await self.fleet.clock.sleep_until(error.retry_at_ms or 0)

    async def _run_until_revoked(
        self, completion: Completion, revoked: anyio.Event, tokens: list[str]
    ) -> None:
        engine = self.fleet.backends.engines["bs-1"]

        async def cancel_when_revoked() -> None:
            await revoked.wait()
            await engine.cancel(completion.request_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_when_revoked)
            with suppress(ServerLost):
                async for token in engine.complete(completion):
                    tokens.append(token.text)
            tasks.cancel_scope.cancel()

    async def hold_unread(self, member: str, server: str) -> None:
        """Holds a slot for 60 s, as a caller that doesn't read its answer does."""
        with suppress(BriarvaleError):
            async with self.client.hold(self.request(member, WorkClass.ONLINE, server, 20)):
                await anyio.sleep(60)

    async def first_token_s(self) -> float:
        """Returns the longest wait for a first token of `PROBE_COUNT` consecutive requests."""
        waits_s = []
        for index in range(PROBE_COUNT):
            await anyio.sleep(0.613)
            started_at_s = anyio.current_time()
            request = self.request("trust", WorkClass.ONLINE, "bs-1", 20)
            async with self.client.hold(request):
                completion = Completion(request.request_id, MODEL, f"reed {index}", 4)
                tokens = self.fleet.backends.engines["bs-1"].complete(completion)
                await anext(tokens)
                waits_s.append(anyio.current_time() - started_at_s)
                await tokens.aclose()
        return max(waits_s)


async def measure_first_token_s(harm_weight: float, load: Load | None) -> float:
    """Returns the wait for the first token under a load, or without one."""
    async with anyio.create_task_group() as tasks:
        harness = BlockingHarness(tasks, harm_weight)
        await harness.start()
        if load is not None:
            await load(harness)
        wait_s = await harness.first_token_s()
        tasks.cancel_scope.cancel()
    return wait_s


@given("an engine of 16 slots at harm weight {weight:g}")
def given_engine(context: Context, weight: float) -> None:
    context.harm_weight = weight


@when("{count:d} batch items of cyweirio wait")
def when_batch_waits(context: Context, count: int) -> None:
    async def load(harness: BlockingHarness) -> None:
        for _ in range(count):
            harness.tasks.start_soon(harness.batch_item, 40)
        await anyio.sleep(2)

    context.load = load


@when("a batch item has a prompt of {tokens:d} tokens")
def when_long_prompt(context: Context, tokens: int) -> None:
    async def load(harness: BlockingHarness) -> None:
        harness.tasks.start_soon(harness.batch_item, tokens)
        await anyio.sleep(0.5)

    context.load = load


@when("{count:d} callers of cyweirio do not read their answer")
def when_unread(context: Context, count: int) -> None:
    async def load(harness: BlockingHarness) -> None:
        for _ in range(count):
            harness.tasks.start_soon(harness.hold_unread, "cyweirio", "bs-1")
        await anyio.sleep(1)

    context.load = load


@when("another engine is stuck with {count:d} requests")
def when_stuck(context: Context, count: int) -> None:
    async def load(harness: BlockingHarness) -> None:
        harness.fleet.backends.engines["bs-2"].faults.is_stuck = True
        for _ in range(count):
            harness.tasks.start_soon(harness.hold_unread, "trust", "bs-2")
        await anyio.sleep(1)

    context.load = load


@then(
    "an online request of trust gets its first token"
    " at most 1 RTT and one engine step later than without the load"
)
def then_not_delayed(context: Context) -> None:
    unloaded_s = run_virtual(measure_first_token_s, context.harm_weight, None)
    loaded_s = run_virtual(measure_first_token_s, context.harm_weight, context.load)
    round_trip_s = 0.001
    assert loaded_s <= unloaded_s + round_trip_s + STEP_S, (unloaded_s, loaded_s)
