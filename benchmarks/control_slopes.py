"""Costs per VM, server, member, job, document and token, measured on the code that handles them."""

import gc
import json
import re
import subprocess
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import yaml

from briarvale._generated.messages import (
    ConfigBundle,
    ServerHealth,
    ServerState,
    SlotRelease,
    SlotRequest,
    View,
    VmHealth,
    VmState,
    WorkClass,
    encode_message,
)
from briarvale.active_jobs import ActiveJobs
from briarvale.clock import Clock
from briarvale.config import RULES_NAME, BackendServer, Config, documents_of
from briarvale.config_bundle import delta_since
from briarvale.config_head import apply_documents, fetch_config
from briarvale.engine_client import Completion, Token
from briarvale.failure_detector import FailureDetector
from briarvale.jobs import JobRecord, JobRequest, JobState, active_key
from briarvale.online import OnlineRequest
from briarvale.ownership import OwnershipTable
from briarvale.slot_queue import SlotQueue
from briarvale.standins.memory_dispatchers import rules_of
from briarvale.standins.memory_fleet import ENGINE_SERVICE, FleetSettings, MemoryFleet
from briarvale.standins.object_api import StandinObjectApi
from briarvale.store_budget import StoreBudget
from briarvale.view_feed import ViewFeed
from briarvale.vm_list import VmEntry, VmStatus
from features.support.virtual import run_virtual

ZONE_COUNT = 16
REPEATS = 5
IDLE_S = 120.0
DUE_MS = 3_600_000
STREAM_COUNT = 20
LONG_STREAM_TOKENS = 401
PLAIN_SERVICE = {"id": "reed-desk", "kind": "plain"}
LEASE_KEYS = ("leases/",)
NON_JOB_KEYS = (*LEASE_KEYS, "config/")
PROGRAMS = ("gateway", "dispatcher", "batch", "controller")

__all__ = ["measure_slopes"]


def measure_slopes(*, is_small: bool) -> dict[str, float]:
    """Returns all costs by name; the small run uses a tenth of the sizes."""
    scale = 10 if is_small else 1
    servers, vms, members = 10_000 // scale, 1_100 // scale, 540 // scale
    slopes: dict[str, float] = {"servers": servers, "vms": vms, "members": members}
    slopes |= _vm_memory(vms) | _server_costs(servers, vms)
    slopes |= _config_costs(servers, members) | _slot_costs(members)
    slopes |= run_virtual(_job_costs) | run_virtual(_item_costs)
    slopes |= run_virtual(_apply_calls)
    slopes |= anyio.run(_token_costs)
    return slopes | _program_memory()


def _vm_memory(vms: int) -> dict[str, float]:
    entries = [_entry(n) for n in range(vms)]

    def build() -> FailureDetector:
        detector = FailureDetector(_state(vms), lambda _: None, lambda: None)
        detector.apply_vm_list(entries)
        for n in range(vms):
            detector.merge_update(_state(n), 0)
        detector.probe_ring()
        return detector

    return {"vm_memory_bytes": _memory_of(build) / vms}


def _server_costs(servers: int, vms: int) -> dict[str, float]:
    table, known_servers = OwnershipTable("vm-0"), {s.id: s for s in map(_server, range(servers))}
    states = [_state(n) for n in range(vms)]
    first_s = _cpu_of(lambda: table.refresh(known_servers, states, (1, 1)))
    change_s = _cpu_of(lambda: table.refresh(known_servers, states[1:], (1, 2)))
    view = View(tuple(states), tuple(map(_server_state, range(servers))), 1)
    return {
        "owners_first_ms": first_s * 1_000,
        "owners_change_ms": change_s * 1_000,
        "view_change_ms": run_virtual(_view_change, view) * 1_000,
        "view_bytes": len(encode_message(view)),
        "server_memory_bytes": _memory_of(lambda: list(map(_server_state, range(servers))))
        / servers,
    }


async def _view_change(view: View) -> float:
    current = view
    feed = ViewFeed(lambda: current, encode_message)
    cpu_s = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.run)
        for number in range(REPEATS + 1):
            changed = view.servers[0]._replace(streams=number)
            current = view._replace(servers=(changed, *view.servers[1:]))
            started_s = time.process_time()
            feed.mark_changed()
            await anyio.sleep(10)
            cpu_s += time.process_time() - started_s if number else 0.0
        tasks.cancel_scope.cancel()
    return cpu_s / REPEATS


def _config_costs(servers: int, members: int) -> dict[str, float]:
    texts = {
        f"inventory/{n:04d}.yaml": _inventory_part(n, servers, members) for n in range(members)
    }
    texts[RULES_NAME] = rules_of(50)
    first = ConfigBundle(1, documents_of(texts))
    changed = {**texts, "inventory/0001.yaml": _inventory_part(1, servers, members) + "# changed\n"}
    second = ConfigBundle(2, documents_of(changed))
    config = Config(first)
    change_s = min(_cpu_of(lambda: Config(second, config)) for _ in range(REPEATS))
    return {
        "config_first_ms": _cpu_of(lambda: Config(first)) * 1_000,
        "config_change_ms": change_s * 1_000,
        "config_bytes": sum(len(document.body) for document in first.documents),
        "config_change_bytes": len(encode_message(delta_since(first, second))),
        "config_memory_bytes": _memory_of(lambda: Config(first)),
    }


