"""What a node needs to know of its machine beside the settings of its parts."""

from typing import NamedTuple

from .peer import PeerAddress
from .settings import Settings

__all__ = ["NodeBounds", "NodeSettings", "StoreLimits"]


class NodeBounds(NamedTuple):
    """Times that operators promise or expect.

    Attributes:
        grace_ms: From the request to stop until the process is killed.
        entry_return_ms: After an outage of the store, when entries of live servers are back.
    """

    grace_ms: int = 8_000
    entry_return_ms: int = 2_000


class StoreLimits(NamedTuple):
    """The store's address and limits."""

    address: PeerAddress
    max_value_bytes: int = 1_048_576


class NodeSettings(NamedTuple):
    """Settings of one node; `vm_settings` are those of its VM, read by all its parts.

    Attributes:
        processor_cores: Processor time of the machine, in cores; 0 if that is not known.
        front: Where callers connect; none on a node without callers.
        readiness: Where the balancer asks.
        metrics: Where metrics are served; none if they aren't.
    """

    vm_settings: Settings
    store: StoreLimits
    bounds: NodeBounds = NodeBounds()
    processor_cores: float = 0.0
    front: PeerAddress | None = None
    readiness: PeerAddress | None = None
    metrics: PeerAddress | None = None
