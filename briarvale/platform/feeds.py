"""Applies changes of the operators' and backend servers' store objects to a node's state."""

from .. import logs
from ..active_routes import ActiveRoutes
from ..errors import SettingsInvalid
from ..live_servers import LiveServers
from ..object_feed import FeedChange, FeedObject
from .config_document import route_table_from
from .store_objects import CONFIG_NAME, server_from

log = logs.component_logger("config")

__all__ = ["ConfigFeed", "ServerFeed"]


class ConfigFeed:
    """A `FeedHandler` that puts each version of the operators' configuration in force.

    Args:
        routes: Updated with each version.
    """

    def __init__(self, routes: ActiveRoutes) -> None:
        self._routes = routes

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Applies a full list of the objects."""
        for config in objects:
            self._apply(config)

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change; the routes stay in force if the configuration is deleted."""
        if not change.is_deleted:
            self._apply(change.object)

    def _apply(self, config: FeedObject) -> None:
        if config.name != CONFIG_NAME:
            return
        try:
            table = self._routes.table
            previous = table.workspaces if table is not None else None
            self._routes.update(route_table_from(config.value, previous), "store")
        except SettingsInvalid as error:
            log.error("Rejected the configuration: {}.", error, revision=config.revision)


class ServerFeed:
    """A `FeedHandler` that keeps the live servers current with the backend servers' entries.

    Args:
        servers: Updated with each entry.
    """

    def __init__(self, servers: LiveServers) -> None:
        self._servers = servers

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Applies a full list of the objects."""
        decoded = (server_from(entry.name, entry.value) for entry in objects)
        valid = [server for server in decoded if server is not None]
        self._servers.replace_all(valid, after_outage=after_outage)

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change; an entry that became invalid removes its server."""
        entry = change.object
        server = None if change.is_deleted else server_from(entry.name, entry.value)
        if server is None:
            self._servers.remove(entry.name)
        else:
            self._servers.put(server)
