"""Steps of forwarding: a real node between a caller and stand-ins, on loopback."""

import time
from typing import Any

import anyio
from behave import then, when
from behave.runner import Context

from features.support.platform_engine import ODD_EVENT, Behaviour, PlatformEngineStandin, event
from features.support.platform_fleet import (
    GRACE_MS,
    MODEL,
    PLAIN,
    Answer,
    Caller,
    PlatformFleet,
    platform_fleet,
)

EVENT_COUNT = 6
# The target latency of the stand-in's routes.
TARGET_S = 0.3
BODY = b"\x00look\xff" * 50


class Seen:
    """What one test run recorded."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.engines: list[PlatformEngineStandin] = []
        self.took_s = 0.0
        self.running_after = 0
        self.facts: dict[str, Any] = {}

    @property
    def reached(self) -> int:
        """Number of requests that reached servers."""
        return sum(len(engine.seen) for engine in self.engines)


def play(context: Context, behave_as: Any, server_count: int = 2, service: str = PLAIN) -> None:
    """Runs `behave_as(fleet, caller, seen)` against one node and some servers."""

    async def run() -> Seen:
        seen = Seen()
        async with platform_fleet() as fleet:
            for index in range(server_count):
                seen.engines.append(await fleet.add_engine(f"i-{index}", service))
            caller = Caller(fleet.nodes["vm-1"])
            await behave_as(fleet, caller, seen)
        return seen

    context.seen = anyio.run(run)


def calling(method: str, path: str, *behaviours: Behaviour, usual: Behaviour | None = None) -> Any:
    """Returns a test run of one call while the servers behave as given."""

    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        shared = seen.engines[0].behaviours
        shared.extend(behaviours)
        for engine in seen.engines:
            engine.behaviours = shared
            engine.usual = usual or Behaviour.SERVE
        started_s = time.monotonic()
        answer = await caller.call(method, path, BODY, request_id="req-1")
        seen.took_s = time.monotonic() - started_s
        assert answer is not None
        seen.answers.append(answer)
        await anyio.sleep(0.1)
        seen.running_after = sum(engine.running for engine in seen.engines)

    return behave_as


@when("a caller asks a plain service over one connection three times")
def when_three(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        for number in range(3):
            answer = await caller.call("PUT", "/look/a?b=%20c", BODY, request_id=f"req-{number}")
            assert answer is not None
            seen.answers.append(answer)

    play(context, behave_as, server_count=1)


@then("each answer is the server's, with its signature, and one connection was enough")
def then_each(context: Context) -> None:
    for number, answer in enumerate(context.seen.answers):
        assert answer.status == 200 and answer.is_whole, answer
        assert answer.body == f"body of req-{number}".encode()
        assert answer.headers["briarvale-server-signature"] == f"i-0.req-{number}"
        assert "close" not in answer.headers.get("connection", "")


@then("the server got the caller's method, path, body and id, its own name, and the time left")
def then_got(context: Context) -> None:
    for number, seen in enumerate(context.seen.engines[0].seen):
        assert seen.request_id == f"req-{number}"
        assert (seen.method, seen.target, seen.body) == (b"PUT", b"/look/a?b=%20c", BODY)
        assert seen.header(b"briarvale-expect-instance") == "i-0"
        assert 0 < int(seen.header(b"briarvale-deadline-ms")) <= 10_000
        assert seen.header(b"host") == "desk.example"


@when("a caller asks for a path without a route")
def when_no_route(context: Context) -> None:
    play(context, calling("POST", "/nowhere/a"))


@then("the answer is 404 and no server saw a request")
def then_404(context: Context) -> None:
    assert context.seen.answers[0].status == 404
    assert context.seen.reached == 0


@when("the first answers say that the request was not run")
def when_full_first(context: Context) -> None:
    play(context, calling("POST", "/pay/a", Behaviour.REFUSE_FULL, Behaviour.REFUSE_FULL))


@when("every answer says that the request was not run")
def when_all_full(context: Context) -> None:
    play(context, calling("POST", "/pay/a", usual=Behaviour.REFUSE_FULL))


@then("the caller gets 503 with Retry-After, and no server ran it")
def then_503(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.status == 503 and float(answer.headers["retry-after"]) >= 0, answer


@when("the answer to an idempotent request is lost once")
def when_lost_safe(context: Context) -> None:
    play(context, calling("POST", "/look/a", Behaviour.BREAK_AT_ONCE))


@when("the answer to a non-idempotent request is lost once")
def when_lost_unsafe(context: Context) -> None:
    play(context, calling("POST", "/pay/a", Behaviour.BREAK_AT_ONCE))


@when("a server answers an idempotent request with 500 once")
def when_500_once(context: Context) -> None:
    play(context, calling("POST", "/look/a", Behaviour.FAIL))


@when("every server answers an idempotent request with 500")
def when_500_always(context: Context) -> None:
    play(context, calling("POST", "/look/a", usual=Behaviour.FAIL), server_count=4)


@when("a server answers a non-idempotent request with 500 once")
def when_500_unsafe(context: Context) -> None:
    play(context, calling("POST", "/pay/a", Behaviour.FAIL))


@then("the caller gets the whole answer of another server")
def then_elsewhere(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.status == 200 and answer.body == b"body of req-1", answer
    assert [len(engine.seen) for engine in context.seen.engines] == [1, 1]


@then("the caller gets a server's own 500 after as many runs as the route allows")
def then_500_exhausted(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.status == 500 and answer.body == b"failed", answer
    assert "briarvale-server-signature" in answer.headers
    assert context.seen.reached == 3, context.seen.reached


@then("the caller gets a server's own 500 after one run")
def then_500_once(context: Context) -> None:
    assert context.seen.answers[0].status == 500 and context.seen.reached == 1


@when("one of three servers answers 500 to all and 60 non-idempotent requests come")
def when_one_fails(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        seen.engines[0].usual = Behaviour.FAIL
        for _ in range(60):
            answer = await caller.call("POST", "/pay/a", BODY)
            assert answer is not None
            seen.answers.append(answer)

    play(context, behave_as, server_count=3)


@then("fewer than one in six of them get a 500")
def then_few_500(context: Context) -> None:
    failed = sum(answer.status == 500 for answer in context.seen.answers)
    assert failed < len(context.seen.answers) / 6, failed


@when("an answer to another request arrives first")
def when_stray(context: Context) -> None:
    play(context, calling("POST", "/look/a", Behaviour.STRAY_ANSWER))


@when("every answer lacks a signature")
def when_unsigned(context: Context) -> None:
    play(context, calling("POST", "/look/a", usual=Behaviour.UNSIGNED))


@when("a server never answers on a route with a short time-out")
def when_hang(context: Context) -> None:
    play(context, calling("POST", "/brief/a", usual=Behaviour.HANG))


@when("a caller asks for a stream")
def when_stream(context: Context) -> None:
    play(context, calling("POST", "/ask/a"), service=MODEL)


@when("a resumable stream breaks midway")
def when_resumable(context: Context) -> None:
    play(context, calling("POST", "/go-on/a", Behaviour.BREAK_MIDWAY), service=MODEL)


@when("a stream that may not be resumed breaks midway")
def when_not_resumable(context: Context) -> None:
    play(context, calling("POST", "/ask/a", Behaviour.BREAK_MIDWAY), service=MODEL)


@then("the caller gets a whole answer")
def then_whole(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.status == 200 and answer.is_whole, answer
    assert answer.body == b"body of req-1"


@then("the caller gets 502")
def then_502(context: Context) -> None:
    assert context.seen.answers[0].status == 502, context.seen.answers[0]


@then("the request reached servers {count:d} times")
def then_reached(context: Context, count: int) -> None:
    assert context.seen.reached == count, context.seen.reached


@then("the caller gets 504 within the time-out and a little, and the run has ended")
def then_504(context: Context) -> None:
    assert context.seen.answers[0].status == 504, context.seen.answers[0]
    assert 0.3 <= context.seen.took_s < 0.8, context.seen.took_s
    assert context.seen.running_after == 0


@then("the caller is not told that the request has not run")
def then_may_have_run(context: Context) -> None:
    answer = context.seen.answers[0]
    assert context.seen.reached > 0
    assert answer.status == 504 and answer.json()["not_run"] is False, answer


def silent_after_others(path: str) -> Any:
    """Returns a test run of one call to a silent server, after some calls that were answered."""

    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        for _ in range(6):
            await caller.call("POST", path, BODY)
        for engine in seen.engines:
            engine.seen.clear()
        await calling("POST", path, Behaviour.HANG)(fleet, caller, seen)

    return behave_as


@when("a server of two is silent to an idempotent request after others were answered")
def when_silent_safe(context: Context) -> None:
    play(context, silent_after_others("/look/a"))


@when("a server of two is silent to a non-idempotent request after others were answered")
def when_silent_unsafe(context: Context) -> None:
    play(context, silent_after_others("/pay/a"))


@then("the caller gets a whole answer in time")
def then_whole_in_time(context: Context) -> None:
    then_whole(context)
    assert context.seen.took_s < TARGET_S, context.seen.took_s


@when("a resumable stream pauses midway without end")
def when_pauses(context: Context) -> None:
    play(context, calling("POST", "/go-on/a", Behaviour.PAUSE_MIDWAY), service=MODEL)


@when("a resumable stream pauses midway, and its slot then goes to another request for 3 s")
def when_slot_goes(context: Context) -> None:
    async def run() -> Seen:
        seen = Seen()
        async with platform_fleet() as fleet:
            engine = await fleet.add_engine("i-0", MODEL, slots=1)
            engine.event_gap_s = 0.5
            engine.behaviours.append(Behaviour.PAUSE_MIDWAY)
            longer = fleet.config(version=9)
            for route in longer["routes"]:
                route["timeout_ms"] = 10_000
            fleet.store.put("config", "main", longer)
            await anyio.sleep(0.3)

            async def call(path: str) -> None:
                answer = await Caller(fleet.nodes["vm-1"]).call("POST", path, BODY)
                assert answer is not None
                seen.answers.append(answer)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "/go-on/a")
                await anyio.sleep(0.5)
                tasks.start_soon(call, "/ask/a")
        return seen

    context.seen = anyio.run(run)


@then("both callers get every event once, in order, as whole answers")
def then_both_whole(context: Context) -> None:
    assert len(context.seen.answers) == 2
    for answer in context.seen.answers:
        assert answer.status == 200 and answer.is_whole, answer
        assert answer.body == b"".join(event(number) for number in range(1, 7)), answer


@when("a caller leaves while a server works")
def when_leaves(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        for engine in seen.engines:
            engine.usual = Behaviour.HANG
        await caller.call("POST", "/look/a", BODY, disconnect_after_s=0.6)
        seen.facts["running before"] = sum(engine.running for engine in seen.engines)
        await anyio.sleep(0.4)
        seen.running_after = sum(engine.running for engine in seen.engines)

    play(context, behave_as)


@then("the run has ended soon after")
def then_ended(context: Context) -> None:
    assert context.seen.facts["running before"] == 1
    assert context.seen.running_after == 0
    assert context.seen.reached == 1


@then("the caller gets every event once, in order, as a whole answer")
def then_events(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.is_whole, answer
    assert answer.body == b"".join(event(n) for n in range(1, EVENT_COUNT + 1)), answer.body


@then("the second server was asked to go on after the last event")
def then_resumed(context: Context) -> None:
    asked = [s.header(b"last-event-id") for e in context.seen.engines for s in e.seen]
    assert sorted(asked) == ["", str(EVENT_COUNT // 2)], asked


@then("the caller gets the first events and no end")
def then_broken(context: Context) -> None:
    answer = context.seen.answers[0]
    assert not answer.is_whole
    assert answer.body == b"".join(event(n) for n in range(1, EVENT_COUNT // 2 + 1))
    assert context.seen.reached == 1


@when("entries of servers with faults of every kind are written")
def when_bad_entries(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        good = dict(fleet.store.kinds["servers"]["i-0"]["spec"])
        for name in good:
            fleet.store.put(
                "servers", f"without-{name}", {k: v for k, v in good.items() if k != name}
            )
            fleet.store.put("servers", f"odd-{name}", good | {name: [1.5, None]})
        for number, spec in enumerate((None, "text", [], 7, good | {"state": "asleep"})):
            fleet.store.put("servers", f"bad-{number}", spec)
        await anyio.sleep(0.2)
        await calling("POST", "/look/a")(fleet, caller, seen)

    play(context, behave_as, server_count=1)


@when("one of two servers is draining")
def when_draining(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        spec = fleet.store.kinds["servers"]["i-0"]["spec"]
        fleet.store.put("servers", "i-0", spec | {"state": "draining"})
        await anyio.sleep(0.2)
        for _ in range(6):
            answer = await caller.call("POST", "/look/a", BODY)
            assert answer is not None and answer.status == 200, answer

    play(context, behave_as)


@then("only the other server gets requests")
def then_other(context: Context) -> None:
    assert [len(engine.seen) for engine in context.seen.engines] == [0, 6]


@when("a newer, an older and an unreadable configuration are written")
def when_configs(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        newer = fleet.config(version=9)
        newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
        for spec in (
            newer,
            fleet.config(version=5),
            {"version": "x"},
            None,
            {"version": 11, "routes": [3]},
        ):
            fleet.store.put("config", "main", spec)
            await anyio.sleep(0.1)
        await calling("POST", "/new/a")(fleet, caller, seen)

    play(context, behave_as)


@then("the newer one stays in force")
def then_newer(context: Context) -> None:
    assert context.seen.answers[0].status == 200


@when("a node stops while a caller keeps its connection")
def when_stops(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        node = fleet.nodes["vm-1"]
        late = Caller(node)
        first = await late.call("POST", "/look/a", BODY)
        assert first is not None and first.status == 200
        seen.engines[0].event_gap_s = 0.7
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(calling("POST", "/ask/a"), fleet, caller, seen)
            await anyio.sleep(0.3)
            started_s = time.monotonic()
            node.stopped.set()
            await anyio.sleep(3.1)
            refused = await late.call("POST", "/look/a", BODY)
            assert refused is not None
            seen.facts["refused"] = refused
            await node.ended.wait()
            seen.facts["ended after s"] = time.monotonic() - started_s

    async def with_both(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        seen.engines.append(await fleet.add_engine("i-plain", PLAIN))
        await behave_as(fleet, caller, seen)

    play(context, with_both, server_count=1, service=MODEL)


@then("the running request is answered whole and the connection ends with it")
def then_stop_whole(context: Context) -> None:
    answer = context.seen.answers[0]
    assert answer.status == 200 and answer.is_whole, answer


@then("later requests on open connections are refused as not run")
def then_refused(context: Context) -> None:
    refused = context.seen.facts["refused"]
    assert refused.status == 503 and refused.json()["not_run"], refused
    assert refused.headers["connection"] == "close"


@then("the node ends within its grace")
def then_grace(context: Context) -> None:
    assert context.seen.facts["ended after s"] < GRACE_MS / 1_000


@when("a node stops while a request waits there for the one slot, which another node's run holds")
def when_stops_waiting(context: Context) -> None:
    async def run() -> Seen:
        seen = Seen()
        async with platform_fleet(2) as fleet:
            engine = await fleet.add_engine("i-0", PLAIN, slots=1)
            engine.usual = Behaviour.HANG
            longer = fleet.config(version=9)
            for route in longer["routes"]:
                route["timeout_ms"] = 12_000
            fleet.store.put("config", "main", longer)
            await anyio.sleep(0.5)
            seen.engines.append(engine)
            some_node = fleet.nodes["vm-1"].node
            assert some_node is not None
            owner = some_node.cluster.pool_owner(PLAIN)
            # The pool's owner stays, so that the request waits there all the while.
            node = next(other for name, other in fleet.nodes.items() if name != owner)
            holder = Caller(fleet.nodes[owner or ""])

            async def wait_there() -> None:
                answer = await Caller(node).call("POST", "/pay/b", BODY)
                assert answer is not None
                seen.answers.append(answer)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.call, "POST", "/pay/a", BODY)
                await anyio.sleep(0.3)
                tasks.start_soon(wait_there)
                await anyio.sleep(0.3)
                started_s = time.monotonic()
                node.stopped.set()
                await node.ended.wait()
                seen.facts["ended after s"] = time.monotonic() - started_s
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        return seen

    context.seen = anyio.run(run)


@then("the waiting request is refused as not run")
def then_waiting_refused(context: Context) -> None:
    assert context.seen.reached == 1, context.seen.reached
    answer = context.seen.answers[0]
    assert answer.status == 503 and answer.is_whole, answer
    assert answer.json()["not_run"], answer


@when("the store turns one of two nodes away and a route and a server are added")
def when_turned_away(context: Context) -> None:
    async def run() -> Seen:
        seen = Seen()
        async with platform_fleet(2) as fleet:
            seen.engines.append(await fleet.add_engine("i-old", PLAIN))
            fleet.gates["vm-2"].is_refusing = True
            newer = fleet.config(version=9)
            newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
            fleet.store.put("config", "main", newer)
            fleet.store.remove("servers", "i-old")
            await anyio.sleep(0.2)
            seen.engines.append(await fleet.add_engine("i-new", PLAIN, known_to=("vm-1",)))
            until_s = time.monotonic() + 4
            while time.monotonic() < until_s:
                await anyio.sleep(0.1)
                answer = await Caller(fleet.nodes["vm-2"]).call("POST", "/new/a", BODY)
                assert answer is not None
                seen.answers.append(answer)
        return seen

    context.seen = anyio.run(run)


@then("the node serves the new route at the new server within 4 s")
def then_learned(context: Context) -> None:
    # The old server's entry may only have lapsed, so it may serve until it should be back.
    for answer in context.seen.answers[-3:]:
        assert answer.status == 200, answer
        assert answer.headers["briarvale-server-signature"].startswith("i-new"), answer


@when("the same request comes again and again and each server that runs it crashes")
def when_crashes(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        for engine in seen.engines:
            serve = engine._answer

            async def answer(
                behaviour: Behaviour, request: Any, responder: Any, serve: Any = serve
            ) -> None:
                is_bad = request.body == b"crashes"
                await serve(Behaviour.CRASH if is_bad else behaviour, request, responder)

            engine._answer = answer  # type: ignore[method-assign]
        for _ in range(6):
            answer_got = await Caller(fleet.nodes["vm-1"]).call("POST", "/look/a", b"crashes")
            assert answer_got is not None
            seen.answers.append(answer_got)
        seen.facts["crashed"] = seen.reached
        other = await caller.call("POST", "/look/a", b"harmless")
        assert other is not None
        seen.facts["other"] = other.status

    play(context, behave_as, server_count=4)


@then("it reaches no more than 3 servers and is refused as such, and other requests are served")
def then_quarantined(context: Context) -> None:
    assert context.seen.facts["crashed"] <= 3, context.seen.facts
    assert context.seen.answers[-1].status == 422, context.seen.answers[-1]
    assert context.seen.facts["other"] == 200


@when("a configuration is written while watches are deaf, and the watches are cut")
def when_deaf(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        fleet.store.faults.drop_watch_events = True
        newer = fleet.config(version=9)
        newer["routes"].append(newer["routes"][0] | {"name": "new", "path_prefix": "/new/"})
        fleet.store.put("config", "main", newer)
        await anyio.sleep(0.1)
        fleet.store.cut_watches()
        await anyio.sleep(1)
        await calling("POST", "/new/a")(fleet, caller, seen)

    play(context, behave_as)


@then("the newer one is in force within 1 s, though watches stay deaf")
def then_deaf(context: Context) -> None:
    assert context.seen.answers[0].status == 200, context.seen.answers[0]


@when("a stream's event id is a superscript two, and a request's time left has 5,000 digits")
def when_odd_digits(context: Context) -> None:
    async def behave_as(fleet: PlatformFleet, caller: Caller, seen: Seen) -> None:
        seen.engines[0].usual = Behaviour.ODD_EVENT_ID
        headers = {"Briarvale-Deadline-Ms": "1" * 5_000}
        for more in ({}, headers):
            answer = await caller.call("POST", "/ask/a", BODY, headers=more)
            assert answer is not None
            seen.answers.append(answer)

    play(context, behave_as, service=MODEL, server_count=1)


@then("the stream is passed on as it came, and the request is served")
def then_odd_digits(context: Context) -> None:
    answers = context.seen.answers
    assert [(answer.status, answer.body) for answer in answers] == [(200, ODD_EVENT)] * 2, answers
