"""Steps for holders and owners through failures, on a fleet in memory."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context

from briarvale._generated.messages import Outcome, SlotRequest, WorkClass
from briarvale.engine_client import Completion
from briarvale.environment import Environment
from briarvale.errors import BriarvaleError
from briarvale.settings import Settings
from briarvale.slot_client import SlotClient, new_request_id
from briarvale.standins.engine import token_text
from briarvale.standins.memory_fleet import MODEL, FleetSettings, MemoryFleet
from briarvale.standins.vm_list import StandinVmList
from briarvale.vm_list import VmStatus
from features.support.virtual import run_virtual

SLOTS = 4
TOKENS_PER_STREAM = 400
SAMPLE_INTERVAL_S = 0.01
ANSWERS_TIMEOUT_S = 60.0

Failure = Callable[["SlotHarness"], Awaitable[None]]


class SplitFleet(MemoryFleet):
    """A fleet whose first VM, vm-1, reads a VM list of its own."""

    def __init__(self, settings: FleetSettings) -> None:
        super().__init__(settings)
        entries = tuple(self._vm_entry(n) for n in range(settings.vm_count))
        self.vm_1_list = StandinVmList(entries)

    def _environment(self, settings: Settings, part: str) -> Environment:
        environment = super()._environment(settings, part)
        return (
            environment._replace(vm_list=self.vm_1_list) if settings.vm == "vm-1" else environment
        )


class SlotHarness:
    """A fleet with one engine, holders whose streams run on it, and what was observed.

    Attributes:
        answers: The tokens of each answer, by prompt.
        expected_count: How many answers there should be.
        peak_streams: The most streams that ran on the engine at once.
        refused_after_s: Times from a request, or the failure if that was later, to its refusal.
        held_samples: Times, each with the number of slots that owners counted as held.
        settled_at_s: When the streams granted by a former owner should have ended.
        settled_streams: The most streams that ran at once from 3 s after `settled_at_s`.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.fleet = SplitFleet(FleetSettings(engine_count=1, plain_count=0, slots=SLOTS))
        self.tasks = tasks
        self.answers: dict[str, list[str]] = {}
        self.expected_count = 0
        self.peak_streams = 0
        self.refused_after_s: list[float] = []
        self.granted_at_s: dict[str, float] = {}
        self.failed_at_s = 0.0
        self.failure_ended_at_s = 0.0
        self.held_samples: list[tuple[float, int]] = []
        self.settled_streams = 0
        self.settled_at_s = float("inf")

    async def start(self) -> None:
        """Starts the fleet and waits until its owner grants slots."""
        await self.fleet.start(self.tasks)
        self.engine = self.fleet.backends.engines["bs-1"]
        self.clients = {name: self.client(name) for name in self.fleet.vms}
        self.tasks.start_soon(self._sample)
        await anyio.sleep(2)

    def client(self, vm: str) -> SlotClient:
        """Returns a new holder on a VM."""
        gateway = self.fleet.vms[vm].gateway
        return SlotClient(gateway.environment, gateway.view, self.tasks)

    def start_streams(self, vm: str, count: int) -> None:
        """Starts streams of one VM."""
        for _ in range(count):
            self.expected_count += 1
            self.tasks.start_soon(self._stream, vm, f"{vm} reed {self.expected_count}")

    async def finish(self) -> None:
        """Waits for all answers."""
        with anyio.move_on_after(ANSWERS_TIMEOUT_S):
            while len(self.answers) < self.expected_count:
                await anyio.sleep(SAMPLE_INTERVAL_S)
        await anyio.sleep(6)

    def held_by_owners(self) -> int:
        """Returns the slots that dispatchers count as held."""
        queues = [vm.dispatcher.slot_owner.granter("bs-1") for vm in self.fleet.vms.values()]
        return sum(queue.held for queue in queues if queue is not None)

    async def _stream(self, vm: str, prompt: str) -> None:
        asked_at_s = anyio.current_time()
        while True:
            try:
                await self._attempt(vm, prompt)
                return
            except BriarvaleError as error:
                assert error.not_run, error
                self.refused_after_s.append(
                    anyio.current_time() - max(asked_at_s, self.failed_at_s)
                )
            await anyio.sleep(0.1)
            asked_at_s = anyio.current_time()

    async def _attempt(self, vm: str, prompt: str) -> None:
        async with self.clients[vm].hold(self.request()) as slot:
            self.granted_at_s[prompt] = anyio.current_time()
            completion = Completion(prompt, MODEL, prompt, TOKENS_PER_STREAM)
            self.answers[prompt] = [t.text async for t in self.engine.complete(completion)]
            slot.outcome = Outcome.FINISHED

    def request(self) -> SlotRequest:
        """Returns a new request for an online slot."""
        deadline_ms = self.fleet.clock.now_ms() + 50_000
        return SlotRequest(
            new_request_id(),
            "bs-1",
            "cyweirio",
            WorkClass.ONLINE,
            1,
            TOKENS_PER_STREAM,
            deadline_ms,
        )

    async def _sample(self) -> None:
        while True:
            streams = self.engine.stream_count
            self.peak_streams = max(self.peak_streams, streams)
            self.held_samples.append((anyio.current_time(), self.held_by_owners()))
            if anyio.current_time() > self.settled_at_s + 3:
                self.settled_streams = max(self.settled_streams, streams)
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def set_owner_status(self, status: VmStatus | None) -> None:
        """Sets the status of vm-1 in both VM lists; without a status, removes it from them."""
        entries = [self.fleet._vm_entry(n) for n in range(3)]
        first = [entries[0]._replace(status=status)] if status else []
        self.fleet.vm_list.replace((*first, *entries[1:]))
        self.fleet.vm_1_list.replace((*first, *entries[1:]))


