"""Steps for how much of the jobs that they don't run nodes read and hold in memory."""

import base64
import json
import os
import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.node_settings import NodeSettings
from briarvale.opaque_jobs import JOBS_KIND
from briarvale.peer import PeerAddress
from features.steps.platform_edges import start_process
from features.steps.platform_feeds import LINK_S, STARTED_S
from features.support.platform_fleet import Caller, FleetNode, PlatformFleet, free_port
from features.support.platform_jobs import run_on_fleet
from features.support.platform_settings_file import settings_file_text

ITEMS_A_JOB = 10
ITEM_BYTES = 15_000
CALLERS = 8
DAY_JOBS = 300
FEW_JOBS = 30
# The memory of the smallest machines that users have.
MEMORY_BYTES = 128_000_000
MAX_LISTED_BYTES_A_JOB = 3_000
LIST_TIMEOUT_S = 60.0
LIST_AGAIN_S = 3.0
JOBS_PATH = f"/briarvale/objects/{JOBS_KIND}"


def incompressible_job(job_id: str) -> bytes:
    """Returns a job whose items have incompressible bodies."""
    rows = [
        {
            "id": f"{job_id}-{index}",
            "path": f"/lot/{index}",
            "headers": {"Briarvale-Model": "m", "Briarvale-Token-Usage": "100,50"},
            "body": base64.b64encode(os.urandom(ITEM_BYTES)).decode(),
            "tokens": 150,
        }
        for index in range(ITEMS_A_JOB)
    ]
    return json.dumps({"items": rows}).encode()


async def store_ended_jobs(node: FleetNode, count: int) -> None:
    """Submits jobs to a node and ends each, so that no node runs them."""
    job_ids = [f"job-{number}" for number in range(count)]

    async def store_next() -> None:
        while job_ids:
            job_id = job_ids.pop()
            caller = Caller(node)
            answer = await caller.call(
                "POST", "/lot/", incompressible_job(job_id), request_id=job_id
            )
            assert answer is not None and answer.status == 202, answer
            answer = await Caller(node).call("DELETE", f"/briarvale/lots/{job_id}")
            assert answer is not None and answer.status == 200, answer

    async with anyio.create_task_group() as tasks:
        for _ in range(CALLERS):
            tasks.start_soon(store_next)


def other_node_settings(settings: NodeSettings) -> NodeSettings:
    """Returns the settings of another node that reaches the store by the same address."""
    vm_settings = settings.vm_settings._replace(vm="vm-9", host="127.0.0.31", peer_port=free_port())
    caller_address, readiness_address = (
        PeerAddress(vm_settings.host, free_port()) for _ in range(2)
    )
    return settings._replace(
        vm_settings=vm_settings, caller_address=caller_address, readiness_address=readiness_address
    )


@contextmanager
def node_process(settings: NodeSettings) -> Iterator["subprocess.Popen[str]"]:
    """Runs a node's process inside the block."""
    with tempfile.TemporaryDirectory() as folder:
        process = start_process(settings_file_text(settings), Path(folder), str(free_port()))
        try:
            yield process
        finally:
            process.kill()
            process.communicate()


def peak_bytes(process: "subprocess.Popen[str]") -> int:
    """Returns the peak resident size of a process."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    row = next(line for line in lines if line.startswith("VmHWM:"))
    return int(row.split()[1]) * 1_024


@when("300 jobs, each of 10 items of 15 kB, are in the store and a node's process starts")
def when_process_starts(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        node = next(iter(fleet.nodes.values()))
        await store_ended_jobs(node, DAY_JOBS)
        node.kill()
        await node.ended.wait()
        proxy = fleet.store_proxies[node.name]
        proxy.watches.clear()
        with node_process(other_node_settings(node.settings)) as process:
            with anyio.fail_after(LIST_TIMEOUT_S):
                while not proxy.watches[JOBS_PATH]:
                    await anyio.sleep(0.1)
            facts["peak_bytes"] = peak_bytes(process)

    run_on_fleet(context, action, nodes=1, engines=0)


@then("it has listed the jobs within 128 MB of memory")
def then_within_memory(context: Context) -> None:
    assert context.facts["peak_bytes"] < MEMORY_BYTES, context.facts["peak_bytes"]


@when("30 jobs, each of 10 items of 15 kB, are in the store and it cuts all watches")
def when_watches_cut(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        await anyio.sleep(LINK_S)
        await store_ended_jobs(next(iter(fleet.nodes.values())), FEW_JOBS)
        proxies = list(fleet.store_proxies.values())
        for proxy in proxies:
            proxy.response_bytes.clear()
        fleet.store.compact()
        fleet.store.cut_watches()
        await anyio.sleep(LIST_AGAIN_S)
        facts["listed"] = [proxy.response_bytes[JOBS_PATH] / FEW_JOBS for proxy in proxies]

    # Nodes that have been up for longer than `LIST_WAIT_S` don't wait for the publisher's list.
    with mock.patch("briarvale.feed_source.LIST_WAIT_S", STARTED_S):
        run_on_fleet(context, action, nodes=4, engines=0)


@then("no node reads more than 3 kB for each job")
def then_few_bytes(context: Context) -> None:
    assert max(context.facts["listed"]) > 0, context.facts["listed"]
    assert max(context.facts["listed"]) < MAX_LISTED_BYTES_A_JOB, context.facts["listed"]
