"""Wakes all tasks that wait for the next change of something."""

import anyio

__all__ = ["Notifier"]


class Notifier:
    """A change that happens again and again; each waits for the one after its call."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Waits until the next `notify`."""
        await self._event.wait()

    def notify(self) -> None:
        """Wakes all that wait now."""
        self._event.set()
        self._event = anyio.Event()
