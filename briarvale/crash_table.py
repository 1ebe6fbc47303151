"""Reports of runs that were lost as their servers crashed, and the content that they convict.

A server that crashes loses all its runs, so that one report says little of the content it names.
Content is quarantined once several runs with it, one after the other, were lost without an answer
and no run with it has answered since. Where several keys were in the same lost runs, any of them
may be the cause: they form a group, and only requests that hold all of its keys are refused.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ._generated.messages import ContentClearance, CrashReport

# Crashes in a row that quarantine content of which no answer is known.
MIN_CRASHES = 3
# The same for content that servers had answered earlier.
MIN_CRASHES_AFTER_ANSWER = 6
# Share of the crashes of the worst content that makes other content suspect too.
SUSPECT_SHARE = 1 / 2
# Share of a key's crashes in which another one must be too, to be a possible cause.
MOST_SHARE = 2 / 3
# Runs on one server that were lost within this time were lost in the same crash.
SAME_CRASH_MS = 500
REPORT_TTL_MS = 600_000
MAX_REPORTS = 512
# A later clearance of the same key is spread only if it is newer by this much.
CLEARANCE_STEP_MS = 1_000

__all__ = [
    "MIN_CRASHES",
    "REPORT_TTL_MS",
    "CrashNotice",
    "CrashTable",
    "KeyGroup",
    "is_expired",
]

CrashNotice = CrashReport | ContentClearance
KeyGroup = frozenset[int]


class _Crash(NamedTuple):
    """A crash of a server, and when the first run that it took along was lost."""

    backend_server: str
    at_ms: int


_LostRuns = dict[_Crash, list[CrashReport]]


class CrashTable:
    """A bounded table of crash reports and clearances; all nodes exchange its entries.

    Merging is commutative and idempotent, so that tables agree whatever order notices arrive in.
    """

    def __init__(self) -> None:
        self._reports: dict[CrashReport, None] = {}
        self._reported_at_ms: dict[int, int] = {}
        self._cleared_at_ms: dict[int, int] = {}
        self._groups: tuple[KeyGroup, ...] = ()
        self._is_stale = False
        self._expires_at_ms: float = math.inf

    @property
    def reports(self) -> tuple[CrashReport, ...]:
        """All reports that have not expired, in the order of their arrival."""
        return tuple(self._reports)

    @property
    def clearances(self) -> tuple[ContentClearance, ...]:
        """When a run with each key in the reports last answered, as far as it is known."""
        return tuple(ContentClearance(key, at_ms) for key, at_ms in self._cleared_at_ms.items())

    def merge(self, notice: CrashNotice, now_ms: int) -> CrashNotice | None:
        """Merges a notice; returns it if the other nodes should have it, else `None`."""
        match notice:
            case CrashReport():
                return self._add_report(notice, now_ms)
            case ContentClearance():
                return self._clear(notice)

    def _add_report(self, report: CrashReport, now_ms: int) -> CrashReport | None:
        if report in self._reports or is_expired(report, now_ms):
            return None
        self._reports[report] = None
        for key in report.content_keys:
            self._reported_at_ms[key] = max(report.at_ms, self._reported_at_ms.get(key, 0))
        self._evict(now_ms)
        self._is_stale = True
        return report

    def _clear(self, clearance: ContentClearance) -> ContentClearance | None:
        key, at_ms = clearance
        known_at_ms = self._cleared_at_ms.get(key, 0)
        self._cleared_at_ms[key] = max(at_ms, known_at_ms)
        self._is_stale = True
        return clearance if at_ms >= known_at_ms + CLEARANCE_STEP_MS else None

    def needs_clearance(self, key: int, answered_at_ms: int) -> bool:
        """Whether an answer at this time clears a key of lost runs that still count against it."""
        known_at_ms = self._cleared_at_ms.get(key, 0)
        is_news = answered_at_ms >= known_at_ms + CLEARANCE_STEP_MS
        return is_news and self._reported_at_ms.get(key, 0) > known_at_ms

    def quarantined_group(self, keys: Collection[int], now_ms: int) -> KeyGroup | None:
        """Returns the quarantined keys that a request holds all of, or none."""
        return next((group for group in self.groups(now_ms) if group.issubset(keys)), None)

    def groups(self, now_ms: int) -> tuple[KeyGroup, ...]:
        """Returns the groups of keys that are quarantined now."""
        if self._is_stale or now_ms >= self._expires_at_ms:
            self._update_groups(now_ms)
        return self._groups

    def reports_on(self, group: KeyGroup) -> tuple[CrashReport, ...]:
        """Returns the reports that count against a quarantined group."""
        return tuple(r for r in self._reports if not group.isdisjoint(r.content_keys))

    def _update_groups(self, now_ms: int) -> None:
        """Finds the groups of keys to quarantine.

        Content that never answered explains the crashes that it was in first; these count against
        no other content.
        """
        self._evict(now_ms)
        self._is_stale = False
        lost = self._lost_runs()
        answered = self._cleared_at_ms.keys() & lost.keys()
        groups: list[KeyGroup] = []
        for keys, min_crashes in (
            (lost.keys() - answered, MIN_CRASHES),
            (answered, MIN_CRASHES_AFTER_ANSWER),
        ):
            candidates = {key: lost[key] for key in keys}
            while suspects := _suspects(candidates, min_crashes):
                for key in suspects:
                    groups += _common_groups(key, candidates)
                explained = frozenset(lost[suspects[0]])
                for runs in lost.values():
                    for crash in explained & runs.keys():
                        del runs[crash]
        self._groups = tuple(dict.fromkeys(groups))

    def _lost_runs(self) -> dict[int, _LostRuns]:
        """Returns each key's lost runs since its last answer, by the crash that took them along."""
        found: defaultdict[int, _LostRuns] = defaultdict(dict)
        first_at_ms: dict[str, int] = {}
        for report in sorted(self._reports, key=lambda report: (report.at_ms, report)):
            known_at_ms = first_at_ms.get(report.backend_server)
            if known_at_ms is None or report.at_ms - known_at_ms > SAME_CRASH_MS:
                known_at_ms = first_at_ms[report.backend_server] = report.at_ms
            crash = _Crash(report.backend_server, known_at_ms)
            for key in report.content_keys:
                if report.at_ms > self._cleared_at_ms.get(key, 0):
                    found[key].setdefault(crash, []).append(report)
        return dict(found)

    def _evict(self, now_ms: int) -> None:
        """Drops expired reports, the oldest beyond `MAX_REPORTS`, and clearances of other keys."""
        live = [report for report in self._reports if not is_expired(report, now_ms)]
        if len(live) > MAX_REPORTS:
            live = sorted(live, key=lambda report: report.at_ms)[-MAX_REPORTS:]
        if len(live) < len(self._reports):
            self._reports = dict.fromkeys(live)
            keys = {key for report in live for key in report.content_keys}
            self._reported_at_ms = {k: v for k, v in self._reported_at_ms.items() if k in keys}
            self._cleared_at_ms = {k: v for k, v in self._cleared_at_ms.items() if k in keys}
        self._expires_at_ms = min((r.at_ms for r in live), default=math.inf) + REPORT_TTL_MS


