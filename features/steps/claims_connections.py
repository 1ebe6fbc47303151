"""Steps of calls to plain services over HTTP: from callers, and to services over loopback."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import httpx
from anyio.abc import SocketAttribute, SocketStream
from behave import given, then, when
from behave.runner import Context

from briarvale.environment import backend_client
from briarvale.gateway_http import gateway_app
from briarvale.service_client import HttpPlainService, ServiceAnswer, ServiceCall
from briarvale.standins.memory_fleet import PLAIN_SERVICE, FleetSettings, MemoryFleet
from features.support.virtual import run_virtual

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok"


@given("a plain service that closes every reused connection")
def given_breaking_service(context: Context) -> None:
    context.connection_count = 0


@when("{calls:d} calls that may not be repeated are made over HTTP")
def when_http_calls(context: Context, calls: int) -> None:
    async def serve(stream: SocketStream) -> None:
        context.connection_count += 1
        async with stream:
            with suppress(anyio.EndOfStream):
                await stream.receive()
                await stream.send(ANSWER)
                await stream.receive()

    context.http_answers = anyio.run(call_service, serve, calls)


async def call_service(
    serve: Callable[[SocketStream], Awaitable[None]], calls: int
) -> list[ServiceAnswer]:
    """Makes calls one after the other to a service whose connections are served by `serve`."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        async with backend_client() as client:
            service = HttpPlainService(f"http://127.0.0.1:{port}", client)
            call = ServiceCall("POST", "lookup", b"{}", "application/json")
            answers = [await service.call(call) for _ in range(calls)]
        tasks.cancel_scope.cancel()
    return answers


@when("a plain service of a gateway sends each answer twice, {copy}")
def when_sent_twice(context: Context, copy: str) -> None:
    answered = 0

    async def serve(stream: SocketStream) -> None:
        nonlocal answered
        earlier = b""
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    answered += 1
                    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % answered
                    await stream.send(answer * 2 if copy == "in one piece" else earlier + answer)
                    earlier = answer

    context.http_answers = anyio.run(call_service, serve, 3)


@then("each of 3 calls gets its own answer")
def then_own_answers(context: Context) -> None:
    assert [answer.body for answer in context.http_answers] == [b"1", b"2", b"3"]


@then("each got its answer, over a connection of its own")
def then_own_connection(context: Context) -> None:
    assert [answer.body for answer in context.http_answers] == [b"ok"] * context.connection_count
    assert context.connection_count == 3


@when('a caller looks up "{path}" with a key over HTTP, through two VMs in turn')
def when_lookup(context: Context, path: str) -> None:
    headers = {"authorization": "Bearer key-trust", "idempotency-key": "till-7"}

    async def run() -> None:
        fleet = MemoryFleet(FleetSettings(vm_count=2))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            for vm in fleet.vms.values():
                transport = httpx.ASGITransport(gateway_app(vm.gateway))
                url = f"http://gateway/v1/services/{PLAIN_SERVICE}/{path}"
                async with httpx.AsyncClient(transport=transport) as client:
                    context.lookup_answers.append(await client.post(url, headers=headers))
            tasks.cancel_scope.cancel()
        context.lookup_runs = fleet.backends.plain_services["bs-plain-1"].runs

    context.lookup_answers = []
    run_virtual(run)


@then('both got the same answer, and the service ran "{path}" once')
def then_one_lookup(context: Context, path: str) -> None:
    first, second = context.lookup_answers
    assert first.status_code == second.status_code == 200, (first.text, second.text)
    assert first.content == second.content
    assert [run.path for run in context.lookup_runs] == [path]
