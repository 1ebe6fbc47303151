"""A simulated Object API: versions, conditional writes, lists, watches and fault switches."""

import bisect
import random
from typing import NamedTuple

import anyio

from ..errors import (
    ObjectExists,
    ObjectNotFound,
    ObjectTooLarge,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from ..notifier import Notifier
from ..object_store import MAX_VALUE_BYTES, StoredObject, WatchResult

MAX_HISTORY = 10_000

__all__ = ["ObjectApiFaults", "StandinObjectApi", "StoreCall", "StoreWrite"]


class StoreCall(NamedTuple):
    """One call that the store admitted, whether or not it then took effect."""

    at_s: float
    verb: str
    key: str
    is_write: bool


class StoreWrite(NamedTuple):
    """One write that took effect, at once or late; a deletion has no value."""

    at_s: float
    key: str
    value: bytes | None


class ObjectApiFaults:
    """Faults, all off at the start, and the latency and maximum rates of calls.

    Probabilities are between 0 and 1. The caller of a late write gets `StoreUnavailable`, and the
    write takes effect `late_write_s` later.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.latency_s = 0.003
        self.lose_answer_probability = 0.0
        self.late_write_probability = 0.0
        self.late_write_s = 2.0
        self.writes_per_s = 500.0
        self.reads_per_s = 2_000.0


class _TokenBucket:
    """Admits `rate_per_s` calls per second, in bursts of at most one second's calls."""

    def __init__(self, rate_per_s: float) -> None:
        self.tokens = rate_per_s
        self.refilled_at_s = 0.0

    def admit(self, rate_per_s: float) -> bool:
        """Returns whether a call may run now, and takes a token if so."""
        now_s = anyio.current_time()
        self.tokens = min(rate_per_s, self.tokens + (now_s - self.refilled_at_s) * rate_per_s)
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StandinObjectApi:
    """Implements the `ObjectStore` protocol in memory.

    Args:
        seed: Seed of the random faults.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = ObjectApiFaults()
        self.calls: list[StoreCall] = []
        self.applied_writes: list[StoreWrite] = []
        self._random = random.Random(seed)
        self._objects: dict[str, StoredObject] = {}
        self._sorted_keys: list[str] = []
        self._version = 0
        self._history: list[tuple[int, str]] = []
        self._changed = Notifier()
        self._write_limiter = _TokenBucket(self.faults.writes_per_s)
        self._read_limiter = _TokenBucket(self.faults.reads_per_s)
        # Time of effect, key, value, and expected version or none for a create.
        self._late_writes: list[tuple[float, str, bytes, int | None]] = []

    async def get(self, key: str) -> StoredObject:
        """Reads one object."""
        await self._begin_call("get", key)
        if key not in self._objects:
            raise ObjectNotFound(key)
        return self._objects[key]

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object."""
        await self._begin_call("create", key, is_write=True, value=value)
        version = self._apply(key, value, expected_version=0)
        self._maybe_lose_response()
        return version

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object."""
        await self._begin_call("update", key, is_write=True, value=value, version=version)
        new_version = self._apply(key, value, expected_version=version)
        self._maybe_lose_response()
        return new_version

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object."""
        await self._begin_call("delete", key, is_write=True)
        if key not in self._objects:
            raise ObjectNotFound(key)
        if version is not None and self._objects[key].version != version:
            raise VersionConflict(key)
        del self._objects[key]
        self._sorted_keys.remove(key)
        self.applied_writes.append(StoreWrite(anyio.current_time(), key, None))
        self._record_change(key)
        self._maybe_lose_response()

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Lists keys."""
        await self._begin_call("list", prefix)
        start = bisect.bisect_right(self._sorted_keys, after) if after > prefix else 0
        start = max(start, bisect.bisect_left(self._sorted_keys, prefix))
        keys = []
        for key in self._sorted_keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            keys.append(key)
        return keys

    async def watch(self, prefix: str, after_version: int, timeout_s: float) -> WatchResult:
        """Waits for writes under a prefix after a version."""
        await self._begin_call("watch", prefix)
        with anyio.move_on_after(timeout_s):
            while not self._changed_keys(prefix, after_version):
                self._fail_if_down()
                await self._changed.wait()
        self._fail_if_down()
        return WatchResult(self._changed_keys(prefix, after_version), self._version)

    def peek(self, key: str) -> bytes | None:
        """Returns a value without a recorded call, for checks."""
        self._apply_late_writes()
        return self._objects[key].value if key in self._objects else None

    def peek_keys(self, prefix: str) -> list[str]:
        """Returns the keys under a prefix without a recorded call, for checks."""
        self._apply_late_writes()
        return [key for key in self._sorted_keys if key.startswith(prefix)]

    async def _begin_call(
        self,
        verb: str,
        key: str,
        *,
        is_write: bool = False,
        value: bytes = b"",
        version: int | None = None,
    ) -> None:
        """Applies the faults to a call and records it; may raise `StoreUnavailable`."""
        await anyio.sleep(self.faults.latency_s)
        self._apply_late_writes()
        self._fail_if_down()
        self._throttle(is_write)
        if len(value) > MAX_VALUE_BYTES:
            raise ObjectTooLarge(key)
        self.calls.append(StoreCall(anyio.current_time(), verb, key, is_write))
        can_be_late = verb in ("create", "update")
        if can_be_late and self._random.random() < self.faults.late_write_probability:
            due_at_s = anyio.current_time() + self.faults.late_write_s
            self._late_writes.append((due_at_s, key, value, version))
            raise StoreUnavailable("the write is delayed")

    def _throttle(self, is_write: bool) -> None:
        bucket = self._write_limiter if is_write else self._read_limiter
        rate_per_s = self.faults.writes_per_s if is_write else self.faults.reads_per_s
        if not bucket.admit(rate_per_s):
            raise StoreThrottled("too many calls")

    def _fail_if_down(self) -> None:
        if self.faults.is_down:
            raise StoreUnavailable("the store is down")

    def _apply(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object and returns its new version; 0 is expected of an object to create."""
        current = self._objects.get(key)
        if expected_version == 0 and current is not None:
            raise ObjectExists(key)
        if expected_version != 0 and current is None:
            raise ObjectNotFound(key)
        if expected_version != 0 and current is not None and current.version != expected_version:
            raise VersionConflict(key)
        if current is None:
            bisect.insort(self._sorted_keys, key)
        self._record_change(key)
        self.applied_writes.append(StoreWrite(anyio.current_time(), key, value))
        self._objects[key] = StoredObject(key, value, self._version)
        return self._version

    def _record_change(self, key: str) -> None:
        self._version += 1
        self._history.append((self._version, key))
        del self._history[:-MAX_HISTORY]
        self._changed.notify()

    def _changed_keys(self, prefix: str, after_version: int) -> tuple[str, ...]:
        recent = reversed(self._history)
        keys = set()
        for version, key in recent:
            if version <= after_version:
                break
            if key.startswith(prefix):
                keys.add(key)
        return tuple(sorted(keys))

    def _maybe_lose_response(self) -> None:
        if self._random.random() < self.faults.lose_answer_probability:
            raise StoreUnavailable("the answer was lost")

    def _apply_late_writes(self) -> None:
        now_s = anyio.current_time()
        due = [write for write in self._late_writes if write[0] <= now_s]
        self._late_writes = [write for write in self._late_writes if write[0] > now_s]
        for _, key, value, version in due:
            try:
                self._apply(key, value, expected_version=version or 0)
            except (ObjectExists, ObjectNotFound, VersionConflict):
                continue
