"""Steps for a node's process whose untrusted callers make it hold as much as they can."""

import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import anyio
from behave import given, then, when
from behave.runner import Context

from briarvale.http_wire import AnswerHead, Headers
from briarvale.ingress import Ingress, Responder
from briarvale.node_settings import NodeSettings, StoreSettings
from briarvale.peer import PeerAddress
from briarvale.settings import Settings
from features.support.hostile_callers import (
    HostileCallers,
    ProcessUse,
    chunked_body,
    half_head,
    pipelined_requests,
    process_use,
)
from features.support.platform_engine import PlatformEngineStandin, SeenRequest
from features.support.platform_fleet import (
    HOST,
    PLAIN,
    Answer,
    Caller,
    FleetNode,
    free_port,
)
from features.support.platform_settings_file import settings_file_text
from features.support.platform_store import PlatformStoreStandin

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = "127.0.0.1"
# Enough for all slow readers, so that none waits for a slot.
SERVER_SLOTS = 64
START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 60.0
RETRY_S = 0.2
# The process has worked off what was sent once its peak memory stays the same for this long.
SETTLE_S = 2.0
MAX_SETTLE_S = 40.0
SETTLED_BYTES = 1_000_000
BLOCK = b"x" * 65_536
LARGE_PATH = b"/look/large"


class Outcome(NamedTuple):
    """How the process fared: its exit code, what it used, and its last answer."""

    exit_code: int | None
    use: ProcessUse | None
    answer: Answer | None


