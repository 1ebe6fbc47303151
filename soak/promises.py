"""Checks the system's promises against the records of the callers and the backend servers."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from features.support.platform_engine import PlatformEngineStandin, expected_text
from soak.callers import WaitingCount
from soak.fleet import EVENT_COUNT, MAX_WAITING_TOKENS, SoakFleet
from soak.records import CallRecord, SubmittedJob
from soak.schedule import PLANNED_FAULTS, FaultRecord

# Statuses that promise the caller that the request was not run.
NOT_RUN = frozenset((408, 421, 429, 503))
# Time for which a removed fault may still affect calls: broken connections are noticed late, and
# nodes must rediscover each other.
FAULT_SETTLE_S = 4.0

# Of the requests with a deadly part, this many may reach servers long after so many crashes.
MIN_DEADLY_CRASHES, MAX_DEADLY_CALLS = 5, 3

__all__ = [
    "BrokenPromise",
    "check_calls",
    "check_deadly_calls",
    "check_exits",
    "check_jobs",
    "check_limit",
]


class BrokenPromise(NamedTuple):
    """A broken promise, and the request, job or process that it was broken for."""

    promise: str
    detail: str


def check_calls(
    calls: Iterable[CallRecord], fleet: SoakFleet, faults: list[FaultRecord]
) -> list[BrokenPromise]:
    """Checks the answer, the number of runs and the timing of each request."""
    run_counts = _run_counts(fleet.servers.values())
    unplanned = [fault for fault in faults if fault.name not in PLANNED_FAULTS]
    broken = []
    for call in calls:
        detail = f"{call.kind} {call.request_id} at {call.node}: status {call.status}"
        if not call.is_correct:
            broken.append(BrokenPromise("an answer is complete and belongs to its request", detail))
        if call.status in NOT_RUN and run_counts[call.request_id]:
            broken.append(BrokenPromise("a request reported as not run has not run", detail))
        if call.kind == "unsafe" and run_counts[call.request_id] > 1:
            broken.append(BrokenPromise("an unsafe request runs once", detail))
        if call.has_timed_out and not _overlaps(call, _faults_of_node(unplanned, call.node)):
            broken.append(BrokenPromise("each request is answered in time", detail))
        is_cut = not call.is_complete and not call.has_timed_out and run_counts[call.request_id]
        if is_cut and not _overlaps(call, unplanned):
            broken.append(BrokenPromise("planned maintenance interrupts no request", detail))
    return broken


def check_deadly_calls(
    calls: Iterable[CallRecord], fleet: SoakFleet, faults: list[FaultRecord]
) -> list[BrokenPromise]:
    """Checks that few requests with a deadly part reach servers once five of them crashed some.

    Requests at nodes that a fault affects, or while one affects the store, do not count.
    """
    run_counts = _run_counts(fleet.servers.values())
    if len(fleet.crashed_at_s) < MIN_DEADLY_CRASHES:
        return []
    limit_s = sorted(fleet.crashed_at_s)[MIN_DEADLY_CRASHES - 1] + FAULT_SETTLE_S
    late = [call for call in calls if call.sent_at_s > limit_s and run_counts[call.request_id]]
    counted = [
        call
        for call in late
        if not _overlaps(call, [f for f in faults if f.target in (call.node, "store")])
    ]
    if len(counted) <= MAX_DEADLY_CALLS:
        return []
    detail = ", ".join(f"{call.request_id} at {call.node}" for call in counted)
    return [BrokenPromise("content that crashes servers is refused at all nodes", detail)]


def check_jobs(jobs: Iterable[SubmittedJob]) -> list[BrokenPromise]:
    """Checks the jobs' results; call it after the faults, when jobs have had time to finish."""
    broken = []
    for job in jobs:
        ids = Counter(result["id"] for result in job.results)
        missing = [item for item in job.items if item not in ids]
        doubled = [item for item, count in ids.items() if count > 1]
        done = [result for result in job.results if result["state"] == "done"]
        if job.is_accepted and missing:
            broken.append(BrokenPromise("each item gets a result", f"{job.job_id}: {missing}"))
        if doubled:
            broken.append(BrokenPromise("an item has only one result", f"{job.job_id}: {doubled}"))
        if job.changed:
            broken.append(
                BrokenPromise("a position keeps its result", f"{job.job_id}: {job.changed}")
            )
        if any(result["text"] != expected_text(EVENT_COUNT) for result in done):
            broken.append(BrokenPromise("the text of an item is complete", job.job_id))
    return broken


def check_limit(counts: Iterable[WaitingCount]) -> list[BrokenPromise]:
    """Checks counts of the tokens that waited on the limited route."""
    promise = "no more tokens wait than the limit of their route"
    beyond = [count for count in counts if count.tokens > MAX_WAITING_TOKENS]
    return [BrokenPromise(promise, f"{count.tokens} tokens; {count.detail}") for count in beyond]


def check_exits(fleet: SoakFleet) -> list[BrokenPromise]:
    """Checks that no process ended without having been sent a signal to end."""
    return [
        BrokenPromise("no process ends by itself", f"{ended.name}: code {ended.code}")
        for ended in fleet.exits
        if not ended.was_requested
    ]


def _run_counts(servers: Iterable[PlatformEngineStandin]) -> Counter[str]:
    return Counter(request.request_id for server in servers for request in server.seen)


def _faults_of_node(faults: Iterable[FaultRecord], node: str) -> list[FaultRecord]:
    return [fault for fault in faults if fault.target == node and fault.name.startswith("node")]


def _overlaps(call: CallRecord, faults: Iterable[FaultRecord]) -> bool:
    return any(
        fault.injected_at_s <= call.ended_at_s
        and fault.removed_at_s + FAULT_SETTLE_S >= call.sent_at_s
        for fault in faults
    )
