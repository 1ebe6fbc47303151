"""Jobs of opaque items: their stored objects, and each node's directory of all jobs.

An opaque item is an HTTP request whose body the node doesn't interpret. Jobs whose items are
prompts for a model service have other records and runners: see `jobs`.

A job is stored as one head object and, before it, its items in one or more parts; creating the head
accepts the job. Its results are a log of immutable entries, as in `shard_log`; the order of the log
gives each result its position.

Every node lists and watches heads and logs, so these hold ids only. Item bodies and result texts
are objects of other kinds, which only the nodes that run or read the job fetch.
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
MAX_PART_BYTES = 800_000
# A job's log is read within this time of its head.
FIRST_READ_S = 0.5

log = logs.component_logger("jobs")

__all__ = [
    "JOBS_KIND",
    "JobDirectory",
    "JobReplica",
    "MAX_PART_BYTES",
    "OpaqueItem",
    "OpaqueJob",
    "TextSource",
    "job_key",
    "job_log_prefix",
    "join_parts",
    "part_key",
    "split_parts",
    "texts_key",
]


class OpaqueItem(NamedTuple):
    """One item: an HTTP request to a backend server, stored until it runs.

    Attributes:
        target: The request's path and query.
        headers: Header names and values as the caller sent them.
        body_base64: The body, base64-encoded.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_base64: str


