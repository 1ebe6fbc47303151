"""One online request and the state of its answer over all attempts."""

from typing import NamedTuple

import anyio
from opentelemetry.trace import Span

from ._generated.messages import SlotRequest, WorkClass
from .clock import MS_PER_S
from .config import Config
from .engine_client import Completion
from .prefix_cache import prefix_blocks
from .routing import Choice
from .slot_client import HeldSlot
from .streams import AnswerBuffer

__all__ = ["OnlineAnswer", "OnlineRequest", "describe_attempt", "record_token_interval"]


class OnlineRequest(NamedTuple):
    """One completion that a caller waits for."""

    request_id: str
    member: str
    service: str
    prompt: str
    max_tokens: int
    deadline_ms: int
    adapter: str = ""
    fingerprint: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Estimate of the prompt's length."""
        return len(self.prompt.split())


class OnlineAnswer:
    """The state of one request over all its attempts.

    Attributes:
        tokens: Texts of the tokens that were delivered to the buffer.
        blocks: Prefix blocks of the prompt.
        failed_servers: Servers of failed attempts, the latest one last.
        was_sent: Whether an attempt may have reached a backend server.
        is_suspect: Whether the current attempt runs on probation.
        attempt_scope: Cancels the current attempt alone.
        scope: Cancels the whole request.
    """

    def __init__(self, request: OnlineRequest, started_at_ms: int) -> None:
        self.request = request
        self.started_at_ms = started_at_ms
        self.tokens: list[str] = []
        self.blocks = prefix_blocks(request.prompt)
        self.buffer = AnswerBuffer()
        self.failed_servers: list[str] = []
        self.attempts = 0
        self.was_sent = False
        self.sent_at_ms = 0
        self.is_suspect = False
        self.attempt_scope = anyio.CancelScope()
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    @property
    def attempt_id(self) -> str:
        """Id of the current attempt, so that a late cancel can't affect the next one."""
        request_id = self.request.request_id
        return request_id if self.attempts == 1 else f"{request_id}.{self.attempts}"

    def completion(self, config: Config) -> Completion:
        """Returns the completion that the current attempt requests from an engine."""
        request = self.request
        return Completion(
            request_id=self.attempt_id,
            model=config.services[request.service].model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            adapter=request.adapter,
            resume_tokens=tuple(self.tokens),
        )

    def slot_request(self, backend_server: str, cached_tokens: int) -> SlotRequest:
        """Returns the request of the current attempt for a slot from the server's owner.

        Args:
            backend_server: The backend server to run at.
            cached_tokens: Prompt tokens that the engine probably has cached and need no prefill.
        """
        request = self.request
        prefill_tokens = request.prompt_tokens + len(self.tokens) - cached_tokens
        return SlotRequest(
            request_id=self.attempt_id,
            backend_server=backend_server,
            member=request.member,
            work_class=WorkClass.ONLINE,
            slot_count=1,
            cost_tokens=request.prompt_tokens + request.max_tokens,
            prompt_tokens=max(1, prefill_tokens),
            deadline_ms=request.deadline_ms,
            fingerprint=request.fingerprint,
            is_suspect=self.is_suspect,
        )


def describe_attempt(span: Span, answer: OnlineAnswer, choice: Choice) -> None:
    """Records in the span which backend server was chosen, and why."""
    span.set_attribute("briarvale.request_id", answer.request.request_id)
    span.set_attribute("briarvale.attempt", answer.attempts)
    span.set_attribute("briarvale.backend_server", choice.server.id)
    span.set_attribute("briarvale.candidates", list(choice.candidates))
    span.set_attribute("briarvale.reason", choice.reason)


def record_token_interval(slot: HeldSlot, first_token_at_s: float) -> None:
    """Records in the slot the mean time between the tokens of a stream."""
    if slot.tokens > 1:
        elapsed_ms = (anyio.current_time() - first_token_at_s) * MS_PER_S
        slot.time_between_tokens_ms = round(elapsed_ms / (slot.tokens - 1))
