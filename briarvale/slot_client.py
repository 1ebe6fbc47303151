"""Client side of slots: requests them from owners and reports held grants to a new owner."""

import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

import anyio
from anyio.abc import TaskGroup

from . import logs
from ._generated.messages import (
    HeldGrant,
    Message,
    Outcome,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SlotRevoke,
    SlotWithdraw,
)
from .clock import MS_PER_S
from .containment import keep_running, run_contained
from .errors import (
    BriarvaleError,
    InvalidRequest,
    NoServer,
    NotOwner,
    Overloaded,
    OwnerUnreachable,
    Quarantined,
    ServerNotReady,
)
from .held_slot import HeldSlot
from .owner_link import HEARTBEAT_INTERVAL_MS, MAX_SILENCE_MS, OwnerLink, PendingRequest
from .peer import CONNECT_TIMEOUT_S, PeerAddress
from .peer_environment import PeerEnvironment
from .slot_refusals import error_of_refusal
from .traces import current_traceparent

MAINTENANCE_INTERVAL_S = 0.25
OWNER_CHANGE_WAIT_S = 0.1
MAX_OWNERS_ASKED = 10
RECONNECT_DELAY_MS = 500

# Errors that say nothing about the health of the backend server.
NOT_SERVER_FAULTS = (InvalidRequest, Quarantined, ServerNotReady)

log = logs.component_logger("slots")

__all__ = ["HeldSlot", "LoadHandler", "OwnerTimeouts", "OwnerView", "ServerLoad", "SlotClient"]


class OwnerView(Protocol):
    """Looks up the owner of the slots of a backend server, or of the pool of a service."""

    def owner_address(self, backend_server: str) -> PeerAddress | None:
        """Returns the owner's address, or `None` if there is no owner now."""

    async def wait_changed(self) -> None:
        """Waits until an owner may have changed."""


class ServerLoad(NamedTuple):
    """Load of a backend server, as its owner's answer to a slot request reports it."""

    backend_server: str
    held: int
    queued: int
    limit: int


LoadHandler = Callable[[ServerLoad], None]


class OwnerTimeouts(NamedTuple):
    """Timeouts and limits after which a request fails as `OwnerUnreachable`.

    Attributes:
        connect_s: Timeout for opening a connection.
        max_owners: How many owners are asked one after the other while ownership changes.
        probe_interval_ms: How often an owner that does not answer is probed.
        max_silence_ms: How long probes may stay unanswered before the connection is closed.
    """

    connect_s: float = CONNECT_TIMEOUT_S
    max_owners: int = MAX_OWNERS_ASKED
    probe_interval_ms: int = HEARTBEAT_INTERVAL_MS
    max_silence_ms: int = MAX_SILENCE_MS