class OpaqueJob(NamedTuple):
    """An accepted job; the store holds its digest as the head, and its items in parts.

    Attributes:
        host: Host header of the items' requests.
        give_up_at_ms: When items without a result stop being retried.
        max_attempts: Runs of an item that a backend server may answer with status 500; the item
            fails after the last of them.
        part_ids: Content hashes that name the parts, so that the parts of two submissions with the
            same job id and other items don't share a key.
        runner: The first runner: the process that accepted the job.
        is_digest: Whether the items are reduced to their ids.
        route: Host and path prefix of the route on which the job was submitted.
        token_counts: For each item, the tokens of its prompt and its longest output.
        workspace: Name of the workspace that submitted the job; empty for none.
    """

    job_id: str
    host: str
    service: str
    priority: int
    submitted_at_ms: int
    due_at_ms: int
    give_up_at_ms: int
    max_attempts: int
    items: tuple[OpaqueItem, ...]
    part_ids: tuple[str, ...] = ()
    runner: RunnerId = NO_RUNNER
    is_digest: bool = False
    route: str = ""
    token_counts: tuple[int, ...] = ()
    workspace: str = ""

    @property
    def token_count(self) -> int:
        """Tokens of all items."""
        return sum(self.token_counts)

    def digest(self) -> "OpaqueJob":
        """Returns the job with its items reduced to their ids."""
        items = tuple(OpaqueItem(item.id, "", (), "") for item in self.items)
        return self._replace(items=items, is_digest=True)

    def encode(self) -> bytes:
        """Encodes the job as the JSON that is stored."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, value: bytes) -> "OpaqueJob":
        """Decodes the stored JSON."""
        row = json.loads(value)
        row["items"] = decode_items(row["items"])
        row["runner"] = RunnerId(*row["runner"])
        row["part_ids"] = tuple(row["part_ids"])
        row["token_counts"] = tuple(row.get("token_counts", ()))
        return cls(**row)


class TextSource(NamedTuple):
    """Where the text of a result is stored.

    Attributes:
        key: Key of the objects that hold the result's log entry with its texts.
        first_position: Position of the first result of that entry.
    """

    key: str
    first_position: int


class FreedTokens(NamedTuple):
    """Tokens of items whose results this node read at one time."""

    at_s: float
    token_count: int


class JobReplica:
    """This node's copy of a job: its head, and the log entries read and applied so far.

    Attributes:
        job: The digest of the job.
        full_job: The job with its items, from its acceptance on this node until its run starts.
        results: Results without their texts, by position.
        text_sources: Where the text of each result is stored, by position.
        is_ended: Whether the log is sealed: a caller ended the job.
        runner_since_s: When this node read that the current runner runs the job.
        log_end_read_at_s: When a read that found no further log entry was last started.
        waiting_tokens: Tokens of the items without a result; 0 once the job has ended.
    """

    def __init__(self, job: OpaqueJob) -> None:
        self.job = job.digest()
        self.full_job: OpaqueJob | None = None
        self.results: list[ItemResult] = []
        self.text_sources: list[TextSource] = []
        self.next_sequence = 0
        self.is_ended = False
        self.runner = job.runner
        self.runner_since_s = anyio.current_time()
        self.log_end_read_at_s = -math.inf
        self.waiting_tokens = job.token_count
        self.changed = Notifier()
        self._known_since_s = anyio.current_time()
        self._freed: list[FreedTokens] = []
        self._out_of_order: dict[int, LogEntry] = {}

    @property
    def is_complete(self) -> bool:
        """Whether no further result will be listed."""
        return self.is_ended or len(self.results) >= len(self.job.items)

    def apply_entry(self, entry: LogEntry) -> None:
        """Applies a stored log entry; one that arrives out of order waits for those before it."""
        if entry.sequence < self.next_sequence:
            return
        self._out_of_order[entry.sequence] = entry
        has_applied = False
        while self.next_sequence in self._out_of_order:
            self._apply_next(self._out_of_order.pop(self.next_sequence))
            has_applied = True
        if has_applied:
            self.changed.notify()

    def _apply_next(self, entry: LogEntry) -> None:
        source = TextSource(_source_key(self.job.job_id, entry), len(self.results))
        self.text_sources += [source] * len(entry.results)
        self.results += entry.digest().results
        self.is_ended = self.is_ended or entry.is_seal
        self._free_tokens(entry)
        if entry.runner is not None:
            self.runner = entry.runner
            self.runner_since_s = anyio.current_time()
            self.full_job = None
        self.next_sequence = entry.sequence + 1

    def _free_tokens(self, entry: LogEntry) -> None:
        """Subtracts the tokens of the items that an entry ends."""
        counts = self.job.token_counts
        freed = sum(counts[result.item_index] for result in entry.results) if counts else 0
        if self.is_ended:
            freed = self.waiting_tokens
        self.waiting_tokens -= freed
        self._freed.append(FreedTokens(anyio.current_time(), freed))

    def freed_tokens(self, since_s: float) -> int:
        """Returns the tokens of items that ended since a time.

        Leaves out what this node read with the job: it may have ended long before.
        """
        since_s = max(since_s, self._known_since_s + FIRST_READ_S)
        return sum(freed.token_count for freed in self._freed if freed.at_s >= since_s)


class JobDirectory:
    """Replicas of all jobs that this node has read, kept current by the feed of their objects."""

    def __init__(self) -> None:
        self._jobs: dict[str, JobReplica] = {}
        self._entries_without_job: dict[str, list[LogEntry]] = {}
        self.changed = Notifier()

    def __iter__(self) -> Iterator[JobReplica]:
        return iter(list(self._jobs.values()))

    def get(self, job_id: str) -> JobReplica | None:
        """Returns the replica of a job; none if this node hasn't read the job."""
        return self._jobs.get(job_id)

    def add(self, job: OpaqueJob) -> JobReplica:
        """Adds a job by its head, unless the directory has it; returns its replica."""
        replica = self._jobs.get(job.job_id)
        if replica is None:
            replica = JobReplica(job)
            self._jobs[job.job_id] = replica
            for entry in self._entries_without_job.pop(job.job_id, []):
                replica.apply_entry(entry)
            self.changed.notify()
        return replica

    def apply_entry(self, job_id: str, entry: LogEntry) -> None:
        """Applies an entry of a job's log, at once or when the job's head arrives."""
        replica = self._jobs.get(job_id)
        if replica is None:
            self._entries_without_job.setdefault(job_id, []).append(entry)
            return
        replica.apply_entry(entry)
        self.changed.notify()

    def apply_list(self, objects: tuple[FeedObject, ...], *, after_outage: bool) -> None:
        """Applies the list of all objects of the kind."""
        for feed_object in objects:
            self._apply_object(feed_object)

    def apply_change(self, change: FeedChange) -> None:
        """Applies one change; the deletion of a head removes the job."""
        if change.is_deleted:
            self._jobs.pop(change.object.name, None)
            return
        self._apply_object(change.object)

    def _apply_object(self, feed_object: FeedObject) -> None:
        """Applies a head (named by the job's id) or a log entry (id, `.log.` and a number)."""
        job_id, _, suffix = feed_object.name.partition(".")
        try:
            if not suffix:
                self.add(OpaqueJob.decode(feed_object.own_value))
            elif suffix.startswith("log."):
                self.apply_entry(job_id, LogEntry.decode(feed_object.own_value))
        except (KeyError, TypeError, ValueError) as error:
            log.warning(
                "Can't decode the object {}: {!r}.",
                feed_object.name,
                error,
                object=feed_object.name,
            )


def decode_items(rows: Iterable[list[object]]) -> tuple[OpaqueItem, ...]:
    """Decodes items from their JSON rows."""
    items = []
    for row in rows:
        item = OpaqueItem(*row)  # type: ignore[arg-type]
        items.append(item._replace(headers=tuple((name, text) for name, text in item.headers)))
    return tuple(items)


def split_parts(items: tuple[OpaqueItem, ...]) -> Iterator[bytes]:
    """Splits the JSON of the items (ASCII) into parts that each fit into one object."""
    value = json.dumps(items).encode()
    for start in range(0, len(value), MAX_PART_BYTES):
        yield value[start : start + MAX_PART_BYTES]


def join_parts(parts: Iterable[bytes]) -> tuple[OpaqueItem, ...]:
    """Decodes items from the joined parts of their JSON."""
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
    """Returns the key of the object that holds the texts of the log entry with this nonce."""
    return f"{TEXTS_KIND}/{job_id}.{nonce}"


def _source_key(job_id: str, entry: LogEntry) -> str:
    """Returns the key of the object that holds the texts of a stored entry."""
    if entry.is_digest:
        return texts_key(job_id, entry.nonce)
    return f"{job_log_prefix(job_id)}{entry.sequence:06d}"