class LargeAnswerServer(PlatformEngineStandin):
    """A backend server with large responses at one path."""

    large_bytes = 64_000_000

    async def _serve(
        self, seen: SeenRequest, headers: Headers, responder: Responder, until: int
    ) -> None:
        if seen.target != LARGE_PATH:
            await super()._serve(seen, headers, responder, until)
            return
        await responder.start(AnswerHead(200, headers))
        for _ in range(self.large_bytes // len(BLOCK)):
            await responder.send(BLOCK)
        await responder.finish()


class UntrustedNode:
    """A node's process with lowered limits, and the stand-ins that it uses."""

    def __init__(self, memory_mb: int, max_fds: int) -> None:
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._store_address = PeerAddress(LOOPBACK, free_port())
        self._server_address = PeerAddress(LOOPBACK, free_port())
        vm_settings = Settings("vm-1", "cymru", "a", "127.0.0.11", "", "", "", free_port())
        vm_settings = vm_settings._replace(peer_port=free_port())
        addresses = [PeerAddress(vm_settings.host, free_port()) for _ in range(2)]
        self.settings = NodeSettings(
            vm_settings,
            StoreSettings(self._store_address),
            caller_address=addresses[0],
            readiness_address=addresses[1],
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator["subprocess.Popen[bytes]"]:
        """Runs the process and its stand-ins until the block ends."""
        store = PlatformStoreStandin()
        route = {"name": "look", "host": HOST, "path_prefix": "/look/", "kind": "safe"}
        route |= {"service": PLAIN, "timeout_ms": 20_000, "target_latency_ms": 300}
        route |= {"max_attempts": 3, "priority": 0}
        config = {"version": 3, "routes": [route], "services": [], "limits": {}}
        store.put("config", "main", config)
        server = {"service": PLAIN, "zone": "a", "slots": SERVER_SLOTS, "state": "ready"}
        server |= {"address": f"{LOOPBACK}:{self._server_address.port}"}
        store.put("servers", "i-0", server | {"sequence": 1, "born": 1_700_000_000_000})
        engine = LargeAnswerServer("i-0", is_model=False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Ingress(store).serve, self._store_address)
            tasks.start_soon(Ingress(engine).serve, self._server_address)
            with self._process() as process:
                yield process
            tasks.cancel_scope.cancel()

    @contextmanager
    def _process(self) -> Iterator["subprocess.Popen[bytes]"]:
        limits = f"[limits]\nmemory_mb = {self.memory_mb}\nmax_fds = {self.max_fds}\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text(settings_file_text(self.settings) + limits)
            process = subprocess.Popen(
                [sys.executable, "-m", "briarvale.programs.node"],
                cwd=ROOT,
                env=os.environ | {"BRIARVALE_BOOT": str(path), "PYTHONPATH": str(ROOT)},
                stdout=subprocess.DEVNULL,
            )
            try:
                yield process
            finally:
                process.kill()
                process.wait()

    async def wait_answer(self, timeout_s: float) -> Answer | None:
        """Sends ordinary requests until one is answered with 200; none if none is in time."""
        with anyio.move_on_after(timeout_s):
            while True:
                with suppress(OSError, TimeoutError, anyio.BrokenResourceError):
                    answer = await Caller(FleetNode("vm-1", self.settings)).call("GET", "/look/x")
                    if answer is not None and answer.status == 200 and answer.is_whole:
                        return answer
                await anyio.sleep(RETRY_S)
        return None


@given("a node's process with {memory_mb:d} MB of memory and {max_fds:d} descriptors")
def given_process(context: Context, memory_mb: int, max_fds: int) -> None:
    context.node = UntrustedNode(memory_mb, max_fds)


async def settle(process: "subprocess.Popen[bytes]") -> None:
    """Waits until the process's peak memory no longer grows, or the process has ended."""
    peak_bytes = 0
    with anyio.move_on_after(MAX_SETTLE_S), suppress(OSError, StopIteration):
        while (grown_bytes := process_use(process).peak_bytes) > peak_bytes + SETTLED_BYTES:
            peak_bytes = grown_bytes
            await anyio.sleep(SETTLE_S)


def attack(
    context: Context, pieces: list[Iterator[bytes]], address: PeerAddress | None = None
) -> None:
    """Plays an attack against the process, and records how it fared."""
    node: UntrustedNode = context.node
    address = address or node.settings.caller_address
    assert address is not None

    async def play() -> Outcome:
        async with node.run() as process, HostileCallers(process) as callers:
            assert await node.wait_answer(START_TIMEOUT_S) is not None, "the node did not start"
            await callers.attack(address, pieces)
            await settle(process)
            answer = await node.wait_answer(ANSWER_TIMEOUT_S)
            exit_code = process.poll()
            use = process_use(process) if exit_code is None else None
            return Outcome(exit_code, use, answer)

    context.outcome = anyio.run(play)


def number(text: str) -> int:
    return int(text.replace(",", ""))


@when(
    "{count:d} callers send chunked bodies of {size} bytes in chunks of {chunk} "
    "and stay before their end"
)
def when_chunked(context: Context, count: int, size: str, chunk: str) -> None:
    attack(context, [chunked_body(number(size), number(chunk)) for _ in range(count)])


@when(
    "{count:d} callers send {size} bytes of pipelined requests to the readiness address "
    "and read nothing"
)
def when_readiness(context: Context, count: int, size: str) -> None:
    pieces = [pipelined_requests(number(size), "/") for _ in range(count)]
    attack(context, pieces, context.node.settings.readiness_address)


@when("{count:d} callers send {size} bytes of pipelined requests to unknown paths and read nothing")
def when_unknown_paths(context: Context, count: int, size: str) -> None:
    attack(context, [pipelined_requests(number(size), "/unknown") for _ in range(count)])


@when("{count:d} callers request responses of 64,000,000 bytes and read nothing")
def when_slow_readers(context: Context, count: int) -> None:
    def request(index: int) -> Iterator[bytes]:
        yield (
            f"GET {LARGE_PATH.decode()} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Briarvale-Request-Attempt-Id: slow-{index}\r\nBriarvale-Deadline-Ms: 20000\r\n\r\n"
        ).encode()

    attack(context, [request(index) for index in range(count)])


@when("{count:d} callers connect and send nothing")
def when_idle(context: Context, count: int) -> None:
    attack(context, [iter(()) for _ in range(count)])


@when("{count:d} callers send {size} bytes of a head and stay")
def when_half_heads(context: Context, count: int, size: str) -> None:
    attack(context, [half_head(number(size)) for _ in range(count)])


@then("the process is alive, within its limits, and answers an ordinary request")
def then_within_limits(context: Context) -> None:
    outcome: Outcome = context.outcome
    use, node = outcome.use, context.node
    assert use is not None, f"the process ended with {outcome.exit_code}"
    assert use.peak_bytes < node.memory_mb * 1_000_000, f"{use.peak_bytes:,} bytes of memory"
    assert use.descriptors < node.max_fds, f"{use.descriptors} descriptors"
    assert outcome.answer is not None, "no ordinary request was answered"
