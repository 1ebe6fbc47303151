"""Helpers of the online features: a fleet in virtual time, its callers and engine records."""

import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

import anyio

from briarvale.engine_client import Completion, Token
from briarvale.errors import BriarvaleError, ErrorBody
from briarvale.online import OnlineRequest
from briarvale.standins.engine import StandinEngine, token_text
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

T = TypeVar("T")
MEMBER = "cyweirio"


class Answer(NamedTuple):
    """What a caller received, and when its answer ended."""

    request: OnlineRequest
    tokens: list[str]
    error: ErrorBody | None
    ended_ms: int

    @property
    def is_complete(self) -> bool:
        """Whether every token arrived once and in order."""
        expected = range(self.request.max_tokens)
        return self.tokens == [token_text(self.request.prompt, index) for index in expected]


class TamperingEngine(StandinEngine):
    """Delivers each group of four tokens in reverse order, and its first token twice."""

    async def complete(self, completion: Completion) -> AsyncIterator[Token]:
        """Streams tokens out of order."""
        buffered: list[Token] = []
        async for token in super().complete(completion):
            buffered.append(token)
            if len(buffered) == 4:
                for reordered in (*reversed(buffered), buffered[0]):
                    yield reordered
                buffered.clear()
        for reordered in reversed(buffered):
            yield reordered


def run_on_fleet(
    scenario: Callable[[MemoryFleet], Awaitable[T]], seed: int = 0, **settings: Any
) -> T:
    """Runs a scenario on an in-memory fleet in virtual time."""

    async def run() -> T:
        random.seed(seed)
        fleet = MemoryFleet(FleetSettings(seed=seed, **settings))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            result = await scenario(fleet)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run, seed=seed)


def online_request(
    fleet: MemoryFleet, request_id: str, tokens: int = 40, wait_ms: int = 30_000, prompt: str = ""
) -> OnlineRequest:
    """Returns a request of `MEMBER` with a deadline `wait_ms` from now."""
    prompt = prompt or f"reed {request_id}"
    deadline_ms = fleet.clock.now_ms() + wait_ms
    return OnlineRequest(
        request_id, MEMBER, ENGINE_SERVICE, prompt, tokens, deadline_ms, "", f"print of {prompt}"
    )


async def ask(fleet: MemoryFleet, request: OnlineRequest, vm: str = "vm-1") -> Answer:
    """Streams one request to its end."""
    tokens: list[str] = []
    error = None
    try:
        async for token in fleet.vms[vm].gateway.online.stream(request):
            tokens.append(token.text)
    except BriarvaleError as failure:
        error = failure.body()
    return Answer(request, tokens, error, fleet.clock.now_ms())


async def ask_all(
    fleet: MemoryFleet, requests: list[OnlineRequest], vm: str = "vm-1"
) -> list[Answer]:
    """Streams many requests at the same time."""
    answers: list[Answer] = []

    async def send_one(request: OnlineRequest) -> None:
        answers.append(await ask(fleet, request, vm))

    async with anyio.create_task_group() as tasks:
        for request in requests:
            tasks.start_soon(send_one, request)
    return answers


def run_count(fleet: MemoryFleet, request_id: str) -> int:
    """Returns how often the engines recorded a start of this request."""
    return sum(
        count
        for engine in fleet.backends.engines.values()
        for attempt_id, count in engine.run_counts.items()
        if attempt_id.split(".")[0] == request_id
    )


def slots_held(fleet: MemoryFleet) -> int:
    """Returns the slots that the owners count as granted."""
    queues = [
        vm.dispatcher.slot_owner.granter(server)
        for vm in fleet.vms.values()
        for server in fleet.backends.engines
    ]
    return sum(queue.held for queue in queues if queue)


class Attempt(NamedTuple):
    """A completion sent to an engine, whether or not the engine accepted it."""

    at_s: float
    server: str
    attempt_id: str


def record_attempts(fleet: MemoryFleet) -> list[Attempt]:
    """Returns a list that grows with each completion sent to an engine, except health trials."""
    attempts: list[Attempt] = []

    def record(engine: StandinEngine) -> None:
        complete = engine.complete

        async def recorded(completion: Completion) -> AsyncIterator[Token]:
            if not completion.request_id.startswith("trial-"):
                attempt = Attempt(anyio.current_time(), engine.settings.name, completion.request_id)
                attempts.append(attempt)
            async for token in complete(completion):
                yield token

        engine.complete = recorded  # type: ignore[method-assign]

    for engine in fleet.backends.engines.values():
        record(engine)
    return attempts


def count_prefill(fleet: MemoryFleet) -> Counter[str]:
    """Returns running counts of the prompt tokens sent and of those that were not cached."""
    counts: Counter[str] = Counter()

    def instrument(engine: StandinEngine) -> None:
        uncached_tokens = engine._uncached_tokens

        def counted(completion: Completion) -> int:
            uncached = uncached_tokens(completion)
            counts["prompt"] += len(completion.prompt.split())
            counts["prefilled"] += uncached
            return uncached

        engine._uncached_tokens = counted  # type: ignore[method-assign]

    for engine in fleet.backends.engines.values():
        instrument(engine)
    return counts


def prefix_of(session: int, tokens: int) -> str:
    """Returns a prompt prefix of this session."""
    return " ".join(f"w{session}-{index}" for index in range(tokens))


async def ask_steadily(
    fleet: MemoryFleet, seconds: float, rate: float, tokens: int = 15, vms: tuple[str, ...] = ()
) -> list[Answer]:
    """Sends requests at a rate through all gateways in turn, and returns all answers."""
    answers: list[Answer] = []
    names = vms or tuple(fleet.vms)

    async def send_one(index: int) -> None:
        request = online_request(fleet, f"s{index}", tokens)
        answers.append(await ask(fleet, request, names[index % len(names)]))

    async with anyio.create_task_group() as callers:
        for index in range(round(seconds * rate)):
            callers.start_soon(send_one, index)
            await anyio.sleep(1 / rate)
    return answers


async def wait_generating(fleet: MemoryFleet, tokens: int = 60) -> None:
    """Waits until the engines have generated this many tokens in total."""
    while sum(e.tokens_generated for e in fleet.backends.engines.values()) < tokens:
        await anyio.sleep(0.01)


async def crash_busiest(fleet: MemoryFleet) -> StandinEngine:
    """Crashes the engine with the most streams; it restarts at once."""
    engine = max(fleet.backends.engines.values(), key=lambda engine: engine.stream_count)
    engine.crash()
    return engine