async def _apply_calls() -> dict[str, float]:
    """Counts the store calls that apply and fetch a change of one document."""
    store = StandinObjectApi()
    texts = {f"inventory/{n:04d}.yaml": _inventory_part(n, 100, 10) for n in range(10)}
    texts["inventory/services.yaml"] = yaml.safe_dump({"services": [PLAIN_SERVICE]})
    texts[RULES_NAME] = yaml.safe_dump({"shares": []})
    await apply_documents(store, texts, 0)
    known_config = await fetch_config(store)
    before = len(store.calls)
    await apply_documents(
        store, {**texts, "inventory/0001.yaml": _inventory_part(1, 100, 10) + "# changed\n"}, 1
    )
    applied = store.calls[before:]
    before = len(store.calls)
    await fetch_config(store, known_config)
    writes = sum(call.is_write for call in applied)
    return {
        "config_apply_writes": writes,
        "config_apply_reads": len(applied) - writes,
        "config_fetch_reads": len(store.calls) - before,
    }


def _slot_costs(members: int) -> dict[str, float]:
    return {
        "grant_us_2_members": run_virtual(_grant_us, 2),
        "grant_us_all_members": run_virtual(_grant_us, members),
    }


async def _grant_us(members: int) -> float:
    """Returns the processor time of one grant and release among this many members."""
    shares = [{"member": f"m-{n}", "percent": 100 / members} for n in range(members)]
    config = Config.from_texts(1, _empty_inventory(), yaml.safe_dump({"shares": shares}))
    queue = SlotQueue(_server(0), Clock(1_800_000_000_000), config.rules)
    await anyio.sleep(10)
    holder = _SlotHolder()
    started_s = time.process_time()
    rounds = 2_000
    for n in range(rounds):
        request_id = f"r-{n}"
        queue.submit(_slot_request(request_id, f"m-{n % members}"), holder)
        queue.release(SlotRelease(holder.grant_ids.pop(), tokens=1))
    return (time.process_time() - started_s) / rounds * 1_000_000


class _SlotHolder:
    """A slot holder that stores the ids of its grants."""

    name = "gateway vm-0"

    def __init__(self) -> None:
        self.grant_ids: list[str] = []

    def notify(self, message: Any) -> None:
        """Records a grant's id."""
        self.grant_ids.append(message.grant_id)


async def _job_costs() -> dict[str, float]:
    idle, busy = await _job_calls(0), await _job_calls(100)
    return {"job_idle_calls_per_s": idle, "job_calls_per_s": max(0.0, (busy - idle) / 100)}


async def _job_calls(jobs: int) -> float:
    """Returns the store calls per second by which a VM follows this many running jobs."""
    store = StandinObjectApi()
    for n in range(jobs):
        record = JobRecord("m", f"j-{n}", "s", 0, 0, "d", f"u-{n}", JobState.RUNNING, (10,))
        await store.create(record.key, record.encode())
        await store.create(active_key(record.member, record.job_id, record.upload_id), b"")
    active = ActiveJobs(store, StoreBudget())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(active.run)
        await anyio.sleep(30)
        before = len(store.calls)
        await anyio.sleep(IDLE_S)
        tasks.cancel_scope.cancel()
    return (len(store.calls) - before) / IDLE_S


async def _item_costs() -> dict[str, float]:
    """Computes the costs of an item from two jobs, one with few and one with many items."""
    few, many = 500, 2_500
    fleet = MemoryFleet(FleetSettings(vm_count=1, engine_count=3, plain_count=0))
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        calls_of_few, cpu_of_few_s = await _run_job(fleet, few)
        started_s, leases_before = anyio.current_time(), _lease_calls_of(fleet)
        calls_of_many, cpu_of_many_s = await _run_job(fleet, many)
        lease_calls = _lease_calls_of(fleet) - leases_before
        lease_calls_per_s = lease_calls / (anyio.current_time() - started_s)
        tasks.cancel_scope.cancel()
    calls_per_item = (calls_of_many - calls_of_few) / (many - few)
    return {
        "calls_per_1000_items": calls_per_item * 1_000,
        "calls_per_job": max(0.0, calls_of_few - calls_per_item * few),
        "item_cpu_ms": (cpu_of_many_s - cpu_of_few_s) * 1_000 / (many - few),
        "lease_calls_per_s": lease_calls_per_s,
    }


