"""The fleet's own list of VMs: each node keeps an entry in the store and follows all entries."""

import json

import anyio

from . import logs
from .errors import ObjectExists, ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict
from .object_feed import FeedChange, FeedObject
from .object_store import ObjectStore
from .settings import Settings
from .vm_list import VmEntry, VmListUnavailable, VmStatus, entry_from_row

VMS_KIND = "vms"
RETRY_S = 0.5
FIRST_LIST_S = 5.0

log = logs.part("membership")

__all__ = ["VMS_KIND", "VmDirectory"]


class VmDirectory:
    """The VM list, from a feed of the entries.

    Args:
        settings: This node's settings.
        store: The platform's store.
    """

    def __init__(self, settings: Settings, store: ObjectStore) -> None:
        self._own = VmEntry(
            settings.vm,
            settings.host,
            settings.region,
            settings.availability_zone,
            VmStatus.LIVE,
        )
        self._store = store
        self._entries: dict[str, VmEntry] = {}
        self._listed = anyio.Event()

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

    def take_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes all entries."""
        self._entries.clear()
        for row in objects:
            self._take(row)
        self._listed.set()

    def take_change(self, change: FeedChange) -> None:
        """Takes one change."""
        if change.is_deleted:
            self._entries.pop(change.object.name, None)
        else:
            self._take(change.object)

    async def enter(self) -> None:
        """Writes this node's entry, however long the store is away."""
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
