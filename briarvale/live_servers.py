"""The backend servers registered in the store; each start of a server is an incarnation."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from . import logs
from .notifier import Notifier
from .peer import PeerAddress

# Only the latest draining incarnations are kept; most of the older ones have ended by then.
MAX_DRAINING_INCARNATIONS = 1_024

log = logs.component_logger("servers")

__all__ = ["LiveServer", "LiveServers"]


class LiveServer(NamedTuple):
    """One start of a backend server.

    Attributes:
        started_at_ms: Unix time of its start; distinguishes two starts under one id.
        is_draining: Whether it accepts no new work.
    """

    id: str
    service: str
    address: PeerAddress
    availability_zone: str
    slots: int
    is_draining: bool = False
    started_at_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies this start among all starts of all servers."""
        return self.id, self.started_at_ms


class LiveServers:
    """The backend servers that have an entry in the store.

    While the store is unavailable, entries may expire although their servers run. So an entry that
    is missing from the first list after an outage is kept for a grace period.

    An incarnation that announced in an answer that it is draining stays draining, whatever its
    entry says later.

    Args:
        now_ms: Returns the current Unix time in milliseconds.
        grace_ms: How long an entry that is missing after an outage is kept.
    """

    def __init__(self, now_ms: Callable[[], int], grace_ms: int) -> None:
        self._now_ms = now_ms
        self._grace_ms = grace_ms
        self._servers: dict[str, LiveServer] = {}
        self._missing_until_ms: dict[str, int] = {}
        self._draining_incarnations: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.is_loaded = False
        self.changed = Notifier()

    def __len__(self) -> int:
        return len(self._servers)

    def __iter__(self) -> Iterator[LiveServer]:
        return iter(list(self._servers.values()))

    def get(self, server_id: str) -> LiveServer | None:
        """Returns a backend server by id."""
        return self._servers.get(server_id)

    def ready(self, service: str) -> list[LiveServer]:
        """Returns the servers of a service that accept new work."""
        return [s for s in self._servers.values() if s.service == service and not s.is_draining]

    def is_draining(self, server: LiveServer) -> bool:
        """Whether this incarnation is draining, by its entry or by one of its answers."""
        if server.incarnation in self._draining_incarnations:
            return True
        current = self._servers.get(server.id)
        is_same_start = current is not None and current.incarnation == server.incarnation
        return current.is_draining if current is not None and is_same_start else server.is_draining

    def services(self) -> set[str]:
        """Returns the services that have a backend server."""
        return {server.service for server in self._servers.values()}

    def replace_all(self, servers: Iterable[LiveServer], *, after_outage: bool) -> None:
        """Replaces all entries by a full list; after an outage, missing ones get a grace period."""
        listed = {server.id: server for server in servers}
        until_ms = self._now_ms() + self._grace_ms
        for server_id in self._servers.keys() - listed.keys():
            if after_outage:
                self._missing_until_ms.setdefault(server_id, until_ms)
            else:
                self._drop(server_id, "not listed")
        for server in listed.values():
            self._put(server)
        self.is_loaded = True
        self.changed.notify()

    def put(self, server: LiveServer) -> None:
        """Adds or replaces one entry."""
        self._put(server)
        self.changed.notify()

    def record_draining(self, server: LiveServer) -> None:
        """Records that an answer of this incarnation announced that it is draining."""
        if server.incarnation in self._draining_incarnations:
            return
        self._draining_incarnations[server.incarnation] = None
        while len(self._draining_incarnations) > MAX_DRAINING_INCARNATIONS:
            self._draining_incarnations.popitem(last=False)
        log.info(
            "Server {} is draining.",
            server.id,
            backend_server=server.id,
            service=server.service,
            started_at_ms=server.started_at_ms,
            reason="its answer says so",
        )
        current = self._servers.get(server.id)
        if current is not None and current.incarnation == server.incarnation:
            self._servers[server.id] = current._replace(is_draining=True)
            self.changed.notify()

    def remove(self, server_id: str) -> None:
        """Removes an entry that was deleted from the store."""
        if server_id not in self._servers:
            return
        self._drop(server_id, "entry removed")
        self.changed.notify()

    def expire(self) -> None:
        """Drops servers whose entries are still missing after the grace period."""
        now_ms = self._now_ms()
        expired = [key for key, until_ms in self._missing_until_ms.items() if until_ms <= now_ms]
        for server_id in expired:
            self._drop(server_id, "entry still missing after the grace period")
        if expired:
            self.changed.notify()

    def _put(self, server: LiveServer) -> None:
        self._missing_until_ms.pop(server.id, None)
        if server.incarnation in self._draining_incarnations:
            server = server._replace(is_draining=True)
        current = self._servers.get(server.id)
        if current == server:
            return
        self._servers[server.id] = server
        log.info(
            "Server {} is {}.",
            server.id,
            "draining" if server.is_draining else "ready",
            backend_server=server.id,
            service=server.service,
            started_at_ms=server.started_at_ms,
            is_draining=server.is_draining,
            reason="its entry says so",
        )

    def _drop(self, server_id: str, reason: str) -> None:
        self._missing_until_ms.pop(server_id, None)
        if self._servers.pop(server_id, None) is not None:
            log.info("Server {} is gone.", server_id, backend_server=server_id, reason=reason)
