"""Steps for limits, readiness, logs and the process of a node."""

import contextlib
import gc
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import httpx
from anyio.abc import SocketStream
from behave import then, when
from behave.runner import Context
from loguru import logger

from briarvale.errors import ServerConnectFailed
from briarvale.http_wire import ClientConnection
from briarvale.json_logs import BURST_LINES, MAX_LINES_PER_S, configure_json_lines
from briarvale.node_settings import NodeSettings, NodeTimeLimits, StoreSettings
from briarvale.peer import MessageStream, PeerAddress, PeerIdentity, TcpTransport
from briarvale.settings import Settings
from features.support.platform_fleet import (
    GRACE_MS,
    PLAIN,
    Caller,
    PlatformFleet,
    free_port,
    platform_fleet,
)
from features.support.platform_settings_file import settings_file_text

BODY = b"look"
LIMITS = {
    "max_header_bytes": 2_000,
    "max_body_bytes": 5_000,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 800,
}
PROCESS_TIMEOUT_S = 20


async def apply_limits(fleet: PlatformFleet) -> None:
    """Starts a backend server and applies a configuration with the limits."""
    await fleet.add_engine("i-0", PLAIN)
    fleet.store.put("config", "main", fleet.config(version=9, limits=LIMITS))
    await anyio.sleep(0.3)


@when("callers send headers and a body beyond the limits, and bytes that are not HTTP")
def when_beyond_limits(context: Context) -> None:
    async def run() -> list[int]:
        async with platform_fleet() as fleet:
            await apply_limits(fleet)
            node = fleet.nodes["vm-1"]
            long_header = {"x-long": "v" * 3_000}
            answers = [
                await Caller(node).call("POST", "/look/a", BODY, headers=long_header),
                await Caller(node).call("POST", "/look/a", b"x" * 6_000),
                await raw_call(node, b"NONSENSE\r\n\r\n"),
                await Caller(node).call("POST", "/look/a", BODY),
            ]
            return [answer.status if hasattr(answer, "status") else answer for answer in answers]

    context.statuses = anyio.run(run)


async def raw_call(node: Any, data: bytes) -> int:
    """Sends bytes and returns the status of the response."""
    address = node.settings.caller_address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(data)
        return int((await stream.receive()).split(b" ")[1])


@then("they get 431, 413 and 400, and a valid request on a new connection is served")
def then_refused(context: Context) -> None:
    assert context.statuses == [431, 413, 400, 200], context.statuses


@when("a caller's connection stays idle beyond the configured time")
def when_idle(context: Context) -> None:
    async def run() -> tuple[int, float]:
        async with platform_fleet() as fleet:
            await apply_limits(fleet)
            caller = Caller(fleet.nodes["vm-1"])
            await caller.call("POST", "/look/a", BODY)
            await anyio.sleep(LIMITS["idle_timeout_ms"] * 0.8 / 1_000)
            reused = await caller.call("POST", "/look/a", BODY)
            started_s = time.monotonic()
            assert caller.stream is not None
            with anyio.fail_after(3):
                with contextlib.suppress(anyio.EndOfStream):
                    await caller.stream.receive()
            assert reused is not None
            return reused.status, time.monotonic() - started_s

    context.status, context.closed_after_s = anyio.run(run)


@then("the node closes it after that time, and not before")
def then_idle(context: Context) -> None:
    assert context.status == 200
    assert 0.6 <= context.closed_after_s <= 2.0, context.closed_after_s


@when("a node starts while the store is unavailable")
def when_no_store(context: Context) -> None:
    async def run() -> list[Any]:
        answers: list[Any] = []
        async with platform_fleet(0) as fleet:
            fleet.store.faults.refuse_status = 503
            node = fleet.start_node("vm-1", "127.0.0.11")
            await anyio.sleep(0.5)
            answers += [await readiness(node), await Caller(node).call("POST", "/look/a", BODY)]
            fleet.store.faults.refuse_status = 0
            await fleet.add_engine("i-0", PLAIN)
            await anyio.sleep(1.5)
            answers += [await readiness(node), await Caller(node).call("POST", "/look/a", BODY)]
        return answers

    context.readiness_answers = anyio.run(run)


async def readiness(node: Any) -> int:
    """Returns the status of the load balancer's readiness check."""
    address = node.settings.readiness_address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(b"GET /briarvale/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        return int((await stream.receive()).split(b" ")[1])


@then("its readiness is 503 and a request gets 503 as not run")
def then_not_ready(context: Context) -> None:
    readiness_status, answer, *_ = context.readiness_answers
    assert readiness_status == 503
    assert answer.status == 503 and answer.json()["not_run"], answer


@then("both are 200 once the store is back")
def then_ready(context: Context) -> None:
    *_, readiness_status, answer = context.readiness_answers
    assert readiness_status == 200 and answer.status == 200, (readiness_status, answer)


@when("2,000 lines are logged at once")
def when_logged(context: Context) -> None:
    with tempfile.TemporaryFile() as file, open(file.fileno(), "w", closefd=False) as text:
        with contextlib.redirect_stdout(text):
            configure_json_lines(Settings("vm-1", "r", "z", "127.0.0.1", "s", "", ""))
        for number in range(2_000):
            logger.info("Line {}.", number, request_id=str(number))
        time.sleep(2 / MAX_LINES_PER_S)
        logger.info("The next one.")
        logger.remove()
        file.seek(0)
        context.lines = [json.loads(line) for line in file.read().decode().splitlines()]


@then("no more than the burst is written, and the next line says how many were dropped")
def then_rate_limited(context: Context) -> None:
    *written, last = context.lines
    # The rate limit refills while the lines are logged.
    assert len(written) <= BURST_LINES + MAX_LINES_PER_S, len(written)
    assert last["message"] == "The next one."
    dropped = sum(line.get("dropped_lines", 0) for line in context.lines)
    assert last["dropped_lines"] > 0 and dropped == 2_000 - len(written), (dropped, len(written))
    assert written[3]["request_id"] == "3" and written[3]["vm"] == "vm-1"


def start_process(text: str, folder: Path, metrics_port: str) -> "subprocess.Popen[str]":
    """Starts a node's process with a settings file of this text."""
    path = folder / "boot.toml"
    path.write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "briarvale.programs.node"],
        env=os.environ | {"BRIARVALE_BOOT": str(path), "BRIARVALE_METRICS_PORT": metrics_port},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@when("a node's process starts with an invalid setting, and another with valid ones")