def _suspects(lost: Mapping[int, _LostRuns], min_crashes: int) -> list[int]:
    """Returns the key with the most crashes, if there are enough one after the other.

    Keys that were in at least `SUSPECT_SHARE` of these crashes follow, as reports may be missing.
    """
    enough = [
        key
        for key, crashes in lost.items()
        if len(crashes) >= min_crashes and _sequential_count(crashes) >= min_crashes
    ]
    if not enough:
        return []
    worst = max(enough, key=lambda key: (len(lost[key]), key))
    explained = lost[worst].keys()
    min_shared = SUSPECT_SHARE * len(explained)
    others = [key for key in enough if len(explained & lost[key].keys()) >= min_shared]
    return [worst, *(key for key in others if key != worst)]


def _common_groups(key: int, lost: Mapping[int, _LostRuns]) -> list[KeyGroup]:
    """Returns the keys that lost runs with a key had in common in most of its crashes.

    Where several keys always came together, any may be the cause, so that a group has all of them.
    """
    crashes = lost[key]
    counts = Counter(
        other
        for runs in crashes.values()
        for other in {other for run in runs for other in run.content_keys}
    )
    min_count = MOST_SHARE * len(crashes)
    common = {other for other in counts if other in lost and counts[other] >= min_count}
    found = {
        frozenset(common.intersection(run.content_keys))
        for runs in crashes.values()
        for run in runs
    }
    return [group for group in found if not any(group < other for other in found)]


def is_expired(notice: CrashNotice, now_ms: int) -> bool:
    """Whether a notice is too old to count."""
    return notice.at_ms + REPORT_TTL_MS <= now_ms


def _sequential_count(crashes: _LostRuns) -> int:
    """Returns how many lost runs can be put in a row in which each began after the one before.

    Runs on servers that crash at the same moment, for whatever reason, thus count as one.
    """
    count, ended_at_ms = 0, 0
    reports = (report for runs in crashes.values() for report in runs)
    for report in sorted(reports, key=lambda report: report.at_ms):
        if report.began_at_ms >= ended_at_ms:
            count += 1
            ended_at_ms = report.at_ms
    return count
