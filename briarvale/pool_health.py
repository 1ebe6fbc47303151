"""Which servers of a pool do worse than the others, by the requests that ran on them."""

from collections.abc import Mapping
from statistics import median

from . import logs
from ._generated.messages import Outcome
from .outliers import ejectable_count
from .pool_server import PoolServer

# A run that lasts so many times as long as usual is taken to be lost; its caller mostly knows only
# when its patience ends.
OVERDUE_FACTOR = 2.5
# Shorter runs end before others could be sent elsewhere.
MIN_OVERDUE_MS = 300

log = logs.part("pool")

__all__ = ["PoolHealth"]


class PoolHealth:
    """Judges the servers of one pool against each other.

    Args:
        servers: The pool's servers by id, as the pool keeps them.
    """

    def __init__(self, servers: Mapping[str, PoolServer]) -> None:
        self._servers = servers

    def record_outcome(self, server: PoolServer, outcome: Outcome, now_ms: int) -> None:
        """Takes how a run ended; a server that fails most of its runs is ejected for a while."""
        if not server.record.record_outcome(outcome, now_ms) or not self._may_eject(server, now_ms):
            return
        until_ms = server.record.eject(now_ms)
        log.info(
            "Grants nothing on a server that fails.",
            backend_server=server.server.id,
            for_ms=until_ms - now_ms,
        )

    def compare_durations(self, now_ms: int) -> None:
        """Finds the servers whose runs take longer than those of most, or don't end."""
        means = (server.record.mean_ms(now_ms) for server in self._servers.values())
        known = [mean_ms for mean_ms in means if mean_ms is not None]
        usual_ms = median(known) if known else 0.0
        if known:
            self._record_overdue(now_ms - max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usual_ms), now_ms)
        for server in self._servers.values():
            was_slow = server.slowness > 1
            server.update_slowness(usual_ms, now_ms)
            if was_slow != (server.slowness > 1):
                self._log_pace(server, usual_ms, now_ms)

    def _record_overdue(self, granted_by_ms: float, now_ms: int) -> None:
        """Counts runs that should have ended long ago as failures, before their callers leave."""
        for server in self._servers.values():
            overdue = server.grants.mark_overdue(granted_by_ms)
            for _ in range(overdue):
                self.record_outcome(server, Outcome.FAILED, now_ms)
            if overdue:
                log.info(
                    "Runs on a server should have ended.",
                    backend_server=server.server.id,
                    overdue=overdue,
                    granted_before_ms=round(now_ms - granted_by_ms),
                )

    def _log_pace(self, server: PoolServer, usual_ms: float, now_ms: int) -> None:
        pace = "long" if server.slowness > 1 else "as long as elsewhere"
        log.info(
            "Runs on a server take {}.",
            pace,
            backend_server=server.server.id,
            mean_ms=round(server.record.mean_ms(now_ms) or 0),
            usual_ms=round(usual_ms),
        )

    def _may_eject(self, server: PoolServer, now_ms: int) -> bool:
        """Whether enough servers would be left: a fault that all share is no reason to eject."""
        others = [one for one in self._servers.values() if one.is_ready and one is not server]
        out = sum(one.record.is_ejected(now_ms) or one.record.is_on_trial for one in others)
        return out < ejectable_count(len(others) + 1)
