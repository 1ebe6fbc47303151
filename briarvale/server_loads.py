"""Load estimates of backend servers from this process's own requests and owners' answers."""

from typing import NamedTuple

import anyio

from .slot_client import ServerLoad

MAX_REPORT_AGE_S = 2.0
# By then, the owner of a failed server has usually published its health.
AVOID_AFTER_FAILURE_S = 1.0

__all__ = ["ServerLoads"]


class _Report(NamedTuple):
    """A load that an owner reported, and this process's requests to the server at that time."""

    load: ServerLoad
    own_requests: int
    reported_at_s: float


class ServerLoads:
    """Loads reported by owners, adjusted by the requests this process started or ended since."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._own_requests: dict[str, int] = {}
        self._failed_at_s: dict[str, float] = {}

    def record_load(self, load: ServerLoad) -> None:
        """Stores the load that an owner reported, if its answer has a slot limit."""
        if load.limit:
            own = self._own_requests.get(load.backend_server, 0)
            self._reports[load.backend_server] = _Report(load, own, anyio.current_time())

    def record_start(self, backend_server: str) -> None:
        """Counts a request for which this process requests a slot."""
        self._own_requests[backend_server] = self._own_requests.get(backend_server, 0) + 1

    def record_end(self, backend_server: str) -> None:
        """Counts the end of a request counted by `record_start`."""
        self._own_requests[backend_server] -= 1

    def record_failure(self, backend_server: str) -> None:
        """Avoids the server for `AVOID_AFTER_FAILURE_S`."""
        self._failed_at_s[backend_server] = anyio.current_time()

    def has_failed_recently(self, backend_server: str) -> bool:
        """Whether a request to the server failed within the last `AVOID_AFTER_FAILURE_S`."""
        failed_at_s = self._failed_at_s.get(backend_server)
        return (
            failed_at_s is not None and anyio.current_time() - failed_at_s < AVOID_AFTER_FAILURE_S
        )

    def last_report(self, backend_server: str) -> ServerLoad | None:
        """Returns the load that an owner reported last."""
        report = self._reports.get(backend_server)
        return report.load if report else None

    def streams(self, backend_server: str, declared_slots: int, process_count: int) -> float:
        """Returns the estimated number of requests that run or wait at the server.

        A stale report is ignored, so that not all processes act on the same outdated load. Instead,
        this process's own requests times the number of processes that send requests serve as the
        estimate, up to half of the slots.

        Args:
            backend_server: The server.
            declared_slots: Its number of slots in the inventory.
            process_count: Processes that send requests.
        """
        own = self._own_requests.get(backend_server, 0)
        report = self._reports.get(backend_server)
        if report is None or anyio.current_time() - report.reported_at_s > MAX_REPORT_AGE_S:
            return min(own * process_count, max(own, declared_slots / 2))
        return max(own, report.load.held + report.load.queued + own - report.own_requests)

    def limit(self, backend_server: str, declared_slots: int) -> int:
        """Returns the slot limit that its owner reported last, else the declared slots."""
        report = self._reports.get(backend_server)
        return report.load.limit if report else declared_slots
