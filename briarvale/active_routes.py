"""The route table in use; a process never goes back to an older version."""

from . import logs, metrics
from .notifier import Notifier
from .routes import RouteTable

log = logs.component_logger("config")

__all__ = ["ActiveRoutes"]


class ActiveRoutes:
    """The newest route table that this process has received."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.changed = Notifier()

    def capacity_tokens(self, service: str) -> int:
        """Returns how many tokens one server of a service holds; 0 if that isn't known."""
        return 0 if self.table is None else self.table.capacity_tokens(service)

    def update(self, table: RouteTable, source: str) -> None:
        """Replaces the table if the given one is newer."""
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
