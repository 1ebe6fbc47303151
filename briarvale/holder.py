"""Interface through which an owner of slots reaches a connected process that holds them."""

from typing import Protocol

from ._generated.messages import Message

__all__ = ["Holder"]


class Holder(Protocol):
    """A connected process that requests and holds slots."""

    @property
    def name(self) -> str:
        """Program and VM; the same on every connection of the process."""

    def notify(self, message: Message) -> None:
        """Queues a message for the process; never blocks."""
