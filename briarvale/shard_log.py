"""The log of one shard's results: creating entry n is the commit of what it holds."""

import json
from typing import NamedTuple

from .errors import ObjectExists, ObjectNotFound
from .object_store import ObjectStore

__all__ = ["ItemResult", "LogEntry", "ShardLog", "log_prefix"]


class ItemResult(NamedTuple):
    """The one result of an item: its text, or the code of the error that ended it."""

    item_index: int
    text: str
    error_code: str = ""


class LogEntry(NamedTuple):
    """One immutable object of the log."""

    sequence: int
    nonce: str
    results: tuple[ItemResult, ...]
    is_seal: bool = False

    def encode(self) -> bytes:
        """Returns the JSON that the Object API keeps."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LogEntry":
        """Reads the JSON that the Object API keeps."""
        row = json.loads(value)
        return cls(**row | {"results": tuple(ItemResult(*result) for result in row["results"])})


def log_prefix(member: str, job_id: str, shard_index: int) -> str:
    """Returns the prefix of a shard's log entries."""
    return f"logs/{member}/{job_id}/{shard_index:05d}/"


class ShardLog:
    """Reads and appends a shard's log.

    Args:
        store: The Object API.
        prefix: Prefix of the entries' keys.
    """

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self.results: dict[int, ItemResult] = {}
        self.next_sequence = 0
        self.is_sealed = False

    async def replay(self) -> None:
        """Reads all entries that it has not read yet."""
        while not self.is_sealed:
            try:
                stored = await self._store.get(self._key(self.next_sequence))
            except ObjectNotFound:
                return
            self._take(LogEntry.decode(stored.value))

    async def append(self, entry: LogEntry) -> bool:
        """Creates the entry; returns whether it stands, reading what stands there if not."""
        try:
            await self._store.create(self._key(entry.sequence), entry.encode())
        except ObjectExists:
            stored = LogEntry.decode((await self._store.get(self._key(entry.sequence))).value)
            self._take(stored)
            return stored.nonce == entry.nonce
        self._take(entry)
        return True

    def _take(self, entry: LogEntry) -> None:
        for result in entry.results:
            self.results.setdefault(result.item_index, result)
        self.is_sealed = entry.is_seal
        self.next_sequence = entry.sequence + 1

    def _key(self, sequence: int) -> str:
        return f"{self._prefix}{sequence:06d}"
