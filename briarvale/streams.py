"""Streaming of one completion: token order, timeouts on a silent server, the token buffer."""

from collections import deque
from collections.abc import AsyncIterator

from .clock import MS_PER_S
from .engine_client import Token
from .errors import BriarvaleError, ServerLost
from .notifier import Notifier

MAX_REORDERED_TOKENS = 64
MAX_UNREAD_TOKENS = 512
# Four times the target of 910 ms.
FIRST_TOKEN_TIMEOUT_MS = 4 * 910
# 30 times the target of 68 ms between two tokens.
NEXT_TOKEN_TIMEOUT_MS = 30 * 68
PREFILL_MS_PER_TOKEN = 0.5
MIN_TIMEOUT_MS = 250

__all__ = ["AnswerBuffer", "TokenOrder", "first_token_timeout_s", "next_token_timeout_s"]


class TokenOrder:
    """Puts the tokens of one attempt in order and drops those that the caller already has.

    Args:
        next_index: Index of the first token that the caller does not have.
        end_index: Index after the last token that was requested.
    """

    def __init__(self, next_index: int, end_index: int) -> None:
        self._next_index = next_index
        self._end_index = end_index
        self._early: dict[int, Token] = {}

    @property
    def has_gap(self) -> bool:
        """Whether tokens arrived that follow a missing one."""
        return bool(self._early)

    def accept(self, token: Token) -> list[Token]:
        """Adds a token and returns the tokens that can be delivered now, in order.

        Raises:
            ServerLost: If too many tokens wait for a missing one.
        """
        if not self._next_index <= token.token_index < self._end_index:
            return []
        self._early.setdefault(token.token_index, token)
        ready = []
        while self._next_index in self._early:
            ready.append(self._early.pop(self._next_index))
            self._next_index += 1
        if len(self._early) > MAX_REORDERED_TOKENS:
            raise ServerLost(f"token {self._next_index} is missing")
        return ready


class AnswerBuffer:
    """Buffer of bounded size between the task that reads a backend server and the caller.

    Args:
        max_tokens: Unread tokens at which the buffer is full.
    """

    def __init__(self, max_tokens: int = MAX_UNREAD_TOKENS) -> None:
        self._max_tokens = max_tokens
        self._tokens: deque[Token] = deque()
        self._changed = Notifier()
        self._is_closed = False
        self._error: BriarvaleError | None = None

    @property
    def unread(self) -> int:
        """Tokens that the caller has not read yet."""
        return len(self._tokens)

    @property
    def is_full(self) -> bool:
        """Whether the caller is so far behind that generation should pause."""
        return len(self._tokens) >= self._max_tokens

    def put(self, token: Token) -> None:
        """Adds a token; never blocks."""
        self._tokens.append(token)
        self._notify()

    def close(self, error: BriarvaleError | None = None) -> None:
        """Ends the answer; the caller gets the error, if any, after the tokens."""
        self._is_closed = True
        self._error = error
        self._notify()

    async def wait_half_read(self) -> None:
        """Waits until at most half of the buffer is unread."""
        while len(self._tokens) > self._max_tokens // 2:
            await self._changed.wait()

    async def read(self) -> AsyncIterator[Token]:
        """Yields tokens as they arrive, then raises the error that ended the answer, if any."""
        while True:
            while self._tokens:
                token = self._tokens.popleft()
                self._notify()
                yield token
            if self._is_closed:
                break
            await self._changed.wait()
        if self._error is not None:
            raise self._error

    def _notify(self) -> None:
        self._changed.notify()


def first_token_timeout_s(prompt_tokens: int, remaining_ms: float) -> float:
    """Returns the timeout for the first token of a backend server.

    It is four times the target plus the prefill time of the prompt, but at most half of the time
    until the deadline, so that another server can still answer in time.
    """
    wanted_ms = FIRST_TOKEN_TIMEOUT_MS + prompt_tokens * PREFILL_MS_PER_TOKEN
    return max(MIN_TIMEOUT_MS, min(wanted_ms, remaining_ms / 2)) / MS_PER_S


def next_token_timeout_s(remaining_ms: float) -> float:
    """Returns the timeout between two tokens of a backend server."""
    return max(MIN_TIMEOUT_MS, min(NEXT_TOKEN_TIMEOUT_MS, remaining_ms / 2)) / MS_PER_S
