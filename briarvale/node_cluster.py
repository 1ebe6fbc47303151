"""Coordination between nodes: membership, ownership of keys, and who grants a service's slots."""

from collections.abc import Awaitable, Callable

import anyio

from . import logs
from ._generated.messages import (
    ConfigFetch,
    FeedList,
    FeedSubscribe,
    HolderReport,
    Message,
    RateAnswer,
    RateRequest,
    SlotHeartbeat,
    SlotRelease,
    SlotRequest,
    SlotWithdraw,
    StateFetch,
    VmHealth,
    VmState,
)
from .containment import keep_running, run_contained
from .errors import BriarvaleError
from .feed_publisher import FeedPublisher
from .feed_relay import FeedRelay
from .live_servers import LiveServer, LiveServers
from .membership import Membership
from .peer import MessageStream, PeerAddress, PeerIdentity
from .peer_connection import PeerConnection
from .peer_environment import PeerEnvironment
from .pool_owner import PoolOwner
from .pool_server import ServerRuns
from .rendezvous import first_by_rendezvous, rank_by_rendezvous
from .settings import Settings
from .workspaces.ledger import RateOwner
from .workspaces.tolerance import Quota

EXPIRE_INTERVAL_S = 0.25
# A node that has run for less may not have discovered the fleet; it owns nothing if another can.
SETTLE_MS = 3_000
# Nodes whose start times differ by no more than this count as started together.
START_SPREAD_MS = 1_000
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.3
# Nodes with less than this fraction of the largest node's cores own no pools and publish nothing.
MIN_CORES_FRACTION = 0.7
# Rendezvous key prefix by which each zone chooses its publisher, which watches the store.
FEEDS_KEY = "feeds/"
# Rendezvous key prefix by which groups of workspaces choose the owners of their rate limits.
RATES_KEY = "rates/"
# How many nodes may own a group, one after the other, if those before do not answer.
RATE_OWNERS = 3

ServerProbe = Callable[[LiveServer], Awaitable[ServerRuns]]

log = logs.component_logger("cluster")

__all__ = ["NodeCluster", "ServerProbe"]


