"""Refuses requests whose content crashes backend servers, whichever caller sends them.

A run may also be lost because its connection or the network path failed, so a lost run counts as a
crash only if the server refuses a new connection right afterwards. Nodes use this guard; the
gateway and batch programs use `quarantine.py`, which also runs suspects on probation.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection

import anyio
import xxhash

from . import logs, metrics
from ._generated.messages import ContentClearance, CrashReport
from .clock import Clock
from .content_keys import body_key, content_keys, part_key
from .crash_table import MIN_CRASHES, CrashNotice, CrashTable, KeyGroup
from .errors import Quarantined, ServerConnectFailed
from .forward_request import ForwardRequest
from .http_wire import ClientConnection
from .live_servers import LiveServer
from .membership import Rumor

CONFIRM_TIMEOUT_S = 0.3
# The connections of a dying process may break shortly before its port is closed.
CONFIRM_DELAY_S = 0.03
# Content whose latest answers this node remembers.
MAX_ANSWERED_KEYS = 8_192
# Pause before quarantined content runs on trial, after `MIN_CRASHES` lost runs.
TRIAL_PAUSE_MS = 5_000
MAX_TRIAL_PAUSE_MS = 10_000
TRIAL_SPREAD_MS = 8_000
# A server that crashes as it begins to answer may still send its first event.
MIN_ANSWER_EVENTS = 2

log = logs.component_logger("quarantine")

__all__ = ["CrashGuard", "WatchedRun"]


class CrashGuard:
    """Reports crashes with the content of lost runs, and refuses content that caused several.

    Args:
        clock: Source of timestamps.
        crashes: Reports and clearances of all nodes.
        publish: Publishes a notice to all nodes.
    """

    def __init__(
        self, clock: Clock, crashes: CrashTable, publish: Callable[[CrashNotice], None]
    ) -> None:
        self._clock = clock
        self._crashes = crashes
        self._publish = publish
        # When a run with each content key last answered at this node, latest last.
        self._answered_at_ms: OrderedDict[int, int] = OrderedDict()

    def check(self, request: ForwardRequest) -> None:
        """Raises `Quarantined` if the request holds content that crashed several servers."""
        group = self._quarantined_group(request)
        if group is None:
            return
        metrics.QUARANTINE_REFUSALS.inc({})
        log.info(
            "Refused a request whose content crashed servers.",
            request_id=request.request_id,
            prompt_parts=_parts_in(request, group),
            is_same_body=body_key(request) in group,
            crashes=len(self._crashes.reports_on(group)),
        )
        raise Quarantined("content of this request crashed several backend servers")

    def trial_at_ms(self, request: ForwardRequest) -> int:
        """Returns when a request that must be run in the end may run; 0 if it may at any time.

        Each further lost run with its content doubles the pause since the last one, up to
        `MAX_TRIAL_PAUSE_MS`. Of several requests with the same content, the one whose id hashes
        lowest is first each time, and its crash postpones the others.
        """
        group = self._quarantined_group(request)
        if group is None:
            return 0
        reports = self._crashes.reports_on(group)
        pause_ms = min(MAX_TRIAL_PAUSE_MS, TRIAL_PAUSE_MS * 2 ** (len(reports) - MIN_CRASHES))
        spread_ms = xxhash.xxh3_64_intdigest(request.request_id.encode()) % TRIAL_SPREAD_MS
        return max(report.at_ms for report in reports) + pause_ms + spread_ms

    def record_answer(self, request: ForwardRequest) -> None:
        """Records that a server answers the request, which thus crashes no server."""
        now_ms = self._clock.now_ms()
        for key in content_keys(request):
            self._answered_at_ms[key] = now_ms
            self._answered_at_ms.move_to_end(key)
            self._clear(key)
        while len(self._answered_at_ms) > MAX_ANSWERED_KEYS:
            self._answered_at_ms.popitem(last=False)

    def apply_rumor(self, rumor: Rumor) -> None:
        """Clears content in another node's report that has answered at this node."""
        if isinstance(rumor, CrashReport):
            self._clear_all(rumor.content_keys)

    def watch(
        self, request: ForwardRequest, server: LiveServer, events_before: int = 0
    ) -> "WatchedRun":
        """Returns the record of a run that begins now, after this many events of earlier runs."""
        return WatchedRun(self, request, server, self._clock.now_ms(), events_before)

    async def record_loss(self, run: "WatchedRun") -> bool:
        """Reports a lost run if its server has crashed before it answered; returns whether."""
        lost_at_ms = self._clock.now_ms()
        if not await _is_down(run.server):
            return False
        request = run.request
        keys = content_keys(request)
        if not run.has_answered:
            self._publish(CrashReport(run.server.id, run.began_at_ms, lost_at_ms, keys))
            self._clear_all(keys)
        log.info(
            "A server crashed while it ran a request.",
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            prompt_parts=[part.id for part in request.prompt_parts],
            backend_server=run.server.id,
            has_answered=run.has_answered,
            reports=len(self._crashes.reports_on(frozenset(keys))),
        )
        return not run.has_answered

    def _quarantined_group(self, request: ForwardRequest) -> KeyGroup | None:
        """Returns the quarantined keys of a request; hashes its content only if there are any."""
        now_ms = self._clock.now_ms()
        if not self._crashes.groups(now_ms):
            return None
        return self._crashes.quarantined_group(content_keys(request), now_ms)

    def _clear_all(self, keys: Collection[int]) -> None:
        for key in keys:
            if key in self._answered_at_ms:
                self._clear(key)

    def _clear(self, key: int) -> None:
        """Publishes the latest answer with a key if lost runs count against the key."""
        answered_at_ms = self._answered_at_ms[key]
        if self._crashes.needs_clearance(key, answered_at_ms):
            self._publish(ContentClearance(key, answered_at_ms))


