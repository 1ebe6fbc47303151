"""The holder's side of slots: asks owners, keeps grants, reports them to a next owner."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from . import logs
from ._generated.messages import (
    HeldGrant,
    HolderReport,
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
from .environment import Environment
from .errors import (
    BriarvaleError,
    GrantRevoked,
    NoServer,
    Overloaded,
    OwnerUnreachable,
    PeerClosed,
    PeerProtocolError,
)
from .fleet_view import FleetView
from .peer import MessageStream, PeerAddress

log = logs.part("slots")

__all__ = ["HeldSlot", "SlotClient"]


class HeldSlot:
    """A granted slot. `revoked` is set when the owner wants it back."""

    def __init__(self, grant: HeldGrant) -> None:
        self.grant = grant
        self.revoked = anyio.Event()
        self.outcome = Outcome.FAILED
        self.tokens = 0
        self.time_between_tokens_ms = 0


class _OwnerLink:
    """One connection to an owner; one task reads it."""

    def __init__(self, stream: MessageStream) -> None:
        self.stream = stream
        self.waiting: dict[str, _PendingRequest] = {}
        self.held: dict[str, HeldSlot] = {}
        self.is_closed = False


class _PendingRequest:
    def __init__(self, request: SlotRequest) -> None:
        self.request = request
        self.answered = anyio.Event()
        self.grant: SlotGrant | None = None
        self.error: BriarvaleError | None = None


class SlotClient:
    """Holds slots on backend servers for one program.

    Args:
        environment: The outside interfaces.
        view: Says who owns which backend server.
        tasks: Runs one reader for each owner.
    """

    def __init__(self, environment: Environment, view: FleetView, tasks: TaskGroup) -> None:
        self._environment = environment
        self._view = view
        self._tasks = tasks
        self._links: dict[PeerAddress, _OwnerLink] = {}
        self._connecting: dict[PeerAddress, anyio.Lock] = {}

    @asynccontextmanager
    async def hold(self, request: SlotRequest) -> AsyncIterator[HeldSlot]:
        """Waits for a slot and holds it inside the block.

        Raises:
            Overloaded: If the owner refuses; says when to come back.
            OwnerUnreachable: If the owner can't be reached.
            NoServer: If the backend server has no owner.
        """
        link = await self._link_to(self._owner_address(request.backend_server))
        slot = await self._acquire(link, request)
        try:
            yield slot
        finally:
            with anyio.CancelScope(shield=True):
                await self._release(link, slot)

    async def _acquire(self, link: _OwnerLink, request: SlotRequest) -> HeldSlot:
        pending = _PendingRequest(request)
        link.waiting[request.request_id] = pending
        wait_ms = request.deadline_ms - self._environment.clock.now_ms()
        try:
            await link.stream.send(request)
            with anyio.fail_after(max(0.0, wait_ms / MS_PER_S)):
                await pending.answered.wait()
        except PeerClosed as error:
            raise OwnerUnreachable(str(error)) from error
        except TimeoutError as error:
            raise Overloaded("no slot before the deadline") from error
        finally:
            link.waiting.pop(request.request_id, None)
            if pending.grant is None and pending.error is None:
                with anyio.CancelScope(shield=True):
                    await self._withdraw(link, request)
        if pending.error is not None:
            raise pending.error
        if pending.grant is None:
            raise OwnerUnreachable("the owner closed the connection")
        return self._keep(link, request, pending.grant)

    def _keep(self, link: _OwnerLink, request: SlotRequest, grant: SlotGrant) -> HeldSlot:
        held = HeldGrant(
            grant_id=grant.grant_id,
            backend_server=grant.backend_server,
            member=request.member,
            work_class=request.work_class,
            slot_count=grant.slot_count,
            cost_tokens=request.cost_tokens,
            fingerprint=request.fingerprint,
        )
        slot = HeldSlot(held)
        link.held[grant.grant_id] = slot
        return slot

    async def _withdraw(self, link: _OwnerLink, request: SlotRequest) -> None:
        try:
            await link.stream.send(SlotWithdraw(request.request_id))
        except PeerClosed:
            return

    async def _release(self, link: _OwnerLink, slot: HeldSlot) -> None:
        link.held.pop(slot.grant.grant_id, None)
        release = SlotRelease(
            slot.grant.grant_id, slot.outcome, slot.tokens, slot.time_between_tokens_ms
        )
        try:
            await link.stream.send(release)
        except PeerClosed:
            return

    def _owner_address(self, backend_server: str) -> PeerAddress:
        owner = self._view.owner_address(backend_server)
        if owner is None:
            raise NoServer(f"{backend_server} has no owner now")
        return owner

    async def _link_to(self, address: PeerAddress) -> _OwnerLink:
        async with self._connecting.setdefault(address, anyio.Lock()):
            link = self._links.get(address)
            if link is None or link.is_closed:
                link = _OwnerLink(await self._environment.transport.connect(address))
                self._links[address] = link
                self._tasks.start_soon(self._read_link, link)
            return link

    async def _read_link(self, link: _OwnerLink) -> None:
        try:
            while True:
                self._handle(link, await link.stream.receive())
        except (PeerClosed, PeerProtocolError):
            log.info("Lost the connection to an owner.")
        finally:
            link.is_closed = True
            self._fail_waiting(link)
            await link.stream.aclose()

    def _handle(self, link: _OwnerLink, message: Message) -> None:
        match message:
            case SlotGrant(request_id=request_id) if request_id in link.waiting:
                link.waiting[request_id].grant = message
                link.waiting[request_id].answered.set()
            case SlotGrant(grant_id=grant_id):
                release = SlotRelease(grant_id, Outcome.CANCELLED, 0, 0)
                self._tasks.start_soon(self._send_quietly, link, release)
            case SlotRefusal(request_id, code, retry_at_ms) if request_id in link.waiting:
                error = Overloaded(f"the owner refused: {code}", retry_at_ms=retry_at_ms)
                link.waiting[request_id].error = error
                link.waiting[request_id].answered.set()
            case SlotRevoke(grant_id=grant_id) if grant_id in link.held:
                link.held[grant_id].revoked.set()
            case _:
                return

    def _fail_waiting(self, link: _OwnerLink) -> None:
        for pending in link.waiting.values():
            pending.error = OwnerUnreachable("the owner went away")
            pending.answered.set()

    async def _send_quietly(self, link: _OwnerLink, message: Message) -> None:
        try:
            await link.stream.send(message)
        except PeerClosed:
            return


def new_request_id() -> str:
    """Returns a fresh id for a slot request or a completion."""
    return secrets.token_hex(8)


def revoked_error() -> GrantRevoked:
    """Returns the error of work whose slot was taken back."""
    return GrantRevoked("the owner took the slot back")


def report_of(slots: list[HeldSlot]) -> HolderReport:
    """Returns the report of held slots for a next owner."""
    return HolderReport(tuple(slot.grant for slot in slots))
