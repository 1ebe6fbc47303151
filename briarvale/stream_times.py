"""Times of the events of one run, which its release reports to the owner of the slot."""

import anyio

from .clock import MS_PER_S

__all__ = ["StreamTimes"]


class StreamTimes:
    """Times since the request was sent, and the number of events; all 0 before the first event.

    Attributes:
        event_count: Events of this run.
    """

    def __init__(self) -> None:
        self._sent_at_s = 0.0
        self._first_at_s = 0.0
        self._last_at_s = 0.0
        self.event_count = 0

    def record_sent(self) -> None:
        """Records that the request is sent now; the counts start anew."""
        self._sent_at_s = anyio.current_time()
        self.event_count = 0

    def record_events(self, count: int) -> None:
        """Records events that arrived now."""
        if count <= 0:
            return
        self._last_at_s = anyio.current_time()
        if self.event_count == 0:
            self._first_at_s = self._last_at_s
        self.event_count += count

    @property
    def first_event_ms(self) -> int:
        """Time to the first event."""
        return self._since_sent_ms(self._first_at_s)

    @property
    def last_event_ms(self) -> int:
        """Time to the last event."""
        return self._since_sent_ms(self._last_at_s)

    def _since_sent_ms(self, at_s: float) -> int:
        return max(0, round((at_s - self._sent_at_s) * MS_PER_S)) if self.event_count else 0
