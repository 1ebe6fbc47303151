"""Network address of a process."""

from typing import NamedTuple

MAX_PORT = 65_535

__all__ = ["MAX_PORT", "PeerAddress"]


class PeerAddress(NamedTuple):
    """Address where a process listens for peers."""

    host: str
    port: int
