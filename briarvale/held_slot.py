"""A slot that this process holds, and what its release reports to the owner."""

import anyio

from ._generated.messages import HeldGrant, Outcome
from .live_servers import LiveServer
from .stream_times import StreamTimes

__all__ = ["HeldSlot"]


class HeldSlot:
    """A granted slot.

    Attributes:
        revoked: Set when the owner revokes the grant.
        server_started_at_ms: Start time of the server's process if it is draining; else 0.
        is_server_draining: Whether that process is draining; the owner then grants no more slots.
        stream_times: Times of the events of the run.
    """

    def __init__(self, grant: HeldGrant) -> None:
        self.grant = grant
        self.revoked = anyio.Event()
        self.outcome = Outcome.CANCELLED
        self.tokens = 0
        self.time_between_tokens_ms = 0
        self.server_started_at_ms = 0
        self.is_server_draining = False
        self.stream_times = StreamTimes()

    def record_draining(self, server: LiveServer) -> None:
        """Records that this process of the backend server is draining; the release reports it."""
        self.server_started_at_ms = server.started_at_ms
        self.is_server_draining = True
