"""Brings what operators and backend servers write to the store into the product's state."""

from .. import logs
from ..active_routes import ActiveRoutes
from ..errors import SettingsInvalid
from ..live_servers import LiveServers
from ..object_feed import FeedChange, FeedObject
from .documents import CONFIG_NAME, route_table_from, server_from

log = logs.part("config")

__all__ = ["ConfigFeed", "ServerFeed"]


class ConfigFeed:
    """Follows the operators' configuration.

    Args:
        routes: Gets each version.
    """

    def __init__(self, routes: ActiveRoutes) -> None:
        self._routes = routes

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes the list."""
        for row in objects:
            self._take(row)

    def apply_change(self, change: FeedChange) -> None:
        """Takes one change."""
        if not change.is_deleted:
            self._take(change.object)

    def _take(self, row: FeedObject) -> None:
        if row.name != CONFIG_NAME:
            return
        try:
            self._routes.update(route_table_from(row.value), "store")
        except SettingsInvalid as error:
            log.error("Can't use the configuration: {}.", error, revision=row.revision)


class ServerFeed:
    """Follows the entries of backend servers.

    Args:
        servers: Gets each entry.
    """

    def __init__(self, servers: LiveServers) -> None:
        self._servers = servers

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes the list."""
        decoded = (server_from(row.name, row.value) for row in objects)
        found = [server for server in decoded if server is not None]
        self._servers.replace_all(found, after_outage=after_outage)

    def apply_change(self, change: FeedChange) -> None:
        """Takes one change; an entry that can't be read names no server."""
        row = change.object
        server = None if change.is_deleted else server_from(row.name, row.value)
        if server is None:
            self._servers.remove(row.name)
        else:
            self._servers.put(server)
