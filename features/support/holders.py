"""A holder of slots in tests: it keeps what owners tell it."""

from typing import Any

from briarvale._generated.messages import Message

__all__ = ["RecordingHolder"]


class RecordingHolder:
    """A holder that keeps what it is told."""

    name = "gateway vm-1"

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def notify(self, message: Message) -> None:
        """Takes a message."""
        self.messages.append(message)

    def told(self, kind: type) -> list[Any]:
        """Returns the messages of one kind."""
        return [message for message in self.messages if isinstance(message, kind)]
