"""VM list maintained by the nodes: each writes its own entry to the store and watches all."""

import json
from collections.abc import Callable

import anyio
import msgspec

from . import logs
from .errors import (
    DocumentInvalid,
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .node_settings import NodeSettings
from .notifier import Notifier
from .object_feed import FeedChange, FeedObject
from .object_store import ObjectStore
from .strict_json import decode_json
from .vm_list import VmEntry, VmListUnavailable, VmRow, VmStatus

VMS_KIND = "vms"
RETRY_S = 0.5
FIRST_LIST_TIMEOUT_S = 5.0
CHECK_INTERVAL_S = 2.0
# A VM that was dead for less than this keeps its entry, since it may only be partitioned.
REMOVE_AFTER_S = 20.0

_ROW_DECODER = msgspec.json.Decoder(VmRow)

log = logs.component_logger("membership")

__all__ = ["VMS_KIND", "VmDirectory"]


class VmDirectory:
    """A `VmList` built from a feed of the VM entries in the store.

    Args:
        settings: This node's settings.
        store: The platform's store.
    """

    def __init__(self, settings: NodeSettings, store: ObjectStore) -> None:
        vm_settings = settings.vm_settings
        self._own = VmEntry(
            vm_settings.vm,
            vm_settings.host,
            vm_settings.region,
            vm_settings.availability_zone,
            VmStatus.LIVE,
            settings.processor_cores,
        )
        self._store = store
        self._entries: dict[str, VmEntry] = {}
        self._listed = anyio.Event()
        self._changed = Notifier()
        self._own_removed = anyio.Event()

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Returns the latest known VMs; waits for the first list of entries.

        Raises:
            VmListUnavailable: If that list does not arrive within `FIRST_LIST_TIMEOUT_S`.
        """
        with anyio.move_on_after(FIRST_LIST_TIMEOUT_S):
            await self._listed.wait()
        if not self._listed.is_set():
            raise VmListUnavailable("the VM entries have not been listed yet")
        return tuple((self._entries | {self._own.vm: self._own}).values())

    async def wait_changed(self) -> None:
        """Waits for a change of the entries."""
        await self._changed.wait()

    def processor_cores(self, vm: str) -> float:
        """Returns the processor capacity of a VM, in cores; 0 if unknown."""
        entry = self._own if vm == self._own.vm else self._entries.get(vm)
        return entry.processor_cores if entry is not None else 0.0

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Replaces all entries; a VM whose entry can't be decoded keeps the one that it had."""
        listed = {row.name for row in objects}
        self._entries = {vm: entry for vm, entry in self._entries.items() if vm in listed}
        for row in objects:
            self._cache_entry(row)
        self._listed.set()
        self._changed.notify()

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change."""
        if change.is_deleted:
            self._entries.pop(change.object.name, None)
            if change.object.name == self._own.vm:
                self._own_removed.set()
        else:
            self._cache_entry(change.object)
        self._changed.notify()

    async def maintain_entry(self) -> None:
        """Writes this node's entry, with retries, and again whenever it is removed."""
        while True:
            self._own_removed = anyio.Event()
            await self._write_entry_with_retries()
            await self._own_removed.wait()
            log.warning("This node's entry was removed; writing it again.")

    async def remove_dead_entries(self, dead: Callable[[], list[str]]) -> None:
        """Removes entries of VMs dead for `REMOVE_AFTER_S` or longer, until cancelled.

        Args:
            dead: Returns the dead VMs whose entries this node owns.
        """
        since_s: dict[str, float] = {}
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
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
            log.info("Could not remove the entry of {}; will retry: {}.", vm, error)
            return
        log.info("Removed the entry of dead VM {}.", vm, removed_vm=vm)

    async def _write_entry_with_retries(self) -> None:
        while True:
            try:
                await self._write_entry()
                return
            except (StoreThrottled, StoreUnavailable, VersionConflict, ObjectNotFound) as error:
                log.info("Could not write this node's entry; will retry: {}.", error)
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

    def _cache_entry(self, row: FeedObject) -> None:
        try:
            self._entries[row.name] = decode_json(_ROW_DECODER, row.own_value).to_entry()
        except DocumentInvalid as error:
            log.warning("Could not decode the entry of {}: {}.", row.name, error)
