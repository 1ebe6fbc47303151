"""Counts the waiting tokens of a route from the writes that the store has applied to jobs."""

import json
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["JobWrite", "JobWrites"]


class JobWrite(NamedTuple):
    """A write of a job's head or log entry: the object's name and its value."""

    name: str
    value: bytes


class JobWrites:
    """Replays the writes of jobs in the order in which the store applied them.

    Args:
        route: Host and path prefix of the route whose tokens are counted.

    Attributes:
        most_waiting: Most tokens that waited after any write.
        dead_ids: Ids of the items that got an error as their result.
    """

    def __init__(self, route: str) -> None:
        self._route = route
        # Tokens of the items without a result, by job id and item index.
        self._waiting: dict[str, dict[int, int]] = {}
        self._item_ids: dict[str, list[str]] = {}
        self.most_waiting = 0
        self.dead_ids: set[str] = set()

    def apply(self, writes: Iterable[JobWrite]) -> None:
        """Applies writes; jobs of other routes are left out."""
        for write in writes:
            job_id, _, suffix = write.name.partition(".")
            row = json.loads(write.value)
            if not suffix and row["route"] == self._route:
                self._waiting[job_id] = dict(enumerate(row["token_counts"]))
                self._item_ids[job_id] = [item[0] for item in row["items"]]
            elif suffix and job_id in self._waiting:
                self._apply_entry(job_id, row)
            self.most_waiting = max(self.most_waiting, self.waiting)

    def _apply_entry(self, job_id: str, row: dict[str, list[list[str]]]) -> None:
        for index, _, error_code in row["results"]:
            self._waiting[job_id].pop(int(index), None)
            if error_code:
                self.dead_ids.add(self._item_ids[job_id][int(index)])
        if row["is_seal"]:
            self._waiting[job_id].clear()

    @property
    def waiting(self) -> int:
        """Tokens that wait after the last write."""
        return sum(sum(counts.values()) for counts in self._waiting.values())
