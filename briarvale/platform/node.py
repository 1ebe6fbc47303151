"""A node on the users' platform: connects its components with the platform's interfaces."""

import secrets

import anyio
from anyio.abc import TaskGroup

from .. import logs, metrics
from ..active_routes import ActiveRoutes
from ..backend_connections import BackendConnections
from ..clock import MS_PER_S, Clock
from ..containment import keep_running, run_contained
from ..crash_guard import CrashGuard
from ..crash_records import CrashRecords
from ..datagrams import UdpDatagrams
from ..errors import BriarvaleError
from ..fairness import Shares
from ..feed_publisher import FeedPublisher
from ..feed_relay import FeedRelay
from ..feed_source import FeedSource
from ..forward_client import ForwardClient
from ..forwarding import Forwarder
from ..ingress import Ingress, IngressRequest, IngressState, Responder
from ..ingress_budget import IngressBudget, ingress_capacities
from ..job_memory import job_memory_capacity
from ..live_servers import LiveServers
from ..node_cluster import NodeCluster
from ..node_settings import NodeSettings
from ..object_feed import WATCH_MS, ObjectFeed
from ..opaque_item_runner import OpaqueItemRunner
from ..opaque_job_runner import OpaqueJobRunner
from ..opaque_job_service import OpaqueJobService
from ..opaque_jobs import JOBS_KIND, JobDirectory
from ..peer import PeerIdentity, TcpTransport
from ..peer_environment import NodeEnvironment
from ..routes import IngressLimits
from ..serving_components import ServingComponents
from ..slot_client import OwnerTimeouts, SlotClient
from ..store_budget import BackOff, CallRates, StoreBudget
from ..vm_directory import VMS_KIND, VmDirectory
from ..vm_drains import VmDrains
from ..workspaces import WorkspaceTable, workspace_shares
from ..workspaces.rate_limiter import RateLimiter
from ..workspaces.rate_link import RateLinks
from .batch_job_handler import BatchJobHandler, ItemRequests
from .engine_report import fetch_runs
from .feeds import ConfigFeed, ServerFeed
from .headers import PlatformHeaderCodec
from .request_handler import RequestHandler
from .store import PlatformStore
from .store_objects import CONFIG_KIND, RETIREMENTS_KIND, SERVERS_KIND

ROLE = "node"
RELAYED_KINDS = (CONFIG_KIND, SERVERS_KIND)
# Kinds that nodes can do without at first: they request the lists from the publisher, or else from
# the store, as each call to the store has a cost and the list of jobs is long.
PUBLISHED_LISTS = (JOBS_KIND, RETIREMENTS_KIND)
# Changes of relayed kinds must apply within a few seconds; a watch that misses one must end soon.
SHORT_WATCH_MS = 5_000
# Pause between watches, by kind. Changes of these kinds come in bursts and may apply a little late;
# after a pause, one watch returns several of them.
WATCH_PAUSES_S = {VMS_KIND: 1.0, JOBS_KIND: 0.1, SERVERS_KIND: 0.2}
STORE_RETRY_TIMEOUT_S = 3.0
# High enough that reads neither queue behind each other nor delay writes.
READS_PER_S = 200.0
# Time within which the load balancer stops sending to a node that isn't ready.
BALANCER_LAG_MS = 3_000
# Draining ends at least this long before the platform kills the process.
GRACE_RESERVE_MS = 700
# Waits for slots end this long before draining must end; a request that got its slot later would
# be interrupted.
WAIT_RESERVE_MS = 1_000
ACTIVE_POLL_INTERVAL_S = 0.1
# An unreachable owner must delay a request by less than its latency objective.
OWNER_TIMEOUTS = OwnerTimeouts(
    connect_s=0.1, max_owners=2, probe_interval_ms=200, max_silence_ms=400
)

log = logs.component_logger("node")

__all__ = ["Node"]


