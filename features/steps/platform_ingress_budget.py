"""Steps for the decisions of the budget for callers, without a network."""

from behave import given, then, when
from behave.runner import Context

from briarvale.ingress_budget import (
    CONNECTION_BYTES,
    MEBIBYTE,
    STALL_S,
    Holding,
    IngressBudget,
    IngressCapacity,
    Phase,
    ingress_capacities,
)


@given("a budget of 1,000,000 bytes and 3 connections")
def given_budget(context: Context) -> None:
    context.now_s = 100.0
    context.budget = IngressBudget(IngressCapacity(1_000_000, 3), lambda: float(context.now_s))
    context.closed = []


def open_holding(context: Context, phase: Phase, size: str = "0") -> Holding:
    """Opens a connection; its size, as in the scenario, is recorded when it is closed."""
    holding: Holding = context.budget.open(lambda: context.closed.append(size))
    holding.phase = phase
    holding.add(int(size.replace(",", "")))
    return holding


@when("a stalled body holds {size} bytes")
def when_stalled(context: Context, size: str) -> None:
    open_holding(context, Phase.READING, size)


@when("a running request holds {size} bytes")
def when_running(context: Context, size: str) -> None:
    open_holding(context, Phase.RUNNING, size)


@then("no connection is closed")
def then_none_closed(context: Context) -> None:
    context.now_s += 100 * STALL_S
    context.budget.evict_stalled()
    assert context.closed == [], context.closed


@then("the connections closed held {first} and {second} bytes")
def then_closed(context: Context, first: str, second: str) -> None:
    context.budget.evict_stalled()
    assert context.closed == [], context.closed
    context.now_s += STALL_S
    context.budget.evict_stalled()
    assert context.closed == [first, second], context.closed


@when("1 connection has been answered and 4 others send nothing")
def when_too_many(context: Context) -> None:
    open_holding(context, Phase.IDLE, "1").has_answered = True
    for number in range(2, 6):
        context.now_s += 1
        open_holding(context, Phase.IDLE, str(number))


@then("the first of the others and the second are closed")
def then_oldest_closed(context: Context) -> None:
    assert context.closed == ["2", "3"], context.closed


@then("callers may use {mib:d} MiB and {connections:d} connections")
def then_capacity(context: Context, mib: int, connections: int) -> None:
    row = context.active_outline
    found = ingress_capacities(int(row["memory"]) * 1_000_000, int(row["descriptors"])).callers
    assert (found.max_bytes // MEBIBYTE, found.max_connections) == (mib, connections), found
    assert found.max_connections * CONNECTION_BYTES <= found.max_bytes, found
