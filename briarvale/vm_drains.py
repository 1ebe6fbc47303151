"""Confirms drain requests for VMs with a disk, as no durable data is stored on these disks."""

from collections.abc import Awaitable, Callable

import anyio

from . import logs
from .errors import BriarvaleError
from .notifier import Notifier
from .object_feed import FeedChange, FeedObject

RETRY_S = 0.5

log = logs.component_logger("drains")

__all__ = ["VmDrains"]


class VmDrains:
    """Drain requests for VMs with a disk; the node that owns a request confirms it.

    Args:
        owns: Returns whether this node owns the request for a VM.
        confirm: Writes to the store that a VM is drained.
    """

    def __init__(
        self, owns: Callable[[str], bool], confirm: Callable[[str], Awaitable[None]]
    ) -> None:
        self._owns = owns
        self._confirm_drain = confirm
        self._open: set[str] = set()
        self._changed = Notifier()

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Replaces all open requests."""
        self._open = {row.name for row in objects}
        self._changed.notify()

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change; a change of an open request is only the status that a node wrote."""
        if change.is_deleted:
            self._open.discard(change.object.name)
        elif change.object.name not in self._open:
            self._open.add(change.object.name)
            self._changed.notify()

    async def run(self) -> None:
        """Confirms requests until cancelled."""
        confirmed: set[str] = set()
        while True:
            for name in sorted(self._open - confirmed):
                if self._owns(name) and await self._confirm(name):
                    confirmed.add(name)
            confirmed &= self._open
            with anyio.move_on_after(RETRY_S):
                await self._changed.wait()

    async def _confirm(self, name: str) -> bool:
        """Confirms a drain; returns whether it is confirmed.

        A request that is gone is tried again until the feed says so.
        """
        try:
            await self._confirm_drain(name)
        except BriarvaleError as error:
            log.info(
                "Could not confirm the drain of VM {}; will retry: {}.",
                name,
                error,
                drained_vm=name,
            )
            return False
        log.info("Confirmed the drain of VM {}.", name, drained_vm=name)
        return True
