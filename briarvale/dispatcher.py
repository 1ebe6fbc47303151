"""One VM's dispatcher: grants the slots of the backend servers that it owns.

It connects membership, configuration, health and slot queues, and handles the messages of local
processes, of holders on other VMs and of other dispatchers.
"""

from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from . import logs
from ._generated.messages import (
    ConfigBundle,
    ConfigFetch,
    HolderReport,
    Message,
    ServerState,
    SlotHeartbeat,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
    StateFetch,
    SuspectNotice,
    View,
    ViewSubscribe,
)
from .clock import MS_PER_S
from .config import BackendServer
from .config_bundle import delta_since
from .config_sync import ConfigSync
from .environment import Environment
from .errors import ServerNotReady
from .fleet_view import BATCH_ROLE
from .membership import Membership, Rumor
from .ownership import OwnershipTable
from .peer import MessageStream, PeerAddress, PeerIdentity
from .peer_connection import PeerConnection
from .server_health import ServerHealthMonitor
from .settings import Settings
from .slot_owner import SlotOwner
from .suspect_gate import SuspectGate
from .view_feed import ViewFeed

TICK_INTERVAL_S = 0.1
# Time for holders to report their slots to the new owners.
HANDOVER_SETTLE_MS = 2_000

log = logs.component_logger("dispatcher")

__all__ = ["Dispatcher"]


