"""Schedules items of the open shards on this VM and limits how many run at once.

The next item is one of the member with the fewest running items, from its job with the least slack.
"""

import math
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from .due_dates import DueDates
from .item_runner import ItemRunner, ItemTask
from .jobs import Item, JobRecord
from .notifier import Notifier
from .shard_log import ItemResult
from .store_budget import StoreBudget

MIN_ITEMS_AT_ONCE = 16
MAX_ITEMS_AT_ONCE = 1_024

__all__ = ["ItemScheduler", "OpenShard"]


class OpenShard:
    """A shard whose items are in memory, with the state of each.

    Args:
        job: The job's record.
        shard_index: The index of the shard in the job.
        items: All items of the shard.
        committed_items: Indexes of items that have a result in the log.

    Attributes:
        pending: Indexes of items that haven't started, in the order in which they will.
        running: Scopes by which running items are cancelled, by index.
        results: Results that wait to be committed, by index.
        is_paused: Whether no further item starts for now.
    """

    def __init__(
        self, job: JobRecord, shard_index: int, items: list[Item], committed_items: set[int]
    ) -> None:
        self.job = job
        self.shard_index = shard_index
        self.items = items
        self.pending = deque(index for index in range(len(items)) if index not in committed_items)
        self.running: dict[int, anyio.CancelScope] = {}
        self.results: dict[int, ItemResult] = {}
        self.result_bytes = 0
        self.is_paused = False
        self.oldest_result_at_s = math.inf
        self._changed = Notifier()

    @property
    def unfinished_count(self) -> int:
        """Number of items that haven't started or are running."""
        return len(self.pending) + len(self.running)

    async def wait_changed(self, timeout_s: float) -> None:
        """Waits until a result arrives or `notify` is called, up to a timeout."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    def notify(self) -> None:
        """Wakes the tasks in `wait_changed`."""
        self._changed.notify()

    def add(self, result: ItemResult) -> None:
        """Buffers an item's result until it is committed."""
        if not self.results:
            self.oldest_result_at_s = anyio.current_time()
        self.results[result.item_index] = result
        self.result_bytes += result.size_bytes
        self.notify()

    def drop_committed(self, committed_items: set[int]) -> int:
        """Cancels and drops items with a result in the log; returns the freed buffer bytes."""
        for index in committed_items & self.running.keys():
            self.running[index].cancel()
        self.pending = deque(index for index in self.pending if index not in committed_items)
        dropped = [
            self.results.pop(index) for index in sorted(committed_items & self.results.keys())
        ]
        if not self.results:
            self.oldest_result_at_s = math.inf
        dropped_bytes = sum(result.size_bytes for result in dropped)
        self.result_bytes -= dropped_bytes
        return dropped_bytes

    def finish(self) -> None:
        """Drops the items that have not started, and lets the running ones finish."""
        self.pending.clear()
        self.notify()

    def stop(self) -> None:
        """Cancels all items; results that have arrived stay buffered."""
        self.pending.clear()
        for scope in self.running.values():
            scope.cancel()


class ItemScheduler:
    """Starts items of the open shards while the limit and the buffer allow it.

    Args:
        runner: Runs an item.
        due_dates: Orders a member's jobs.
        budget: Tracks the size of results that wait for the Object API.
        items_at_once: Returns how many items this VM should run at once.
    """

    def __init__(
        self,
        runner: ItemRunner,
        due_dates: DueDates,
        budget: StoreBudget,
        items_at_once: Callable[[], int],
    ) -> None:
        self._runner = runner
        self._due_dates = due_dates
        self._budget = budget
        self._items_at_once = items_at_once
        self.shards: list[OpenShard] = []
        self.started_count = 0
        self._wake = anyio.Event()

    @property
    def running_count(self) -> int:
        """Number of running items."""
        return sum(len(shard.running) for shard in self.shards)

    def running_of(self, member: str) -> int:
        """Returns the number of a member's running items."""
        return sum(len(shard.running) for shard in self.shards if shard.job.member == member)

    def open(self, shard: OpenShard) -> None:
        """Adds a shard, whose items start as the limits allow."""
        self.shards.append(shard)
        self.wake()

    def close(self, shard: OpenShard) -> None:
        """Removes a shard and cancels its items."""
        shard.stop()
        self.shards.remove(shard)
        self._budget.add_buffered_bytes(-shard.result_bytes)
        self.wake()

    def wake(self) -> None:
        """Wakes the scheduler to start items again."""
        self._wake.set()

    async def run(self) -> None:
        """Starts items until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake = anyio.Event()
                self._start_items(tasks)
                with anyio.move_on_after(1):
                    await self._wake.wait()

    def _start_items(self, tasks: TaskGroup) -> None:
        """Starts items until the limit is reached, the buffer is full or none is pending."""
        free_places = min(MAX_ITEMS_AT_ONCE, max(MIN_ITEMS_AT_ONCE, self._items_at_once()))
        free_places -= self.running_count
        if self._budget.is_full:
            # The shards commit their buffered results now, however few.
            for open_shard in self.shards:
                open_shard.notify()
        while free_places > 0 and not self._budget.is_full:
            shard = self._next_shard()
            if shard is None:
                return
            index = shard.pending.popleft()
            scope = anyio.CancelScope()
            shard.running[index] = scope
            self.started_count += 1
            tasks.start_soon(self._run_item, shard, index, scope)
            free_places -= 1

    def _next_shard(self) -> OpenShard | None:
        """Returns the shard whose item is started next; none if no item may start."""
        ready = [shard for shard in self.shards if shard.pending and not shard.is_paused]
        if not ready:
            return None
        running_counts = {shard.job.member: 0 for shard in ready}
        for shard in self.shards:
            if shard.job.member in running_counts:
                running_counts[shard.job.member] += len(shard.running)
        member = min(running_counts, key=lambda name: (running_counts[name], name))
        member_shards = [shard for shard in ready if shard.job.member == member]
        return min(
            member_shards, key=lambda shard: (self._due_dates.start_by_ms(shard.job), shard.job.key)
        )

    async def _run_item(self, shard: OpenShard, index: int, scope: anyio.CancelScope) -> None:
        try:
            with scope:
                start_by_ms = self._due_dates.start_by_ms
                task = ItemTask(shard.job, shard.items[index], index, start_by_ms)
                result = await self._runner.run(task)
                self._due_dates.record_item(shard.job)
                self._buffer_result(shard, result)
        finally:
            del shard.running[index]
            shard.notify()
            self.wake()

    def _buffer_result(self, shard: OpenShard, result: ItemResult) -> None:
        """Buffers a result, unless its shard was closed meanwhile."""
        if shard in self.shards:
            self._budget.add_buffered_bytes(result.size_bytes)
            shard.add(result)
