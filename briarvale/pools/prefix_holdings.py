"""The parts of prompts that one server has probably cached, within its memory."""

import math
from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

from .._generated.messages import SlotRequest

# Bound on the parts of a server: callers may cut a prompt into parts of a token or none.
MAX_PARTS = 2_048
# Assumed length of a part whose length no one states.
DEFAULT_PART_TOKENS = 100
# How many of the least recently used parts tell what a further eviction would hit.
TAIL_PARTS = 8

__all__ = ["PrefixHoldings", "PromptShape"]


class PromptShape(NamedTuple):
    """The parts of a prompt, in order; the last one is the request's own.

    Attributes:
        part_ids: Ids of the parts.
        part_tokens: Length of each part.
        tokens: Length of the prompt, at least that of its parts.
    """

    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]
    tokens: int

    @classmethod
    def of_request(cls, request: SlotRequest) -> "PromptShape":
        """Returns the shape of a request's prompt; equal parts if their lengths are not stated."""
        count = len(request.prefix_ids)
        part_tokens = request.prefix_tokens
        if len(part_tokens) != count or (count and not any(part_tokens)):
            each = request.prompt_tokens // count if count else 0
            part_tokens = (each or DEFAULT_PART_TOKENS,) * count
        return cls(request.prefix_ids, part_tokens, max(request.prompt_tokens, sum(part_tokens)))


class PrefixHoldings:
    """The cached parts of one server, least recently used first.

    Attributes:
        parts: Tokens of each cached part; changed by this class only.
        capacity_tokens: Memory that cached parts and running requests share; 0 if not known.
    """

    def __init__(self) -> None:
        self.parts: OrderedDict[str, int] = OrderedDict()
        # Parts that were asked for again: evicting one costs a prefill later.
        self._reused: set[str] = set()
        self._tokens = 0
        self._tail_fraction: float | None = None
        self.capacity_tokens = 0

    def __len__(self) -> int:
        return len(self.parts)

    @property
    def tokens(self) -> int:
        """Tokens of all cached parts."""
        return self._tokens

    def cached_tokens(self, prompt: PromptShape) -> int:
        """Returns how many tokens at the beginning of a prompt are cached."""
        parts = self.parts
        tokens = 0
        for part_id, part_tokens in zip(prompt.part_ids, prompt.part_tokens, strict=True):
            if part_id not in parts:
                break
            tokens += part_tokens
        return tokens

    def room_tokens(self, running_tokens: int) -> float:
        """Returns how many tokens may be added before a part is evicted; infinite if not known."""
        if not self.capacity_tokens:
            return math.inf
        return max(0, self.capacity_tokens - running_tokens - self._tokens)

    @property
    def reused_fraction(self) -> float:
        """Fraction of the tokens evicted next whose parts were asked for more than once."""
        if self._tail_fraction is None:
            self._tail_fraction = self._reused_fraction_of_tail()
        return self._tail_fraction

    def record(self, prompt: PromptShape, running_tokens: int) -> None:
        """Records the prompt of a run; evicts parts beyond the memory.

        The first part counts as used last, since a later part is of no use without it.
        """
        for part_id, tokens in zip(
            reversed(prompt.part_ids), reversed(prompt.part_tokens), strict=True
        ):
            known = self.parts.get(part_id)
            if known is not None:
                self._reused.add(part_id)
                self._tokens -= known
            self.parts[part_id] = tokens
            self._tokens += tokens
            self.parts.move_to_end(part_id)
        self._evict(running_tokens)
        self._tail_fraction = None

    def clear(self) -> None:
        """Forgets all parts, as the server has restarted."""
        self.parts.clear()
        self._reused.clear()
        self._tokens = 0
        self._tail_fraction = None

    def _evict(self, running_tokens: int) -> None:
        limit = max(0, self.capacity_tokens - running_tokens) if self.capacity_tokens else math.inf
        while self.parts and (self._tokens > limit or len(self.parts) > MAX_PARTS):
            part_id, tokens = self.parts.popitem(last=False)
            self._reused.discard(part_id)
            self._tokens -= tokens

    def _reused_fraction_of_tail(self) -> float:
        tail = list(islice(self.parts.items(), TAIL_PARTS))
        total = sum(tokens for _, tokens in tail)
        reused = sum(tokens for part_id, tokens in tail if part_id in self._reused)
        return reused / total if total else 0.0
