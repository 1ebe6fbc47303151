"""Jobs of opaque items: what is kept of them, and what a node knows of all jobs.

A job is a head object, made last, after its parts; making it is the acceptance. Its results are a
log of immutable entries, as in `shard_log`; the order of the log gives each result its position.

Every node lists and watches heads and logs, so these hold ids alone. Bodies of items and texts of
results are objects of other kinds, which only nodes that run or read the job get.
"""

import json
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import anyio

from . import logs
from .notifier import Notifier
from .object_feed import FeedChange, FeedObject
from .shard_log import NO_RUNNER, ItemResult, LogEntry, RunnerId

JOBS_KIND = "workjobs"
PARTS_KIND = "workitems"
TEXTS_KIND = "worktexts"
PART_BYTES = 800_000

log = logs.part("jobs")

__all__ = [
    "JOBS_KIND",
    "JobDirectory",
    "KnownJob",
    "TextSource",
    "WorkItem",
    "WorkJob",
    "job_key",
    "job_log_prefix",
    "join_parts",
    "part_key",
    "split_parts",
    "texts_key",
]


class WorkItem(NamedTuple):
    """One item: a request that is sent when its turn comes.

    Attributes:
        headers: Header names and values as the caller gave them.
        body_base64: The body, encoded.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_base64: str


class WorkJob(NamedTuple):
    """An accepted job; the store keeps its digest, and its items in further objects.

    Attributes:
        part_ids: Names of these objects, from their content: another submission's differ.
        runner: Who runs it first: the process that accepted it.
        is_digest: Whether all of the items but their ids is left out.
    """

    job_id: str
    host: str
    service: str
    priority: int
    submitted_at_ms: int
    due_at_ms: int
    give_up_at_ms: int
    max_attempts: int
    items: tuple[WorkItem, ...]
    part_ids: tuple[str, ...] = ()
    runner: RunnerId = NO_RUNNER
    is_digest: bool = False

    def digest(self) -> "WorkJob":
        """Returns the job with no more of its items than their ids."""
        items = tuple(WorkItem(item.id, "", (), "") for item in self.items)
        return self._replace(items=items, is_digest=True)

    def encode(self) -> bytes:
        """Returns the JSON that the store keeps."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "WorkJob":
        """Reads the JSON that the store keeps."""
        row = json.loads(value)
        row["items"] = decode_items(row["items"])
        row["runner"] = RunnerId(*row["runner"])
        row["part_ids"] = tuple(row["part_ids"])
        return cls(**row)


class TextSource(NamedTuple):
    """Where the text of a result is: the key of an object that holds an entry of the log.

    Attributes:
        first_position: Position of the first result of that entry.
    """

    key: str
    first_position: int


class KnownJob:
    """A job as this node knows it: head, results in their positions, and whether it has ended.

    Attributes:
        job: The digest of the job.
        full_job: The job with its items, from its acceptance here until its run has ended.
        results: Results without their texts.
        text_sources: Where the text of each result is.
        log_end_read_at_s: Latest instant at which the store surely held no further entry.
    """

    def __init__(self, job: WorkJob) -> None:
        self.job = job.digest()
        self.full_job: WorkJob | None = None
        self.results: list[ItemResult] = []
        self.text_sources: list[TextSource] = []
        self.next_sequence = 0
        self.is_ended = False
        self.runner = job.runner
        self.runner_seen_at_s = anyio.current_time()
        self.log_end_read_at_s = -math.inf
        self.changed = Notifier()
        self._early: dict[int, LogEntry] = {}

    @property
    def is_complete(self) -> bool:
        """Whether nothing more will be listed."""
        return self.is_ended or len(self.results) >= len(self.job.items)

    def apply_entry(self, entry: LogEntry) -> None:
        """Takes an entry as it is stored; one that comes early waits for those before it."""
        if entry.sequence < self.next_sequence:
            return
        self._early[entry.sequence] = entry
        is_news = False
        while self.next_sequence in self._early:
            self._apply_next(self._early.pop(self.next_sequence))
            is_news = True
        if is_news:
            self.changed.notify()

    def _apply_next(self, entry: LogEntry) -> None:
        source = TextSource(_source_key(self.job.job_id, entry), len(self.results))
        self.text_sources += [source] * len(entry.results)
        self.results += entry.digest().results
        self.is_ended = self.is_ended or entry.is_seal
        if entry.runner is not None:
            self.runner = entry.runner
            self.runner_seen_at_s = anyio.current_time()
            self.full_job = None
        self.next_sequence = entry.sequence + 1


