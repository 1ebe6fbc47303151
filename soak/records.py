"""Records of what callers observed, for the check of the promises."""

from typing import NamedTuple

__all__ = ["CallRecord", "SubmittedJob"]


class CallRecord(NamedTuple):
    """One request of a caller; timestamps are of the event loop's clock.

    Attributes:
        status: HTTP status of the answer; 0 if there was none.
        is_complete: Whether the entire answer was received.
        is_correct: Whether a success has the content that the request asks for.
        has_timed_out: Whether no answer came until the caller's timeout, long after the deadline.
    """

    request_id: str
    kind: str
    node: str
    sent_at_s: float
    ended_at_s: float
    status: int
    is_complete: bool
    is_correct: bool
    has_timed_out: bool = False


class SubmittedJob:
    """A job of the callers, and its results that they have read so far."""

    def __init__(self, job_id: str, items: list[str], path: str) -> None:
        self.job_id = job_id
        self.items = items
        self.path = path
        self.is_accepted = False
        self.results: list[dict[str, str]] = []
        # Positions whose result differed between two reads.
        self.changed: list[str] = []

    @property
    def is_done(self) -> bool:
        """Whether each item has a result."""
        return len(self.results) >= len(self.items)

    def record_results(self, first_position: int, results: list[dict[str, str]]) -> None:
        """Records results read from a position on, and any that differ from an earlier read."""
        for position, result in enumerate(results, first_position):
            if position < len(self.results) and self.results[position] != result:
                self.changed.append(
                    f"position {position}: {self.results[position]['id']}, {result['id']}"
                )
            elif position == len(self.results):
                self.results.append(result)
