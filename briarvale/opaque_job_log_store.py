"""Stores the log entries of an opaque job as digests, and their texts in separate objects.

The texts are written first, under the entry's nonce; creating the digest commits the entry.
"""

from . import logs
from .entry_parts import create_parts, read_parts
from .errors import ObjectNotFound
from .object_store import ObjectStore, StoredObject
from .opaque_jobs import texts_key
from .shard_log import EntryStore, LogEntry

log = logs.component_logger("jobs")

__all__ = ["OpaqueJobLogStore"]


class OpaqueJobLogStore(EntryStore):
    """Entry store of one opaque job's `ShardLog`.

    Args:
        store: The platform's store.
        job_id: The job that the log belongs to.
    """

    def __init__(self, store: ObjectStore, job_id: str) -> None:
        self._store = store
        self._job_id = job_id

    async def create(self, key: str, value: bytes) -> int:
        """Creates an entry; raises `ObjectExists` if its sequence number has an entry already."""
        entry = LogEntry.decode(value)
        if not entry.has_texts:
            return await self._store.create(key, value)
        await create_parts(self._store, texts_key(self._job_id, entry.nonce), value)
        return await self._store.create(key, entry.digest().encode())

    async def get(self, key: str) -> StoredObject:
        """Reads an entry: with its texts if it has progress, which runners need, else as stored."""
        stored = await self._store.get(key)
        entry = LogEntry.decode(stored.value)
        if not entry.has_progress:
            return stored
        try:
            full_entry = await read_parts(self._store.get, texts_key(self._job_id, entry.nonce))
        except ObjectNotFound:
            # The entry stays committed; its unfinished items start over.
            log.warning("The texts of a log entry are missing.", job_id=self._job_id, key=key)
            return stored
        return stored._replace(value=full_entry.value)
