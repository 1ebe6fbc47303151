"""Which version of the routes is in force here; a process never goes back to an older one."""

from . import logs, metrics
from .notifier import Notifier
from .routes import RouteTable

log = logs.part("config")

__all__ = ["RoutesInForce"]


class RoutesInForce:
    """The newest routes that this process has seen."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.changed = Notifier()

    def offer(self, table: RouteTable, source: str) -> None:
        """Takes a version if it is newer."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        metrics.CONFIG_REVISION.set({}, table.version)
        log.info(
            "Configuration {} is in force.",
            table.version,
            config_version=table.version,
            routes=len(table),
            source=source,
        )
        self.changed.notify()
