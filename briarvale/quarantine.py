"""Requests that crash backend servers: suspects, their probation and their quarantine.

A crash makes every request in flight on that server a suspect. A suspect is retried only on a
backend server that runs no other suspect. If it finishes, it is cleared; if that server crashes
too, it is quarantined. Crashes are stored as a set of sites, so that notices from several slot
holders merge to the same result in any order.
"""

import json
import random
from collections.abc import Callable
from contextlib import suppress

import anyio

from . import logs, metrics
from ._generated.messages import CrashSite, SuspectNotice
from .environment import Environment
from .errors import (
    BriarvaleError,
    ObjectExists,
    ObjectNotFound,
    Quarantined,
    VersionConflict,
)
from .fleet_view import FleetView
from .notifier import Notifier
from .suspects import QUARANTINE_TTL_MS, SUSPECT_TTL_MS, SuspectTable

OBJECT_KEY = "quarantine/suspects"
# Time after a crash in which other slot holders may still report it.
SETTLE_MS = 500
WRITE_DELAY_S = 0.2
WRITE_RETRY_S = 2.0
LOAD_TIMEOUT_S = 2.0
REFRESH_TIMEOUT_S = 0.5

log = logs.component_logger("quarantine")

__all__ = ["Quarantine"]

NoticeHandler = Callable[[SuspectNotice], None]


class Quarantine:
    """The suspects and quarantined requests known to one gateway or batch program.

    Crashes are published and stored only while `run` is running.

    Args:
        environment: The outside interfaces.
        view: Connects to the dispatcher, which distributes notices.
    """

    def __init__(self, environment: Environment, view: FleetView) -> None:
        self._environment = environment
        self._view = view
        self._table = SuspectTable()
        self._unreported: dict[str, SuspectNotice] = {}
        self._handlers: list[NoticeHandler] = []
        self._is_unsaved = False
        self._changed = Notifier()
        self._loaded_at_ms = 0
        self.is_loaded = False
        view.subscribe_suspects(self.apply_notice)

    def subscribe(self, handler: NoticeHandler) -> None:
        """Calls the handler when a fingerprint becomes a suspect, is cleared or quarantined."""
        self._handlers.append(handler)

    def check(self, fingerprint: str) -> SuspectNotice | None:
        """Returns the entry of a suspect, or `None` for a request that may run normally.

        Raises:
            Quarantined: If it crashed two backend servers.
        """
        notice = self._table.get(fingerprint, self._now_ms())
        if notice is not None and notice.quarantined:
            metrics.QUARANTINE_REFUSALS.inc({})
            raise Quarantined(f"this request crashed {notice.crashes} backend servers")
        return notice

    async def wait_settled(self, fingerprint: str) -> SuspectNotice | None:
        """Waits until other slot holders have had time to report crashes, then checks again."""
        while (notice := self.check(fingerprint)) is not None:
            settled_at_ms = max(site.at_ms for site in notice.sites) + SETTLE_MS
            if settled_at_ms <= self._now_ms():
                await self._refresh(settled_at_ms)
                return self.check(fingerprint)
            await self._environment.clock.sleep_until(settled_at_ms)
        return None

    def record_crash(self, fingerprint: str, backend_server: str, began_at_ms: int) -> None:
        """Records that a backend server crashed while this request was in flight there.

        Args:
            fingerprint: Hash of the request's content.
            backend_server: The server that ran it.
            began_at_ms: When it was sent there.
        """
        now_ms = self._now_ms()
        earlier = self._table.get(fingerprint, now_ms)
        ttl_ms = QUARANTINE_TTL_MS if earlier else SUSPECT_TTL_MS
        site = CrashSite(backend_server, now_ms, began_at_ms)
        notice = SuspectNotice(fingerprint, 1, False, now_ms + ttl_ms, (site,))
        self._publish(notice)

    def record_finish(self, fingerprint: str) -> None:
        """Clears a suspect that finished."""
        now_ms = self._now_ms()
        notice = self._table.get(fingerprint, now_ms)
        if notice is None or notice.quarantined:
            return
        expires_at_ms = now_ms + SUSPECT_TTL_MS
        self._publish(SuspectNotice(fingerprint, 0, False, expires_at_ms, (), now_ms))

    def apply_notice(self, notice: SuspectNotice) -> None:
        """Merges a notice from another process or from the store."""
        merged = self._table.merge(notice, self._now_ms())
        if merged is None:
            return
        for handler in self._handlers:
            handler(merged)

    async def run(self) -> None:
        """Loads the stored notices, then publishes and stores changes until cancelled."""
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            await self._load()
        self.is_loaded = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._save_changes)
            while True:
                await self._report_all()
                await self._changed.wait()

    def _publish(self, notice: SuspectNotice) -> None:
        """Merges a notice of this process; if it changes an entry, reports and saves the entry."""
        merged = self._table.merge(notice, self._now_ms())
        if merged is None:
            return
        if merged.quarantined:
            metrics.QUARANTINED.inc({})
            log.warning(
                "Quarantined the request with fingerprint {}: {} crashes.",
                notice.fingerprint,
                merged.crashes,
            )
        self._unreported[notice.fingerprint] = merged
        self._is_unsaved = True
        self._changed.notify()
        for handler in self._handlers:
            handler(merged)

    async def _refresh(self, since_ms: int) -> None:
        """Reads the stored object unless it was read after `since_ms`; ignores store errors."""
        if self._loaded_at_ms >= since_ms:
            return
        self._loaded_at_ms = self._now_ms()
        with anyio.move_on_after(REFRESH_TIMEOUT_S), suppress(BriarvaleError):
            await self._load()

    async def _report_all(self) -> None:
        while self._unreported:
            _, notice = self._unreported.popitem()
            await self._view.report_suspect(notice)

    async def _save_changes(self) -> None:
        while True:
            if not self._is_unsaved:
                await self._changed.wait()
            await anyio.sleep(WRITE_DELAY_S * (1 + random.random()))
            self._is_unsaved = False
            try:
                await self._save()
            except BriarvaleError as error:
                self._is_unsaved = True
                if not isinstance(error, VersionConflict | ObjectExists):
                    log.warning("Can't save the quarantine to the store: {}.", error)
                    await anyio.sleep(WRITE_RETRY_S * (1 + random.random()))

    async def _save(self) -> None:
        """Merges the stored notices and writes all that have not expired; raises store errors."""
        version = await self._load()
        now_ms = self._now_ms()
        live = [notice for notice in self._table if self._table.get(notice.fingerprint, now_ms)]
        value = json.dumps([notice._asdict() for notice in live]).encode()
        if version is None:
            await self._environment.store.create(OBJECT_KEY, value)
        else:
            await self._environment.store.update(OBJECT_KEY, value, version)

    async def _load(self) -> int | None:
        """Merges the stored object and returns its version; `None` if there is no object yet."""
        try:
            stored = await self._environment.store.get(OBJECT_KEY)
        except ObjectNotFound:
            return None
        except BriarvaleError as error:
            if self.is_loaded:
                raise
            log.warning("Can't read the quarantine from the store: {}.", error)
            return None
        for fields in json.loads(stored.value):
            sites = tuple(CrashSite(*site) for site in fields["sites"])
            self.apply_notice(SuspectNotice(**fields | {"sites": sites}))
        return stored.version

    def _now_ms(self) -> int:
        return self._environment.clock.now_ms()
