"""Chooses backend servers from this node's own data while their slots' owner is unreachable."""

import random
from collections.abc import Collection

from ._generated.messages import Outcome
from .errors import NoServer, Overloaded
from .live_servers import LiveServer, LiveServers
from .run_monitor import RunMonitor

# Retry delay sent to callers; by then there is usually an owner again.
RETRY_DELAY_MS = 1_000

__all__ = ["LocalBalancer"]


class LocalBalancer:
    """Balances this node's requests by the runs that it has on each server and their outcomes.

    Args:
        servers: The backend servers that have an entry in the store.
    """

    def __init__(self, servers: LiveServers) -> None:
        self._servers = servers
        self._running: dict[str, int] = {}
        self._monitors: dict[tuple[str, int], RunMonitor] = {}

    def record_start(self, server: LiveServer) -> None:
        """Counts a run that starts at the server."""
        self._running[server.id] = self._running.get(server.id, 0) + 1

    def record_end(self, server: LiveServer, outcome: Outcome, now_ms: int) -> None:
        """Removes a run that ended from the count; its outcome may eject the server."""
        self._running[server.id] -= 1
        monitor = self._monitors.setdefault(server.incarnation, RunMonitor())
        if monitor.record_outcome(outcome, now_ms):
            monitor.eject(now_ms)
        if len(self._monitors) > 2 * len(self._servers):
            self._drop_removed_servers()

    def choose(self, service: str, excluded: Collection[str], now_ms: int) -> LiveServer:
        """Returns the healthy server with the fewest runs of this node per slot.

        Excluded servers are chosen only if no other is ready, unhealthy ones only if no other has a
        free slot.

        Raises:
            NoServer: If no server of the service accepts new work.
            Overloaded: If this node's own runs fill all slots of the servers that may be used.
        """
        ready = self._servers.ready(service)
        if not ready:
            retry_at_ms = now_ms + RETRY_DELAY_MS
            raise NoServer(f"no server of {service} is ready", retry_at_ms=retry_at_ms)
        preferred = [server for server in ready if server.id not in excluded]
        free = [s for s in preferred or ready if self._running.get(s.id, 0) < s.slots]
        if not free:
            raise Overloaded(
                "all slots are in use by this node's requests",
                retry_at_ms=now_ms + RETRY_DELAY_MS,
            )
        healthy = [server for server in free if self._is_healthy(server, now_ms)]
        return min(healthy or free, key=self._load)

    def _is_healthy(self, server: LiveServer, now_ms: int) -> bool:
        monitor = self._monitors.get(server.incarnation)
        return monitor is None or not (monitor.is_avoided(now_ms) or monitor.is_ejected(now_ms))

    def _load(self, server: LiveServer) -> tuple[float, float]:
        return self._running.get(server.id, 0) / server.slots, random.random()

    def _drop_removed_servers(self) -> None:
        incarnations = {server.incarnation for server in self._servers}
        self._monitors = {key: self._monitors[key] for key in self._monitors.keys() & incarnations}
