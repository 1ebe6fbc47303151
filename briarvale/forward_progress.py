"""State of a forwarded request over all of its runs, and whether it may run again."""

import math
from typing import Protocol

from .crash_guard import WatchedRun
from .event_stream import EventCursor
from .forward_request import ForwardRequest
from .http_wire import AnswerHead, Headers
from .routes import IdempotentRoute, StreamRoute

# A resumable stream times out after a pause of this many times its gap target.
STALL_GAP_FACTOR = 2

__all__ = [
    "AnswerSink",
    "ForwardProgress",
    "is_repeatable",
    "may_run_again",
    "pause_limit_ms",
]


class AnswerSink(Protocol):
    """Receives an answer: the caller's connection."""

    @property
    def has_started(self) -> bool:
        """Whether the head of an answer was sent."""

    async def hold(self, size_bytes: int) -> None:
        """Counts bytes that are held until the next write; raises `IngressExhausted`."""

    async def start(self, head: AnswerHead) -> None:
        """Sends the head."""

    async def send(self, data: bytes) -> None:
        """Sends bytes of the body."""

    async def finish(self) -> None:
        """Ends the answer as complete."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer."""


class ForwardProgress:
    """State over all attempts to have a request answered.

    Attributes:
        refusals: Attempts that did not run.
        excluded: The servers of the latest attempts.
        run: The current or latest run; none before the first.
    """

    def __init__(self, request: ForwardRequest) -> None:
        self.failed_runs = 0
        self.refusals = 0
        self.excluded: list[str] = []
        self.cursor = EventCursor(request.resume_after)
        self.event_count = 0
        self.may_have_run = False
        self.run: WatchedRun | None = None

    @property
    def has_events(self) -> bool:
        """Whether any run has received an event."""
        return self.event_count > 0

    def record_events(self, count: int) -> None:
        """Records new events of the current run."""
        self.event_count += count
        if self.run is not None:
            self.run.record_events(count)


def has_attempts_left(request: ForwardRequest, progress: ForwardProgress) -> bool:
    """Whether the route allows another run after the current one."""
    return progress.failed_runs + 1 < request.route.max_attempts


def pause_limit_ms(request: ForwardRequest, progress: ForwardProgress) -> float:
    """Returns the pause after which a stream is resumed elsewhere; infinite if it may not be."""
    match request.route.kind:
        case StreamRoute(is_resumable=True, gap_target_ms=gap_ms) if gap_ms > 0:
            return STALL_GAP_FACTOR * gap_ms if has_attempts_left(request, progress) else math.inf
        case _:
            return math.inf


def is_repeatable(request: ForwardRequest, sink: AnswerSink, progress: ForwardProgress) -> bool:
    """Whether a request whose run was lost may run again."""
    match request.route.kind:
        case IdempotentRoute():
            return not sink.has_started
        case StreamRoute(is_resumable=True):
            return progress.has_events or not sink.has_started
        case _:
            return False


def may_run_again(request: ForwardRequest, sink: AnswerSink, progress: ForwardProgress) -> bool:
    """Whether another run may follow if the current one yields no answer."""
    return has_attempts_left(request, progress) and is_repeatable(request, sink, progress)
