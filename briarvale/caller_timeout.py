"""How long a caller waits for an answer, or for the next event of a stream."""

from .forward_request import ForwardRequest
from .routes import StreamRoute

# A caller's own patience with a stream that sends nothing.
MIN_PATIENCE_MS = 2_000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8

__all__ = ["slot_wait_deadline_ms"]


def slot_wait_deadline_ms(request: ForwardRequest, now_ms: int, has_events: bool) -> int:
    """Returns until when a slot is worth waiting for: the caller's own patience."""
    match request.route.kind:
        case StreamRoute(gap_target_ms=gap_ms):
            patience_ms = max(
                MIN_PATIENCE_MS,
                PATIENCE_TARGETS * request.route.target_latency_ms,
                PATIENCE_GAPS * gap_ms,
            )
            since_ms = now_ms if has_events else request.received_at_ms
            return min(request.answer_by_ms, since_ms + patience_ms)
        case _:
            return request.answer_by_ms
