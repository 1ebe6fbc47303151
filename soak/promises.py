"""The promises that a soak checks, from what callers and backend servers saw."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from features.support.platform_engine import PlatformEngineStandin, whole_text
from soak.fleet import EVENT_COUNT, SoakFleet
from soak.records import CallRecord, JobRecord
from soak.schedule import PLANNED, FaultRecord

# Statuses that say that a request has not run.
NOT_RUN = frozenset((408, 421, 429, 503))
# What a fault may still do after its end: connections break late, nodes learn of each other.
AFTERMATH_S = 4.0

__all__ = ["Broken", "check_calls", "check_exits", "check_jobs"]


class Broken(NamedTuple):
    """A promise that was broken, and where."""

    promise: str
    what: str


def check_calls(
    calls: Iterable[CallRecord], fleet: SoakFleet, faults: list[FaultRecord]
) -> list[Broken]:
    """Checks what became of each request."""
    runs = _runs(fleet.servers.values())
    unplanned = [fault for fault in faults if fault.name not in PLANNED]
    broken = []
    for call in calls:
        what = f"{call.kind} {call.request_id} at {call.node}: status {call.status}"
        if not call.is_right:
            broken.append(Broken("an answer is whole and its own", what))
        if call.status in NOT_RUN and runs[call.request_id]:
            broken.append(Broken("what is said not to have run has not", what))
        if call.kind == "unsafe" and runs[call.request_id] > 1:
            broken.append(Broken("an unsafe request runs once", what))
        if call.has_timed_out and not _touches(call, _on_node(unplanned, call.node)):
            broken.append(Broken("each request is answered in time", what))
        is_cut = not call.is_whole and not call.has_timed_out and runs[call.request_id]
        if is_cut and not _touches(call, unplanned):
            broken.append(Broken("planned work cuts no request", what))
    return broken


def check_jobs(jobs: Iterable[JobRecord]) -> list[Broken]:
    """Checks accepted jobs once all faults are over and there was time to finish."""
    broken = []
    for job in jobs:
        ids = Counter(row["id"] for row in job.results)
        missing = [item for item in job.items if item not in ids]
        doubled = [item for item, count in ids.items() if count > 1]
        done = [row for row in job.results if row["state"] == "done"]
        if job.is_accepted and missing:
            broken.append(Broken("each item gets a result", f"{job.job_id}: {missing}"))
        if doubled:
            broken.append(Broken("an item has one position", f"{job.job_id}: {doubled}"))
        if job.changed:
            broken.append(Broken("a position keeps its result", f"{job.job_id}: {job.changed}"))
        if any(row["text"] != whole_text(EVENT_COUNT) for row in done):
            broken.append(Broken("the text of an item is whole", job.job_id))
    return broken


def check_exits(fleet: SoakFleet) -> list[Broken]:
    """Checks that no process ended unless it was told to."""
    return [
        Broken("no process ends by itself", f"{gone.name}: code {gone.code}")
        for gone in fleet.exits
        if not gone.was_asked
    ]


def _runs(servers: Iterable[PlatformEngineStandin]) -> Counter[str]:
    return Counter(seen.request_id for server in servers for seen in server.seen)


def _on_node(faults: Iterable[FaultRecord], node: str) -> list[FaultRecord]:
    return [fault for fault in faults if fault.target == node and fault.name.startswith("node")]


def _touches(call: CallRecord, faults: Iterable[FaultRecord]) -> bool:
    return any(
        fault.from_s <= call.ended_at_s and fault.until_s + AFTERMATH_S >= call.sent_at_s
        for fault in faults
    )
