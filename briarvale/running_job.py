"""A job that this node runs, and what of it is handed over to another node."""

from collections.abc import Iterable

import anyio

from .opaque_item_runner import ItemState
from .opaque_jobs import JobReplica
from .shard_log import ItemProgress, ItemResult

__all__ = ["RunningJob", "fitting_progress"]


class RunningJob:
    """A job that this node runs.

    Attributes:
        job: The digest of the job.
        claimed_from: The job's runner when this run started: this process, or the one to replace.
        results: Results that wait to be committed.
        first_at_ms: When the first of them arrived, or was left by an earlier commit.
        states: States of the items that this run has started and that have no result, by index.
    """

    def __init__(self, replica: JobReplica) -> None:
        self.replica = replica
        self.job = replica.job
        self.claimed_from = replica.runner
        self.results: list[ItemResult] = []
        self.first_at_ms = 0
        self.states: dict[int, ItemState] = {}
        self.scope = anyio.CancelScope()
        self.result_arrived = anyio.Event()

    def add(self, result: ItemResult, now_ms: int) -> None:
        """Adds a finished item's result to those that wait to be committed."""
        if not self.results:
            self.first_at_ms = now_ms
        self.results.append(result)
        self.result_arrived.set()


def fitting_progress(states: Iterable[ItemState], max_bytes: int) -> tuple[ItemProgress, ...]:
    """Returns the progress of as many items as fit; the next runner starts the others over."""
    chosen = []
    remaining_bytes = max_bytes
    for progress in (state.progress for state in states):
        if progress is not None and progress.size_bytes <= remaining_bytes:
            chosen.append(progress)
            remaining_bytes -= progress.size_bytes
    return tuple(chosen)
