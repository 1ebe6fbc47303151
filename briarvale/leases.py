"""Leases in the Object API: one holder at a time, whose epoch is a fencing token.

A lease alone is not safe: a holder that was paused may act after its lease has expired.
Each order therefore carries the lease's epoch, and the next holder's epoch is higher.
"""

import json
import secrets
from collections import deque
from typing import NamedTuple

import anyio

from . import logs
from .errors import (
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import ObjectStore, StoredObject

NONCE_BYTES = 8
MAX_UNANSWERED_NONCES = 16

log = logs.component_logger("leases")

__all__ = ["Lease", "LeaseTimes"]


class LeaseTimes(NamedTuple):
    """How long a lease lasts and how its holder and claimants behave.

    The holder stops `margin_s` before the lease expires; an order times out after
    `order_timeout_s`.
    """

    term_s: float = 15.0
    renew_interval_s: float = 5.0
    margin_s: float = 2.0
    order_timeout_s: float = 3.0

    @property
    def takeover_s(self) -> float:
        """How long a claimant must observe the lease unchanged before it may claim it."""
        return self.term_s + self.order_timeout_s


class _Record(NamedTuple):
    """The lease as stored in the Object API; the nonce changes with each write."""

    epoch: int
    holder: str
    nonce: str
    is_released: bool = False

    def encode(self) -> bytes:
        return json.dumps(self._asdict()).encode()


class _Observed(NamedTuple):
    """A version of the lease, and when this claimant first observed it."""

    version: int
    since_s: float


class Lease:
    """One claimant's side of a lease: claims and renews it, and tracks whether it is held.

    Args:
        store: The Object API.
        name: Name of the lease.
        holder: Name of this claimant, for operators.
        times: Term, renewal and margins.
    """

    def __init__(
        self, store: ObjectStore, name: str, holder: str, times: LeaseTimes | None = None
    ) -> None:
        self.name = name
        self.times = times or LeaseTimes()
        self._store = store
        self._holder = holder
        self._key = f"leases/{name}"
        self._record: _Record | None = None
        self._version = 0
        self._valid_until_s = float("-inf")
        self._observed: _Observed | None = None
        self._min_epoch = 1
        self._stored: StoredObject | None = None
        self._unanswered: deque[str] = deque(maxlen=MAX_UNANSWERED_NONCES)

    @property
    def is_held(self) -> bool:
        """Whether this claimant may act as the holder now, by its own clock."""
        until_s = self._valid_until_s - self.times.margin_s
        return self._record is not None and anyio.current_time() < until_s

    @property
    def epoch(self) -> int:
        """The fencing token; 0 while this claimant has no lease. Check `is_held` before use."""
        return self._record.epoch if self._record else 0

    def raise_epoch_above(self, epoch: int) -> None:
        """Makes the next write use an epoch above one that an engine has reported."""
        self._min_epoch = max(self._min_epoch, epoch + 1)

    async def renew_or_claim(self) -> None:
        """Renews the lease, or claims it if it is free; call it every `renew_interval_s`."""
        try:
            if self._record is not None:
                await self._renew(self._record)
            else:
                await self._claim()
        except (ObjectExists, ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict):
            return

    async def release(self) -> None:
        """Releases the lease, so that the next holder need not wait.

        Call it only after all orders have ended, since the next holder may act at once.
        """
        record, self._record = self._record, None
        if record is None:
            return
        released = record._replace(is_released=True, nonce=_new_nonce())
        try:
            await self._store.update(self._key, released.encode(), self._version)
        except (ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict):
            return
        log.info("Released the lease {}.", self.name)

    async def _renew(self, record: _Record) -> None:
        epoch = max(record.epoch, self._min_epoch)
        renewed = record._replace(epoch=epoch, nonce=_new_nonce())
        try:
            await self._write(renewed, self._version)
        except ObjectNotFound:
            self._lose()
        except VersionConflict:
            if not await self._adopt():
                self._lose()

    async def _claim(self) -> None:
        if await self._adopt():
            return
        stored = self._stored
        if stored is None:
            await self._write(self._new_record(0), version=0)
            return
        found = _Record(**json.loads(stored.value))
        if found.is_released or self._is_expired(stored.version):
            await self._write(self._new_record(found.epoch), stored.version)

    async def _adopt(self) -> bool:
        """Reads the lease and adopts it if it is this claimant's own unanswered write.

        The term is not extended.
        """
        try:
            self._stored = await self._store.get(self._key)
        except ObjectNotFound:
            self._stored = None
            return False
        found = _Record(**json.loads(self._stored.value))
        if found.nonce not in self._unanswered:
            return False
        self._unanswered.clear()
        self._record, self._version = found, self._stored.version
        return True

    def _is_expired(self, version: int) -> bool:
        """Whether this claimant has observed this version for as long as its holder may act."""
        now_s = anyio.current_time()
        if self._observed is None or self._observed.version != version:
            self._observed = _Observed(version, now_s)
        return now_s - self._observed.since_s >= self.times.takeover_s

    async def _write(self, record: _Record, version: int) -> None:
        """Replaces a version with the record; the term counts from before the write was sent."""
        sent_at_s = anyio.current_time()
        try:
            if version == 0:
                written = await self._store.create(self._key, record.encode())
            else:
                written = await self._store.update(self._key, record.encode(), version)
        except StoreUnavailable:
            self._unanswered.append(record.nonce)
            if await self._adopt() and self._record == record:
                self._apply_write(record, self._version, sent_at_s)
            return
        self._apply_write(record, written, sent_at_s)

    def _apply_write(self, record: _Record, version: int, sent_at_s: float) -> None:
        if self._record is None or self._record.epoch != record.epoch:
            log.info("Holds the lease {} with epoch {}.", self.name, record.epoch)
        self._record = record
        self._version = version
        self._valid_until_s = sent_at_s + self.times.term_s
        self._observed = None

    def _lose(self) -> None:
        log.info("Lost the lease {}.", self.name)
        self._record = None
        self._observed = None
        self._valid_until_s = float("-inf")

    def _new_record(self, last_epoch: int) -> _Record:
        return _Record(max(last_epoch + 1, self._min_epoch), self._holder, _new_nonce())


def _new_nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)