def run_harness(context: Context) -> SlotHarness:
    """Runs the scenario's failure in virtual time; later calls return the same harness."""

    async def run() -> SlotHarness:
        async with anyio.create_task_group() as tasks:
            harness = SlotHarness(tasks)
            await harness.start()
            if context.has_streams:
                harness.start_streams("vm-2", 8)
                await anyio.sleep(1)
            harness.failed_at_s = anyio.current_time()
            await context.failure(harness)
            harness.failure_ended_at_s = anyio.current_time()
            await harness.finish()
            tasks.cancel_scope.cancel()
        return harness

    if not hasattr(context, "harness"):
        context.harness = run_virtual(run, seed=1)
    return context.harness


@given("one engine of 4 slots owned by vm-1, with 4 streams and 4 waiting requests of vm-2")
def given_streams(context: Context) -> None:
    context.has_streams = True


@when("the owner's VM is lost and removed from the VM list")
def when_owner_lost(context: Context) -> None:
    async def fail(harness: SlotHarness) -> None:
        harness.fleet.kill_vm("vm-1")
        harness.set_owner_status(None)

    context.failure = fail


@when("the VM list says that the owner's VM is leaving")
def when_owner_leaves(context: Context) -> None:
    async def fail(harness: SlotHarness) -> None:
        harness.set_owner_status(VmStatus.LEAVING)

    context.failure = fail


@when("the {role} freezes for {seconds:d} s")
def when_frozen(context: Context, role: str, seconds: int) -> None:
    async def fail(harness: SlotHarness) -> None:
        host = harness.fleet.vms["vm-1" if role == "owner" else "vm-2"].settings.host
        harness.fleet.network.frozen_hosts.add(host)
        await anyio.sleep(seconds)
        harness.fleet.network.frozen_hosts.discard(host)

    context.failure = fail


@when("messages from {source} to {target} are lost for {seconds:d} s")
def when_cut(context: Context, source: str, target: str, seconds: int) -> None:
    async def fail(harness: SlotHarness) -> None:
        hosts = {name: vm.settings.host for name, vm in harness.fleet.vms.items()}
        hosts["the owner"] = hosts["vm-1"]
        link = (hosts[source], hosts[target])
        harness.fleet.network.cut_links.add(link)
        await anyio.sleep(seconds)
        harness.fleet.network.cut_links.discard(link)

    context.failure = fail


@when("the holder's VM is lost")
def when_holder_lost(context: Context) -> None:
    async def fail(harness: SlotHarness) -> None:
        harness.fleet.kill_vm("vm-2")
        harness.fleet.network.frozen_hosts.add(harness.fleet.vms["vm-2"].settings.host)
        harness.expected_count = 0

    context.failure = fail


@when("the connections of vm-2 to the owner break")
def when_broken(context: Context) -> None:
    async def fail(harness: SlotHarness) -> None:
        host = harness.fleet.vms["vm-2"].settings.host
        for stream in [s for s in harness.fleet.network.streams if s.host == host]:
            stream.close_now()

    context.failure = fail


