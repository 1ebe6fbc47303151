"""Estimates how long a caller waits for an answer, or for the next event of a stream."""

from .forward_request import ForwardRequest
from .routes import StreamRoute

# A caller is assumed to time out on a silent stream after the longest of: this minimum, this
# multiple of the target latency, this multiple of the gap target.
MIN_TIMEOUT_MS = 2_000
TARGET_LATENCY_FACTOR = 4
GAP_TARGET_FACTOR = 8

__all__ = ["slot_wait_deadline_ms"]


def slot_wait_deadline_ms(request: ForwardRequest, now_ms: int, has_events: bool) -> int:
    """Returns when the caller times out, after which a slot would be of no use."""
    match request.route.kind:
        case StreamRoute(gap_target_ms=gap_ms):
            timeout_ms = max(
                MIN_TIMEOUT_MS,
                TARGET_LATENCY_FACTOR * request.route.target_latency_ms,
                GAP_TARGET_FACTOR * gap_ms,
            )
            since_ms = now_ms if has_events else request.received_at_ms
            return min(request.answer_by_ms, since_ms + timeout_ms)
        case _:
            return request.answer_by_ms
