"""An approximate index of the prefix blocks that each engine has cached.

It is built from the prompts that this gateway sent and from the engines' cache events, which may be
late or missing. A wrong entry costs prefill time but never affects an answer.
"""

import hashlib
import random
from collections import OrderedDict
from collections.abc import Sequence

import anyio

from . import logs, metrics
from .engine_client import CacheEvents
from .environment import Environment
from .errors import BriarvaleError
from .fleet_view import FleetView

BLOCK_TOKENS = 16
MAX_PROMPT_BLOCKS = 256
MAX_BLOCKS_PER_ENGINE = 4_096
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
# An engine is polled for this long after the last prompt sent to it.
IN_USE_S = 30.0

log = logs.component_logger("prefix cache")

__all__ = ["BLOCK_TOKENS", "PrefixCache", "prefix_blocks"]


def prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Returns a hash for each full block of a prompt, over all tokens up to the block's end."""
    words = prompt.split()
    hashes = []
    digest = hashlib.sha256()
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS)[:MAX_PROMPT_BLOCKS]:
        digest.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest()[:16])
    return tuple(hashes)


class _ServerIndex:
    """The blocks that one engine has probably cached, least recently used first."""

    def __init__(self) -> None:
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.last_sequence = 0
        self.used_at_s = 0.0

    def store(self, block: str) -> None:
        """Adds a block and drops the oldest beyond `MAX_BLOCKS_PER_ENGINE`."""
        self.blocks[block] = None
        self.blocks.move_to_end(block)
        if len(self.blocks) > MAX_BLOCKS_PER_ENGINE:
            self.blocks.popitem(last=False)


class PrefixCache:
    """The indexes of all engines that this gateway sends requests to; `run` updates them.

    Args:
        environment: The outside interfaces.
        view: The latest view of the fleet.
    """

    def __init__(self, environment: Environment, view: FleetView) -> None:
        self._environment = environment
        self._view = view
        self._indexes: dict[str, _ServerIndex] = {}

    def cached_tokens(self, backend_server: str, blocks: Sequence[str]) -> int:
        """Returns how many leading tokens of a prompt the engine has probably cached."""
        index = self._indexes.get(backend_server)
        if index is None:
            return 0
        for count, block in enumerate(blocks):
            if block not in index.blocks:
                return count * BLOCK_TOKENS
        return len(blocks) * BLOCK_TOKENS

    def record_sent(self, backend_server: str, blocks: Sequence[str]) -> None:
        """Records that a prompt with these blocks was sent to the engine."""
        index = self._indexes.setdefault(backend_server, _ServerIndex())
        index.used_at_s = anyio.current_time()
        for block in blocks:
            index.store(block)

    def drop(self, backend_server: str) -> None:
        """Drops the index of an engine, for example after a crash."""
        self._indexes.pop(backend_server, None)

    def apply_events(self, backend_server: str, answer: CacheEvents) -> None:
        """Applies an engine's cache events; a gap in their sequence clears its index."""
        index = self._indexes.setdefault(backend_server, _ServerIndex())
        for event in answer.events:
            if index.last_sequence and event.sequence != index.last_sequence + 1:
                self._clear_after_gap(backend_server, index)
            index.last_sequence = event.sequence
            if event.is_stored:
                index.store(event.block_hash)
            else:
                index.blocks.pop(event.block_hash, None)
        if answer.last_sequence != index.last_sequence:
            self._clear_after_gap(backend_server, index)
            index.last_sequence = answer.last_sequence

    async def run(self) -> None:
        """Polls the engines in use one after the other, about one a second, until cancelled."""
        while True:
            # The empty name stands for no engine; the loop then only sleeps.
            for name in self._in_use() or [""]:
                await anyio.sleep(POLL_INTERVAL_S * random.uniform(0.75, 1.25))
                if name:
                    await self._poll(name)

    async def _poll(self, backend_server: str) -> None:
        server = self._view.config.servers.get(backend_server)
        index = self._indexes.get(backend_server)
        if server is None or index is None:
            self.drop(backend_server)
            return
        engine = self._environment.backends.engine(server)
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                answer = await engine.cache_events(index.last_sequence)
        except (BriarvaleError, TimeoutError) as error:
            log.debug("Can't read the cache events of {}: {}.", backend_server, error)
            return
        self.apply_events(backend_server, answer)

    def _in_use(self) -> list[str]:
        since_s = anyio.current_time() - IN_USE_S
        return [name for name, index in self._indexes.items() if index.used_at_s >= since_s]

    def _clear_after_gap(self, backend_server: str, index: _ServerIndex) -> None:
        metrics.CACHE_EVENT_GAPS.inc({"backend_server": backend_server})
        index.blocks.clear()
