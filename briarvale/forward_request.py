"""An opaque request: what a node forwards byte for byte, and what it decides by."""

from typing import NamedTuple, Protocol

from .http_wire import AnswerHead, Headers
from .routes import Route

__all__ = ["AnswerMetadata", "EngineDialect", "ForwardRequest", "PromptPart"]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    id: str
    token_count: int


class ForwardRequest(NamedTuple):
    """One attempt of a caller.

    Attributes:
        request_id: New for each attempt of the caller.
        headers: As the caller sent them, without those of the connection.
        deadline_at_ms: When the caller stops waiting.
        fingerprint: The same for each attempt with the same content.
        resume_after: Id of the last event that the caller has; none at the start.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    service: str
    deadline_at_ms: int
    received_at_ms: int
    fingerprint: str = ""
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: int | None = None

    @property
    def answer_by_ms(self) -> int:
        """When the caller must have its answer: its deadline or the route's time-out."""
        return min(self.deadline_at_ms, self.received_at_ms + self.route.timeout_ms)


class AnswerMetadata(NamedTuple):
    """What the head of a backend server's answer states besides its status.

    Attributes:
        request_id: The request that it answers; empty if it doesn't say.
        was_not_run: Whether the server states that it didn't run the request.
        is_signed: Whether a backend server signed the answer.
        is_closing: Whether the connection carries no further request.
        is_draining: Whether the server leaves and takes no later request.
        keep_alive_s: How long the server keeps an idle connection; none if it doesn't say.
    """

    request_id: str
    was_not_run: bool
    is_signed: bool
    is_closing: bool
    is_draining: bool
    keep_alive_s: float | None


class EngineDialect(Protocol):
    """How requests and answers name things on the wire."""

    def engine_headers(
        self, request: ForwardRequest, server_id: str, remaining_ms: int, resume_after: int | None
    ) -> Headers:
        """Returns the headers of an attempt at one backend server."""

    def answer_metadata(self, head: AnswerHead) -> AnswerMetadata:
        """Reads the metadata from the head of an answer."""
