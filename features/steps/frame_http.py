"""Steps of the gateway's HTTP boundary, in virtual time over an ASGI transport."""

import json
from typing import Any, NamedTuple

import anyio
import httpx
from behave import given, then, when
from behave.runner import Context

from briarvale.gateway_http import gateway_app
from briarvale.standins.engine import token_text
from briarvale.standins.memory_fleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SHARED_SECRET,
    FleetSettings,
    MemoryFleet,
)
from features.support.virtual import run_virtual

AUTH_HEADERS = {"authorization": "Bearer key-cyweirio"}
VALID_BODY = {"model": ENGINE_SERVICE, "prompt": "low G", "max_tokens": 4}
LIMIT_BYTES = 2000


class SentRequest(NamedTuple):
    """One HTTP request that a test sends."""

    path: str
    body: bytes
    headers: dict[str, str] = AUTH_HEADERS
    method: str = "POST"


def completion(**changes: Any) -> bytes:
    return json.dumps(VALID_BODY | changes).encode()


REQUESTS = {
    "a wrong API key": SentRequest(
        "/v1/completions", completion(), {"authorization": "Bearer nobody"}
    ),
    "no API key and a huge body": SentRequest("/v1/completions", b"x" * 10 * LIMIT_BYTES, {}),
    "a body over the limit": SentRequest("/v1/completions", completion(prompt="x" * LIMIT_BYTES)),
    "malformed JSON": SentRequest("/v1/completions", b'{"model": ]}'),
    "JSON that isn't an object": SentRequest("/v1/completions", b"[]"),
    "bytes that are not UTF-8": SentRequest("/v1/completions", b'{"model": "\xff\xfe"}'),
    "no prompt": SentRequest("/v1/completions", json.dumps({"model": ENGINE_SERVICE}).encode()),
    "an unknown service": SentRequest("/v1/completions", completion(model="nothing")),
    "a plain call to a model": SentRequest(f"/v1/services/{ENGINE_SERVICE}/x", b""),
    "a bad deadline": SentRequest(
        "/v1/completions", completion(), AUTH_HEADERS | {"x-deadline-ms": "soon"}
    ),
    "zero tokens": SentRequest("/v1/completions", completion(max_tokens=0)),
    "metrics without the secret": SentRequest("/metrics", b"", AUTH_HEADERS, "GET"),
}


@given("the HTTP interface of a gateway")
def given_interface(context: Context) -> None:
    async def send_all(requests: list[SentRequest]) -> tuple[list[httpx.Response], int]:
        fleet = MemoryFleet(FleetSettings(vm_count=1, rules=(("max_body_bytes", LIMIT_BYTES),)))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            transport = httpx.ASGITransport(gateway_app(fleet.vms["vm-1"].gateway))
            async with httpx.AsyncClient(transport=transport, base_url="http://gateway") as client:
                answers = [
                    await client.request(r.method, r.path, content=r.body, headers=r.headers)
                    for r in requests
                ]
            tasks.cancel_scope.cancel()
        engine_runs = sum(len(e.run_counts) for e in fleet.backends.engines.values())
        plain_runs = sum(len(s.runs) for s in fleet.backends.plain_services.values())
        return answers, engine_runs + plain_runs

    context.send_all = lambda requests: run_virtual(send_all, requests)


@when("a caller sends {request}")
def when_sends(context: Context, request: str) -> None:
    (context.answer,), context.run_count = context.send_all([REQUESTS[request]])


@then('the refusal has status {status:d} and code {code} and mentions "{text}"')
def then_refused(context: Context, status: int, code: str, text: str) -> None:
    body = context.answer.json()
    assert (context.answer.status_code, body["code"]) == (status, code), context.answer.text
    assert text in body["message"], body["message"]
    assert body["not_run"] is True


@then("no backend server ran anything")
def then_nothing_ran(context: Context) -> None:
    assert context.run_count == 0


@when("a caller requests the same completion unstreamed, streamed and as a chat")
def when_formats(context: Context) -> None:
    chat = {"model": ENGINE_SERVICE, "max_tokens": 4}
    chat["messages"] = [{"role": "user", "content": "low G"}]
    requests = [
        SentRequest("/v1/completions", completion()),
        SentRequest("/v1/completions", completion(stream=True)),
        SentRequest("/v1/chat/completions", json.dumps(chat).encode()),
        SentRequest("/v1/chat/completions", json.dumps(chat | {"stream": True}).encode()),
        SentRequest(f"/v1/services/{PLAIN_SERVICE}/lookup", b"{}"),
    ]
    context.answers, _ = context.send_all(requests)


@then("every format carries the complete answer")
def then_formats(context: Context) -> None:
    unstreamed, streamed, chat, chat_streamed, plain = context.answers
    text = "".join(token_text("low G", n) for n in range(4))
    chat_text = "".join(token_text("user: low G", n) for n in range(4))
    assert unstreamed.json()["choices"][0]["text"] == text
    assert "".join(c["text"] for c in choices_of(streamed)) == text
    assert chat.json()["choices"][0]["message"]["content"] == chat_text
    assert "".join(c["delta"]["content"] for c in choices_of(chat_streamed)) == chat_text
    assert plain.json()["run"] == 1


def choices_of(answer: httpx.Response) -> list[dict[str, Any]]:
    lines = [line.removeprefix("data: ") for line in answer.text.splitlines() if line]
    assert lines[-1] == "[DONE]"
    return [json.loads(line)["choices"][0] for line in lines[:-1]]


@when("an operator reads the metrics")
def when_metrics(context: Context) -> None:
    secret = {"authorization": f"Bearer {SHARED_SECRET}"}
    requests = [
        SentRequest("/v1/completions", completion()),
        SentRequest("/metrics", b"", secret, "GET"),
    ]
    (_, context.answer), _ = context.send_all(requests)


@then("they count the requests by member and code")
def then_metrics(context: Context) -> None:
    assert context.answer.status_code == 200
    assert 'briarvale_requests_total{code="200",member="cyweirio"}' in context.answer.text
