"""Keeps the crash reports on quarantined content in the store, for nodes that all start again.

Nodes hold reports in memory and send them to a node that starts. If all nodes restart together, the
content would have to crash several servers again before it is refused.
"""

import json
from collections.abc import Callable
from typing import Protocol

import anyio
import xxhash

from . import logs
from ._generated.messages import ContentClearance, CrashReport
from .clock import Clock
from .crash_table import REPORT_TTL_MS, CrashNotice, CrashTable, KeyGroup, is_expired
from .errors import BriarvaleError, ObjectExists
from .object_feed import FeedObject, ObjectList

CRASHES_KIND = "workcrashes"
SAVE_INTERVAL_S = 0.3
# Reports of other nodes may complete a quarantine this long after this node's own report.
SAVE_WINDOW_S = 10.0
RETRY_S = 0.5
MAX_RETRY_S = 5.0

log = logs.component_logger("quarantine")

__all__ = ["CRASHES_KIND", "CrashRecords", "RecordStore"]


class RecordStore(Protocol):
    """The calls of the store that records use."""

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object and returns its version; raises `ObjectExists`."""

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object; raises `ObjectNotFound`."""

    async def list_kind(self, kind: str) -> ObjectList:
        """Lists all objects of a kind."""


class CrashRecords:
    """Saves the reports on content that this node helped to quarantine, and loads all at the start.

    Args:
        store: The platform's store.
        clock: Source of timestamps.
        crashes: Reports and clearances of all nodes.
        publish: Publishes a notice to all nodes.
    """

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        crashes: CrashTable,
        publish: Callable[[CrashNotice], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._crashes = crashes
        self._publish = publish
        self._own_reports: set[CrashReport] = set()
        self._saved: set[KeyGroup] = set()
        self._reported = anyio.Event()
        self._save_until_s = 0.0

    def publish(self, notice: CrashNotice) -> None:
        """Publishes a notice of this node; saves the reports on content that it quarantines."""
        self._publish(notice)
        if isinstance(notice, CrashReport):
            self._own_reports.add(notice)
            self._save_until_s = anyio.current_time() + SAVE_WINDOW_S
            self._reported.set()

    async def run(self) -> None:
        """Loads the records, then saves new ones until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._load_with_retries)
            while True:
                await self._reported.wait()
                await anyio.sleep(SAVE_INTERVAL_S)
                await self._save_groups()
                if anyio.current_time() >= self._save_until_s:
                    self._reported = anyio.Event()

    async def _save_groups(self) -> None:
        """Saves the quarantined groups to which this node's reports contributed."""
        self._own_reports.intersection_update(self._crashes.reports)
        for group in self._crashes.groups(self._clock.now_ms()):
            reports = self._crashes.reports_on(group)
            if group not in self._saved and not self._own_reports.isdisjoint(reports):
                await self._save(group, reports)

    async def _save(self, group: KeyGroup, reports: tuple[CrashReport, ...]) -> None:
        keys = {key for report in reports for key in report.content_keys}
        clearances = [row for row in self._crashes.clearances if row.content_key in keys]
        value = json.dumps({"reports": reports, "clearances": clearances}).encode()
        try:
            await self._store.create(f"{CRASHES_KIND}/{_record_name(group, reports)}", value)
        except ObjectExists:
            # Another node has saved them.
            self._saved.add(group)
            return
        except BriarvaleError as error:
            # The next round tries again, at least while further crashes are reported.
            self._save_until_s = anyio.current_time() + SAVE_WINDOW_S
            log.info("Can't save the reports on quarantined content yet: {}.", error)
            return
        self._saved.add(group)
        log.info("Saved the reports on quarantined content.", reports=len(reports))

    async def _load_with_retries(self) -> None:
        pause_s = RETRY_S
        while True:
            try:
                listed = await self._store.list_kind(CRASHES_KIND)
                break
            except (BriarvaleError, KeyError) as error:
                log.info("Can't read the reports on quarantined content yet: {!r}.", error)
            await anyio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, 2 * pause_s)
        for row in listed.objects:
            await self._load(row)

    async def _load(self, row: FeedObject) -> None:
        """Publishes what a record holds; deletes it once all of its reports have expired."""
        try:
            notices = _decode(row)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("Could not decode the reports in {}: {!r}.", row.name, error)
            return
        now_ms = self._clock.now_ms()
        live = [notice for notice in notices if not is_expired(notice, now_ms)]
        if live:
            log.info("Read reports on quarantined content.", record=row.name, notices=len(live))
        else:
            await self._delete(row)
        for notice in live:
            self._publish(notice)

    async def _delete(self, row: FeedObject) -> None:
        try:
            await self._store.delete(f"{CRASHES_KIND}/{row.name}")
        except BriarvaleError as error:
            log.info("Did not delete the expired reports in {}: {}.", row.name, error)


def _record_name(group: KeyGroup, reports: tuple[CrashReport, ...]) -> str:
    """Returns the name of a record, the same at all nodes, and another once the reports expire."""
    period = max(report.at_ms for report in reports) // REPORT_TTL_MS
    return xxhash.xxh3_64_hexdigest(json.dumps([period, *sorted(group)]).encode())


def _decode(row: FeedObject) -> list[CrashNotice]:
    """Decodes a record; raises `KeyError`, `TypeError` or `ValueError` if it is malformed."""
    if not isinstance(row.value, bytes):
        raise TypeError("the record holds no bytes")
    stored = json.loads(row.value)
    notices: list[CrashNotice] = [
        CrashReport(str(server), int(began_at_ms), int(at_ms), tuple(int(key) for key in keys))
        for server, began_at_ms, at_ms, keys in stored["reports"]
    ]
    notices += [ContentClearance(int(key), int(at_ms)) for key, at_ms in stored["clearances"]]
    return notices
