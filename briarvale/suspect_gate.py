"""Probation at the owner of a server's slots: at most one suspect runs on each server at a time."""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from ._generated.messages import (
    CrashSite,
    Outcome,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SuspectNotice,
)
from .errors import Overloaded, Quarantined, ServerNotReady
from .holder import Holder
from .suspects import QUARANTINE_TTL_MS, SuspectTable

RETRY_DELAY_MS = 1_000

__all__ = ["SuspectGate"]


class _Suspect(NamedTuple):
    """A suspect's slot request, and since when it has been waiting or running."""

    holder: Holder
    request: SlotRequest
    since_ms: int


class SuspectGate:
    """Passes a suspect's slot request to the queue only while no other suspect runs on that server.

    Args:
        table: Suspects known to this dispatcher.
        submit_to_queue: Submits a request to the slot queue.
        publish: Publishes the notice of a suspect that crashed its server again.
    """

    def __init__(
        self,
        table: SuspectTable,
        submit_to_queue: Callable[[Holder, SlotRequest], None],
        publish: Callable[[SuspectNotice], None],
    ) -> None:
        self._table = table
        self._submit_to_queue = submit_to_queue
        self._publish = publish
        self._running: dict[str, _Suspect] = {}
        self._waiting: dict[str, deque[_Suspect]] = defaultdict(deque)

    def submit(self, holder: Holder, request: SlotRequest, now_ms: int) -> None:
        """Submits a request to the slot queue, or holds a marked suspect until it may run.

        Refuses a request that its holder did not mark though it is a suspect.
        """
        notice = self._table.get(request.fingerprint, now_ms) if request.fingerprint else None
        if request.is_suspect:
            self._waiting[request.backend_server].append(_Suspect(holder, request, now_ms))
            self._advance(request.backend_server, now_ms)
        elif notice is not None:
            _refuse(holder, request, notice, now_ms)
        else:
            self._submit_to_queue(holder, request)

    def release(self, release: SlotRelease, now_ms: int) -> None:
        """Lets the next suspect run when the running one has ended."""
        server, fingerprint = release.backend_server, release.fingerprint
        running = self._running.get(server)
        if running is None or running.request.fingerprint != fingerprint:
            return
        if release.outcome is Outcome.CRASHED:
            # Published here too, so that no waiting copy starts before the holder's notice arrives.
            site = CrashSite(server, now_ms, running.since_ms)
            expires_at_ms = now_ms + QUARANTINE_TTL_MS
            self._publish(SuspectNotice(fingerprint, 1, False, expires_at_ms, (site,)))
        self._end(server, now_ms)

    def withdraw(self, request_id: str, now_ms: int) -> None:
        """Removes a request that its holder has withdrawn."""
        for server, waiting in self._waiting.items():
            remaining = [suspect for suspect in waiting if suspect.request.request_id != request_id]
            self._waiting[server] = deque(remaining)
        for server, running in list(self._running.items()):
            if running.request.request_id == request_id:
                self._end(server, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuses waiting suspects and drops running ones whose deadline has passed."""
        for waiting in self._waiting.values():
            for suspect in [s for s in waiting if s.request.deadline_ms <= now_ms]:
                waiting.remove(suspect)
                retry_at_ms = now_ms + RETRY_DELAY_MS
                refusal = SlotRefusal(suspect.request.request_id, Overloaded.code, retry_at_ms)
                suspect.holder.notify(refusal)
        for server, running in list(self._running.items()):
            if running.request.deadline_ms <= now_ms:
                self._end(server, now_ms)

    def _end(self, server: str, now_ms: int) -> None:
        """Ends the running suspect's probation on a server, and lets the next one run."""
        del self._running[server]
        self._advance(server, now_ms)

    def _advance(self, server: str, now_ms: int) -> None:
        """Submits the next waiting suspect; refuses those that were quarantined meanwhile."""
        waiting = self._waiting[server]
        while waiting and server not in self._running:
            holder, request, _ = waiting.popleft()
            notice = self._table.get(request.fingerprint, now_ms)
            if notice is not None and notice.quarantined:
                _refuse(holder, request, notice, now_ms)
                continue
            self._running[server] = _Suspect(holder, request, now_ms)
            self._submit_to_queue(holder, request)


def _refuse(holder: Holder, request: SlotRequest, notice: SuspectNotice, now_ms: int) -> None:
    """Refuses a quarantined request permanently, or an unmarked suspect with `ServerNotReady`.

    The holder of an unmarked suspect then sends the request again, marked as a suspect.
    """
    code = Quarantined.code if notice.quarantined else ServerNotReady.code
    holder.notify(SlotRefusal(request.request_id, code, now_ms))
