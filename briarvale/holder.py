"""What an owner knows of a connected process that holds slots."""

from typing import Protocol

from ._generated.messages import Message

__all__ = ["Holder"]


class Holder(Protocol):
    """A connected process that asks for slots."""

    @property
    def name(self) -> str:
        """Program and VM; the same for each connection of the process."""

    def notify(self, message: Message) -> None:
        """Queues a message to it; never blocks."""
