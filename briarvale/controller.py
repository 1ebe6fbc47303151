"""One VM's controller: holds services' leases and orders engines into the declared state."""

import anyio

from .environment import Environment
from .fleet_view import FleetView
from .settings import Settings

__all__ = ["Controller"]


class Controller:
    """The controller of one VM; `run` is its life.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self.view = FleetView(settings, environment)

    @property
    def is_ready(self) -> bool:
        """Whether it knows the fleet."""
        return self.view.is_ready

    async def drain(self) -> None:
        """Ends its work gracefully."""

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.view.run)
