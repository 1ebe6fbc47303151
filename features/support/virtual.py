"""Runs code in virtual time: trio's mock clock skips waits; a seed determines schedule and ids."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar
from unittest import mock

import anyio
import trio
from trio.testing import MockClock

T = TypeVar("T")

__all__ = ["run_virtual"]


def run_virtual(function: Callable[..., Awaitable[T]], *args: object, seed: int = 0) -> T:
    """Runs an async function to completion in virtual time, deterministically for a seed."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r = random.Random(seed)
    random.seed(seed)
    id_random = random.Random(seed)
    clock = MockClock(autojump_threshold=0)
    with mock.patch("secrets.token_hex", lambda size=32: id_random.randbytes(size).hex()):
        return anyio.run(function, *args, backend="trio", backend_options={"clock": clock})
