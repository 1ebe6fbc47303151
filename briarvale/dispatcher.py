"""One VM's dispatcher: membership, configuration, and the slots of the servers that it owns."""

import anyio
from anyio.abc import TaskGroup

from . import logs, metrics
from ._generated.messages import (
    ConfigBundle,
    ConfigFetch,
    HolderReport,
    Message,
    ServerHealth,
    ServerState,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
    View,
    ViewSubscribe,
)
from .config import BackendServer, Config
from .config_head import fetch_config
from .environment import Environment
from .errors import BriarvaleError, NoServer, ObjectNotFound
from .membership import Membership
from .ownership import owner_of
from .peer import MessageStream, PeerAddress, PeerIdentity
from .settings import Settings
from .slots import SlotQueue

TICK_INTERVAL_S = 0.1
CONFIG_POLL_S = 1.0
OUTBOX_MESSAGES = 10_000
RETRY_DELAY_MS = 500

log = logs.part("dispatcher")

__all__ = ["Dispatcher"]


class PeerConnection:
    """One connected process; one task reads it and one writes its outbox."""

    def __init__(self, stream: MessageStream, identity: PeerIdentity) -> None:
        self.stream = stream
        self.identity = identity
        self.is_subscribed = False
        self.outbox, self._queue = anyio.create_memory_object_stream[Message](OUTBOX_MESSAGES)

    @property
    def name(self) -> str:
        """Program and VM, for logs."""
        return f"{self.identity.role} {self.identity.vm}"

    def notify(self, message: Message) -> None:
        """Queues a message; a peer that reads too slowly is cut off."""
        try:
            self.outbox.send_nowait(message)
        except anyio.WouldBlock:
            log.warning("Cut off {}, which reads too slowly.", self.name)
            self.outbox.close()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def write_outbox(self) -> None:
        """Sends queued messages until the outbox is closed."""
        async with self._queue:
            async for message in self._queue:
                await self.stream.send(message)


class Dispatcher:
    """The dispatcher of one VM; `run` is its life.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self.membership = Membership(settings, environment)
        self._config: Config | None = None
        self._queues: dict[str, SlotQueue] = {}
        self._connections: set[PeerConnection] = set()

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and knows the VMs."""
        return self._config is not None and bool(self.membership.vms)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._start(tasks)

    def _start(self, tasks: TaskGroup) -> None:
        address = PeerAddress(self._settings.host, self._settings.peer_port)
        tasks.start_soon(self._environment.transport.serve, address, self._serve_peer)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self._follow_membership)
        tasks.start_soon(self._follow_config)
        tasks.start_soon(self._tick)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            for queue in self._queues.values():
                queue.tick()

    async def _follow_membership(self) -> None:
        while True:
            await self.membership.wait_changed()
            self._settle_ownership()

    async def _follow_config(self) -> None:
        while True:
            try:
                config = await fetch_config(self._environment.store)
                self._take_config(config)
            except ObjectNotFound:
                log.debug("No configuration yet.")
            except BriarvaleError as error:
                log.warning("No configuration from the store: {}.", error)
            await anyio.sleep(CONFIG_POLL_S)

    def _take_config(self, config: Config) -> None:
        if self._config is not None and config.revision <= self._config.revision:
            return
        self._config = config
        metrics.CONFIG_REVISION.set({}, config.revision)
        log.info("Configuration {} is in force.", config.revision)
        self._broadcast(config.bundle)
        self._settle_ownership()

    def _settle_ownership(self) -> None:
        if self._config is None:
            return
        for server in self._config.servers.values():
            is_owned = self._owner_name(server) == self._settings.vm
            if is_owned and server.id not in self._queues:
                self._queues[server.id] = SlotQueue(server, self._environment.clock)
                log.info("Owns {}.", server.id)
            if not is_owned and self._queues.pop(server.id, None) is not None:
                log.info("No longer owns {}.", server.id)
        self._broadcast(self.view())

    def _owner_name(self, server: BackendServer) -> str:
        owner = owner_of(server, self.membership.vms)
        return owner.vm if owner else ""

    def view(self) -> View:
        """Returns the fleet as this dispatcher sees it."""
        servers = self._config.servers.values() if self._config else ()
        states = tuple(self._server_state(server) for server in servers)
        revision = self._config.revision if self._config else 0
        return View(self.membership.vms, states, revision)

    def _server_state(self, server: BackendServer) -> ServerState:
        queue = self._queues.get(server.id)
        return ServerState(
            backend_server=server.id,
            owner=self._owner_name(server),
            health=ServerHealth.READY,
            streams=queue.held if queue else 0,
            queued=queue.queued if queue else 0,
            limit=queue.limit if queue else server.slots,
            observed_at_ms=self._environment.clock.now_ms(),
        )

    def _broadcast(self, message: View | ConfigBundle) -> None:
        for connection in self._connections:
            if connection.is_subscribed:
                connection.notify(message)

    async def _serve_peer(self, stream: MessageStream, identity: PeerIdentity) -> None:
        connection = PeerConnection(stream, identity)
        self._connections.add(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.write_outbox)
                while True:
                    self._handle(connection, await stream.receive())
        except* BriarvaleError as errors:
            log.debug("Lost {}: {}.", connection.name, errors.exceptions[0])
        finally:
            self._connections.discard(connection)
            connection.outbox.close()
            for queue in self._queues.values():
                queue.drop_holder(connection)

    def _handle(self, connection: PeerConnection, message: Message) -> None:
        match message:
            case SlotRequest():
                self._submit(connection, message)
            case SlotWithdraw(request_id):
                for queue in self._queues.values():
                    queue.withdraw(request_id, connection)
            case SlotRelease():
                for queue in self._queues.values():
                    queue.release(message)
            case HolderReport(grants):
                for grant in grants:
                    if grant.backend_server in self._queues:
                        self._queues[grant.backend_server].adopt(grant, connection)
            case ViewSubscribe():
                connection.is_subscribed = True
                if self._config is not None:
                    connection.notify(self._config.bundle)
                connection.notify(self.view())
            case ConfigFetch(have_revision):
                if self._config is not None and self._config.revision > have_revision:
                    connection.notify(self._config.bundle)
            case _:
                log.warning("Unexpected {} from {}.", type(message).__name__, connection.name)

    def _submit(self, connection: PeerConnection, request: SlotRequest) -> None:
        queue = self._queues.get(request.backend_server)
        if queue is not None:
            queue.submit(request, connection)
            return
        retry_at_ms = self._environment.clock.now_ms() + RETRY_DELAY_MS
        connection.notify(SlotRefusal(request.request_id, NoServer.code, retry_at_ms))
