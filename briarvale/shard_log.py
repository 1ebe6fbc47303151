"""The log of one shard's results: creating entry n commits the results in it.

A job of opaque items has one such log for all its items, which also names the process that runs it.

The rules named in the docstrings are those of specs/shard_log.pml.
"""

import json
import secrets
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from .errors import ObjectExists, ObjectNotFound, ShardSealed
from .object_store import StoredObject
from .store_budget import StoreBudget

SEPARATOR_BYTES = 2

__all__ = [
    "EntryStore",
    "ItemProgress",
    "ItemResult",
    "LogEntry",
    "NO_RUNNER",
    "RunnerId",
    "ShardLog",
    "fitting_results",
]


class ItemResult(NamedTuple):
    """The only result of an item: its text, or the code of the error that ended it."""

    item_index: int
    text: str
    error_code: str = ""

    @property
    def size_bytes(self) -> int:
        """Upper bound of its size in a log entry."""
        return len(json.dumps(self))


class ItemProgress(NamedTuple):
    """Progress of an item: the text up to and including an event, after which it can resume."""

    item_index: int
    last_event_id: int
    text: str

    @property
    def size_bytes(self) -> int:
        """Upper bound of its size in a log entry."""
        return len(json.dumps(self))


class RunnerId(NamedTuple):
    """Identifies the process that runs a job: one start of a node's program."""

    vm: str
    boot_id: str


NO_RUNNER = RunnerId("", "")


def fitting_results(results: Iterable[ItemResult], max_bytes: int) -> list[ItemResult]:
    """Returns the longest prefix of results that fits into a size, but at least one if any."""
    size_bytes = 0
    chosen: list[ItemResult] = []
    for result in results:
        size_bytes += result.size_bytes + SEPARATOR_BYTES
        if chosen and size_bytes > max_bytes:
            break
        chosen.append(result)
    return chosen


class LogEntry(NamedTuple):
    """One immutable object of the log.

    Attributes:
        is_seal: Whether this is the last entry of the log.
        progress: Progress of unfinished items, for the next runner.
        runner: The runner from this entry on; none if it doesn't change.
        is_digest: Whether result texts are left out and stored in a separate object.
        has_progress: Whether `progress` is left out as well.
    """

    sequence: int
    nonce: str
    results: tuple[ItemResult, ...]
    is_seal: bool = False
    progress: tuple[ItemProgress, ...] = ()
    runner: RunnerId | None = None
    is_digest: bool = False
    has_progress: bool = False

    @property
    def has_texts(self) -> bool:
        """Whether the entry has texts or progress, which a digest leaves out."""
        return any(result.text for result in self.results) or bool(self.progress)

    def digest(self) -> "LogEntry":
        """Returns the entry without texts and progress."""
        results = tuple(result._replace(text="") for result in self.results)
        has_progress = bool(self.progress)
        return self._replace(
            results=results, progress=(), is_digest=True, has_progress=has_progress
        )

    def encode(self) -> bytes:
        """Encodes the entry as the JSON that is stored."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LogEntry":
        """Decodes the stored JSON."""
        row = json.loads(value)
        row["results"] = tuple(ItemResult(*result) for result in row["results"])
        row["progress"] = tuple(ItemProgress(*item) for item in row.get("progress", ()))
        row["runner"] = RunnerId(*row["runner"]) if row.get("runner") else None
        return cls(**row)


class EntryStore(Protocol):
    """Storage of log entries, such as the Object API."""

    async def get(self, key: str) -> StoredObject:
        """Reads one entry; raises `ObjectNotFound`."""

    async def create(self, key: str, value: bytes) -> int:
        """Creates an entry and returns its version; raises `ObjectExists`."""


class ShardLog:
    """Reads and appends to a shard's log. Holds which items have results, not the results.

    Args:
        store: Storage of the entries.
        budget: Rate limit and retries of the calls.
        prefix: Prefix of the entries' keys.

    Attributes:
        committed_items: Indexes of the items that have a result.
        next_sequence: The sequence number after the last entry read.
        last_append_won: Whether the last `append` committed its own entry.
        progress: Progress of unfinished items that a runner left, by item index.
        runner: The runner named by the last entry that names one.
    """

    def __init__(self, store: EntryStore, budget: StoreBudget, prefix: str) -> None:
        self._store = store
        self._budget = budget
        self._prefix = prefix
        self.committed_items: set[int] = set()
        self.failed_count = 0
        self.next_sequence = 0
        self.is_sealed = False
        self.last_append_won = False
        self.progress: dict[int, ItemProgress] = {}
        self.runner: RunnerId | None = None

    async def replay(self) -> None:
        """Reads and applies all entries that haven't been read yet."""
        while not self.is_sealed:
            try:
                self._apply_entry(await self.read_entry(self.next_sequence))
            except ObjectNotFound:
                return

    async def append(
        self,
        results: list[ItemResult],
        *,
        is_seal: bool = False,
        progress: tuple[ItemProgress, ...] = (),
        runner: RunnerId | None = None,
    ) -> bool:
        """Commits results at the next sequence number; returns whether this entry was committed.

        If another writer's entry has that number, it is applied, and this call committed nothing.
        specs/shard_log.pml: Append, Seal, NoAppendAfterSeal.

        Raises:
            ShardSealed: If the log is sealed.
        """
        if self.is_sealed:
            raise ShardSealed(self._prefix)
        nonce = secrets.token_hex(8)
        entry = LogEntry(
            self.next_sequence, nonce, tuple(results), is_seal, progress=progress, runner=runner
        )
        committed = entry if await self._create(entry) else await self.read_entry(entry.sequence)
        self._apply_entry(committed)
        self.last_append_won = committed.nonce == entry.nonce
        return self.last_append_won

    async def _create(self, entry: LogEntry) -> bool:
        """Creates the entry; false if its key has an object already, which may be this entry.

        An attempt without an answer may take effect late, so each retry writes the same bytes at
        the same sequence number. specs/shard_log.pml: RetrySameBytes.
        """
        try:
            await self._budget.call(self._store.create, self._key(entry.sequence), entry.encode())
        except ObjectExists:
            return False
        return True

    async def read_entry(self, sequence: int) -> LogEntry:
        """Reads the entry that was committed at a sequence number; raises `ObjectNotFound`.

        specs/shard_log.pml: SettleByReading.
        """
        stored = await self._budget.call(self._store.get, self._key(sequence))
        return LogEntry.decode(stored.value)

    def _apply_entry(self, entry: LogEntry) -> None:
        for result in entry.results:
            self.committed_items.add(result.item_index)
            self.failed_count += bool(result.error_code)
        self.progress |= {item.item_index: item for item in entry.progress}
        self.runner = self.runner if entry.runner is None else entry.runner
        self.is_sealed = entry.is_seal
        self.next_sequence = entry.sequence + 1

    def _key(self, sequence: int) -> str:
        return f"{self._prefix}{sequence:06d}"
