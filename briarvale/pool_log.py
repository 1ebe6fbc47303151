"""The log line on the state of a pool."""

from . import logs

LOG_INTERVAL_MS = 1_000

log = logs.component_logger("pool")

__all__ = ["PoolLog"]


class PoolLog:
    """Logs held slots and waiting requests once a second, unless there are neither.

    Args:
        pool: Name of the pool.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._next_at_ms = 0

    def write(self, now_ms: int, *, held: int, limit: int, queued: int, **counts: int) -> None:
        """Writes the line, if it is due, with further counts as fields."""
        if now_ms < self._next_at_ms or not (held or queued):
            return
        self._next_at_ms = now_ms + LOG_INTERVAL_MS
        log.info("{} of {} slots are granted.", held, limit, pool=self._pool, **counts)
