"""A local process's view of the fleet, updated by its VM's dispatcher."""

from collections.abc import Callable
from contextlib import suppress

import anyio

from . import logs, metrics
from ._generated.messages import (
    ConfigBundle,
    ConfigFetch,
    ServerHealth,
    ServerState,
    SuspectNotice,
    View,
    ViewSubscribe,
    VmState,
)
from .config import BackendServer, Config
from .config_bundle import apply_delta
from .environment import Environment
from .errors import NotReady, OwnerUnreachable, PeerClosed, PeerProtocolError
from .notifier import Notifier
from .peer import MessageStream, PeerAddress
from .settings import Settings

RECONNECT_DELAY_S = 0.2
# Roles of a batch program: while it runs items, and once it has drained because its VM leaves.
BATCH_ROLE = "batch"
DRAINED_ROLE = "drained batch"

log = logs.component_logger("view")

__all__ = ["BATCH_ROLE", "DRAINED_ROLE", "FleetView", "SuspectHandler"]

SuspectHandler = Callable[[SuspectNotice], None]


class FleetView:
    """The latest view and configuration received; kept while the dispatcher is unavailable.

    Args:
        settings: This VM's settings.
        environment: External interfaces: connections to peers and the identity of this process.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self._config: Config | None = None
        self._servers: dict[str, ServerState] = {}
        self._vms: dict[str, VmState] = {}
        self._changed = Notifier()
        self._stream: MessageStream | None = None
        self._role = environment.identity.role
        self._suspect_handlers: list[SuspectHandler] = []

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and a view have arrived."""
        return self._config is not None and bool(self._vms)

    @property
    def config(self) -> Config:
        """The configuration in force; raises `NotReady` before there is one."""
        if self._config is None:
            raise NotReady("no configuration yet")
        return self._config

    @property
    def vms(self) -> tuple[VmState, ...]:
        """All VMs of the latest view."""
        return tuple(self._vms.values())

    def server_state(self, backend_server: str) -> ServerState | None:
        """Returns a backend server's state in the latest view."""
        return self._servers.get(backend_server)

    def ready_servers(self, service: str) -> list[BackendServer]:
        """Returns the backend servers of a service that are ready for requests."""
        servers = self.config.servers_of(service)
        return [server for server in servers if self._is_server_ready(server.id)]

    def owner_address(self, backend_server: str) -> PeerAddress | None:
        """Returns the address of a backend server's owner."""
        state = self._servers.get(backend_server)
        owner = self._vms.get(state.owner) if state else None
        return PeerAddress(owner.host, self._settings.peer_port) if owner else None

    async def wait_changed(self) -> None:
        """Waits for the next change of the view or the configuration."""
        await self._changed.wait()

    async def wait_ready(self) -> None:
        """Waits until `is_ready`."""
        while not self.is_ready:
            await self.wait_changed()

    def subscribe_suspects(self, handler: SuspectHandler) -> None:
        """Registers a handler for notices of requests that crashed backend servers."""
        self._suspect_handlers.append(handler)

    async def announce_role(self, role: str) -> None:
        """Sends the dispatcher this process's role, now and after each reconnection."""
        self._role = role
        if self._stream is None:
            return
        with suppress(PeerClosed):
            await self._stream.send(ViewSubscribe(role))

    async def report_suspect(self, notice: SuspectNotice) -> None:
        """Sends a notice to the dispatcher, which spreads it; silently dropped if disconnected."""
        if self._stream is None:
            return
        with suppress(PeerClosed):
            await self._stream.send(notice)

    async def run(self) -> None:
        """Subscribes to the dispatcher and reconnects whenever the connection ends."""
        address = PeerAddress(self._settings.host, self._settings.peer_port)
        while True:
            try:
                await self._follow(address)
            except (OwnerUnreachable, PeerClosed, PeerProtocolError) as error:
                log.debug("Not connected to this VM's dispatcher: {}.", error)
            await anyio.sleep(RECONNECT_DELAY_S)

    async def _follow(self, address: PeerAddress) -> None:
        stream = await self._environment.transport.connect(address)
        try:
            await stream.send(ViewSubscribe(self._role))
            self._stream = stream
            while True:
                match await stream.receive():
                    case View() as view:
                        self._apply_view(view)
                    case ConfigBundle() as bundle:
                        if not self._apply_config(bundle):
                            await stream.send(ConfigFetch(self.config.revision))
                    case SuspectNotice() as notice:
                        for handler in self._suspect_handlers:
                            handler(notice)
        finally:
            self._stream = None
            await stream.aclose()

    def _apply_view(self, view: View) -> None:
        vms = {vm.vm: vm for vm in view.vms}
        servers = {server.backend_server: server for server in view.servers}
        self._vms = self._vms | vms if view.is_delta else vms
        self._servers = self._servers | servers if view.is_delta else servers
        self._notify()

    def _apply_config(self, bundle: ConfigBundle) -> bool:
        """Applies a configuration or a delta; returns False if the complete one must be fetched."""
        if self._config is not None and bundle.revision <= self._config.revision:
            return True
        merged = apply_delta(self._config.bundle if self._config else None, bundle)
        if merged is None:
            return self._config is None
        self._config = Config(merged, self._config)
        metrics.CONFIG_REVISION.set({}, bundle.revision)
        log.info("Configuration {} is in force.", bundle.revision)
        self._notify()
        return True

    def _notify(self) -> None:
        self._changed.notify()

    def _is_server_ready(self, backend_server: str) -> bool:
        state = self._servers.get(backend_server)
        return state is not None and state.health is ServerHealth.READY
