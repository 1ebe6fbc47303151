"""Steps of seeded schedules of faults against claims of idempotency keys."""

from behave import then, when
from behave.runner import Context

from features.support.claims_schedules import run_schedule


@when("{seeds:d} seeded schedules of kills, lost answers, late writes, outages and resends are run")
def when_schedules(context: Context, seeds: int) -> None:
    context.claim_reports = [run_schedule(seed) for seed in range(1, seeds + 1)]


@then("no key ran twice, no call reported as not run had run, and no key had two answers")
def then_safe(context: Context) -> None:
    reports = context.claim_reports
    assert sum(report.reported_not_run for report in reports) > len(reports)
    bad = [r for r in reports if r.doubled_keys or r.false_not_run or r.differing_answers]
    assert not bad, bad[:3]


@then("every key retained its answer, reached a final outcome, and was not blocked needlessly")
def then_settled(context: Context) -> None:
    bad = [report for report in context.claim_reports if report.violations]
    assert not bad, bad[:3]
