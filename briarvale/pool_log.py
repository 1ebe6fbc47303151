"""The log lines on the state of a pool and on refused requests."""

from . import logs, metrics
from ._generated.messages import SlotRefusal, SlotRequest

LOG_INTERVAL_MS = 1_000

log = logs.component_logger("pool")

__all__ = ["PoolLog"]


class PoolLog:
    """Logs and counts what a pool decides.

    Args:
        pool: Name of the pool.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._next_at_ms = 0

    def write(self, now_ms: int, *, held: int, limit: int, queued: int, **counts: int) -> None:
        """Logs held slots and waiting requests once a second, unless there are neither.

        Further counts are fields of the line.
        """
        if now_ms < self._next_at_ms or not (held or queued):
            return
        self._next_at_ms = now_ms + LOG_INTERVAL_MS
        log.info("{} of {} slots are granted.", held, limit, pool=self._pool, **counts)

    def write_refusal(self, request: SlotRequest, refusal: SlotRefusal) -> None:
        """Logs and counts a refused request."""
        metrics.SLOT_REFUSALS.inc({"code": refusal.code, "work_class": request.work_class.value})
        log.info(
            "Refused a slot.",
            request_id=request.request_id,
            pool=self._pool,
            workspace=request.member,
            priority=request.priority,
            code=refusal.code,
            retry_at_ms=refusal.retry_at_ms,
            held=refusal.held,
            queued=refusal.queued,
            limit=refusal.limit,
        )
