"""How busy each backend server is, as one process can tell: its own work and owners' answers."""

from typing import NamedTuple

import anyio

from .slot_client import ServerLoad

FRESH_S = 2.0
AVOID_S = 1.0

__all__ = ["ServerLoads"]


class _Report(NamedTuple):
    load: ServerLoad
    own: int
    at_s: float


class ServerLoads:
    """Loads from the owners' answers, corrected by what this process began and ended since."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._own: dict[str, int] = {}
        self._failed_at_s: dict[str, float] = {}

    def record_load(self, load: ServerLoad) -> None:
        """Takes the load that an owner's answer carries."""
        if load.limit:
            own = self._own.get(load.backend_server, 0)
            self._reports[load.backend_server] = _Report(load, own, anyio.current_time())

    def record_start(self, backend_server: str) -> None:
        """Counts a request that this process asks a slot for."""
        self._own[backend_server] = self._own.get(backend_server, 0) + 1

    def record_end(self, backend_server: str) -> None:
        """Counts the end of a request begun with `record_start`."""
        self._own[backend_server] -= 1

    def record_failure(self, backend_server: str) -> None:
        """Lets others come first for `AVOID_S`, until its owner has told what is wrong."""
        self._failed_at_s[backend_server] = anyio.current_time()

    def has_failed_recently(self, backend_server: str) -> bool:
        """Whether a request failed there a moment ago."""
        failed_at_s = self._failed_at_s.get(backend_server)
        return failed_at_s is not None and anyio.current_time() - failed_at_s < AVOID_S

    def last_report(self, backend_server: str) -> ServerLoad | None:
        """Returns what an owner's answer last said."""
        report = self._reports.get(backend_server)
        return report.load if report else None

    def streams(self, backend_server: str, declared: int, process_count: int) -> float:
        """Returns the estimated requests that run or wait there.

        An old report says nothing of now. The own share times the number of processes that send
        requests then stands in for it, up to half of the slots, so that all of them don't take one
        old figure for the truth.

        Args:
            backend_server: The server.
            declared: Its slots by the inventory.
            process_count: Processes that send requests.
        """
        own = self._own.get(backend_server, 0)
        report = self._reports.get(backend_server)
        if report is None or anyio.current_time() - report.at_s > FRESH_S:
            return min(own * process_count, max(own, declared / 2))
        return max(own, report.load.held + report.load.queued + own - report.own)

    def limit(self, backend_server: str, declared: int) -> int:
        """Returns the slots that its owner last granted up to, else the declared ones."""
        report = self._reports.get(backend_server)
        return report.load.limit if report else declared
