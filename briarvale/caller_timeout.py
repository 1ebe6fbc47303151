"""The time that a caller waits for an answer, or for the next event of a stream."""

from .forward_request import ForwardRequest
from .routes import StreamRoute

# Estimate of the caller's own timeout on a stream that sends nothing.
MIN_TIMEOUT_MS = 2_000
TIMEOUT_TARGETS = 4
TIMEOUT_GAPS = 8

__all__ = ["slot_wait_deadline_ms"]


def slot_wait_deadline_ms(request: ForwardRequest, now_ms: int, has_events: bool) -> int:
    """Returns when the caller times out, after which a slot would be of no use."""
    match request.route.kind:
        case StreamRoute(gap_target_ms=gap_ms):
            timeout_ms = max(
                MIN_TIMEOUT_MS,
                TIMEOUT_TARGETS * request.route.target_latency_ms,
                TIMEOUT_GAPS * gap_ms,
            )
            since_ms = now_ms if has_events else request.received_at_ms
            return min(request.answer_by_ms, since_ms + timeout_ms)
        case _:
            return request.answer_by_ms
