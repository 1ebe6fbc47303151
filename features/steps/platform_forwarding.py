"""Steps of forwarding: a real node between a caller and stand-in servers, on loopback."""

from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from features.support.platform_calls import (
    BODY,
    EVENT_COUNT,
    TARGET_LATENCY_S,
    Observations,
    one_call,
    run_on_node,
)
from features.support.platform_engine import ODD_EVENT, Behaviour, event
from features.support.platform_fleet import (
    MODEL,
    Caller,
    PlatformFleet,
    platform_fleet,
)


@when("a caller asks a plain service over one connection three times")
def when_three(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        for number in range(3):
            answer = await caller.call("PUT", "/look/a?b=%20c", BODY, request_id=f"req-{number}")
            assert answer is not None
            observed.answers.append(answer)

    run_on_node(context, scenario, server_count=1)


@then("each answer is the server's, with its signature, and all came over one connection")
def then_each(context: Context) -> None:
    for number, answer in enumerate(context.observed.answers):
        assert answer.status == 200 and answer.is_whole, answer
        assert answer.body == f"body of req-{number}".encode()
        assert answer.headers["briarvale-server-signature"] == f"i-0.req-{number}"
        assert "close" not in answer.headers.get("connection", "")


@then("the server got the caller's method, path, body and id, its own name, and the remaining time")
def then_got(context: Context) -> None:
    for number, received in enumerate(context.observed.engines[0].seen):
        assert received.request_id == f"req-{number}"
        assert (received.method, received.target, received.body) == (
            b"PUT",
            b"/look/a?b=%20c",
            BODY,
        )
        assert received.header(b"briarvale-expect-instance") == "i-0"
        assert 0 < int(received.header(b"briarvale-deadline-ms")) <= 10_000
        assert received.header(b"host") == "desk.example"


@when("a caller asks for a path without a route")
def when_no_route(context: Context) -> None:
    run_on_node(context, one_call("POST", "/nowhere/a"))


@then("the answer is 404 and no server saw a request")
def then_404(context: Context) -> None:
    assert context.observed.answers[0].status == 404
    assert context.observed.reached_count == 0


@when("the first answers say that the request was not run")
def when_full_first(context: Context) -> None:
    run_on_node(context, one_call("POST", "/pay/a", Behaviour.REFUSE_FULL, Behaviour.REFUSE_FULL))


@when("every answer says that the request was not run")
def when_all_full(context: Context) -> None:
    run_on_node(context, one_call("POST", "/pay/a", usual=Behaviour.REFUSE_FULL))


@then("the caller gets 503 with Retry-After, and no server ran it")
def then_503(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 503 and float(answer.headers["retry-after"]) >= 0, answer


@when("the answer to an idempotent request is lost once")
def when_lost_idempotent(context: Context) -> None:
    run_on_node(context, one_call("POST", "/look/a", Behaviour.BREAK_AT_ONCE))


@when("the answer to a non-idempotent request is lost once")
def when_lost_non_idempotent(context: Context) -> None:
    run_on_node(context, one_call("POST", "/pay/a", Behaviour.BREAK_AT_ONCE))


@when("a server answers an idempotent request with 500 once")
def when_500_once(context: Context) -> None:
    run_on_node(context, one_call("POST", "/look/a", Behaviour.FAIL))


@when("every server answers an idempotent request with 500")
def when_500_always(context: Context) -> None:
    run_on_node(context, one_call("POST", "/look/a", usual=Behaviour.FAIL), server_count=4)


@when("a server answers a non-idempotent request with 500 once")
def when_500_non_idempotent(context: Context) -> None:
    run_on_node(context, one_call("POST", "/pay/a", Behaviour.FAIL))


@then("the caller gets the complete answer of another server")
def then_elsewhere(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 200 and answer.body == b"body of req-1", answer
    assert [len(engine.seen) for engine in context.observed.engines] == [1, 1]


@then("the caller gets a server's own 500 after as many runs as the route allows")
def then_500_exhausted(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 500 and answer.body == b"failed", answer
    assert "briarvale-server-signature" in answer.headers
    assert context.observed.reached_count == 3, context.observed.reached_count


@then("the caller gets a server's own 500 after one run")
def then_500_once(context: Context) -> None:
    assert context.observed.answers[0].status == 500 and context.observed.reached_count == 1


@when("one of three servers answers every request with 500 and 60 non-idempotent requests are sent")
def when_one_fails(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        observed.engines[0].default_behaviour = Behaviour.FAIL
        for _ in range(60):
            answer = await caller.call("POST", "/pay/a", BODY)
            assert answer is not None
            observed.answers.append(answer)

    run_on_node(context, scenario, server_count=3)


@then("fewer than one in six of them get a 500")
def then_few_500(context: Context) -> None:
    failed = sum(answer.status == 500 for answer in context.observed.answers)
    assert failed < len(context.observed.answers) / 6, failed


@when("an answer to another request arrives first")
def when_stray(context: Context) -> None:
    run_on_node(context, one_call("POST", "/look/a", Behaviour.STRAY_ANSWER))


@when("every answer lacks a signature")
def when_unsigned(context: Context) -> None:
    run_on_node(context, one_call("POST", "/look/a", usual=Behaviour.UNSIGNED))


@when("a server never answers on a route with a short timeout")
def when_hang(context: Context) -> None:
    run_on_node(context, one_call("POST", "/brief/a", usual=Behaviour.HANG))


@when("a caller asks for a stream")
def when_stream(context: Context) -> None:
    run_on_node(context, one_call("POST", "/ask/a"), service=MODEL)


@when("a resumable stream breaks midway")
def when_resumable(context: Context) -> None:
    run_on_node(context, one_call("POST", "/go-on/a", Behaviour.BREAK_MIDWAY), service=MODEL)


@when("a resumable stream breaks midway and each later run is answered with {status:d}")
def when_resumed_fails(context: Context, status: int) -> None:
    usual = {500: Behaviour.FAIL, 422: Behaviour.UNPROCESSABLE}[status]
    scenario = one_call("POST", "/go-on/a", Behaviour.BREAK_MIDWAY, usual=usual)
    run_on_node(context, scenario, service=MODEL)


@when("a stream that may not be resumed breaks midway")
def when_not_resumable(context: Context) -> None:
    run_on_node(context, one_call("POST", "/ask/a", Behaviour.BREAK_MIDWAY), service=MODEL)


@then("the caller gets a complete answer")
def then_complete(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.status == 200 and answer.is_whole, answer
    assert answer.body == b"body of req-1"


@then("the caller gets 502")
def then_502(context: Context) -> None:
    assert context.observed.answers[0].status == 502, context.observed.answers[0]


@then("the request reached servers {count:d} times")
def then_reached(context: Context, count: int) -> None:
    assert context.observed.reached_count == count, context.observed.reached_count


@then("the caller gets 504 shortly after the timeout, and the run has ended")
def then_504(context: Context) -> None:
    assert context.observed.answers[0].status == 504, context.observed.answers[0]
    assert 0.3 <= context.observed.took_s < 0.8, context.observed.took_s
    assert context.observed.still_running == 0


@then("the caller's error does not say that the request was not run")
def then_may_have_run(context: Context) -> None:
    answer = context.observed.answers[0]
    assert context.observed.reached_count > 0
    assert answer.status == 504 and answer.json()["not_run"] is False, answer


def silent_after_answered_calls(path: str) -> Any:
    """Returns a scenario of one call to a silent server, after some answered calls."""

    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        for _ in range(6):
            await caller.call("POST", path, BODY)
        for engine in observed.engines:
            engine.seen.clear()
        await one_call("POST", path, Behaviour.HANG)(fleet, caller, observed)

    return scenario


@when("one of two servers is silent to an idempotent request after other requests were answered")
def when_silent_idempotent(context: Context) -> None:
    run_on_node(context, silent_after_answered_calls("/look/a"))


@when("one of two servers is silent to a non-idempotent request after other requests were answered")
def when_silent_non_idempotent(context: Context) -> None:
    run_on_node(context, silent_after_answered_calls("/pay/a"))


@then("the caller gets a complete answer in time")
def then_complete_in_time(context: Context) -> None:
    then_complete(context)
    assert context.observed.took_s < TARGET_LATENCY_S, context.observed.took_s


@when("a resumable stream pauses midway without end")
def when_pauses(context: Context) -> None:
    run_on_node(context, one_call("POST", "/go-on/a", Behaviour.PAUSE_MIDWAY), service=MODEL)


@when("a resumable stream pauses midway, and its slot then goes to another request for 3 s")
def when_slot_goes(context: Context) -> None:
    async def run() -> Observations:
        observed = Observations()
        async with platform_fleet() as fleet:
            engine = await fleet.add_engine("i-0", MODEL, slots=1)
            engine.event_gap_s = 0.5
            engine.behaviours.append(Behaviour.PAUSE_MIDWAY)
            long_config = fleet.config(version=9)
            for route in long_config["routes"]:
                route["timeout_ms"] = 10_000
            fleet.store.put("config", "main", long_config)
            await anyio.sleep(0.3)

            async def call(path: str) -> None:
                answer = await Caller(fleet.nodes["vm-1"]).call("POST", path, BODY)
                assert answer is not None
                observed.answers.append(answer)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "/go-on/a")
                await anyio.sleep(0.5)
                tasks.start_soon(call, "/ask/a")
        return observed

    context.observed = anyio.run(run)


@then("both callers get every event once, in order, as complete answers")
def then_both_complete(context: Context) -> None:
    assert len(context.observed.answers) == 2
    for answer in context.observed.answers:
        assert answer.status == 200 and answer.is_whole, answer
        assert answer.body == b"".join(event(number) for number in range(1, 7)), answer


@when("a caller disconnects while a server runs its request")
def when_disconnects(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        for engine in observed.engines:
            engine.default_behaviour = Behaviour.HANG
        await caller.call("POST", "/look/a", BODY, disconnect_after_s=0.6)
        observed.facts["running before"] = sum(engine.running for engine in observed.engines)
        await anyio.sleep(0.4)
        observed.still_running = sum(engine.running for engine in observed.engines)

    run_on_node(context, scenario)


@then("the run has ended soon after")
def then_ended(context: Context) -> None:
    assert context.observed.facts["running before"] == 1
    assert context.observed.still_running == 0
    assert context.observed.reached_count == 1


@then("the caller gets every event once, in order, as a complete answer")
def then_events(context: Context) -> None:
    answer = context.observed.answers[0]
    assert answer.is_whole, answer
    assert answer.body == b"".join(event(n) for n in range(1, EVENT_COUNT + 1)), answer.body


@then("the second server was asked to resume after the last event")
def then_resumed(context: Context) -> None:
    last_event_ids = [s.header(b"last-event-id") for e in context.observed.engines for s in e.seen]
    assert sorted(last_event_ids) == ["", str(EVENT_COUNT // 2)], last_event_ids


@then("the caller gets the first events and no end")
def then_broken(context: Context) -> None:
    assert_broken_off(context.observed, runs=1)


@then("the caller gets the first events and no end after {runs:d} runs")
def then_broken_after(context: Context, runs: int) -> None:
    assert_broken_off(context.observed, runs)


def assert_broken_off(observed: Observations, runs: int) -> None:
    """Checks that the answer holds the first half of the events and isn't complete."""
    answer = observed.answers[0]
    assert not answer.is_whole, answer
    assert answer.body == b"".join(event(n) for n in range(1, EVENT_COUNT // 2 + 1)), answer
    assert observed.reached_count == runs, observed.reached_count


@when("a stream's event id is a superscript two, and a request's remaining time has 5,000 digits")
def when_odd_digits(context: Context) -> None:
    async def scenario(fleet: PlatformFleet, caller: Caller, observed: Observations) -> None:
        observed.engines[0].default_behaviour = Behaviour.ODD_EVENT_ID
        headers = {"Briarvale-Deadline-Ms": "1" * 5_000}
        for extra_headers in ({}, headers):
            answer = await caller.call("POST", "/ask/a", BODY, headers=extra_headers)
            assert answer is not None
            observed.answers.append(answer)

    run_on_node(context, scenario, service=MODEL, server_count=1)


@then("the stream is forwarded unchanged, and the request is served")
def then_odd_digits(context: Context) -> None:
    answers = context.observed.answers
    assert [(answer.status, answer.body) for answer in answers] == [(200, ODD_EVENT)] * 2, answers
