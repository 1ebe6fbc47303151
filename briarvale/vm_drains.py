"""Answers requests to empty a VM with a disk: nothing that must last is on those disks."""

from collections.abc import Awaitable, Callable

import anyio

from . import logs
from .errors import BriarvaleError, ObjectNotFound
from .notifier import Notifier
from .object_feed import FeedChange, FeedObject

RETRY_S = 0.5

log = logs.part("drains")

__all__ = ["VmDrains"]


class VmDrains:
    """Requests to empty VMs with a disk; the node that a request falls to says that it is done.

    Args:
        owns: Says whether this node sees to a VM.
        set_done: Writes that a VM is empty.
    """

    def __init__(
        self, owns: Callable[[str], bool], set_done: Callable[[str], Awaitable[None]]
    ) -> None:
        self._owns = owns
        self._set_done = set_done
        self._open: set[str] = set()
        self._changed = Notifier()

    def take_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes all requests."""
        self._open = {row.name for row in objects}
        self._changed.notify()

    def take_change(self, change: FeedChange) -> None:
        """Takes one change; the status that a node wrote comes as one too."""
        if change.is_deleted:
            self._open.discard(change.object.name)
        elif change.object.name not in self._open:
            self._open.add(change.object.name)
            self._changed.notify()

    async def run(self) -> None:
        """Answers requests until cancelled."""
        answered: set[str] = set()
        while True:
            for name in sorted(self._open - answered):
                if self._owns(name) and await self._answer(name):
                    answered.add(name)
            answered &= self._open
            with anyio.move_on_after(RETRY_S):
                await self._changed.wait()

    async def _answer(self, name: str) -> bool:
        try:
            await self._set_done(name)
        except ObjectNotFound:
            return True
        except BriarvaleError as error:
            log.info("Can't answer for {} yet: {}.", name, error, drained_vm=name)
            return False
        log.info("VM {} holds nothing.", name, drained_vm=name)
        return True
