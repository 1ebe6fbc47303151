"""A simulated model engine: continuous batching with a cost model, and fault switches.

One step generates a token for each stream whose prompt is prefilled. It takes `BASE_STEP_S`, plus
`STREAM_STEP_S` a stream, plus `PREFILL_STEP_S` for each prompt token prefilled in it.
"""

import hashlib
import math
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from ..engine_client import CacheEvent, CacheEvents, Completion, EngineLoad, Order, Token
from ..errors import ServerConnectFailed, ServerLost, ServerRefused, StaleOrder

BASE_STEP_S = 0.018
STREAM_STEP_S = 0.000_35
PREFILL_STEP_S = 0.000_06
PREFILL_TOKENS_PER_STEP = 512
BLOCK_TOKENS = 16
CACHE_BLOCKS = 4_096
LOAD_LAG_S = 0.5
EVENT_LAG_S = 0.5
MAX_EVENTS = 2_048
# A prompt that contains this crashes the engine.
CRASH_MARK = "<crash>"
DRAINING_ROLE = "draining"
IDLE_CHECK_S = 60.0

__all__ = [
    "CRASH_MARK",
    "EngineFaults",
    "EngineSettings",
    "EngineStart",
    "StandinEngine",
    "token_text",
]


class EngineSettings(NamedTuple):
    """Settings of one stand-in engine."""

    name: str
    model: str = "reeds"
    version: str = "1"
    adapters: tuple[str, ...] = ()
    checks_fencing: bool = True
    load_time_s: float = 5.0
    step_scale: float = 1.0


class EngineStart(NamedTuple):
    """One start of a completion, recorded for checks."""

    at_s: float
    request_id: str
    prompt: str


class EngineFaults:
    """Fault switches; all off at the start."""

    def __init__(self) -> None:
        self.is_down = False
        self.is_stuck = False
        self.is_draining = False
        self.slow_factor = 1.0
        self.drop_events = False
        self.fail_completions = False
        self.lose_order_answers = False
        self.lose_orders = False