class NodeCluster:
    """One node's membership of the fleet, its ownership decisions and the pools that it owns.

    Args:
        settings: This node's settings.
        environment: External interfaces: clock, VM list and connections to peers.
        servers: The backend servers that have an entry in the store.
        probe: Fetches the load of a backend server.
        processor_cores: Returns the processor capacity of a VM, in cores; 0 if unknown.
        capacity_tokens: Returns how many tokens one server of a service holds; 0 if unknown.
        quota: How exactly rate limits are kept.
    """

    def __init__(
        self,
        settings: Settings,
        environment: PeerEnvironment,
        servers: LiveServers,
        probe: ServerProbe,
        processor_cores: Callable[[str], float],
        capacity_tokens: Callable[[str], int],
        quota: Quota = Quota(),
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._servers = servers
        self._probe = probe
        self._processor_cores = processor_cores
        self._capacity_tokens = capacity_tokens
        self._started_at_ms = environment.clock.now_ms()
        self.membership = Membership(settings, environment)
        self.pools = PoolOwner(environment.clock)
        self._rates = RateOwner(settings.vm, quota, self._started_at_ms)
        self.relay: FeedRelay | None = None
        self.publisher: FeedPublisher | None = None
        self._connections: list[PeerConnection] = []
        # Cached, as each request looks them up; cleared when the membership changes, and
        # at least every `EXPIRE_INTERVAL_S`.
        self._pool_owners: dict[str, str | None] = {}
        self._cached_pool_candidates: list[str] | None = None
        self._rate_owners: dict[int, list[str]] = {}

    def live_nodes(self) -> list[str]:
        """Returns the alive and suspect nodes, this one included unless it is leaving."""
        return [vm.vm for vm in self._live_vms()]

    def peer_addresses(self) -> list[PeerAddress]:
        """Returns the addresses where the other live nodes listen for peers."""
        names = [name for name in self.live_nodes() if name != self._settings.vm]
        found = (self.membership.peer_address(name) for name in names)
        return [address for address in found if address is not None]

    def owns(self, key: str) -> bool:
        """Whether this node owns a key."""
        return self.owner(key) == self._settings.vm

    def owner(self, key: str) -> str | None:
        """Returns the node that owns a key.

        A node that has just started is skipped if there are others, so that ownership does not
        move to a node that has not discovered the fleet yet.
        """
        return next(iter(first_by_rendezvous(key, self._ownership_candidates(), 1)), None)

    def rank(self, key: str) -> int | None:
        """Returns how many nodes precede this one in the rendezvous order of a key.

        None if this node has just started and there are others.
        """
        ranked = rank_by_rendezvous(key, self._ownership_candidates())
        return ranked.index(self._settings.vm) if self._settings.vm in ranked else None

    def _ownership_candidates(self) -> list[str]:
        return [vm.vm for vm in self._settled_vms()] or self.live_nodes()

    def pool_owner(self, service: str) -> str | None:
        """Returns the node that grants the slots of a service.

        Only nodes with enough cores are considered, as granting costs processor time.
        """
        if service not in self._pool_owners:
            chosen = next(
                iter(first_by_rendezvous(service, self._pool_owner_candidates(), 1)), None
            )
            self._pool_owners[service] = chosen
        return self._pool_owners[service]

    def _pool_owner_candidates(self) -> list[str]:
        if self._cached_pool_candidates is None:
            self._cached_pool_candidates = self._large_nodes(self._ownership_candidates())
        return self._cached_pool_candidates

    def rate_owners(self, group: int) -> list[str]:
        """Returns the nodes that may own the rate limits of a group, the preferred one first."""
        if group not in self._rate_owners:
            key = f"{RATES_KEY}{group}"
            candidates = self._pool_owner_candidates()
            self._rate_owners[group] = first_by_rendezvous(key, candidates, RATE_OWNERS)
        return self._rate_owners[group]

    def known_nodes(self) -> list[str]:
        """Returns all listed nodes, whether alive or not."""
        return [vm.vm for vm in self.membership.vms]

    def rate_address(self, vm: str) -> PeerAddress | None:
        """Returns the address where a node answers requests for tokens of rate limits."""
        return self.membership.peer_address(vm)

    def answer_rate_request(self, request: RateRequest, vm: str) -> RateAnswer:
        """Answers a request for tokens of a rate limit; `vm` is the node that requests them."""
        now_ms = self._environment.clock.now_ms()
        return self._rates.answer(request, vm, self.known_nodes(), now_ms)

    def _large_nodes(self, names: list[str]) -> list[str]:
        """Returns the nodes with at least `MIN_CORES_FRACTION` of the most cores among `names`."""
        cores = {name: self._processor_cores(name) for name in names}
        floor_cores = max(cores.values(), default=0.0) * MIN_CORES_FRACTION
        return [name for name in names if cores[name] >= floor_cores]

    def _settled_vms(self) -> list[VmState]:
        """Returns the live nodes that started `SETTLE_MS` ago or together with the oldest one."""
        live = self._live_vms()
        # The incarnation of a VM begins as the timestamp of its start.
        oldest_ms = min((vm.incarnation for vm in live), default=0)
        started_by_ms = self._environment.clock.now_ms() - SETTLE_MS
        latest_ms = max(started_by_ms, oldest_ms + START_SPREAD_MS)
        return [vm for vm in live if vm.incarnation <= latest_ms]

    def _live_vms(self) -> list[VmState]:
        """Returns the live VMs that have been heard from; the VM list may name dead ones."""
        live = (VmHealth.ALIVE, VmHealth.SUSPECT)
        return [vm for vm in self.membership.vms if vm.health in live and vm.incarnation > 0]

    @property
    def is_settled(self) -> bool:
        """Whether this node has run for `SETTLE_MS`, long enough to discover the others."""
        return self._environment.clock.now_ms() - self._started_at_ms >= SETTLE_MS

    def is_lost(self, vm: str) -> bool:
        """Whether a VM is dead, leaving or not listed; one only presumed alive is not lost."""
        for state in self.membership.vms:
            if state.vm == vm:
                return state.health in (VmHealth.DEAD, VmHealth.LEAVING)
        return True

    def dead_nodes(self) -> list[str]:
        """Returns the listed VMs that are dead."""
        return [vm.vm for vm in self.membership.vms if vm.health is VmHealth.DEAD]

    def owner_address(self, service: str) -> PeerAddress | None:
        """Returns the address of the owner of a service's pool."""
        owner = self.pool_owner(service)
        return self.membership.peer_address(owner) if owner else None

    def feed_publisher_address(self) -> PeerAddress | None:
        """Returns this zone's publisher's address; None if this node watches the store itself."""
        zone = self._settings.availability_zone
        zone_nodes = [vm.vm for vm in self._settled_vms() if vm.availability_zone == zone]
        large = self._large_nodes(zone_nodes)
        chosen = next(iter(first_by_rendezvous(f"{FEEDS_KEY}{zone}", large, 1)), None)
        if chosen is None or chosen == self._settings.vm:
            return None
        return self.membership.peer_address(chosen)

    async def wait_changed(self) -> None:
        """Waits for a change of membership, which may change owners."""
        await self.membership.wait_changed()

    async def run(self) -> None:
        """Serves peers, follows membership and servers, and grants slots, until cancelled."""
        address = PeerAddress(self._settings.host, self._settings.peer_port)
        async with anyio.create_task_group() as tasks:
            transport = self._environment.transport
            tasks.start_soon(keep_running, "peers", transport.serve, address, self._serve_peer)
            tasks.start_soon(keep_running, "membership", self.membership.run)
            tasks.start_soon(keep_running, "membership", self.membership.announce_start)
            tasks.start_soon(keep_running, "pools", self.pools.run)
            tasks.start_soon(keep_running, "pools", self._follow_servers)
            tasks.start_soon(keep_running, "pools", self._follow_membership)
            tasks.start_soon(keep_running, "load reports", self._probe_servers)

    def _update_owned_pools(self) -> None:
        self._servers.expire()
        self._pool_owners.clear()
        self._rate_owners.clear()
        self._cached_pool_candidates = None
        if not self.membership.vms:
            return
        services = self._servers.services()
        owned = [name for name in services if self.pool_owner(name) == self._settings.vm]
        ready = {service: self._servers.ready(service) for service in owned}
        self.pools.reconcile(ready, self._capacity_tokens)

    async def _follow_servers(self) -> None:
        while True:
            self._update_owned_pools()
            with anyio.move_on_after(EXPIRE_INTERVAL_S):
                await self._servers.changed.wait()

    async def _follow_membership(self) -> None:
        while True:
            await self.membership.wait_changed()
            self._update_owned_pools()

    async def _probe_servers(self) -> None:
        while True:
            await self.pools.wait_owned()
            await anyio.sleep(PROBE_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for service in self._servers.services():
                    pool = self.pools.granter(service)
                    for server in pool.servers_to_probe() if pool else ():
                        tasks.start_soon(
                            run_contained, "load reports", self._probe_server, service, server
                        )

    async def _probe_server(self, service: str, server: LiveServer) -> None:
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                runs = await self._probe(server)
        except (BriarvaleError, TimeoutError) as error:
            log.info(
                "Could not fetch the load of {}: {!r}.", server.id, error, backend_server=server.id
            )
            return
        pool = self.pools.granter(service)
        if pool is not None:
            pool.record_runs(runs)

    async def _serve_peer(self, stream: MessageStream, identity: PeerIdentity) -> None:
        connection = PeerConnection(stream, identity)
        self._connections.append(connection)
        try:
            await connection.serve(self._handle)
        finally:
            self._connections.remove(connection)
            self.pools.drop_holder(connection)
            if self.publisher is not None:
                self.publisher.remove_subscriber(connection)

    def _handle(self, connection: PeerConnection, message: Message) -> None:
        match message:
            case SlotRequest() | SlotRelease() | SlotWithdraw() | HolderReport() | SlotHeartbeat():
                self.pools.handle(connection, message)
            case RateRequest():
                connection.notify(self.answer_rate_request(message, connection.identity.vm))
            case StateFetch():
                connection.notify(self.membership.snapshot())
            case ConfigFetch() if self.relay is not None:
                connection.notify(self.relay.bundle())
            case FeedSubscribe() if self.publisher is not None:
                self.publisher.subscribe(connection, message)
            case FeedList() if self.publisher is not None:
                self.publisher.send_list(connection, message)
            case _:
                log.warning(
                    "Unexpected message {} from {}.", type(message).__name__, connection.name
                )
