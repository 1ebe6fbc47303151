"""Network address of a process."""

from typing import NamedTuple

__all__ = ["PeerAddress"]


class PeerAddress(NamedTuple):
    """Address where a process listens for peers."""

    host: str
    port: int
