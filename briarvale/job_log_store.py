"""Keeps the entries of a job's log as digests, and their texts in objects beside them.

The texts are written first, under the entry's own nonce; creating the digest is the commit.
"""

from . import logs
from .errors import ObjectExists, ObjectNotFound
from .object_store import ObjectStore, StoredObject
from .shard_log import EntryStore, LogEntry
from .work_jobs import texts_key

log = logs.part("jobs")

__all__ = ["JobLogStore"]


class JobLogStore(EntryStore):
    """What a job's `ShardLog` reads and writes.

    Args:
        store: The platform's store.
        job_id: Whose log it is.
    """

    def __init__(self, store: ObjectStore, job_id: str) -> None:
        self._store = store
        self._job_id = job_id

    async def create(self, key: str, value: bytes) -> int:
        """Creates an entry; raises `ObjectExists` if another stands at its sequence number."""
        entry = LogEntry.decode(value)
        if not entry.has_texts:
            return await self._store.create(key, value)
        await self._create_texts(entry, value)
        return await self._store.create(key, entry.digest().encode())

    async def get(self, key: str) -> StoredObject:
        """Reads an entry: whole if it has progress, for runners, else as it is stored."""
        stored = await self._store.get(key)
        entry = LogEntry.decode(stored.value)
        if not entry.has_progress:
            return stored
        try:
            whole = await self._store.get(texts_key(self._job_id, entry.nonce))
        except ObjectNotFound:
            # The entry stands; its items start anew.
            log.warning("The texts of an entry are gone.", job_id=self._job_id, key=key)
            return stored
        return stored._replace(value=whole.value)

    async def _create_texts(self, entry: LogEntry, value: bytes) -> None:
        try:
            await self._store.create(texts_key(self._job_id, entry.nonce), value)
        except ObjectExists:
            # An earlier attempt of this same entry, whose answer was lost.
            return
