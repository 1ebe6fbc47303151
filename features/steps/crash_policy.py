"""Steps for the policy by which content that crashes servers is quarantined."""

import random
from typing import NamedTuple

from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import ContentClearance, CrashReport
from briarvale.crash_table import MAX_REPORTS, REPORT_TTL_MS, CrashNotice, CrashTable

START_MS = 1_000_000
RUN_MS = 70
REQUEST_INTERVAL_MS = 10
REQUESTS = 2_000
# Requests before this one are harmless.
FIRST_DEADLY = 100
FIRST_PART, SECOND_PART, DEADLY_PART = 1, 2, 3
# Runs without an answer that a crash takes along.
RUNS_BESIDE = 4


class MixedLoad(NamedTuple):
    """What a load of harmless and deadly requests led to."""

    crashed_at_ms: list[int]
    refused_harmless_at_ms: list[int]
    refused_deadly: int

    @property
    def limit_ms(self) -> int:
        """1 s after the fifth crash, or the last one if there were fewer."""
        return self.crashed_at_ms[:5][-1] + 1_000


def report(index: int, *keys: int, at_ms: int | None = None) -> CrashReport:
    """Returns the report of one lost run; by default, runs follow one another."""
    ended_at_ms = START_MS + index * 2 * RUN_MS if at_ms is None else at_ms
    return CrashReport(f"i-{index}", ended_at_ms - RUN_MS, ended_at_ms, keys)


def body_key(index: int) -> int:
    """Returns the content key of one request's body."""
    return 1_000_000 + index


def is_refused(table: CrashTable, *keys: int, now_ms: int = START_MS) -> bool:
    """Whether a request with these keys is refused."""
    return table.quarantined_group(keys, now_ms) is not None


@when(
    "{count:d} requests that share their first two parts crash one server each, one after the other"
)
def when_common_parts(context: Context, count: int) -> None:
    context.crashes = CrashTable()
    for index in range(count):
        lost = report(index, body_key(index), FIRST_PART, SECOND_PART)
        context.crashes.merge(lost, START_MS)


@then("requests with the {which} parts are quarantined")
def then_common(context: Context, which: str) -> None:
    expected = which == "common"
    assert is_refused(context.crashes, body_key(99), FIRST_PART, SECOND_PART) is expected


@then("requests that share the other parts alone are not")
def then_others_pass(context: Context) -> None:
    assert not is_refused(context.crashes, body_key(99), FIRST_PART)
    assert not is_refused(context.crashes, body_key(99), SECOND_PART)


class MixedTraffic:
    """Harmless and deadly requests at one node; each deadly one that runs crashes a server.

    Args:
        deadly_share: Share of deadly requests.
        kinds: Kinds of harmless requests, each with a first part of its own; deadly ones have the
            parts of the first kind.
        delay_ms: Reports and clearances reach the node this long after they were made.
        has_memory: Whether nodes remember which content had answered before the crashes.
        seed: Seed of the order.
    """

    def __init__(
        self, deadly_share: float, kinds: int, delay_ms: int, has_memory: bool, seed: int
    ) -> None:
        self._delay_ms = delay_ms
        self._has_memory = has_memory
        self._random = random.Random(seed)
        self._deadly_share = deadly_share
        self._kinds = kinds
        self._table = CrashTable()
        # Notices that have not arrived yet, by their time of arrival.
        self._coming: list[tuple[int, CrashNotice]] = []
        self._recent: list[tuple[int, ...]] = []
        self._answered_at_ms: dict[int, int] = {}
        self.load = MixedLoad([], [], 0)

    def play(self) -> MixedLoad:
        """Sends all requests."""
        for index in range(REQUESTS):
            now_ms = START_MS + index * REQUEST_INTERVAL_MS
            for at_ms, notice in self._coming:
                if at_ms <= now_ms:
                    self._table.merge(notice, now_ms)
            self._coming = [row for row in self._coming if row[0] > now_ms]
            self._send(index, now_ms)
        return self.load

    def _send(self, index: int, now_ms: int) -> None:
        is_deadly = index >= FIRST_DEADLY and self._random.random() < self._deadly_share
        kind = 0 if is_deadly else self._random.randrange(self._kinds)
        keys: tuple[int, ...] = (
            body_key(index),
            100 + kind,
            200 if kind == 0 else 201 + index % 97,
        )
        if is_deadly:
            keys = (*keys, DEADLY_PART)
        if is_refused(self._table, *keys, now_ms=now_ms):
            if is_deadly:
                self.load = self.load._replace(refused_deadly=self.load.refused_deadly + 1)
            else:
                self.load.refused_harmless_at_ms.append(now_ms)
        elif is_deadly:
            self._crash(index, keys, now_ms)
        else:
            self._answer(keys, now_ms)

    def _crash(self, index: int, keys: tuple[int, ...], now_ms: int) -> None:
        """Reports the deadly run and runs that had begun shortly before on the same server."""
        ended_ms = now_ms + RUN_MS
        self.load.crashed_at_ms.append(ended_ms)
        beside = self._random.sample(self._recent, min(RUNS_BESIDE, len(self._recent)))
        self._recent = [keys for keys in self._recent if keys not in beside]
        for number, lost_keys in enumerate((keys, *beside)):
            began_ms = now_ms - number
            lost = CrashReport(f"i-{index}", began_ms, ended_ms, lost_keys)
            self._coming.append((ended_ms + self._delay_ms, lost))
            # Nodes that receive the report clear what had answered before.
            self._coming += [
                (ended_ms + 2 * self._delay_ms, ContentClearance(key, self._answered_at_ms[key]))
                for key in lost_keys
                if self._has_memory and key in self._answered_at_ms
            ]

    def _answer(self, keys: tuple[int, ...], now_ms: int) -> None:
        for key in keys:
            self._answered_at_ms[key] = now_ms
            if self._table.needs_clearance(key, now_ms):
                self._coming.append((now_ms + self._delay_ms, ContentClearance(key, now_ms)))
        self._recent = [*self._recent, keys][-8:]


