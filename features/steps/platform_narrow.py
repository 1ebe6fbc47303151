"""Steps for narrow links: the store's client behind a proxy of a fixed bit rate."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import SocketStream
from behave import then, when
from behave.runner import Context

from briarvale.errors import StoreUnavailable
from briarvale.ingress import Ingress
from briarvale.node_settings import StoreSettings
from briarvale.opaque_jobs import JOBS_KIND, PARTS_KIND, OpaqueItem, OpaqueJob
from briarvale.peer import PeerAddress
from briarvale.platform.store import PlatformStore
from features.support.narrow_link import NarrowLink
from features.support.platform_fleet import PlatformFleet, free_port, job_body
from features.support.platform_jobs import ITEMS, read_all, run_on_fleet, submit_job
from features.support.platform_store import PlatformStoreStandin

RATE_BITS_PER_S = 15_000_000
CALLS = 6
READ_BYTES, WRITE_BYTES = 1_000_000, 900_000
# The link needs 3.2 s for all bytes; calls that take longer than this will never succeed.
CALLS_TIMEOUT_S = 15.0
KIND = "things"
# Longer than the second that a node waits after its start before it lists the jobs.
LIST_WAIT_S = 2.5


@asynccontextmanager
async def narrow_store() -> AsyncIterator[tuple[PlatformStoreStandin, PlatformStore]]:
    """Runs a stand-in store, and yields it with a client that calls it through a narrow link."""
    standin = PlatformStoreStandin()
    store_address, link_address = (PeerAddress("127.0.0.1", free_port()) for _ in range(2))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Ingress(standin).serve, store_address)
        tasks.start_soon(NarrowLink(store_address, RATE_BITS_PER_S).serve, link_address)
        await anyio.sleep(0.1)
        yield standin, PlatformStore(StoreSettings(link_address))
        tasks.cancel_scope.cancel()


async def count_attempts(calls: list[Callable[[], Awaitable[object]]]) -> list[int]:
    """Retries concurrent calls; returns the attempts until each succeeded, 0 if it never did."""
    attempts = [0] * len(calls)

    async def repeat(index: int) -> None:
        attempt = 0
        while True:
            attempt += 1
            try:
                await calls[index]()
                attempts[index] = attempt
                return
            except StoreUnavailable:
                continue

    with anyio.move_on_after(CALLS_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            for index in range(len(calls)):
                tasks.start_soon(repeat, index)
    return attempts


@when("six calls at once read objects of 1 MB through a link of 15 Mbit/s, until each succeeds")
def when_read(context: Context) -> None:
    async def run() -> list[int]:
        async with narrow_store() as (standin, store):
            for index in range(CALLS):
                standin.put(KIND, f"thing-{index}", {"text": "x" * READ_BYTES})

            def make_read(index: int) -> Callable[[], Awaitable[object]]:
                return lambda: store.get(f"{KIND}/thing-{index}")

            return await count_attempts([make_read(index) for index in range(CALLS)])

    context.attempts = anyio.run(run)


@when("six calls at once write objects of 900 kB through a link of 15 Mbit/s")
def when_written(context: Context) -> None:
    async def run() -> list[int]:
        async with narrow_store() as (_, store):

            def make_write(index: int) -> Callable[[], Awaitable[object]]:
                return lambda: store.create(f"{KIND}/thing-{index}", b"x" * WRITE_BYTES)

            return await count_attempts([make_write(index) for index in range(CALLS)])

    context.attempts = anyio.run(run)


@then("all have succeeded at the first attempt")
def then_at_first(context: Context) -> None:
    assert context.attempts == [1] * CALLS, context.attempts


@when("the store sends a byte of its answer every 100 ms")
def when_trickles(context: Context) -> None:
    async def trickle(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
            while True:
                await anyio.sleep(0.1)
                await stream.send(b"x")

    async def run() -> float:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        store = PlatformStore(StoreSettings(PeerAddress("127.0.0.1", port)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, trickle)
            started_s = anyio.current_time()
            try:
                with anyio.fail_after(CALLS_TIMEOUT_S):
                    await store.get(f"{KIND}/thing")
            except StoreUnavailable:
                return anyio.current_time() - started_s
            finally:
                tasks.cancel_scope.cancel()
        return CALLS_TIMEOUT_S

    context.failed_after_s = anyio.run(run)


@then("the call has failed within 4 s")
def then_failed(context: Context) -> None:
    assert context.failed_after_s <= 4.0, context.failed_after_s


def large_head(number: int) -> dict[str, str]:
    """Returns the stored head object of a job whose items are in another object."""
    item = OpaqueItem(f"large-item-{number}", "", (), "")
    job = OpaqueJob(f"large-{number}", "desk.example", "desk", 0, 0, 0, 0, 3, (item,), ("part",))
    return {"text": job.digest().encode().decode()}


@when("a single node can read no part of 12 large jobs, and a small job is submitted")
def when_large(context: Context) -> None:
    async def action(fleet: PlatformFleet, facts: dict[str, Any]) -> None:
        fleet.store_proxies["vm-1"].silent_path = f"/{PARTS_KIND}/"
        for number in range(12):
            fleet.store.put(JOBS_KIND, f"large-{number}", large_head(number))
        await anyio.sleep(LIST_WAIT_S)
        started_s = anyio.current_time()
        await submit_job(fleet.nodes["vm-1"], job_body(ITEMS))
        await read_all(fleet.nodes["vm-1"])
        facts["done_after_s"] = anyio.current_time() - started_s

    run_on_fleet(context, action, nodes=1)


@then("the small job is done within 4 s")
def then_small(context: Context) -> None:
    assert context.facts["done_after_s"] <= 4, context.facts["done_after_s"]
