"""Outlier detection among the servers of a pool, by the outcomes and durations of their runs."""

from collections.abc import Mapping
from statistics import median

from . import logs
from ._generated.messages import Outcome
from .outliers import ejectable_count
from .pool_server import PoolServer

# A run that takes this many times as long as usual counts as failed. Without this, most hung runs
# would be noticed only at their callers' timeouts.
OVERDUE_FACTOR = 2.5
# Minimum age of an overdue run. Where runs are shorter than this, detection would come too late to
# send further requests elsewhere.
MIN_OVERDUE_MS = 300
# A slow server's runs are compared with its own usual time up to this multiple of the pool's, so
# that a server whose runs hang is found however slow it is.
MAX_OWN_FACTOR = 2.0

log = logs.component_logger("pool")

__all__ = ["PoolHealth"]


class PoolHealth:
    """Compares the servers of one pool with each other.

    Args:
        servers: The pool's servers by id; the pool itself updates this mapping.
    """

    def __init__(self, servers: Mapping[str, PoolServer]) -> None:
        self._servers = servers

    def record_outcome(self, server: PoolServer, outcome: Outcome, now_ms: int) -> None:
        """Records how a run ended; ejects a server for a while if most of its runs fail."""
        if not server.monitor.record_outcome(outcome, now_ms) or not self._may_eject(
            server, now_ms
        ):
            return
        until_ms = server.monitor.eject(now_ms)
        log.info(
            "Ejected a server whose runs fail.",
            backend_server=server.live_server.id,
            for_ms=until_ms - now_ms,
        )

    def compare_durations(self, now_ms: int) -> None:
        """Finds the servers whose runs take longer than usual or don't end."""
        means_ms = (server.monitor.mean_ms(now_ms) for server in self._servers.values())
        known_means_ms = [mean_ms for mean_ms in means_ms if mean_ms is not None]
        usual_ms = median(known_means_ms) if known_means_ms else 0.0
        if known_means_ms:
            self._record_overdue(usual_ms, now_ms)
        for server in self._servers.values():
            was_slow = server.slowness > 1
            server.update_slowness(usual_ms, now_ms)
            if was_slow != (server.slowness > 1):
                self._log_slowness(server, usual_ms, now_ms)

    def _record_overdue(self, usual_ms: float, now_ms: int) -> None:
        """Counts overdue runs as failures, before their callers time out."""
        for server in self._servers.values():
            own_factor = min(MAX_OWN_FACTOR, max(1.0, server.speed.step_factor))
            overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usual_ms * own_factor)
            granted_by_ms = now_ms - overdue_ms
            overdue = server.grants.mark_overdue(granted_by_ms)
            for _ in range(overdue):
                self.record_outcome(server, Outcome.FAILED, now_ms)
            if overdue:
                log.info(
                    "Runs on a server are overdue.",
                    backend_server=server.live_server.id,
                    overdue=overdue,
                    granted_before_ms=round(now_ms - granted_by_ms),
                )

    def _log_slowness(self, server: PoolServer, usual_ms: float, now_ms: int) -> None:
        duration = "long" if server.slowness > 1 else "as long as elsewhere"
        log.info(
            "Runs on a server take {}.",
            duration,
            backend_server=server.live_server.id,
            mean_ms=round(server.monitor.mean_ms(now_ms) or 0),
            usual_ms=round(usual_ms),
        )

    def _may_eject(self, server: PoolServer, now_ms: int) -> bool:
        """Whether enough servers would remain; a fault that all share must not eject them all."""
        others = [s for s in self._servers.values() if s.is_ready and s is not server]
        unavailable = sum(
            other.monitor.is_ejected(now_ms) or other.monitor.is_on_trial for other in others
        )
        return unavailable < ejectable_count(len(others) + 1)
