"""The platform's Object API: versioned objects, conditional writes, lists and watches.

Other modules depend only on the `ObjectStore` protocol. A write that raises `StoreUnavailable` may
have taken effect; one that raises `StoreThrottled` has not.
"""

from typing import NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000

__all__ = [
    "MAX_VALUE_BYTES",
    "ObjectStore",
    "StoredObject",
    "WatchResult",
]


class StoredObject(NamedTuple):
    """One object: its value and the version of its last write."""

    key: str
    value: bytes
    version: int


class WatchResult(NamedTuple):
    """Changed keys under a prefix, and the store's version up to which they are complete."""

    keys: tuple[str, ...]
    version: int


class ObjectStore(Protocol):
    """The Object API calls that Briarvale uses. Keys are paths without a leading slash."""

    async def get(self, key: str) -> StoredObject:
        """Reads one object; raises `ObjectNotFound`."""

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object and returns its version; raises `ObjectExists`."""

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object at this version; raises `VersionConflict` or `ObjectNotFound`."""

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object, at this version if given; raises `ObjectNotFound`."""

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Lists keys under the prefix in order, after a key, at most `limit`."""

    async def watch(self, prefix: str, after_version: int, timeout_s: float) -> WatchResult:
        """Waits for writes under the prefix after the version, up to the timeout."""
