"""Splits a stream of server-sent events into complete events with increasing ids."""

import re
from typing import NamedTuple

from ._digits import parse_unsigned_int
from .errors import AnswerTooLong, ServerLost

__all__ = ["EventCursor", "EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1_048_576
END_OF_EVENT = re.compile(rb"\n\n|\r\n\r\n")
# As many bytes of an end may have arrived while it was incomplete.
MAX_PARTIAL_END_BYTES = 3


class StreamEvent(NamedTuple):
    """One complete event: its bytes as received, its id, and its data."""

    raw: bytes
    id: int | None
    data: str


class EventCursor:
    """Position in a stream over several runs, so that each event is accepted once and in order.

    Args:
        last_id: Id of the last accepted event; none at the start.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id

    def accept(self, event: StreamEvent) -> bool:
        """Returns whether an event is new, and moves past it; raises `ServerLost` on a gap.

        An event without an id always counts as new.
        """
        if event.id is None:
            return True
        if self.last_id is not None and event.id <= self.last_id:
            return False
        if self.last_id is not None and event.id > self.last_id + 1:
            raise ServerLost(f"event {event.id} arrived after event {self.last_id}")
        self.last_id = event.id
        return True


class EventSplitter:
    """Splits bytes into complete events; an incomplete event at the end is not returned."""

    def __init__(self) -> None:
        # The start of an event, and how much of it is known to hold no end.
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._has_events = False

    def check_end(self, *, has_framed_end: bool) -> None:
        """Raises `ServerLost` if the stream was broken off.

        Args:
            has_framed_end: Whether the answer's length or chunks mark its end. Otherwise a stream
                without an event may have been broken off before the first one.
        """
        if self._buffer.strip():
            raise ServerLost("the stream ended within an event")
        if not self._has_events and not has_framed_end:
            raise ServerLost("the connection ended before any event of the stream")

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that are now complete.

        Raises:
            AnswerTooLong: If an event has no end within `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        start = 0
        for end in END_OF_EVENT.finditer(self._buffer, self._searched_bytes):
            events.append(_parse(bytes(self._buffer[start : end.end()])))
            start = end.end()
        self._has_events = self._has_events or start > 0
        del self._buffer[:start]
        self._searched_bytes = max(0, len(self._buffer) - MAX_PARTIAL_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerTooLong(f"an event is over {MAX_EVENT_BYTES} bytes")
        return events


def _parse(raw: bytes) -> StreamEvent:
    event_id, lines = None, []
    for line in raw.decode("utf-8", errors="replace").replace("\r\n", "\n").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = parse_unsigned_int(value.strip())
        elif name == "data":
            lines.append(value)
    return StreamEvent(raw, event_id, "\n".join(lines))