class WatchedRun:
    """One run of a request, which either answers or is lost without an answer.

    Args:
        guard: Learns of both.
        request: The request that runs.
        server: The backend server that runs it.
        began_at_ms: When the run began.
        events_before: Events that earlier runs of the request received.

    Attributes:
        has_answered: Whether servers have answered so far that the content does not crash them.
    """

    def __init__(
        self,
        guard: CrashGuard,
        request: ForwardRequest,
        server: LiveServer,
        began_at_ms: int,
        events_before: int,
    ) -> None:
        self._guard = guard
        self.request = request
        self.server = server
        self.began_at_ms = began_at_ms
        self.has_answered = events_before >= MIN_ANSWER_EVENTS
        self._event_count = events_before

    def record_events(self, count: int) -> None:
        """Records events of the answer's stream."""
        self._event_count += count
        if self._event_count >= MIN_ANSWER_EVENTS:
            self.record_answer()

    def record_answer(self) -> None:
        """Records that the server has answered."""
        if not self.has_answered:
            self.has_answered = True
            self._guard.record_answer(self.request)

    async def record_loss(self) -> bool:
        """Records that the run was lost; returns whether its server crashed before it answered."""
        return await self._guard.record_loss(self)


def _parts_in(request: ForwardRequest, group: Collection[int]) -> list[str]:
    """Returns the ids of a request's prompt parts that are in a quarantined group."""
    ids = (part.id for part in request.prompt_parts)
    return [part_id for part_id in ids if part_key(request.service, part_id) in group]


async def _is_down(server: LiveServer) -> bool:
    """Whether the server's host refuses a new connection, since nothing listens there."""
    await anyio.sleep(CONFIRM_DELAY_S)
    try:
        connection = await ClientConnection.open(server.address, CONFIRM_TIMEOUT_S)
    except ServerConnectFailed as error:
        return error.is_refused
    await connection.aclose()
    return False
