"""External interfaces of the communication between nodes; tests replace them with fakes."""

from typing import NamedTuple, Protocol

from .clock import Clock
from .datagrams import Datagrams
from .peer import PeerIdentity, PeerTransport
from .vm_list import VmList

__all__ = ["NodeEnvironment", "PeerEnvironment"]


class PeerEnvironment(Protocol):
    """What membership and heartbeats need; `Environment` and `NodeEnvironment` provide it."""

    @property
    def clock(self) -> Clock:
        """Source of timestamps."""

    @property
    def vm_list(self) -> VmList:
        """The list of VMs."""

    @property
    def transport(self) -> PeerTransport:
        """Connections between processes."""

    @property
    def datagrams(self) -> Datagrams:
        """Datagrams between processes."""

    @property
    def identity(self) -> PeerIdentity:
        """Identity of this process."""


class NodeEnvironment(NamedTuple):
    """The `PeerEnvironment` of the node program; the other programs use `Environment`."""

    clock: Clock
    vm_list: VmList
    transport: PeerTransport
    datagrams: Datagrams
    identity: PeerIdentity
