"""Steps for a node's process whose settings change, or that gets signals while it starts."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import httpx
from behave import then, when
from behave.runner import Context

from briarvale.node_settings import NodeSettings, NodeTimeLimits, StoreSettings
from briarvale.peer import PeerAddress
from briarvale.settings import Settings
from features.support.platform_fleet import free_port
from features.support.platform_settings_file import settings_file_text

HOST = "127.0.0.1"
PROCESS_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
NOT_READY_STATUS = 503
RELOAD_S = 1.0
STORE_NODE_START_S = 3.0
# Runs a program that gets SIGHUP as it imports anyio, its first library.
HANGUP_AT_IMPORT = """
import os, runpy, signal, sys

class Hangup:
    def find_spec(self, name, path=None, target=None):
        if name == "anyio":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Hangup())
runpy.run_module("briarvale.programs." + sys.argv[1], run_name="__main__")
"""
# Runs a node that gets SIGHUP as it begins to run.
HANGUP_AT_RUN = """
import os, signal
from briarvale.platform.node import Node
from briarvale.programs import node

run = Node.run

async def hang_up_and_run(self):
    os.kill(os.getpid(), signal.SIGHUP)
    await run(self)

Node.run = hang_up_and_run
node.main()
"""
ODD_FILES = {
    "bytes that are no UTF-8": b'node_name = "\xff"',
    "5,000 nested lists": b"zone = " + b"[" * 5_000 + b"]" * 5_000,
}


def valid_settings() -> str:
    """Returns the text of a settings file whose store does not answer."""
    caller, readiness, store = (PeerAddress(HOST, free_port()) for _ in range(3))
    return settings_file_text(
        NodeSettings(
            Settings("vm-1", "cymru", "caerdydd", HOST, "", "", "", peer_port=free_port()),
            StoreSettings(store),
            NodeTimeLimits(grace_ms=4_000),
            caller_address=caller,
            readiness_address=readiness,
        )
    )


def start(
    folder: str, *arguments: str, settings: str | None, closed: tuple[int, ...] = ()
) -> "subprocess.Popen[bytes]":
    """Starts Python with a settings file; its output goes to a file in the folder.

    The descriptors in `closed` are closed as it starts.
    """

    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    path = Path(folder, "boot.toml")
    if settings is not None:
        path.write_text(settings)
    with Path(folder, "log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, *arguments],
            env=os.environ | {"BRIARVALE_BOOT": str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=close,
        )


def wait_logged(process: "subprocess.Popen[bytes]", folder: str, text: str) -> bool:
    """Waits until the process has logged a text; returns whether it did so before it ended."""
    deadline_s = time.monotonic() + PROCESS_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        if text in Path(folder, "log").read_text():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def stop(process: "subprocess.Popen[bytes]", folder: str) -> tuple[int, str]:
    """Stops a process; returns its exit code and its output."""
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    code = process.wait(PROCESS_TIMEOUT_S)
    return code, Path(folder, "log").read_text()


@when("the process {program} gets SIGHUP while it imports its first library")
def when_hangup_at_start(context: Context, program: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, "-c", HANGUP_AT_IMPORT, program, settings=valid_settings())
        context.has_started = wait_started(process, folder, program)
        context.code, context.output = stop(process, folder)


def wait_started(process: "subprocess.Popen[bytes]", folder: str, program: str) -> bool:
    """Waits until a process watches for signals."""
    if program == "node":
        return wait_logged(process, folder, "Starts.")
    time.sleep(STORE_NODE_START_S)
    return process.poll() is None


@then("it goes on, and ends with 0 at SIGTERM")
def then_goes_on(context: Context) -> None:
    assert context.has_started and context.code == 0, (context.code, context.output)


@when("a node gets SIGHUP as it begins to run")
def when_hangup_at_run(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, "-c", HANGUP_AT_RUN, settings=valid_settings())
        wait_logged(process, folder, "Starts.")
        time.sleep(RELOAD_S)
        context.code, context.output = stop(process, folder)


@then("it reads its settings again, and ends with 0 at SIGTERM")
def then_reads_again(context: Context) -> None:
    assert "Read the settings again." in context.output, context.output
    assert context.code == 0, (context.code, context.output)


@when("a node starts while its settings file is {state}, and the file is whole after it was read")
def when_written_late(context: Context, state: str) -> None:
    text = valid_settings()
    partial = {"missing": None, "empty": "", "cut off": text[: len(text) // 2]}[state]
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, "-m", "briarvale.programs.node", settings=partial)
        # The first line says what is wrong.
        wait_logged(process, folder, "\n")
        Path(folder, "boot.toml").write_text(text)
        context.has_started = wait_logged(process, folder, "Starts.")
        context.code, context.output = stop(process, folder)


@when("a node starts with {streams} closed")
def when_streams_closed(context: Context, streams: str) -> None:
    closed = (1,) if streams == "standard output" else (0, 1, 2)
    text = valid_settings()
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, "-m", "briarvale.programs.node", settings=text, closed=closed)
        context.is_answering = wait_answering(process, tomllib.loads(text)["listen"]["ready"])
        process.send_signal(signal.SIGTERM)
        context.code = process.wait(PROCESS_TIMEOUT_S)


def wait_answering(process: "subprocess.Popen[bytes]", address: str) -> bool:
    """Waits until a process answers over HTTP; returns whether it did so before it ended."""
    deadline_s = time.monotonic() + PROCESS_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        try:
            return httpx.get(f"http://{address}/").status_code == NOT_READY_STATUS
        except httpx.TransportError:
            time.sleep(POLL_INTERVAL_S)
    return False


@then("it answers readiness checks, and ends with 0 at SIGTERM")
def then_answers(context: Context) -> None:
    assert context.is_answering and context.code == 0, (context.is_answering, context.code)


@when("a node gets SIGHUP after its settings file got {settings}")
def when_settings_odd(context: Context, settings: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        process = start(folder, "-m", "briarvale.programs.node", settings=valid_settings())
        wait_logged(process, folder, "Starts.")
        Path(folder, "boot.toml").write_bytes(odd_file(settings))
        process.send_signal(signal.SIGHUP)
        context.is_rejected = wait_logged(process, folder, "Rejected the new settings")
        context.code, context.output = stop(process, folder)


def odd_file(settings: str) -> bytes:
    """Returns a settings file of which one field is odd."""
    if settings in ODD_FILES:
        return ODD_FILES[settings]
    field = settings.partition(" ")[0]
    lines = valid_settings().splitlines()
    kept: list[str] = []
    is_replaced = False
    for line in lines:
        if line.startswith("["):
            is_replaced = line == f"[{field}]"
        if not is_replaced and not line.startswith(f"{field} ="):
            kept.append(line)
    text = "\n".join([settings, *kept])
    tomllib.loads(text)
    return text.encode()


@then("it rejects the new settings, and ends with 0 at SIGTERM")
def then_rejects(context: Context) -> None:
    assert context.is_rejected and context.code == 0, (context.code, context.output)
