"""Steps of seeded schedules against claims."""

from behave import then, when
from behave.runner import Context

from features.support.claims_schedules import run_schedule


@when("{seeds:d} seeded schedules of kills, lost answers, late writes, outages and resends are run")
def when_schedules(context: Context, seeds: int) -> None:
    context.claim_reports = [run_schedule(seed) for seed in range(1, seeds + 1)]


@then("no key ran twice, no call told not run had run, and no key had two answers")
def then_safe(context: Context) -> None:
    reports = context.claim_reports
    assert sum(report.told_not_run for report in reports) > len(reports)
    bad = [r for r in reports if r.doubled_keys or r.false_not_run or r.differing_answers]
    assert not bad, bad[:3]


@then("every key kept its answer, was settled in the end, and was not blocked needlessly")
def then_settled(context: Context) -> None:
    bad = [report for report in context.claim_reports if report.violations]
    assert not bad, bad[:3]
