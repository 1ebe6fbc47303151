"""Wakes all tasks that wait for the next change."""

import anyio

__all__ = ["Notifier"]


class Notifier:
    """A repeatable event: each `wait` returns at the first `notify` after its call."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Waits until the next `notify`."""
        await self._event.wait()

    def notify(self) -> None:
        """Wakes all tasks that are waiting now."""
        self._event.set()
        self._event = anyio.Event()
