"""Collects the body of a request in blocks, so that its memory can be returned and used again."""

BLOCK_BYTES = 65_536

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """The bytes of a body that have arrived.

    Small chunks are joined, since an object for each would take more memory than its bytes. Blocks
    have a limited size: one buffer that grows would leave gaps of all sizes in the heap.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self.size_bytes = 0

    def append(self, data: bytes) -> None:
        """Adds bytes."""
        if not self._blocks or len(self._blocks[-1]) + len(data) > BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data
        self.size_bytes += len(data)

    def take(self) -> bytes:
        """Returns all bytes, and holds none afterwards."""
        body = b"".join(self._blocks)
        self.clear()
        return body

    def clear(self) -> None:
        """Drops all bytes."""
        self._blocks.clear()
        self.size_bytes = 0
