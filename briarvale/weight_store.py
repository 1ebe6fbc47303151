"""Limits the weight store's load rate across all controllers by reservations in one object."""

import json
import secrets
from typing import NamedTuple

from .clock import MS_PER_S, Clock
from .errors import (
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import ObjectStore

BUDGET_KEY = "weight_store/budget"
NONCE_BYTES = 8

__all__ = ["WeightStoreBudget"]


class _Budget(NamedTuple):
    """The end of the last reservation of the weight store, and a nonce that identifies it."""

    busy_until_ms: int
    nonce: str


class WeightStoreBudget:
    """Spaces the weight loads of the entire fleet: each reserves its size divided by the rate.

    Args:
        store: The Object API.
        clock: Gives the timestamps in reservations.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def reserve(self, size_gb: float, rate_gb_per_s: float) -> bool:
        """Reserves the weight store for one load from now on; returns whether that succeeded.

        If the answer to the write is lost, the call reads the object back and succeeds if it finds
        the reservation. Otherwise it returns false, although the reservation may have taken effect
        and then stays unused.
        """
        if rate_gb_per_s <= 0 or size_gb <= 0:
            return True
        try:
            return await self._reserve(int(size_gb / rate_gb_per_s * MS_PER_S))
        except (ObjectExists, ObjectNotFound, StoreThrottled, StoreUnavailable, VersionConflict):
            return False

    async def _reserve(self, duration_ms: int) -> bool:
        now_ms = self._clock.now_ms()
        version = 0
        try:
            stored = await self._store.get(BUDGET_KEY)
            if _Budget(**json.loads(stored.value)).busy_until_ms > now_ms:
                return False
            version = stored.version
        except ObjectNotFound:
            pass
        reserved = _Budget(now_ms + duration_ms, secrets.token_hex(NONCE_BYTES))
        await self._write(reserved, version)
        return True

    async def _write(self, budget: _Budget, version: int) -> None:
        """Writes a reservation; a lost answer is no error if the store has the reservation."""
        value = json.dumps(budget._asdict()).encode()
        try:
            if version == 0:
                await self._store.create(BUDGET_KEY, value)
            else:
                await self._store.update(BUDGET_KEY, value, version)
        except StoreUnavailable:
            stored = await self._store.get(BUDGET_KEY)
            if json.loads(stored.value)["nonce"] != budget.nonce:
                raise
