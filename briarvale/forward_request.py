"""An opaque request: its bytes, which are forwarded unchanged, and the data to route it by."""

from typing import NamedTuple, Protocol

from .http_wire import AnswerHead, Headers
from .routes import Route

__all__ = ["AnswerMetadata", "BackendHeaderCodec", "ForwardRequest", "PromptPart"]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share and an engine may have cached."""

    id: str
    token_count: int


class ForwardRequest(NamedTuple):
    """One attempt to have a caller's request, or an item of a job, answered.

    Attributes:
        request_id: Unique to each attempt.
        headers: The end-to-end headers that the caller sent.
        deadline_at_ms: When the caller stops waiting.
        fingerprint: Equal for all attempts with the same content.
        prompt_tokens: Length of the prompt; 0 if it isn't stated.
        output_tokens: Expected length of the answer; 0 if it isn't stated.
        resume_after: Id of the last event that the caller received; none for a new stream.
        workspace: Name of the workspace that sent the request; empty for none.
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
    workspace: str = ""

    @property
    def answer_by_ms(self) -> int:
        """When the answer must be complete: the caller's deadline or the route's timeout."""
        return min(self.deadline_at_ms, self.received_at_ms + self.route.timeout_ms)


class AnswerMetadata(NamedTuple):
    """Metadata in the head of a backend server's answer.

    Attributes:
        request_id: Id of the answered request; empty if it isn't stated.
        was_not_run: Whether the server states that it didn't run the request.
        signature: The backend server's signature, unique to a run; empty if there is none.
        is_closing: Whether the server closes the connection after the answer.
        is_draining: Whether the server is draining and accepts no later request.
        keep_alive_s: How long the server keeps an idle connection open; none if it isn't stated.
    """

    request_id: str
    was_not_run: bool
    signature: str
    is_closing: bool
    is_draining: bool
    keep_alive_s: float | None

    @property
    def is_signed(self) -> bool:
        """Whether a backend server signed the answer."""
        return self.signature != ""


class BackendHeaderCodec(Protocol):
    """Encodes and decodes the headers between a node and backend servers."""

    def backend_headers(
        self, request: ForwardRequest, server_id: str, remaining_ms: int, resume_after: int | None
    ) -> Headers:
        """Returns the headers of an attempt at one backend server, with the time that remains."""

    def answer_metadata(self, head: AnswerHead) -> AnswerMetadata:
        """Reads the metadata from the head of an answer."""
