"""A holder of slots for tests, which records the messages of owners."""

from typing import Any

from briarvale._generated.messages import Message

__all__ = ["RecordingHolder"]


class RecordingHolder:
    """A holder that records the messages that owners send it."""

    name = "gateway vm-1"

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def notify(self, message: Message) -> None:
        """Records a message."""
        self.messages.append(message)

    def messages_of(self, kind: type) -> list[Any]:
        """Returns the messages of one kind."""
        return [message for message in self.messages if isinstance(message, kind)]