class Dispatcher:
    """The dispatcher of one VM.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self.membership = Membership(settings, environment)
        self.config_sync = ConfigSync(settings, environment, self.membership)
        self.slot_owner = SlotOwner(environment.clock)
        self.server_health = ServerHealthMonitor(
            environment,
            self.owned_servers,
            lambda: self.config_sync.config,
            lambda: self.membership.leaving_vms,
            self.membership.publish,
        )
        self._ownership = OwnershipTable(settings.vm)
        self._feed = ViewFeed(self.view, self._broadcast)
        self.suspect_gate = SuspectGate(
            self.membership.suspects, self.slot_owner.handle, self._publish_suspect
        )
        self._connections: list[PeerConnection] = []

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self._settings.vm

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and a VM list."""
        return self.config_sync.is_ready and bool(self.membership.vms)

    async def drain(self) -> None:
        """Hands ownership over, lets holders report to the new owners, then awaits local programs.

        If the entire VM stops, its programs close their connections. If only this dispatcher
        restarts, they keep running, so the wait ends after the time of a VM's graceful shutdown.
        """
        now_ms = self._environment.clock.now_ms()
        handed_over_at_ms = now_ms + HANDOVER_SETTLE_MS
        deadline_at_ms = handed_over_at_ms + self._settings.balancer_lag_s * MS_PER_S
        await self.membership.leave()
        self._apply_ownership()
        await self._environment.clock.sleep_until(handed_over_at_ms)
        while self._local_subscribers() and self._environment.clock.now_ms() < deadline_at_ms:
            await anyio.sleep(TICK_INTERVAL_S)
        log.info("Drained; this dispatcher owns no backend servers.")

    async def run(self) -> None:
        """Runs until cancelled."""
        self.membership.subscribe(self._apply_rumor)
        async with anyio.create_task_group() as tasks:
            self._start(tasks)

    def owned_servers(self) -> Iterable[BackendServer]:
        """Returns the backend servers that this dispatcher owns."""
        config = self.config_sync.config
        if config is None:
            return ()
        revisions = (config.revision, self.membership.version)
        self._ownership.refresh(config.servers, self.membership.vms, revisions)
        return self._ownership.owned

    def view(self) -> View:
        """Returns this dispatcher's current view of the fleet."""
        config = self.config_sync.config
        servers = config.servers.values() if config else ()
        self.owned_servers()
        states = tuple(self._server_state(server) for server in servers)
        return View(self.membership.vms, states, self.config_sync.revision)

    def _start(self, tasks: TaskGroup) -> None:
        address = PeerAddress(self._settings.host, self._settings.peer_port)
        tasks.start_soon(self._environment.transport.serve, address, self._serve_peer)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.config_sync.run)
        tasks.start_soon(self.server_health.run)
        tasks.start_soon(self._follow_membership)
        tasks.start_soon(self._follow_config)
        tasks.start_soon(self._follow_health)
        tasks.start_soon(self._feed.run)
        tasks.start_soon(self.slot_owner.run)
        tasks.start_soon(self._tick_suspect_gate)

    async def _tick_suspect_gate(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self.suspect_gate.tick(self._environment.clock.now_ms())

    async def _follow_membership(self) -> None:
        while True:
            await self.membership.wait_changed()
            self._apply_ownership()

    async def _follow_config(self) -> None:
        announced = ConfigBundle()
        while True:
            await self.config_sync.wait_changed()
            config = self.config_sync.config
            if config is None or not self.config_sync.is_ready:
                continue
            if config.revision > announced.revision:
                changes = (
                    delta_since(announced, config.bundle) if announced.revision else config.bundle
                )
                self._broadcast(changes)
                announced = config.bundle
            self._apply_ownership()

    async def _follow_health(self) -> None:
        while True:
            await self.server_health.wait_changed()
            self._refuse_queued()
            if self.config_sync.is_ready:
                self._feed.mark_changed()

    def _apply_ownership(self) -> None:
        config = self.config_sync.config
        if config is not None and self.config_sync.is_ready:
            owned = {server.id for server in self.owned_servers()}
            self.slot_owner.reconcile(config, owned)
            self._feed.mark_changed()

    def _publish_suspect(self, notice: SuspectNotice) -> None:
        self.membership.publish(notice)
        self._broadcast(notice)

    def _refuse_queued(self) -> None:
        """Refuses requests queued for unready servers, so that they retry on other servers."""
        for server in self.owned_servers():
            queue = self.slot_owner.granter(server.id)
            if queue is not None and not self.server_health.accepts_work(server.id):
                queue.close(ServerNotReady.code)

    def _apply_rumor(self, rumor: Rumor) -> None:
        match rumor:
            case ServerState():
                self.server_health.apply_rumor(rumor)
            case SuspectNotice():
                self._broadcast(rumor)

    def _server_state(self, server: BackendServer) -> ServerState:
        queue = self.slot_owner.granter(server.id)
        return ServerState(
            backend_server=server.id,
            owner=self._ownership.owner(server.id),
            health=self.server_health.health(server.id),
            streams=queue.held if queue else 0,
            queued=queue.queued if queue else 0,
            limit=queue.limit if queue else server.slots,
            observed_at_ms=self._environment.clock.now_ms(),
            adapters=self.server_health.adapters(server.id),
        )

    def _broadcast(self, message: View | ConfigBundle | SuspectNotice) -> None:
        for connection in self._local_subscribers():
            connection.notify(message)

    def _local_subscribers(self) -> list[PeerConnection]:
        return [connection for connection in self._connections if connection.subscribed_role]

    def _update_runs_batch(self) -> None:
        """Publishes whether a batch program is connected to this dispatcher."""
        roles = {connection.subscribed_role for connection in self._local_subscribers()}
        self.membership.set_runs_batch(BATCH_ROLE in roles)

    async def _serve_peer(self, stream: MessageStream, identity: PeerIdentity) -> None:
        connection = PeerConnection(stream, identity)
        self._connections.append(connection)
        try:
            await connection.serve(self._handle)
        finally:
            self._connections.remove(connection)
            self._update_runs_batch()
            self.slot_owner.drop_holder(connection)

    def _handle(self, connection: PeerConnection, message: Message) -> None:
        match message:
            case SlotRequest() if not self.server_health.accepts_work(message.backend_server):
                now_ms = self._environment.clock.now_ms()
                connection.notify(SlotRefusal(message.request_id, ServerNotReady.code, now_ms))
            case SlotRelease():
                self.slot_owner.handle(connection, message)
                self.server_health.record_release(message)
                self.suspect_gate.release(message, self._environment.clock.now_ms())
            case SlotRequest():
                self.suspect_gate.submit(connection, message, self._environment.clock.now_ms())
            case SlotWithdraw(request_id):
                self.slot_owner.handle(connection, message)
                self.suspect_gate.withdraw(request_id, self._environment.clock.now_ms())
            case HolderReport() | SlotHeartbeat():
                self.slot_owner.handle(connection, message)
            case ViewSubscribe(role):
                self._subscribe(connection, role)
            case ConfigFetch(have_revision):
                bundle = self.config_sync.bundle_for(have_revision)
                connection.notify(bundle or ConfigBundle())
            case StateFetch():
                connection.notify(self.membership.snapshot())
            case SuspectNotice():
                self._publish_suspect(message)
            case _:
                log.warning(
                    "Unexpected message {} from {}.", type(message).__name__, connection.name
                )

    def _subscribe(self, connection: PeerConnection, role: str) -> None:
        connection.subscribed_role = role
        self._update_runs_batch()
        config = self.config_sync.config
        if config is not None and self.config_sync.is_ready:
            connection.notify(config.bundle)
            connection.notify(self.view())