class _StatusHandler:
    """Handles requests for the metrics, or else the load balancer's readiness check."""

    limits = IngressLimits()

    def __init__(self, node: "Node", *, serves_metrics: bool) -> None:
        self._node = node
        self._serves_metrics = serves_metrics

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Responds to a request."""
        if self._serves_metrics:
            content, _ = metrics.render_metrics(())
            await responder.answer(200, ((b"content-type", b"text/plain"),), content)
            return
        await responder.answer(200 if self._node.is_ready else 503, (), b"")

    async def refuse(self, error: BriarvaleError, responder: Responder) -> None:
        """Responds with an error."""
        await responder.answer(error.http_status, (), b"")


class Node:
    """Gateway, pool owner and batch runner of one VM, started by `run`.

    Args:
        settings: This node's settings.
        stop_requested: Set to request a graceful stop.
    """

    def __init__(self, settings: NodeSettings, stop_requested: anyio.Event) -> None:
        self._settings = settings
        self._stop_requested = stop_requested
        self._clock = Clock.from_system()
        self._store = PlatformStore(settings.store)
        self._directory = VmDirectory(settings, self._store)
        identity = PeerIdentity(settings.vm_settings.vm, ROLE, secrets.token_hex(8))
        self._transport = TcpTransport(identity, settings.vm_settings.shared_secret)
        self._datagrams = UdpDatagrams()
        self._environment = NodeEnvironment(
            clock=self._clock,
            vm_list=self._directory,
            transport=self._transport,
            datagrams=self._datagrams,
            identity=identity,
        )
        self.routes = ActiveRoutes()
        self.servers = LiveServers(self._clock.now_ms, settings.time_limits.entry_renewal_ms)
        self.cluster = NodeCluster(
            settings.vm_settings,
            self._environment,
            self.servers,
            fetch_runs,
            self._directory.processor_cores,
            self.routes.capacity_tokens,
            settings.quota,
        )
        self.cluster.pools.shares = self._workspace_shares
        self._publisher = self.cluster.publisher = FeedPublisher()
        self.feed_source = FeedSource(
            self._store,
            self._publisher,
            self._environment.transport,
            self.cluster.feed_publisher_address,
            long_poll_kinds=frozenset((VMS_KIND, RETIREMENTS_KIND)),
            listed_by_publisher=frozenset(PUBLISHED_LISTS),
        )
        self.jobs = JobDirectory()
        self._budget = StoreBudget(
            give_up_after_s=STORE_RETRY_TIMEOUT_S,
            back_off=BackOff(start_s=0.1, max_s=1.0),
            rates=CallRates(min_per_s=10.0),
        )
        self._read_budget = StoreBudget(
            give_up_after_s=0.0, rates=CallRates(READS_PER_S, READS_PER_S)
        )
        self._feeds: dict[str, ObjectFeed] = {}
        self._is_stopping = False
        self._ingress: Ingress | None = None
        self._runner: OpaqueJobRunner | None = None
        self._forwarder: Forwarder | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the node has what it needs to serve callers, and isn't stopping."""
        has_data = self.routes.table is not None and self.servers.is_loaded
        return has_data and self._is_reachable and not self._is_stopping

    @property
    def _is_reachable(self) -> bool:
        """Whether the node listens at all addresses that callers and peers need."""
        is_served = self._ingress is None or self._ingress.is_listening
        return is_served and self._transport.is_listening and self._datagrams.is_receiving

    def _workspace_shares(self) -> Shares:
        return workspace_shares(self.routes.table.workspaces if self.routes.table else None)

    async def run(self) -> None:
        """Runs until a stop is requested and the node has drained."""
        log.info("Starts.", vm=self._settings.vm_settings.vm, host=self._settings.vm_settings.host)
        async with anyio.create_task_group() as tasks:
            self._start_feeds(tasks)
            tasks.start_soon(keep_running, "cluster", self.cluster.run)
            self._start_serving(tasks)
            await self._stop_requested.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        log.info("Stopped.")

    def _start_feeds(self, tasks: TaskGroup) -> None:
        drains = VmDrains(self.cluster.owns, self._set_drained)
        tasks.start_soon(keep_running, "feeds", self._publisher.run)
        tasks.start_soon(keep_running, "feeds", self.feed_source.run)
        for kind, handler in (
            (CONFIG_KIND, ConfigFeed(self.routes)),
            (SERVERS_KIND, ServerFeed(self.servers)),
            (VMS_KIND, self._directory),
            (JOBS_KIND, self.jobs),
            (RETIREMENTS_KIND, drains),
        ):
            is_relayed = kind in RELAYED_KINDS
            feed = ObjectFeed(
                self.feed_source,
                kind,
                handler,
                is_cached=is_relayed or kind in PUBLISHED_LISTS,
                watch_ms=SHORT_WATCH_MS if is_relayed else WATCH_MS,
                pause_s=WATCH_PAUSES_S.get(kind, 0.0),
            )
            self._feeds[kind] = feed
            tasks.start_soon(keep_running, "feeds", feed.run)
        for kind in PUBLISHED_LISTS:
            self._publisher.register_list(kind, self._feeds[kind].snapshot)
        relayed = {kind: self._feeds[kind] for kind in RELAYED_KINDS}
        relay = FeedRelay(relayed, self._environment.transport, self.cluster.peer_addresses)
        self.cluster.relay = relay
        tasks.start_soon(keep_running, "feeds", relay.run)
        tasks.start_soon(keep_running, "VM entries", self._directory.maintain_entry)
        tasks.start_soon(
            keep_running, "VM entries", self._directory.remove_dead_entries, self._owned_dead_nodes
        )
        tasks.start_soon(keep_running, "drains", drains.run)

    def _owned_dead_nodes(self) -> list[str]:
        """Returns the dead nodes whose entries this node has to remove."""
        return [vm for vm in self.cluster.dead_nodes() if self.cluster.owns(vm)]

    def _start_serving(self, tasks: TaskGroup) -> None:
        settings = self._settings
        zone = settings.vm_settings.availability_zone
        slots = SlotClient(self._environment, self.cluster, tasks, OWNER_TIMEOUTS)
        connections = BackendConnections()
        tasks.start_soon(keep_running, "backend connections", connections.run)
        forward_client = ForwardClient(
            connections, self.servers, PlatformHeaderCodec(), self._clock
        )
        membership = self.cluster.membership
        records = CrashRecords(self._store, self._clock, membership.crashes, membership.publish)
        tasks.start_soon(keep_running, "crash records", records.run)
        crash_guard = CrashGuard(self._clock, membership.crashes, records.publish)
        membership.subscribe(crash_guard.apply_rumor)
        components = ServingComponents(
            self._clock, self.servers, slots, forward_client, crash_guard, zone
        )
        self._forwarder = Forwarder(components)
        job_service = OpaqueJobService(
            self._store,
            self._budget,
            self._read_budget,
            self.jobs,
            self._clock,
            lambda: self._feeds[JOBS_KIND].is_current,
            self._environment.identity,
        )
        item_runner = OpaqueItemRunner(components, ItemRequests(self._clock))
        identity = self._environment.identity
        self._runner = OpaqueJobRunner(
            self.cluster,
            identity,
            self.jobs,
            job_service,
            item_runner,
            self._clock,
            job_memory_capacity(settings.memory_bytes),
        )
        tasks.start_soon(keep_running, "jobs", self._runner.run)
        request_handler = RequestHandler(
            self._clock,
            lambda: self.routes.table,
            self._forwarder,
            BatchJobHandler(job_service, self._clock),
            self._start_rate_limits(tasks),
        )
        capacities = ingress_capacities(settings.memory_bytes, settings.max_descriptors)
        status_budget = IngressBudget(capacities.status)
        if settings.caller_address is not None:
            self._ingress = Ingress(request_handler, IngressBudget(capacities.callers))
            tasks.start_soon(keep_running, "callers", self._ingress.serve, settings.caller_address)
        if settings.readiness_address is not None:
            readiness_ingress = Ingress(_StatusHandler(self, serves_metrics=False), status_budget)
            tasks.start_soon(
                keep_running, "readiness", readiness_ingress.serve, settings.readiness_address
            )
        if settings.metrics_address is not None:
            metrics_ingress = Ingress(_StatusHandler(self, serves_metrics=True), status_budget)
            tasks.start_soon(
                keep_running, "metrics", metrics_ingress.serve, settings.metrics_address
            )

    def _start_rate_limits(self, tasks: TaskGroup) -> RateLimiter:
        limiter = RateLimiter(
            self._settings.vm_settings.vm,
            self.cluster,
            RateLinks(self._environment.transport, tasks),
            self._clock,
            self._workspaces,
        )
        tasks.start_soon(keep_running, "rate limits", limiter.run)
        return limiter

    def _workspaces(self) -> tuple[int, WorkspaceTable | None]:
        """Returns the version of the configuration in force and its workspaces."""
        table = self.routes.table
        return (0, None) if table is None else (table.version, table.workspaces)

    async def _drain(self) -> None:
        """Stops gracefully.

        Hands batch jobs over and serves new requests until the load balancer has noticed; then
        refuses new requests and waits for active ones, at most until shortly before the kill.
        """
        now_ms = self._clock.now_ms()
        self._is_stopping = True
        log.info("Stops gracefully.", active=self._active_count())
        self._set_ingress_state(IngressState.CLOSING)
        refuse_at_ms = now_ms + BALANCER_LAG_MS
        end_at_ms = now_ms + self._settings.time_limits.grace_ms - GRACE_RESERVE_MS
        if self._forwarder is not None:
            self._forwarder.slot_waits.end_at(end_at_ms - WAIT_RESERVE_MS)
        if self._runner is not None:
            with anyio.move_on_after(BALANCER_LAG_MS / MS_PER_S):
                await run_contained("jobs", self._runner.drain)
        await run_contained("membership", self.cluster.membership.leave)
        await self._clock.sleep_until(refuse_at_ms)
        self._set_ingress_state(IngressState.REFUSING)
        while self._active_count() and self._clock.now_ms() < end_at_ms:
            await anyio.sleep(ACTIVE_POLL_INTERVAL_S)
        log.info("Ends.", active=self._active_count())

    def _set_ingress_state(self, state: IngressState) -> None:
        if self._ingress is not None:
            self._ingress.state = state

    def _active_count(self) -> int:
        return self._ingress.active_count if self._ingress is not None else 0

    async def _set_drained(self, name: str) -> None:
        """Writes to the store that a VM is drained."""
        await self._store.set_status(f"{RETIREMENTS_KIND}/{name}", {"state": "done"})