@when(
    "requests with a deadly part come among others of {kinds:d} kinds, deadly share {share:g},"
    " notices {delay_ms:d} ms late, memory of earlier answers: {memory}, seed {seed:d}"
)
def when_mixed(
    context: Context, kinds: int, share: float, delay_ms: int, memory: str, seed: int
) -> None:
    context.load = MixedTraffic(share, kinds, delay_ms, memory == "yes", seed).play()


@then("no deadly request reaches a server from 1 s after the fifth crash on")
def then_deadly_quarantined(context: Context) -> None:
    load = context.load
    assert load.refused_deadly > 0, load
    assert all(at_ms - RUN_MS < load.limit_ms for at_ms in load.crashed_at_ms), load


@then("no harmless request is refused")
def then_no_harmless_refused(context: Context) -> None:
    assert not context.load.refused_harmless_at_ms, context.load


@then("no harmless request is refused from then on")
def then_no_harmless_refused_later(context: Context) -> None:
    load = context.load
    assert all(at_ms < load.limit_ms for at_ms in load.refused_harmless_at_ms), load


@when("{count:d} servers crash at once, each with a run of a request with the same part")
def when_rack(context: Context, count: int) -> None:
    context.crashes = CrashTable()
    for index in range(count):
        lost = report(index, body_key(index), FIRST_PART, at_ms=START_MS + index % 5)
        context.crashes.merge(lost, START_MS)


@then("nothing is quarantined")
def then_nothing(context: Context) -> None:
    assert not is_refused(context.crashes, body_key(0), FIRST_PART, SECOND_PART, DEADLY_PART)


@when("a part is in {count:d} lost runs, one after the other, and then a request with it answers")
def when_answers_after(context: Context, count: int) -> None:
    context.crashes = CrashTable()
    for index in range(count):
        context.crashes.merge(report(index, body_key(index), FIRST_PART), START_MS)
    answered_at_ms = START_MS + count * 2 * RUN_MS
    assert context.crashes.needs_clearance(FIRST_PART, answered_at_ms)
    context.crashes.merge(ContentClearance(FIRST_PART, answered_at_ms), START_MS)


@when("a part has answered and is then in {count:d} lost runs, one after the other")
def when_answered_before(context: Context, count: int) -> None:
    context.crashes = CrashTable()
    context.crashes.merge(ContentClearance(FIRST_PART, START_MS - 10 * RUN_MS), START_MS)
    context.count = count
    for index in range(count):
        context.crashes.merge(report(index, body_key(index), FIRST_PART), START_MS)


@then("it is quarantined after the next lost run")
def then_after_next(context: Context) -> None:
    context.crashes.merge(report(context.count, body_key(context.count), FIRST_PART), START_MS)
    assert is_refused(context.crashes, body_key(99), FIRST_PART)


@when("the same request is sent {count:d} times and crashes a server each time")
def when_same_body(context: Context, count: int) -> None:
    context.crashes = CrashTable()
    for index in range(count):
        context.crashes.merge(report(index, body_key(0), FIRST_PART, SECOND_PART), START_MS)


@then("it is quarantined, and other requests with its parts are not")
def then_body_alone(context: Context) -> None:
    assert is_refused(context.crashes, body_key(0), FIRST_PART, SECOND_PART)
    assert not is_refused(context.crashes, body_key(1), FIRST_PART, SECOND_PART)


def random_notices(generator: random.Random) -> list[CrashNotice]:
    """Returns reports on a few parts, and clearances of some of them."""
    notices: list[CrashNotice] = []
    for index in range(12):
        parts = generator.sample(range(1, 6), 2)
        notices.append(report(index, body_key(index), *parts))
    for _ in range(4):
        answered_at_ms = START_MS + generator.randrange(1_500)
        notices.append(ContentClearance(generator.randrange(1, 6), answered_at_ms))
    return notices


@when("{count:d} seeded tables merge the same notices in random orders, some of them twice")
def when_orders(context: Context, count: int) -> None:
    context.differing = []
    for seed in range(count):
        generator = random.Random(seed)
        notices = random_notices(generator)
        verdicts = set()
        for _ in range(5):
            shuffled = generator.sample(notices, len(notices)) + notices[:3]
            table = CrashTable()
            for notice in shuffled:
                table.merge(notice, START_MS)
            verdicts.add(tuple(is_refused(table, part) for part in range(1, 6)))
        if len(verdicts) > 1:
            context.differing.append(seed)


@then("all of them quarantine the same content")
def then_same(context: Context) -> None:
    assert not context.differing, context.differing


@when("2,000 crashes are reported")
def when_many(context: Context) -> None:
    context.crashes = CrashTable()
    for index in range(2_000):
        context.crashes.merge(report(index, body_key(index), FIRST_PART), START_MS)


@then("at most 512 reports are kept, and 10 minutes later none counts")
def then_bounded(context: Context) -> None:
    assert len(context.crashes.reports) <= MAX_REPORTS
    last_ms = START_MS + 2_000 * 2 * RUN_MS
    assert is_refused(context.crashes, body_key(0), FIRST_PART, now_ms=last_ms)
    later_ms = last_ms + REPORT_TTL_MS + 1
    assert not is_refused(context.crashes, body_key(0), FIRST_PART, now_ms=later_ms)
