"""Stores a log entry with its texts in parts, as it may be larger than one object of the store.

A part of full size is followed by another one; the last part is shorter, and may be empty.
"""

from collections.abc import Awaitable, Callable

from .errors import ObjectExists
from .object_store import ObjectStore, StoredObject

__all__ = ["create_parts", "read_parts"]

# The store holds a part as a JSON string, whose escapes may double its size.
PART_BYTES = 510_000


async def create_parts(store: ObjectStore, key: str, value: bytes) -> None:
    """Stores a value (ASCII) under a key; parts that exist already are taken for its own."""
    for number, start in enumerate(range(0, len(value) + 1, PART_BYTES)):
        try:
            await store.create(_part_key(key, number), value[start : start + PART_BYTES])
        except ObjectExists:
            # Created by an earlier attempt for the same value, whose answer was lost.
            continue


async def read_parts(get: Callable[[str], Awaitable[StoredObject]], key: str) -> StoredObject:
    """Reads a value that `create_parts` has stored.

    Args:
        get: Reads one object; raises `ObjectNotFound`.
        key: The key of the value.
    """
    first = await get(key)
    parts = [first.value]
    while len(parts[-1]) == PART_BYTES:
        part = await get(_part_key(key, len(parts)))
        parts.append(part.value)
    return first._replace(value=b"".join(parts))


def _part_key(key: str, number: int) -> str:
    """Returns the key of a part: that of the value for the first one, number 0."""
    return f"{key}.{number}" if number else key
