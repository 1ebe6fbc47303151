"""The health of backend servers: what their owners observe and what other owners tell."""

from collections.abc import Callable, Iterable

import anyio

from ._generated.messages import ServerHealth, ServerState
from .config import BackendServer
from .environment import Environment

CHECK_INTERVAL_S = 1.0

__all__ = ["ServerHealthMonitor"]


class ServerHealthMonitor:
    """Knows which backend servers may get new work.

    Args:
        environment: The outside interfaces.
        owned: Returns the backend servers that this dispatcher owns now.
    """

    def __init__(
        self, environment: Environment, owned: Callable[[], Iterable[BackendServer]]
    ) -> None:
        self._environment = environment
        self._owned = owned
        self._health: dict[str, ServerHealth] = {}
        self._changed = anyio.Event()

    def health(self, backend_server: str) -> ServerHealth:
        """Returns the health as last known."""
        return self._health.get(backend_server, ServerHealth.READY)

    async def wait_changed(self) -> None:
        """Waits for the next change of a health."""
        await self._changed.wait()

    def take_rumor(self, state: ServerState) -> None:
        """Takes what another owner tells of its backend server."""

    async def run(self) -> None:
        """Checks owned backend servers until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
