"""The budget of a process for what its callers make it hold, and who is closed when it is used up.

Nothing is refused, closed or timed out while the budget lasts. Once it is used up, connections stop
reading. Then those are closed whose callers neither send nor read, the largest first. A connection
that has waited for too long closes a larger one, or is refused if it is the largest itself.
Requests that run at a backend server are never ended.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import anyio

from . import logs, metrics
from .errors import IngressExhausted

MEBIBYTE = 1_048_576
# What a process needs beside callers and the items of jobs: code, tables, peers, and copies made
# for servers and while jobs are stored and loaded.
PROCESS_BYTES = 96_000_000
MIN_CAPACITY_BYTES = 16 * MEBIBYTE
DEFAULT_CAPACITY_BYTES = 256 * MEBIBYTE
DEFAULT_CONNECTIONS = 4_096
# Room for a readiness check or a read of the metrics while callers use up their own budget.
STATUS_CAPACITY_BYTES = 5 * MEBIBYTE
MIN_STATUS_CONNECTIONS = 8
# A request that runs needs a descriptor for its caller and one for its server.
CALLER_DESCRIPTORS_FRACTION = 0.5
STATUS_DESCRIPTORS_FRACTION = 0.0625
# Memory of an idle connection: its task, its socket and the state of its protocol.
CONNECTION_BYTES = 16_384
# Idle connections alone can use up this part of the memory.
IDLE_FRACTION = 0.5
# Connections that hold no more than this may use a reserve of the capacity beyond it.
SMALL_BYTES = 131_072
RESERVE_FRACTION = 0.125
# A caller that has neither sent nor read anything for this long is stalled.
STALL_S = 0.5
# How long a connection waits for room before another one, or it, has to end.
MAX_WAIT_S = 1.0
POLL_INTERVAL_S = 0.05

log = logs.component_logger("ingress")

__all__ = [
    "Holding",
    "IngressBudget",
    "IngressCapacity",
    "PROCESS_BYTES",
    "Phase",
    "ingress_capacities",
]


class Phase(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    # For bytes of a request from the caller.
    READING = "reading"
    # For the handler of a request.
    RUNNING = "running"
    # For the caller to read an answer.
    WRITING = "writing"


class IngressCapacity(NamedTuple):
    """What all callers together may make a process hold."""

    max_bytes: int = DEFAULT_CAPACITY_BYTES
    max_connections: int = DEFAULT_CONNECTIONS


class IngressCapacities(NamedTuple):
    """Capacity for callers, and a reserve for readiness checks and metrics."""

    callers: IngressCapacity
    status: IngressCapacity


def ingress_capacities(memory_bytes: int, max_descriptors: int) -> IngressCapacities:
    """Derives the capacities from the limits of the machine; 0 stands for an unknown limit."""
    max_bytes = DEFAULT_CAPACITY_BYTES
    if memory_bytes:
        half_bytes = (memory_bytes - PROCESS_BYTES) // 2
        max_bytes = min(max_bytes, max(MIN_CAPACITY_BYTES, half_bytes))
    connections = min(DEFAULT_CONNECTIONS, int(max_bytes * IDLE_FRACTION) // CONNECTION_BYTES)
    status_connections = connections // 8
    if max_descriptors:
        connections = min(connections, int(max_descriptors * CALLER_DESCRIPTORS_FRACTION))
        by_descriptors = int(max_descriptors * STATUS_DESCRIPTORS_FRACTION)
        status_connections = min(status_connections, by_descriptors)
    return IngressCapacities(
        IngressCapacity(max_bytes, max(1, connections)),
        IngressCapacity(STATUS_CAPACITY_BYTES, max(MIN_STATUS_CONNECTIONS, status_connections)),
    )


class Holding:
    """What one connection holds of a budget.

    Args:
        budget: The budget.
        evict: Closes the connection.

    Attributes:
        held_bytes: Memory that the connection holds.
        progress_at_s: When its caller last sent or read something.
        has_answered: Whether a request on it has been answered.
        is_waiting: Whether it waits for room, so that its caller can't make progress.
    """

    def __init__(self, budget: "IngressBudget", evict: Callable[[], None]) -> None:
        self._budget = budget
        self.evict = evict
        self.held_bytes = 0
        self.phase = Phase.IDLE
        self.progress_at_s = budget.now_s()
        self.has_answered = False
        self.is_waiting = False

    def add(self, size_bytes: int) -> None:
        """Counts bytes that the connection now holds."""
        self.held_bytes += size_bytes
        self._budget.count(self, size_bytes)

    def remove(self, size_bytes: int) -> None:
        """Counts bytes that the connection no longer holds."""
        self.add(-size_bytes)

    def reset(self, size_bytes: int) -> None:
        """Sets what the connection holds after a request, in addition to the connection itself."""
        self.add(CONNECTION_BYTES + size_bytes - self.held_bytes)

    def record_progress(self) -> None:
        """Records that the caller sent or read something."""
        self.progress_at_s = self._budget.now_s()

    async def wait_for_room(self) -> None:
        """Waits until the connection may hold more; raises `IngressExhausted` if it may not."""
        await self._budget.wait_for_room(self)

    def is_stalled(self, now_s: float) -> bool:
        """Whether the connection waits for its caller, and has done so for `STALL_S`."""
        is_slow = now_s - self.progress_at_s >= STALL_S
        return is_slow and not self.is_waiting and self.phase in (Phase.READING, Phase.WRITING)


class IngressBudget:
    """Counts what connections hold, and decides which of them are closed.

    Args:
        capacity: What they may hold together.
        now_s: Source of monotonic time.
    """

    def __init__(
        self,
        capacity: IngressCapacity = IngressCapacity(),
        now_s: Callable[[], float] = anyio.current_time,
    ) -> None:
        self._capacity = capacity
        self.now_s = now_s
        self._holdings: set[Holding] = set()
        # Connections that were told to end, and hold what they hold until they have.
        self._ending: set[Holding] = set()
        self.used_bytes = 0
        self._ending_bytes = 0
        self._next_relief_at_s = 0.0

    def open(self, evict: Callable[[], None]) -> Holding:
        """Admits a connection, and closes another one if there are too many.

        Raises:
            IngressExhausted: If requests run on all connections.
        """
        if len(self._holdings) >= self._capacity.max_connections:
            victim = min(self._evictable(), key=_usefulness, default=None)
            if victim is None:
                raise IngressExhausted("requests run on all connections")
            self._evict(victim, "connections")
        holding = Holding(self, evict)
        self._holdings.add(holding)
        holding.reset(0)
        return holding

    def close(self, holding: Holding) -> None:
        """Removes a connection that has ended."""
        if holding in self._ending:
            self._ending.discard(holding)
            self._ending_bytes -= holding.held_bytes
        self._holdings.discard(holding)
        self.used_bytes -= holding.held_bytes

    def count(self, holding: Holding, size_bytes: int) -> None:
        """Counts a change of what a connection holds."""
        self.used_bytes += size_bytes
        if holding in self._ending:
            self._ending_bytes += size_bytes

    async def wait_for_room(self, holding: Holding) -> None:
        """Waits until a connection may hold more; closes others if it must.

        Raises:
            IngressExhausted: If it has waited for `MAX_WAIT_S`, and no other connection holds more.
        """
        if self._has_room(holding):
            return
        overdue_at_s = self.now_s() + MAX_WAIT_S
        holding.is_waiting = True
        try:
            while not self._has_room(holding):
                self.evict_stalled()
                if self.now_s() >= overdue_at_s and self._is_exceeded():
                    self._evict_larger(holding)
                await anyio.sleep(POLL_INTERVAL_S)
        finally:
            holding.is_waiting = False
            holding.record_progress()

    def evict_stalled(self) -> None:
        """Closes stalled connections, the largest first, while the budget is used up."""
        now_s = self.now_s()
        if not self._is_exceeded() or now_s < self._next_relief_at_s:
            return
        self._next_relief_at_s = now_s + POLL_INTERVAL_S
        stalled = [holding for holding in self._holdings if holding.is_stalled(now_s)]
        for holding in sorted(stalled, key=_size, reverse=True):
            if not self._is_exceeded():
                return
            self._evict(holding, "stalled")

    def _is_exceeded(self) -> bool:
        """Whether connections must end, besides those that are ending."""
        return self.used_bytes - self._ending_bytes > self._capacity.max_bytes

    def _has_room(self, holding: Holding) -> bool:
        max_bytes = self._capacity.max_bytes
        if holding.held_bytes <= SMALL_BYTES:
            max_bytes += int(max_bytes * RESERVE_FRACTION)
        return self.used_bytes <= max_bytes

    def _evict_larger(self, holding: Holding) -> None:
        largest = max(self._evictable(), key=_size, default=holding)
        if largest.held_bytes <= holding.held_bytes:
            raise IngressExhausted("callers use up the memory for requests")
        self._evict(largest, "memory")

    def _evictable(self) -> list[Holding]:
        return [holding for holding in self._holdings if holding.phase is not Phase.RUNNING]

    def _evict(self, holding: Holding, reason: str) -> None:
        log.info(
            "Closed a caller's connection to make room.",
            reason=reason,
            phase=holding.phase.value,
            held_bytes=holding.held_bytes,
            used_bytes=self.used_bytes,
            max_bytes=self._capacity.max_bytes,
            connections=len(self._holdings),
        )
        metrics.INGRESS_EVICTIONS.inc({"reason": reason})
        self._holdings.discard(holding)
        self._ending.add(holding)
        self._ending_bytes += holding.held_bytes
        holding.evict()


def _usefulness(holding: Holding) -> tuple[bool, float]:
    """Orders connections: those without any answer first, then by their latest progress."""
    return holding.has_answered, holding.progress_at_s


def _size(holding: Holding) -> int:
    return holding.held_bytes
