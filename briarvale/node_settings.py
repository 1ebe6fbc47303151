"""Settings of a node in addition to those of its VM: store, time limits and addresses."""

from typing import NamedTuple

from .peer import PeerAddress
from .settings import Settings
from .workspaces.tolerance import Quota

__all__ = ["NodeSettings", "NodeTimeLimits", "StoreSettings"]


class NodeTimeLimits(NamedTuple):
    """Time limits that the operators set.

    Attributes:
        grace_ms: Time from the request to stop until the platform kills the process.
        entry_renewal_ms: Time after a store outage by which each live server has renewed its entry.
    """

    grace_ms: int = 8_000
    entry_renewal_ms: int = 2_000


class StoreSettings(NamedTuple):
    """The store's address, and the size limit of an object's value."""

    address: PeerAddress
    max_value_bytes: int = 1_048_576


class NodeSettings(NamedTuple):
    """Settings of one node; `vm_settings` are those of its VM, read by all its components.

    Attributes:
        quota: How exactly rate limits of workspaces are kept.
        processor_cores: Processor capacity of the machine, in cores; 0 if unknown.
        memory_bytes: Memory of the machine; 0 if unknown.
        max_descriptors: File descriptors that the process may open; 0 if unknown.
        caller_address: Address for callers; none on a node that serves no callers.
        readiness_address: Address of the load balancer's readiness check.
        metrics_address: Address at which metrics are served; none to serve no metrics.
    """

    vm_settings: Settings
    store: StoreSettings
    time_limits: NodeTimeLimits = NodeTimeLimits()
    quota: Quota = Quota()
    processor_cores: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    caller_address: PeerAddress | None = None
    readiness_address: PeerAddress | None = None
    metrics_address: PeerAddress | None = None
