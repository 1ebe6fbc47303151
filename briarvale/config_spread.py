"""The configuration in force on one VM: fetched from the store, only ever moving up."""

import anyio

from . import logs, metrics
from ._generated.messages import ConfigBundle
from .config import Config
from .config_head import fetch_config
from .environment import Environment
from .errors import BriarvaleError, ObjectNotFound

POLL_INTERVAL_S = 1.0

log = logs.part("config")

__all__ = ["ConfigSpread"]


class ConfigSpread:
    """Follows the configuration's head.

    Args:
        environment: The outside interfaces.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._config: Config | None = None
        self._changed = anyio.Event()

    @property
    def config(self) -> Config | None:
        """The configuration in force; none before the first."""
        return self._config

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self._config.revision if self._config else 0

    async def wait_changed(self) -> None:
        """Waits for the next revision."""
        await self._changed.wait()

    def take(self, bundle: ConfigBundle) -> None:
        """Puts a bundle in force unless it is old."""
        if bundle.revision <= self.revision:
            return
        self._config = Config(bundle)
        metrics.CONFIG_REVISION.set({}, bundle.revision)
        log.info("Configuration {} is in force.", bundle.revision)
        self._changed.set()
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Polls the store until cancelled."""
        while True:
            try:
                self.take((await fetch_config(self._environment.store)).bundle)
            except ObjectNotFound:
                log.debug("No configuration yet.")
            except BriarvaleError as error:
                log.warning("No configuration from the store: {}.", error)
            await anyio.sleep(POLL_INTERVAL_S)
