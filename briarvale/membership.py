"""Which VMs are there: the platform's VM list joined with what heartbeats say."""

from collections.abc import Callable

import anyio

from . import logs
from ._generated.messages import ServerState, SuspectNotice, VmHealth, VmState
from .environment import Environment
from .settings import Settings
from .vm_list import VmEntry, VmListUnavailable, VmStatus

POLL_INTERVAL_S = 1.0

log = logs.part("membership")

__all__ = ["Membership", "Rumor", "RumorHandler"]

Rumor = ServerState | SuspectNotice
RumorHandler = Callable[[Rumor], None]


class Membership:
    """The VMs as this dispatcher sees them.

    Args:
        settings: This VM's settings.
        environment: The outside interfaces.
    """

    def __init__(self, settings: Settings, environment: Environment) -> None:
        self._settings = settings
        self._environment = environment
        self._vms: dict[str, VmState] = {}
        self._changed = anyio.Event()
        self._rumor_handlers: list[RumorHandler] = []

    @property
    def vms(self) -> tuple[VmState, ...]:
        """All known VMs, this one included."""
        return tuple(self._vms[name] for name in sorted(self._vms))

    async def wait_changed(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    def publish(self, rumor: Rumor) -> None:
        """Spreads a rumor to all dispatchers within seconds; heartbeats carry it."""

    def subscribe(self, handler: RumorHandler) -> None:
        """Calls the handler with each rumor that arrives from another dispatcher."""
        self._rumor_handlers.append(handler)

    async def run(self) -> None:
        """Polls the VM list until cancelled; an outage keeps the last answer."""
        while True:
            try:
                self._take_list(await self._environment.vm_list.fetch())
            except VmListUnavailable as error:
                log.warning("{}.", error)
            await anyio.sleep(POLL_INTERVAL_S)

    def _take_list(self, entries: tuple[VmEntry, ...]) -> None:
        vms = {entry.vm: _state_of(entry) for entry in entries}
        if vms != self._vms:
            self._vms = vms
            self._changed.set()
            self._changed = anyio.Event()


def _state_of(entry: VmEntry) -> VmState:
    health = VmHealth.LEAVING if entry.status is VmStatus.LEAVING else VmHealth.ALIVE
    return VmState(entry.vm, entry.host, entry.region, entry.availability_zone, health)
