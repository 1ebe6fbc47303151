"""Jobs of opaque items on a fleet of real nodes: submitting, reading and watching them."""

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from behave.runner import Context

from features.support.platform_fleet import (
    MODEL,
    Answer,
    Caller,
    FleetNode,
    PlatformFleet,
    job_body,
    platform_fleet,
)

__all__ = [
    "DONE_SOON_TIMEOUT_S",
    "DONE_TIMEOUT_S",
    "FleetAction",
    "ITEMS",
    "JOB",
    "SLOW_GAP_S",
    "USUAL_GAP_S",
    "large_job",
    "other_than",
    "read_all",
    "read_page",
    "run_on_fleet",
    "runner_of",
    "runs_of",
    "submit_job",
]

JOB = "job-1"
ITEMS = ["item-a", "item-b", "item-c"]
DONE_TIMEOUT_S = 25.0
DONE_SOON_TIMEOUT_S = 5.0
# With the slow gap between events an item gets one event per run, so it outlasts all disturbances.
SLOW_GAP_S = 1.0
USUAL_GAP_S = 0.01

FleetAction = Callable[[PlatformFleet, dict[str, Any]], Awaitable[None]]


def run_on_fleet(
    context: Context, action: FleetAction, *, nodes: int = 2, engines: int = 2, slots: int = 4
) -> None:
    """Runs an action on a fleet; `context.facts` keeps what the action recorded for the checks."""

    async def run() -> dict[str, Any]:
        facts: dict[str, Any] = {}
        async with platform_fleet(nodes) as fleet:
            facts["engines"] = [
                await fleet.add_engine(f"i-{n}", MODEL, slots=slots) for n in range(engines)
            ]
            await action(fleet, facts)
            facts["ended nodes"] = [n.name for n in fleet.nodes.values() if n.ended.is_set()]
        return facts

    context.facts = anyio.run(run)


async def submit_job(node: FleetNode, body: bytes, job_id: str = JOB) -> Answer:
    """Submits a job on a new connection."""
    answer = await Caller(node).call("POST", "/lot/", body, request_id=job_id)
    assert answer is not None
    return answer


async def read_page(
    node: FleetNode, after: int = 0, job_id: str = JOB, headers: dict[str, str] | None = None
) -> Answer:
    """Reads a job's results on a new connection."""
    headers = {"Briarvale-Wait-Ms": "1000"} | (headers or {})
    path = f"/briarvale/lots/{job_id}?after={after}"
    answer = await Caller(node).call("GET", path, headers=headers)
    assert answer is not None
    return answer


async def read_all(
    node: FleetNode,
    count: int = len(ITEMS),
    job_id: str = JOB,
    headers: dict[str, str] | None = None,
) -> list[dict[str, str]]:
    """Reads pages of results until `count` results are listed."""
    results: list[dict[str, str]] = []
    with anyio.fail_after(DONE_TIMEOUT_S):
        while len(results) < count:
            answer = await read_page(node, len(results), job_id, headers)
            if answer.status != 200:
                await anyio.sleep(0.2)
                continue
            page = answer.json()
            assert page["total"] == count and page["next_token"] == len(results) + len(
                page["results"]
            )
            results += page["results"]
    return results


def runs_of(facts: dict[str, Any], item_id: str) -> list[Any]:
    """Returns the requests for an item that any engine received."""
    return [seen for e in facts["engines"] for seen in e.seen if seen.request_id == item_id]


async def runner_of(fleet: PlatformFleet, facts: dict[str, Any]) -> FleetNode:
    """Waits until an item of a job runs, and returns the node that runs the job."""
    with anyio.fail_after(DONE_TIMEOUT_S):
        while True:
            for node in fleet.nodes.values():
                runner = node.node._runner if node.node else None
                if runner and runner.running_count and any(e.running for e in facts["engines"]):
                    return node
            await anyio.sleep(0.01)


def other_than(fleet: PlatformFleet, node: FleetNode) -> FleetNode:
    """Returns the first node that isn't the given one."""
    return next(other for other in fleet.nodes.values() if other is not node)


def large_job(prefix: str = "item") -> bytes:
    """Returns the body of a job of 1.5 MB."""
    rows = json.loads(job_body([f"{prefix}-{name}" for name in "abc"]))
    for row in rows["items"]:
        row["body"] = base64.b64encode(bytes(400_000)).decode()
    return json.dumps(rows).encode()