def when_process(context: Context) -> None:
    host = "127.0.0.1"
    caller, readiness_check, store = (PeerAddress(host, free_port()) for _ in range(3))
    vm_settings = Settings("vm-1", "cymru", "caerdydd", host, "", "", "", peer_port=free_port())
    valid = settings_file_text(
        NodeSettings(
            vm_settings,
            StoreSettings(store),
            NodeTimeLimits(grace_ms=GRACE_MS),
            caller_address=caller,
            readiness_address=readiness_check,
        )
    )
    metrics_port = str(free_port())
    with tempfile.TemporaryDirectory() as folder:
        invalid = valid.replace('ip = "127.0.0.1"', "ip = 7")
        rejected = start_process(invalid, Path(folder), metrics_port)
        context.rejected_error = rejected.communicate(timeout=PROCESS_TIMEOUT_S)[1]
        context.rejected_code = rejected.returncode
    with tempfile.TemporaryDirectory() as folder:
        process = start_process(valid, Path(folder), metrics_port)
        time.sleep(2)
        context.metrics = httpx.get(f"http://127.0.0.1:{metrics_port}/metrics").text
        process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        output, context.error = process.communicate(timeout=PROCESS_TIMEOUT_S)
        context.code = process.returncode
    context.messages = [json.loads(line)["message"] for line in output.splitlines()]


@then("the first exits with 2 and names the invalid field")
def then_rejected(context: Context) -> None:
    assert context.rejected_code == 2 and "ip" in context.rejected_error, context.rejected_error


@then("the other logs JSON lines, reads its settings again at SIGHUP and exits with 0 at SIGTERM")
def then_process(context: Context) -> None:
    assert context.code == 0, (context.code, context.error)
    life_cycle = [m for m in context.messages if m in ("Starts.", "Stops gracefully.", "Stopped.")]
    assert life_cycle == ["Starts.", "Stops gracefully.", "Stopped."], context.messages
    assert "Read the settings again." in context.messages


@then("its metrics are served at the port of the deploy file")
def then_metrics(context: Context) -> None:
    for name in ("briarvale_requests_total", "briarvale_slot_wait_seconds"):
        assert name in context.metrics, context.metrics[:500]


@when("a connection to a server is lost before the node has set it up")
def when_lost_at_once(context: Context) -> None:
    connect = anyio.connect_tcp

    async def connect_and_lose(host: str, port: int) -> SocketStream:
        stream = await connect(host, port)
        await anyio.aclose_forcefully(stream)
        await anyio.sleep(0.05)
        return stream

    async def serve(stream: SocketStream) -> None:
        await anyio.sleep_forever()

    async def run() -> Exception | None:
        address = PeerAddress("127.0.0.1", free_port())
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            failure: Exception | None = None
            with mock.patch("anyio.connect_tcp", connect_and_lose):
                try:
                    await ClientConnection.open(address, 1.0)
                except Exception as error:
                    failure = error
            tasks.cancel_scope.cancel()
        return failure

    # Nodes run on uvloop, which drops the socket of a lost connection.
    context.failure = anyio.run(run, backend_options={"use_uvloop": True})


@then("the node reports that no byte was sent")
def then_connect_failed(context: Context) -> None:
    assert isinstance(context.failure, ServerConnectFailed), repr(context.failure)


@when(
    "a peer server with an open connection is cancelled and started again, {count:d} times without"
    " garbage collection"
)
def when_peer_server_restarts(context: Context, count: int) -> None:
    async def handle(stream: MessageStream, peer: PeerIdentity) -> None:
        await anyio.sleep_forever()

    async def restart(address: PeerAddress) -> None:
        server = TcpTransport(PeerIdentity("vm-1", "node", "boot-1"), "secret")
        client = TcpTransport(PeerIdentity("vm-2", "node", "boot-2"), "secret")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address, handle)
            await anyio.sleep(0.1)
            connection = await client.connect(address)
            tasks.cancel_scope.cancel()
        await connection.aclose()
        context.listened += 1

    async def scenario() -> None:
        address = PeerAddress("127.0.0.1", free_port())
        gc.disable()
        try:
            for _ in range(count):
                await restart(address)
        finally:
            gc.enable()

    context.listened, context.restarts = 0, count
    with contextlib.suppress(ExceptionGroup):
        anyio.run(scenario)


@then("it listens each time")
def then_listens(context: Context) -> None:
    assert context.listened == context.restarts, context.listened