class SlotClient:
    """Requests and holds slots on backend servers for one process.

    Held slots outlive a connection: they are reported to the owner that the view then returns.

    Args:
        environment: The outside interfaces.
        view: Looks up the owner of each backend server.
        tasks: Runs the tasks of the connections to owners.
        timeouts: Limits on the wait for owners.
    """

    def __init__(
        self,
        environment: PeerEnvironment,
        view: OwnerView,
        tasks: TaskGroup,
        timeouts: OwnerTimeouts = OwnerTimeouts(),
    ) -> None:
        self._timeouts = timeouts
        self._environment = environment
        self._view = view
        self._tasks = tasks
        self._links: dict[PeerAddress, OwnerLink] = {}
        self._connect_locks: dict[PeerAddress, anyio.Lock] = {}
        self._unreachable_until_ms: dict[PeerAddress, int] = {}
        self._held: dict[str, HeldSlot] = {}
        self._grant_links: dict[str, OwnerLink] = {}
        self._load_handlers: list[LoadHandler] = []
        self._is_maintaining = False

    def subscribe_load(self, handler: LoadHandler) -> None:
        """Calls the handler with the load reported by each owner's answer."""
        self._load_handlers.append(handler)

    @asynccontextmanager
    async def hold(self, request: SlotRequest) -> AsyncIterator[HeldSlot]:
        """Waits for a slot and holds it inside the block.

        Raises:
            Overloaded: If the owner refuses, with a time to retry at, or the deadline passes.
            ServerNotReady, Quarantined: If the owner refuses for these reasons.
            OwnerUnreachable: If no connection to the owner can be opened, or it is lost.
            NoServer: If the backend server has no owner, or all servers of the pool are draining.
        """
        slot = await self._acquire_from_owner(request)
        try:
            yield slot
        except NOT_SERVER_FAULTS:
            raise
        except BriarvaleError:
            if slot.outcome is Outcome.CANCELLED:
                slot.outcome = Outcome.FAILED
            raise
        finally:
            self._release(slot)

    async def _acquire_from_owner(self, request: SlotRequest) -> HeldSlot:
        for _ in range(self._timeouts.max_owners):
            address = self._owner_address(request.backend_server)
            try:
                link = await self._link_to(address)
                return await self._acquire(link, request)
            except NotOwner:
                await self._wait_owner_change(request)
            except OwnerUnreachable:
                if self._view.owner_address(request.backend_server) in (None, address):
                    raise
        raise OwnerUnreachable(f"{request.backend_server} changed owners too often")

    async def _wait_owner_change(self, request: SlotRequest) -> None:
        """Waits up to `OWNER_CHANGE_WAIT_S` for the view to change."""
        wait_s = (request.deadline_ms - self._environment.clock.now_ms()) / MS_PER_S
        if wait_s <= 0:
            raise Overloaded("no slot was granted before the deadline")
        with anyio.move_on_after(min(OWNER_CHANGE_WAIT_S, wait_s)):
            await self._view.wait_changed()

    async def _acquire(self, link: OwnerLink, request: SlotRequest) -> HeldSlot:
        pending = PendingRequest(request)
        link.waiting[request.request_id] = pending
        wait_ms = request.deadline_ms - self._environment.clock.now_ms()
        slot: HeldSlot | None = None
        try:
            link.notify(request._replace(traceparent=current_traceparent()))
            with anyio.fail_after(max(0.0, wait_ms / MS_PER_S)):
                await pending.answered.wait()
            if pending.grant is not None:
                slot = self._hold_grant(link, request, pending.grant)
        except TimeoutError as error:
            raise Overloaded("no slot was granted before the deadline") from error
        finally:
            link.waiting.pop(request.request_id, None)
            if slot is None:
                self._abandon(link, pending)
        if slot is None:
            raise pending.error or OwnerUnreachable("the owner closed the connection")
        return slot

    def _abandon(self, link: OwnerLink, pending: PendingRequest) -> None:
        """Withdraws an unanswered request, or releases a grant that will not be used."""
        if pending.grant is not None:
            link.notify(SlotRelease(pending.grant.grant_id, Outcome.CANCELLED))
        # A suspect is withdrawn even if it was refused: its owner counts it as running until then.
        elif pending.error is None or pending.request.is_suspect:
            link.notify(SlotWithdraw(pending.request.request_id))

    def _hold_grant(self, link: OwnerLink, request: SlotRequest, grant: SlotGrant) -> HeldSlot:
        held = HeldGrant(
            grant_id=grant.grant_id,
            backend_server=grant.backend_server,
            member=request.member,
            work_class=request.work_class,
            slot_count=grant.slot_count,
            cost_tokens=request.cost_tokens,
            fingerprint=request.fingerprint,
            pool=request.backend_server,
        )
        slot = HeldSlot(held)
        if grant.grant_id in link.revoked_early:
            slot.revoked.set()
        self._held[grant.grant_id] = slot
        self._grant_links[grant.grant_id] = link
        return slot

    def _release(self, slot: HeldSlot) -> None:
        grant_id = slot.grant.grant_id
        del self._held[grant_id]
        link = self._grant_links.pop(grant_id)
        link.notify(
            SlotRelease(
                grant_id,
                slot.outcome,
                slot.tokens,
                slot.time_between_tokens_ms,
                slot.grant.backend_server,
                slot.grant.fingerprint,
                slot.server_started_at_ms,
                slot.is_server_draining,
                slot.stream_times.first_event_ms,
                slot.stream_times.last_event_ms,
                slot.stream_times.event_count,
            )
        )

    def _owner_address(self, backend_server: str) -> PeerAddress:
        owner = self._view.owner_address(backend_server)
        if owner is None:
            raise NoServer(f"{backend_server} has no owner")
        return owner

    async def _link_to(self, address: PeerAddress) -> OwnerLink:
        self._start_maintenance()
        link = self._open_link(address)
        if link is not None:
            return link
        async with self._connect_locks.setdefault(address, anyio.Lock()):
            link = self._open_link(address)
            if link is not None:
                return link
            with anyio.move_on_after(self._timeouts.connect_s):
                return await self._connect(address)
            now_ms = self._environment.clock.now_ms()
            self._unreachable_until_ms[address] = now_ms + RECONNECT_DELAY_MS
            raise OwnerUnreachable(f"{address.host} did not accept a connection in time")

    def _open_link(self, address: PeerAddress) -> OwnerLink | None:
        link = self._links.get(address)
        return link if link is not None and not link.is_closed else None

    async def _connect(self, address: PeerAddress) -> OwnerLink:
        now_ms = self._environment.clock.now_ms()
        if now_ms < self._unreachable_until_ms.get(address, 0):
            raise OwnerUnreachable(f"{address.host} was unreachable and is not retried yet")
        try:
            stream = await self._environment.transport.connect(address)
        except OwnerUnreachable:
            now_ms = self._environment.clock.now_ms()
            self._unreachable_until_ms[address] = now_ms + RECONNECT_DELAY_MS
            raise
        link = OwnerLink(
            address,
            stream,
            self._environment.clock,
            probe_interval_ms=self._timeouts.probe_interval_ms,
            max_silence_ms=self._timeouts.max_silence_ms,
        )
        self._links[address] = link
        self._report(link)
        self._tasks.start_soon(run_contained, "links to owners", link.run, self._handle)
        return link

    def _start_maintenance(self) -> None:
        if not self._is_maintaining:
            self._is_maintaining = True
            self._tasks.start_soon(keep_running, "links to owners", self._maintain_links)

    async def _maintain_links(self) -> None:
        """Moves slots and waiting requests to new owners as the view changes; sends heartbeats."""
        while True:
            with anyio.move_on_after(MAINTENANCE_INTERVAL_S):
                await self._view.wait_changed()
            self._fail_moved_requests()
            for address in self._unreported_owners():
                self._tasks.start_soon(run_contained, "links to owners", self._report_to, address)
            for link in list(self._links.values()):
                is_holding = link in self._grant_links.values()
                link.keep_alive(is_holding=is_holding)
                if link.is_closed:
                    del self._links[link.address]

    def _fail_moved_requests(self) -> None:
        """Fails requests whose owner has changed; `hold` then sends them to the new owner."""
        for link in self._links.values():
            for pending in link.waiting.values():
                address = self._view.owner_address(pending.request.backend_server)
                if address not in (None, link.address) and not pending.answered.is_set():
                    link.notify(SlotWithdraw(pending.request.request_id))
                    pending.fail(NotOwner(f"{pending.request.backend_server} has a new owner"))

    def _unreported_owners(self) -> set[PeerAddress]:
        """Returns the current owners of held slots that have not been reported to them yet."""
        addresses = set()
        for grant_id, slot in self._held.items():
            address = self._view.owner_address(slot.grant.pool)
            link = self._grant_links[grant_id]
            if address is not None and (link.is_closed or link.address != address):
                addresses.add(address)
        return addresses

    async def _report_to(self, address: PeerAddress) -> None:
        try:
            link = await self._link_to(address)
        except OwnerUnreachable as error:
            log.debug("Can't report held slots: {}.", error)
            return
        if address in self._unreported_owners():
            self._report(link)

    def _report(self, link: OwnerLink) -> None:
        """Reports all held slots that the link's owner owns now, whoever granted them."""
        for grant_id, slot in self._held.items():
            if self._view.owner_address(slot.grant.pool) == link.address:
                self._grant_links[grant_id] = link
        grants = [slot.grant for key, slot in self._held.items() if self._grant_links[key] is link]
        link.report(tuple(grants))

    def _handle(self, link: OwnerLink, message: Message) -> None:
        match message:
            case SlotGrant():
                self._accept_grant(link, message)
            case SlotRefusal(request_id) if request_id in link.waiting:
                self._apply_refusal(link.waiting[request_id], message)
            case SlotRevoke(grant_id=grant_id) if grant_id in self._held:
                self._held[grant_id].revoked.set()
            case SlotRevoke(grant_id=grant_id):
                link.revoked_early.append(grant_id)

    def _accept_grant(self, link: OwnerLink, grant: SlotGrant) -> None:
        self._publish_load(ServerLoad(grant.backend_server, grant.held, grant.queued, grant.limit))
        pending = link.waiting.get(grant.request_id)
        if pending is None or pending.answered.is_set():
            link.notify(SlotRelease(grant.grant_id, Outcome.CANCELLED))
            return
        pending.grant = grant
        pending.answered.set()

    def _apply_refusal(self, pending: PendingRequest, refusal: SlotRefusal) -> None:
        server = pending.request.backend_server
        error = error_of_refusal(refusal, server)
        if isinstance(error, Overloaded):
            self._publish_load(ServerLoad(server, refusal.held, refusal.queued, refusal.limit))
        pending.fail(error)

    def _publish_load(self, load: ServerLoad) -> None:
        for handler in self._load_handlers:
            handler(load)


def new_request_id() -> str:
    """Returns a random id for a slot request or a completion."""
    return secrets.token_hex(8)
