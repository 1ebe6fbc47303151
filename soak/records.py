"""What callers saw, as the promises are checked on it."""

from typing import NamedTuple

__all__ = ["CallRecord", "JobRecord"]


class CallRecord(NamedTuple):
    """One request of a caller; instants are of the event loop's clock.

    Attributes:
        status: Of the answer; 0 if there was none.
        is_whole: Whether the answer was read to its end.
        is_right: Whether a success has the content that the request asks for.
        has_timed_out: Whether nothing came long after the deadline.
    """

    request_id: str
    kind: str
    node: str
    sent_at_s: float
    ended_at_s: float
    status: int
    is_whole: bool
    is_right: bool
    has_timed_out: bool = False


class JobRecord:
    """A job and what was read of it."""

    def __init__(self, job_id: str, items: list[str]) -> None:
        self.job_id = job_id
        self.items = items
        self.is_accepted = False
        self.results: list[dict[str, str]] = []
        # Results that were read later and differ from what stood at their position.
        self.changed: list[str] = []

    @property
    def is_done(self) -> bool:
        """Whether each item has a result."""
        return len(self.results) >= len(self.items)

    def take(self, first: int, rows: list[dict[str, str]]) -> None:
        """Takes results from a position on."""
        for place, row in enumerate(rows, first):
            if place < len(self.results) and self.results[place] != row:
                self.changed.append(f"position {place}: {self.results[place]['id']}, {row['id']}")
            elif place == len(self.results):
                self.results.append(row)