@when("vm-1 alone does not learn that vm-2 owns the engine, while both VMs ask for 8 streams")
def when_two_owners(context: Context) -> None:
    async def fail(harness: SlotHarness) -> None:
        harness.fleet.vm_list.replace(tuple(harness.fleet._vm_entry(n) for n in (1, 2)))
        await anyio.sleep(5)
        harness.start_streams("vm-1", 8)
        harness.start_streams("vm-2", 8)
        await anyio.sleep(5)
        harness.fleet.vm_1_list.replace(tuple(harness.fleet._vm_entry(n) for n in (1, 2)))
        harness.settled_at_s = (
            anyio.current_time() + harness.fleet.vm_1_list.lag_s + TOKENS_PER_STREAM * 0.025
        )

    context.has_streams = False
    context.failure = fail


@when("{count:d} callers cancel between 0 and 6 ms after their request")
def when_cancelled(context: Context, count: int) -> None:
    async def request_and_cancel(harness: SlotHarness, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            async with harness.clients["vm-2"].hold(harness.request()):
                await anyio.sleep(0)

    async def fail(harness: SlotHarness) -> None:
        for index in range(count):
            await request_and_cancel(harness, 0.006 * index / count)

    context.has_streams = False
    context.failure = fail


@then("all {count:d} answers are complete and no stream was started twice")
def then_whole_once(context: Context, count: int) -> None:
    harness = run_harness(context)
    assert len(harness.answers) == count, len(harness.answers)
    for prompt, answer in harness.answers.items():
        assert answer == [token_text(prompt, n) for n in range(TOKENS_PER_STREAM)], prompt
    assert set(harness.engine.run_counts.values()) == {1}, harness.engine.run_counts


@then("every answer of both VMs is complete")
def then_whole(context: Context) -> None:
    harness = run_harness(context)
    assert len(harness.answers) == harness.expected_count == 16, len(harness.answers)
    assert all(len(answer) == TOKENS_PER_STREAM for answer in harness.answers.values())


@then("the engine never ran more than {count:d} streams")
def then_peak(context: Context, count: int) -> None:
    peak = run_harness(context).peak_streams
    assert 0 < peak <= count, peak


@then(
    "the engine ran at most {count:d} streams"
    " from 3 s after those granted by vm-1 should have ended"
)
def then_settled(context: Context, count: int) -> None:
    assert 0 < run_harness(context).settled_streams <= count, context.harness.settled_streams


@then("the next owner granted a slot within {seconds:d} s")
def then_granted(context: Context, seconds: int) -> None:
    harness = run_harness(context)
    # A step of the engine with 4 streams takes 0.0195 s.
    first_ended_at_s = min(harness.granted_at_s.values()) + TOKENS_PER_STREAM * 0.0195
    fifth_granted_at_s = sorted(harness.granted_at_s.values())[SLOTS]
    assert fifth_granted_at_s <= max(first_ended_at_s, harness.failed_at_s + 2) + seconds, (
        fifth_granted_at_s,
        first_ended_at_s,
    )


@then("waiting requests were refused with not_run within {seconds:d} s")
def then_refused(context: Context, seconds: int) -> None:
    refused = run_harness(context).refused_after_s
    assert len(refused) >= 4 and max(refused) <= seconds, refused


@then("no owner counts a slot as held at the end")
def then_none_held(context: Context) -> None:
    assert run_harness(context).held_samples[-1][1] == 0, context.harness.held_samples[-1]


@then("no owner counts a slot as held {seconds:g} s later")
def then_none_held_after(context: Context, seconds: float) -> None:
    harness = run_harness(context)
    held = [
        count for at_s, count in harness.held_samples if at_s > harness.failure_ended_at_s + seconds
    ]
    assert held and set(held) == {0}, set(held)


@then("the owner frees the holder's slots after the lease expires, within {seconds:d} s")
def then_expired(context: Context, seconds: int) -> None:
    harness = run_harness(context)
    held = {at_s: count for at_s, count in harness.held_samples if at_s > harness.failed_at_s}
    free_at_s = min(at_s for at_s, count in held.items() if count == 0)
    assert 1 < free_at_s - harness.failed_at_s <= seconds, free_at_s - harness.failed_at_s
