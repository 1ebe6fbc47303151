"""The slot queues of all backend servers that this dispatcher owns."""

from collections.abc import Callable

from .clock import Clock
from .config import BackendServer, Config, Rules
from .slot_granters import OwnedGranters
from .slot_queue import SlotQueue

__all__ = ["QueueFactory", "SlotOwner"]

QueueFactory = Callable[[BackendServer, Clock, Rules], SlotQueue]


class SlotOwner(OwnedGranters[SlotQueue]):
    """Runs one `SlotQueue` for each owned backend server.

    Args:
        clock: Source of timestamps.
        make_queue: Builds the queue of a backend server.
    """

    def __init__(self, clock: Clock, make_queue: QueueFactory = SlotQueue) -> None:
        super().__init__(clock)
        self._make_queue = make_queue

    def set_queue_factory(self, make_queue: QueueFactory) -> None:
        """Sets the factory for the queues of backend servers that are added from now on."""
        self._make_queue = make_queue

    def reconcile(self, config: Config, owned: set[str]) -> None:
        """Adds and removes queues so that they match `owned`; configures those that remain."""
        self._remove_owned(self._granters.keys() - owned)
        for name in self._granters:
            self._granters[name].configure(config.servers[name], config.rules)
        for name in owned - self._granters.keys():
            self._add_owned(name, self._make_queue(config.servers[name], self._clock, config.rules))