async def _run_job(fleet: MemoryFleet, items: int) -> tuple[int, float]:
    """Runs a job until it is done; returns its Object API calls and processor time in seconds."""
    cpu_before_s = time.process_time()
    before = _job_calls_of(fleet)
    request = JobRequest("trust", f"job-{items}", ENGINE_SERVICE, fleet.clock.now_ms() + DUE_MS)
    job = await fleet.vms["vm-1"].gateway.jobs.submit(request, _item_lines(items))
    while JobRecord.decode(fleet.store.peek(job.key) or b"").state is JobState.RUNNING:
        await anyio.sleep(1)
    return _job_calls_of(fleet) - before, time.process_time() - cpu_before_s


def _job_calls_of(fleet: MemoryFleet) -> int:
    return sum(not call.key.startswith(NON_JOB_KEYS) for call in fleet.store.calls)


def _lease_calls_of(fleet: MemoryFleet) -> int:
    return sum(call.key.startswith(LEASE_KEYS) for call in fleet.store.calls)


async def _item_lines(items: int) -> AsyncIterator[bytes]:
    for index in range(items):
        yield json.dumps({"prompt": f"greeting {index}", "max_tokens": 8}).encode()


async def _token_costs() -> dict[str, float]:
    """Computes the cost of a token from streams of one token and of many."""
    fleet = MemoryFleet(FleetSettings(vm_count=1, engine_count=1, plain_count=0))
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(2)
        fleet.backends.engines["bs-1"].complete = _instant_tokens  # type: ignore[method-assign]
        await _stream_cpu(fleet, 1, STREAM_COUNT)
        short_s = await _stream_cpu(fleet, 1, STREAM_COUNT)
        long_s = await _stream_cpu(fleet, LONG_STREAM_TOKENS, STREAM_COUNT)
        tasks.cancel_scope.cancel()
    token_s = (long_s - short_s) / (LONG_STREAM_TOKENS - 1)
    return {"token_us": token_s * 1_000_000, "request_us": short_s * 1_000_000}


async def _instant_tokens(completion: Completion) -> AsyncIterator[Token]:
    for index in range(completion.max_tokens):
        yield Token(index, "tone ")
        await anyio.sleep(0)


async def _stream_cpu(fleet: MemoryFleet, tokens: int, streams: int) -> float:
    """Returns the processor time in seconds of one stream of this many tokens."""
    online = fleet.vms["vm-1"].gateway.online
    started_s = time.process_time()
    for number in range(streams):
        deadline_ms = fleet.clock.now_ms() + DUE_MS
        request_id = f"r-{tokens}-{number}"
        request = OnlineRequest(request_id, "trust", ENGINE_SERVICE, "G", tokens, deadline_ms)
        assert len([token async for token in online.stream(request)]) == tokens
    return (time.process_time() - started_s) / streams


def _program_memory() -> dict[str, float]:
    return {f"{program}_rss_mb": _rss_mb(f"briarvale.programs.{program}") for program in PROGRAMS}


def _rss_mb(module: str) -> float:
    """Returns the resident memory of a process that has imported the module."""
    code = f"import {module}; print(open('/proc/self/status').read())"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    resident = re.search(r"VmRSS:\s+(\d+)", result.stdout.decode())
    return int(resident[1]) / 1_024 if resident else 0.0


def _cpu_of(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    action()
    return time.process_time() - started_s


def _memory_of(build: Callable[[], object]) -> float:
    """Returns the bytes that the built object allocates."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size_bytes)


def _entry(n: int) -> VmEntry:
    return VmEntry(f"vm-{n}", f"10.0.{n // 250}.{n % 250}", *_region_and_zone(n), VmStatus.LIVE)


def _state(n: int) -> VmState:
    entry = _entry(n)
    region_and_zone = (entry.region, entry.availability_zone)
    return VmState(entry.vm, entry.host, *region_and_zone, VmHealth.ALIVE, 1_800_000_000_000 + n)


def _server(n: int) -> BackendServer:
    return BackendServer(
        f"bs-{n}", "reed-desk", f"http://10.1.0.{n}:9100", 32, *_region_and_zone(n)
    )


def _server_state(n: int) -> ServerState:
    return ServerState(
        f"bs-{n}", f"vm-{n}", ServerHealth.READY, n % 32, 0, 32, 1_800_000_000_000 + n
    )


def _slot_request(request_id: str, member: str) -> SlotRequest:
    deadline_ms = 1_900_000_000_000
    return SlotRequest(request_id, "bs-0", member, WorkClass.ONLINE, 1, 100, deadline_ms)


def _region_and_zone(n: int) -> tuple[str, str]:
    zone = n % ZONE_COUNT
    return f"region-{zone % 6}", f"zone-{zone}"


def _inventory_part(n: int, servers: int, members: int) -> str:
    rows = [_server(index) for index in range(n, servers, members)]
    part = {
        "members": [{"id": f"m-{n}", "api_key_sha256": [f"{n:064x}"]}],
        "backend_servers": [row._asdict() for row in rows],
    }
    return yaml.safe_dump(part)


def _empty_inventory() -> str:
    lists = ("members", "models", "services", "backend_servers")
    return yaml.safe_dump({name: [] for name in lists})
