"""The fleet's own list of VMs: each node keeps an entry in the store and follows all entries."""

import json
from collections.abc import Callable

import anyio

from . import logs
from .errors import ObjectExists, ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict
from .node_settings import NodeSettings
from .notifier import Notifier
from .object_feed import FeedChange, FeedObject
from .object_store import ObjectStore
from .vm_list import VmEntry, VmListUnavailable, VmStatus, entry_from_row

VMS_KIND = "vms"
RETRY_S = 0.5
FIRST_LIST_S = 5.0
LOOK_INTERVAL_S = 2.0
# A VM that is cut off for long is still itself; only one that is gone needs no entry.
REMOVE_AFTER_S = 20.0

log = logs.part("membership")

__all__ = ["VMS_KIND", "VmDirectory"]


class VmDirectory:
    """The VM list, from a feed of the entries.

    Args:
        settings: This node's settings.
        store: The platform's store.
    """

    def __init__(self, settings: NodeSettings, store: ObjectStore) -> None:
        parts = settings.parts
        self._own = VmEntry(
            parts.vm,
            parts.host,
            parts.region,
            parts.availability_zone,
            VmStatus.LIVE,
            settings.processor_cores,
        )
        self._store = store
        self._entries: dict[str, VmEntry] = {}
        self._listed = anyio.Event()
        self._changed = Notifier()
        self._own_removed = anyio.Event()

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Returns the VMs as last known, once they have been listed.

        Raises:
            VmListUnavailable: If that takes too long.
        """
        with anyio.move_on_after(FIRST_LIST_S):
            await self._listed.wait()
        if not self._listed.is_set():
            raise VmListUnavailable("the entries of VMs have not been listed yet")
        return tuple((self._entries | {self._own.vm: self._own}).values())

    async def wait_changed(self) -> None:
        """Waits for a change of the entries."""
        await self._changed.wait()

    def processor_cores(self, vm: str) -> float:
        """Returns the processor time of a VM, in cores; 0 if that is not known."""
        entry = self._own if vm == self._own.vm else self._entries.get(vm)
        return entry.processor_cores if entry is not None else 0.0

    def take_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes all entries."""
        self._entries.clear()
        for row in objects:
            self._take(row)
        self._listed.set()
        self._changed.notify()

    def take_change(self, change: FeedChange) -> None:
        """Takes one change."""
        if change.is_deleted:
            self._entries.pop(change.object.name, None)
            if change.object.name == self._own.vm:
                self._own_removed.set()
        else:
            self._take(change.object)
        self._changed.notify()

    async def maintain_entry(self) -> None:
        """Writes this node's entry, however long the store is away, and again if it is removed."""
        while True:
            self._own_removed = anyio.Event()
            await self._enter()
            await self._own_removed.wait()
            log.warning("This node's entry was removed; writes it again.")

    async def remove_dead_entries(self, dead: Callable[[], list[str]]) -> None:
        """Removes entries of VMs that have long been dead, until cancelled.

        Args:
            dead: Returns the dead VMs whose entries this node should see to.
        """
        since_s: dict[str, float] = {}
        while True:
            await anyio.sleep(LOOK_INTERVAL_S)
            now_s = anyio.current_time()
            since_s = {vm: since_s.get(vm, now_s) for vm in dead() if vm in self._entries}
            for vm, dead_since_s in since_s.items():
                if now_s - dead_since_s >= REMOVE_AFTER_S:
                    await self._remove(vm)

    async def _remove(self, vm: str) -> None:
        try:
            await self._store.delete(f"{VMS_KIND}/{vm}")
        except ObjectNotFound:
            return
        except (StoreThrottled, StoreUnavailable) as error:
            log.info("Can't remove the entry of {} yet: {}.", vm, error)
            return
        log.info("Removed the entry of {}, which is dead.", vm, removed_vm=vm)

    async def _enter(self) -> None:
        while True:
            try:
                await self._write_entry()
                return
            except (StoreThrottled, StoreUnavailable, VersionConflict, ObjectNotFound) as error:
                log.info("Can't write this node's entry yet: {}.", error)
            await anyio.sleep(RETRY_S)

    async def _write_entry(self) -> None:
        key = f"{VMS_KIND}/{self._own.vm}"
        value = json.dumps(self._own._asdict()).encode()
        try:
            await self._store.create(key, value)
        except ObjectExists:
            stored = await self._store.get(key)
            if stored.value != value:
                await self._store.update(key, value, stored.version)

    def _take(self, row: FeedObject) -> None:
        try:
            value = row.value if isinstance(row.value, bytes) else b""
            self._entries[row.name] = entry_from_row(json.loads(value))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("Can't read the entry of {}: {!r}.", row.name, error)
