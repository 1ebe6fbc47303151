"""Notices of requests that were running on a backend server when it crashed.

A fingerprint whose notice has a site is a suspect, and with `QUARANTINE_CRASHES` sites it is
quarantined. A site is one crash: the server, the time, and when the request began to run there.
"""

import hashlib
from collections.abc import Iterator

from ._generated.messages import CrashSite, SuspectNotice

QUARANTINE_CRASHES = 2
# Lost runs on one server that overlapped and ended within this time count as one crash.
SAME_CRASH_WINDOW_MS = 2_000
SUSPECT_TTL_MS = 600_000
QUARANTINE_TTL_MS = 86_400_000
MAX_ENTRIES = 1_024

__all__ = [
    "MAX_ENTRIES",
    "QUARANTINE_CRASHES",
    "QUARANTINE_TTL_MS",
    "SUSPECT_TTL_MS",
    "SuspectTable",
    "fingerprint_of",
    "merge_notices",
]


def fingerprint_of(service: str, prompt: str) -> str:
    """Returns the hash that identifies a request's content."""
    return hashlib.sha256(f"{service}\0{prompt}".encode()).hexdigest()[:32]


def merge_notices(notice: SuspectNotice, other: SuspectNotice) -> SuspectNotice:
    """Merges two notices of the same fingerprint; the operation is commutative."""
    cleared_at_ms = max(notice.cleared_at_ms, other.cleared_at_ms)
    sites: list[CrashSite] = []
    for site in sorted({*notice.sites, *other.sites}, key=lambda site: (site.at_ms, site)):
        is_counted = any(_is_same_crash(site, counted) for counted in sites)
        if site.at_ms > cleared_at_ms and not is_counted:
            sites.append(site)
    del sites[QUARANTINE_CRASHES:]
    is_quarantined = len(sites) >= QUARANTINE_CRASHES
    return SuspectNotice(
        fingerprint=notice.fingerprint,
        crashes=len(sites),
        quarantined=is_quarantined,
        expires_at_ms=max(notice.expires_at_ms, other.expires_at_ms),
        sites=tuple(sites),
        cleared_at_ms=0 if is_quarantined else cleared_at_ms,
    )


def _is_same_crash(site: CrashSite, other: CrashSite) -> bool:
    """Whether two sites report one crash: overlapping runs on one server that ended together."""
    return (
        site.backend_server == other.backend_server
        and abs(site.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS
        and site.began_at_ms <= other.at_ms
        and other.began_at_ms <= site.at_ms
    )


class SuspectTable:
    """A bounded table of suspects and quarantined fingerprints; entries expire."""

    def __init__(self) -> None:
        self._notices: dict[str, SuspectNotice] = {}

    def __iter__(self) -> Iterator[SuspectNotice]:
        return iter(tuple(self._notices.values()))

    def get(self, fingerprint: str, now_ms: int) -> SuspectNotice | None:
        """Returns the unexpired entry of a suspect or quarantined fingerprint, else `None`."""
        notice = self._notices.get(fingerprint)
        return notice if notice and notice.sites and notice.expires_at_ms > now_ms else None

    def merge(self, notice: SuspectNotice, now_ms: int) -> SuspectNotice | None:
        """Merges a notice; returns the entry if it changed, else `None`."""
        if notice.expires_at_ms <= now_ms:
            return None
        empty = SuspectNotice(fingerprint=notice.fingerprint)
        current = self._notices.get(notice.fingerprint, empty)
        merged = merge_notices(current, notice)
        if merged == current:
            return None
        self._notices[notice.fingerprint] = merged
        self._evict(now_ms)
        return merged

    def _evict(self, now_ms: int) -> None:
        """Keeps at most `MAX_ENTRIES`: quarantined ones first, then those that expire last."""
        if len(self._notices) <= MAX_ENTRIES:
            return
        live = [notice for notice in self if notice.expires_at_ms > now_ms]
        live.sort(key=lambda notice: (notice.quarantined, notice.expires_at_ms))
        self._notices = {notice.fingerprint: notice for notice in live[-MAX_ENTRIES:]}