class TokenCollector:
    """Collects the tokens of a stream whose reader only waits for its end."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.closed = anyio.Event()

    def send_nowait(self, token: Token) -> None:
        """Adds a token."""
        self.texts.append(token.text)

    def close(self) -> None:
        """Ends the stream."""
        self.closed.set()


class _Stream:
    """One running completion."""

    def __init__(
        self, completion: Completion, sender: MemoryObjectSendStream[Token] | TokenCollector
    ) -> None:
        self.completion = completion
        self.sender = sender
        self.prefill_remaining = 0
        self.next_index = len(completion.resume_tokens)
        self.is_cancelled = False


class StandinEngine:
    """An engine that implements the `Engine` protocol in memory; run `run()` in a task group.

    Args:
        settings: Name, model and speed of the engine.

    Attributes:
        run_counts: Starts of completions, by request id.
        first_tokens: First tokens generated, by prompt.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.run_counts: dict[str, int] = {}
        self.first_tokens: Counter[str] = Counter()
        self.starts: list[EngineStart] = []
        self.crashes = 0
        self.tokens_generated = 0
        self.model, self.version = settings.model, settings.version
        self.adapters = settings.adapters
        self.role = "mixed"
        self.fencing_number = 0
        self.applied_orders: list[Order] = []
        self._streams: dict[str, _Stream] = {}
        self._wake = anyio.Event()
        self._loading_until_s = 0.0
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._event_sequence = 0
        # Time, streams and streams that wait for their prefill.
        self._load_history: list[tuple[float, int, int]] = []
        self._kv: dict[str, bytes] = {}

    async def run(self) -> None:
        """Generates tokens until cancelled."""
        while True:
            if not self._streams:
                self._record_load([])
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._step()

    def crash(self) -> None:
        """Drops all streams and the cache, as a crash and restart does."""
        self.crashes += 1
        for stream in self._streams.values():
            stream.sender.close()
        self._streams.clear()
        self._cache.clear()

    @property
    def stream_count(self) -> int:
        """Number of streams that run now."""
        return len(self._streams)

    async def complete(self, completion: Completion) -> AsyncIterator[Token]:
        """Starts a completion and streams its tokens."""
        sender, receiver = anyio.create_memory_object_stream[Token](math.inf)
        stream = self._start(completion, sender)
        expected = completion.max_tokens - len(completion.resume_tokens)
        received = 0
        try:
            async with receiver:
                async for token in receiver:
                    received += 1
                    yield token
        finally:
            if self._streams.get(completion.request_id) is stream:
                del self._streams[completion.request_id]
        if received < expected:
            raise ServerLost(f"{self.settings.name}: the stream ended early")

    async def complete_unread(self, completion: Completion) -> list[str]:
        """Runs a completion to its end or its cancellation and returns its tokens.

        Cheaper than `complete`, for benchmarks with much batch load.
        """
        collector = TokenCollector()
        stream = self._start(completion, collector)
        try:
            await collector.closed.wait()
        finally:
            if self._streams.get(completion.request_id) is stream:
                del self._streams[completion.request_id]
        return collector.texts

    async def cancel(self, request_id: str) -> None:
        """Stops a completion and keeps its KV cache for export."""
        self._check_up()
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            self._kv[request_id] = str(stream.next_index).encode()
            stream.sender.close()

    async def load(self) -> EngineLoad:
        """Reports the load of `LOAD_LAG_S` ago."""
        self._check_up()
        streams, waiting = self._lagged_load()
        return EngineLoad(
            streams=streams,
            waiting=waiting,
            model="" if self._is_loading() else self.model,
            version=self.version,
            adapters=self.adapters,
            role=self.role,
            fencing_number=self.fencing_number,
            is_draining=self.faults.is_draining or self.role == DRAINING_ROLE,
        )

    async def cache_events(self, after: int) -> CacheEvents:
        """Reports cache events older than `EVENT_LAG_S`."""
        self._check_up()
        limit_s = anyio.current_time() - EVENT_LAG_S
        ready = [event for at_s, event in self._events if at_s <= limit_s]
        last = ready[-1].sequence if ready else 0
        return CacheEvents(tuple(event for event in ready if event.sequence > after), last)

    async def order(self, order: Order) -> None:
        """Applies an order; refuses a stale fencing number if the settings say so."""
        self._check_up()
        if self.settings.checks_fencing and order["fencing_number"] < self.fencing_number:
            raise StaleOrder(
                f"{self.settings.name}: fencing number {order['fencing_number']} is stale"
            )
        if self.faults.lose_orders:
            raise ServerLost(f"{self.settings.name}: the order was lost")
        self.applied_orders.append(order)
        self.fencing_number = order["fencing_number"]
        self.role, self.adapters = order["role"], tuple(order["adapters"])
        if (order["model"], order["version"]) != (self.model, self.version):
            self.model, self.version = order["model"], order["version"]
            self._loading_until_s = anyio.current_time() + self.settings.load_time_s
            self._cache.clear()
        if self.faults.lose_order_answers:
            raise ServerLost(f"{self.settings.name}: the answer was lost")

    async def export_kv(self, request_id: str) -> bytes:
        """Returns a cancelled completion's KV cache; empty if there is none."""
        self._check_up()
        return self._kv.get(request_id, b"")

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Stores a completion's KV cache, which spares its next start the prefill."""
        self._check_up()
        self._kv[request_id] = data

    async def _step(self) -> None:
        """Runs one step: prefills prompts, then generates a token for each prefilled stream."""
        while self.faults.is_stuck:
            await anyio.sleep(0.1)
        streams = list(self._streams.values())
        prefilled = self._prefill(streams)
        step_s = BASE_STEP_S + STREAM_STEP_S * len(streams) + PREFILL_STEP_S * prefilled
        await anyio.sleep(step_s * self.settings.step_scale * self.faults.slow_factor)
        self._record_load(streams)
        for stream in streams:
            if stream.prefill_remaining == 0 and stream.completion.request_id in self._streams:
                self._emit(stream)

    def _start(
        self, completion: Completion, sender: MemoryObjectSendStream[Token] | TokenCollector
    ) -> _Stream:
        self._check_up()
        self._check_accepts(completion)
        self.run_counts[completion.request_id] = self.run_counts.get(completion.request_id, 0) + 1
        start = EngineStart(anyio.current_time(), completion.request_id, completion.prompt)
        self.starts.append(start)
        stream = _Stream(completion, sender)
        stream.prefill_remaining = self._uncached_tokens(completion)
        self._streams[completion.request_id] = stream
        self._wake.set()
        return stream

    def _prefill(self, streams: list[_Stream]) -> int:
        """Prefills one step's tokens, earlier streams first, and returns their number."""
        budget = PREFILL_TOKENS_PER_STEP
        for stream in streams:
            used = min(budget, stream.prefill_remaining)
            stream.prefill_remaining -= used
            budget -= used
        return PREFILL_TOKENS_PER_STEP - budget

    def _emit(self, stream: _Stream) -> None:
        completion = stream.completion
        if CRASH_MARK in completion.prompt:
            self.crash()
            return
        if stream.next_index < completion.max_tokens:
            text = token_text(completion.prompt, stream.next_index)
            try:
                stream.sender.send_nowait(Token(stream.next_index, text))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self._streams.pop(completion.request_id, None)
                return
            if stream.next_index == 0:
                self.first_tokens[completion.prompt] += 1
            stream.next_index += 1
            self.tokens_generated += 1
        if stream.next_index >= completion.max_tokens:
            self._streams.pop(completion.request_id, None)
            stream.sender.close()

    def _uncached_tokens(self, completion: Completion) -> int:
        """Caches the prompt's blocks and returns how many tokens are left to prefill."""
        words = completion.prompt.split()
        cached = 0
        is_prefix = True
        for block_hash in _block_hashes(words):
            is_prefix = is_prefix and block_hash in self._cache
            if is_prefix:
                cached += BLOCK_TOKENS
            self._store_block(block_hash)
        resumed = len(completion.resume_tokens)
        if self._kv.pop(completion.request_id, None) is not None:
            return 1
        return max(1, len(words) + resumed - cached)

    def _store_block(self, block_hash: str) -> None:
        is_new = block_hash not in self._cache
        self._cache[block_hash] = None
        self._cache.move_to_end(block_hash)
        if is_new:
            self._publish(block_hash, is_stored=True)
        if len(self._cache) > CACHE_BLOCKS:
            evicted, _ = self._cache.popitem(last=False)
            self._publish(evicted, is_stored=False)

    def _publish(self, block_hash: str, *, is_stored: bool) -> None:
        self._event_sequence += 1
        if self.faults.drop_events:
            return
        event = CacheEvent(self._event_sequence, block_hash, is_stored)
        self._events.append((anyio.current_time(), event))
        del self._events[:-MAX_EVENTS]

    def _record_load(self, streams: list[_Stream]) -> None:
        waiting = sum(1 for stream in streams if stream.prefill_remaining > 0)
        self._load_history.append((anyio.current_time(), len(self._streams), waiting))
        del self._load_history[:-256]

    def _lagged_load(self) -> tuple[int, int]:
        limit_s = anyio.current_time() - LOAD_LAG_S
        older = [load for load in self._load_history if load[0] <= limit_s]
        return (older[-1][1], older[-1][2]) if older else (0, 0)

    def _is_loading(self) -> bool:
        return anyio.current_time() < self._loading_until_s

    def _check_up(self) -> None:
        if self.faults.is_down:
            raise ServerConnectFailed(f"{self.settings.name} is down")

    def _check_accepts(self, completion: Completion) -> None:
        if self.faults.fail_completions or self.faults.is_draining or self._is_loading():
            raise ServerRefused(f"{self.settings.name} accepts no completions now")
        if completion.model != self.model:
            raise ServerRefused(f"{self.settings.name} has no model {completion.model}")
        if completion.adapter and completion.adapter not in self.adapters:
            raise ServerRefused(f"{self.settings.name} has no adapter {completion.adapter}")


def token_text(prompt: str, index: int) -> str:
    """Returns the token that every stand-in engine generates at this index for the prompt."""
    return " " + hashlib.sha256(f"{index}:{prompt}".encode()).hexdigest()[:5]


def _block_hashes(words: list[str]) -> list[str]:
    hashes = []
    digest = hashlib.sha256()
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest()[:16])
    return hashes
