"""A machine on which a node fares oddly: taken ports, few descriptors, odd settings."""

import random
import resource
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager

import anyio

from briarvale.peer import PeerAddress
from soak.fleet import SoakFleet
from soak.odd_values import OddInput

IDLE_CONNECTIONS = 60
# Descriptors that a node may still open once its limit is lowered.
SPARE_DESCRIPTORS = 6
# Time in which a node reads its settings again; a process that another input restarts reads later.
RELOAD_S = 0.2
SETTINGS_VALUES = (
    *(b"", b"nan", b"-inf", b"-1", b"0", b"1e300", b"99999999999999999999999999", b"true", b"{}"),
    *(b"[]", b"[1, 2]", b'["a", "b"]', b'""', b'"a..b"', b'"h:\xc2\xb2"', b'"\xff"', b'"\\u0000"'),
    *(b"[" * 5_000 + b"]" * 5_000, b"1979-05-27T07:32:00Z", b'"' + b"x" * 70_000 + b'"'),
)

__all__ = ["few_descriptors", "odd_settings", "taken_port"]


@asynccontextmanager
async def taken_port(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A port of a node that another process holds as the node starts."""
    node = draw.choice(fleet.nodes)
    callers, readiness, peers, metrics = node.tcp_addresses()
    address, kind = draw.choice(
        (
            *((found, socket.SOCK_STREAM) for found in (callers, readiness, peers)),
            (node.datagram_address(), socket.SOCK_DGRAM),
            (metrics, socket.SOCK_STREAM),
        )
    )
    node.restart()
    node.process.wait()
    with ExitStack() as held:
        holder = held.enter_context(socket.socket(type=kind))
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        is_held = _try_bind(holder, address)
        if is_held and kind is socket.SOCK_STREAM:
            holder.listen()
        verb = "is taken" if is_held else "was not free"
        yield OddInput(f"{address.host}:{address.port} ({kind.name}) {verb} as {node.name} starts")


def _try_bind(holder: socket.socket, address: PeerAddress) -> bool:
    """Binds a socket; false if the node, which another input restarted, was sooner."""
    try:
        holder.bind((address.host, address.port))
    except OSError:
        return False
    return True


@asynccontextmanager
async def few_descriptors(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A node that can open no further files, with many connections that callers opened."""
    node = draw.choice(fleet.nodes)
    address = node.endpoint.settings.caller_address
    assert address is not None
    if node.process.poll() is not None:
        # Another input has just ended it.
        yield OddInput(f"no descriptors taken: {node.name} is down")
        return
    before = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
    limit = node.open_files() + SPARE_DESCRIPTORS
    node.is_excused = True
    with ExitStack() as opened:
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (limit, before[1]))
        for _ in range(IDLE_CONNECTIONS):
            connection = opened.enter_context(socket.socket())
            connection.setblocking(False)
            connection.connect_ex((address.host, address.port))
        yield OddInput(f"{limit} descriptors at {node.name}")
    if node.process.poll() is None:
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, before)


@asynccontextmanager
async def odd_settings(fleet: SoakFleet, draw: random.Random) -> AsyncIterator[OddInput]:
    """A settings file that a running node is told to read again."""
    serving = [node for node in fleet.nodes if node.is_ready and node.process.poll() is None]
    if not serving:
        # Other inputs have just ended all of them.
        yield OddInput("no settings changed")
        return
    node = draw.choice(serving)
    sound = node.settings_path.read_bytes()
    lines = sound.splitlines()
    place = draw.choice([index for index, line in enumerate(lines) if b" = " in line])
    name, value = lines[place].partition(b" = ")[0], draw.choice(SETTINGS_VALUES)
    lines[place] = name + b" = " + value
    node.settings_path.write_bytes(b"\n".join(lines))
    node.send_signal(signal.SIGHUP)
    try:
        await anyio.sleep(RELOAD_S)
    finally:
        node.settings_path.write_bytes(sound)
    yield OddInput(f"{name.decode()} of {node.name} is {value[:40]!r}")
