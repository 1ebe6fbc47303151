"""Queue of rumors to piggyback on datagrams, each sent a bounded number of times."""

from typing import NamedTuple

from ._generated.messages import (
    ContentClearance,
    CrashReport,
    ServerState,
    SuspectNotice,
    VmState,
)

# A rumor is sent this many times the binary logarithm of the fleet's size.
RETRANSMIT_FACTOR = 3
FRESH_SENDS = 3
MAX_RUMORS = 4_096
# Sizes in the Cap'n Proto encoding, without the text of names.
WORD_BYTES = 8
VM_STATE_BYTES = 48
SERVER_STATE_BYTES = 48
SUSPECT_NOTICE_BYTES = 48
CRASH_SITE_BYTES = 16
CRASH_REPORT_BYTES = 40
CONTENT_KEY_BYTES = 8
CLEARANCE_BYTES = 16
POINTER_BYTES = 8

__all__ = ["AnyRumor", "RumorBatch", "RumorQueue", "rumor_key", "size_bytes"]

AnyRumor = VmState | ServerState | SuspectNotice | CrashReport | ContentClearance


class RumorBatch(NamedTuple):
    """Rumors that travel in one datagram."""

    updates: tuple[VmState, ...]
    servers: tuple[ServerState, ...]
    suspects: tuple[SuspectNotice, ...]
    crashes: tuple[CrashReport, ...]
    clearances: tuple[ContentClearance, ...]


class _PendingRumor:
    """A rumor and the number of times it was sent."""

    __slots__ = ("rumor", "sent")

    def __init__(self, rumor: AnyRumor) -> None:
        self.rumor = rumor
        self.sent = 0


class RumorQueue:
    """Holds the latest rumor about each subject until it has been sent O(log n) times."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], _PendingRumor] = {}

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def has_fresh(self) -> bool:
        """Whether any rumor was sent fewer than `FRESH_SENDS` times."""
        return any(pending.sent < FRESH_SENDS for pending in self._pending.values())

    def put(self, rumor: AnyRumor) -> None:
        """Queues a rumor, replacing an earlier one about the same subject.

        If the queue is full, the rumor that was sent most often is dropped.
        """
        key = rumor_key(rumor)
        self._pending.pop(key, None)
        if len(self._pending) >= MAX_RUMORS:
            most_sent = max(self._pending, key=lambda key: self._pending[key].sent)
            del self._pending[most_sent]
        self._pending[key] = _PendingRumor(rumor)

    def next_batch(self, room_bytes: int, vm_count: int) -> RumorBatch:
        """Returns the least-sent rumors that fit in `room_bytes`, and counts them as sent again.

        Args:
            room_bytes: Bytes available in the datagram.
            vm_count: Size of the fleet; each rumor is sent O(log n) times.
        """
        send_limit = RETRANSMIT_FACTOR * (vm_count + 1).bit_length()
        chosen: list[AnyRumor] = []
        for key, pending in sorted(self._pending.items(), key=lambda item: item[1].sent):
            size = size_bytes(pending.rumor)
            if size > room_bytes:
                break
            room_bytes -= size
            chosen.append(pending.rumor)
            pending.sent += 1
            if pending.sent >= send_limit:
                del self._pending[key]
        return _batch(chosen)


def rumor_key(rumor: AnyRumor) -> tuple[str, str]:
    """Returns the kind and name of a rumor's subject, which identify the rumor in the queue."""
    match rumor:
        case VmState(vm=vm):
            return "vm", vm
        case ServerState(backend_server=backend_server):
            return "server", backend_server
        case SuspectNotice(fingerprint=fingerprint):
            return "suspect", fingerprint
        case CrashReport(backend_server=backend_server, began_at_ms=began_at_ms):
            return "crash", f"{backend_server}/{began_at_ms}/{rumor.content_keys}"
        case ContentClearance(content_key=content_key):
            return "clearance", str(content_key)


def size_bytes(rumor: AnyRumor) -> int:
    """Returns the encoded size of a rumor, rounded up."""
    match rumor:
        case VmState():
            return VM_STATE_BYTES + _text_bytes(
                rumor.vm, rumor.host, rumor.region, rumor.availability_zone
            )
        case ServerState():
            names = (rumor.backend_server, rumor.owner, *rumor.adapters)
            pointers = POINTER_BYTES * (1 + len(rumor.adapters))
            return SERVER_STATE_BYTES + pointers + _text_bytes(*names)
        case SuspectNotice(sites=sites):
            names = (rumor.fingerprint, *(site.backend_server for site in sites))
            return SUSPECT_NOTICE_BYTES + CRASH_SITE_BYTES * len(sites) + _text_bytes(*names)
        case CrashReport(backend_server=backend_server, content_keys=keys):
            return CRASH_REPORT_BYTES + CONTENT_KEY_BYTES * len(keys) + _text_bytes(backend_server)
        case ContentClearance():
            return CLEARANCE_BYTES


def _text_bytes(*texts: str) -> int:
    return sum((len(text.encode()) // WORD_BYTES + 1) * WORD_BYTES for text in texts)


def _batch(rumors: list[AnyRumor]) -> RumorBatch:
    """Groups rumors by type."""
    return RumorBatch(
        tuple(rumor for rumor in rumors if isinstance(rumor, VmState)),
        tuple(rumor for rumor in rumors if isinstance(rumor, ServerState)),
        tuple(rumor for rumor in rumors if isinstance(rumor, SuspectNotice)),
        tuple(rumor for rumor in rumors if isinstance(rumor, CrashReport)),
        tuple(rumor for rumor in rumors if isinstance(rumor, ContentClearance)),
    )