class JobDirectory:
    """All jobs that this node knows of; follows the feed of their objects."""

    def __init__(self) -> None:
        self._jobs: dict[str, KnownJob] = {}
        self._early: dict[str, list[LogEntry]] = {}
        self.changed = Notifier()

    def __iter__(self) -> Iterator[KnownJob]:
        return iter(list(self._jobs.values()))

    def get(self, job_id: str) -> KnownJob | None:
        """Returns a job by id."""
        return self._jobs.get(job_id)

    def add(self, job: WorkJob) -> KnownJob:
        """Takes a job's head; returns what is known of it."""
        known = self._jobs.get(job.job_id)
        if known is None:
            known = KnownJob(job)
            self._jobs[job.job_id] = known
            for entry in self._early.pop(job.job_id, []):
                known.apply_entry(entry)
            self.changed.notify()
        return known

    def apply_entry(self, job_id: str, entry: LogEntry) -> None:
        """Takes an entry of a job's log."""
        known = self._jobs.get(job_id)
        if known is None:
            self._early.setdefault(job_id, []).append(entry)
            return
        known.apply_entry(entry)
        self.changed.notify()

    def take_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Takes all objects of the kind."""
        for row in objects:
            self._apply_object(row)

    def take_change(self, change: FeedChange) -> None:
        """Takes one change."""
        if change.is_deleted:
            self._jobs.pop(change.object.name, None)
            return
        self._apply_object(change.object)

    def _apply_object(self, row: FeedObject) -> None:
        job_id, _, place = row.name.partition(".")
        value = row.value if isinstance(row.value, bytes) else b""
        try:
            if not place:
                self.add(WorkJob.decode(value))
            elif place.startswith("log."):
                self.apply_entry(job_id, LogEntry.decode(value))
        except (KeyError, TypeError, ValueError) as error:
            log.warning("Can't read {}: {!r}.", row.name, error, object=row.name)


def decode_items(rows: Iterable[list[object]]) -> tuple[WorkItem, ...]:
    """Reads items from the rows of their JSON."""
    items = []
    for row in rows:
        item = WorkItem(*row)  # type: ignore[arg-type]
        items.append(item._replace(headers=tuple((name, text) for name, text in item.headers)))
    return tuple(items)


def split_parts(items: tuple[WorkItem, ...]) -> list[bytes]:
    """Splits the JSON of items, which is ASCII, into parts that each fit into one object."""
    value = json.dumps(items).encode()
    return [value[start : start + PART_BYTES] for start in range(0, len(value), PART_BYTES)]


def join_parts(parts: Iterable[bytes]) -> tuple[WorkItem, ...]:
    """Reads items from the parts of their JSON."""
    return decode_items(json.loads(b"".join(parts)))


def job_key(job_id: str) -> str:
    """Returns the key of a job's head."""
    return f"{JOBS_KIND}/{job_id}"


def part_key(job_id: str, part_id: str) -> str:
    """Returns the key of one part of a job's items."""
    return f"{PARTS_KIND}/{job_id}.{part_id}"


def job_log_prefix(job_id: str) -> str:
    """Returns the prefix of the keys of a job's log."""
    return f"{JOBS_KIND}/{job_id}.log."


def texts_key(job_id: str, nonce: str) -> str:
    """Returns the key of the object with the texts of the log entry that has this nonce."""
    return f"{TEXTS_KIND}/{job_id}.{nonce}"


def _source_key(job_id: str, entry: LogEntry) -> str:
    """Returns where the texts of an entry are, from the entry as it is stored."""
    if entry.is_digest:
        return texts_key(job_id, entry.nonce)
    return f"{job_log_prefix(job_id)}{entry.sequence:06d}"
