"""Steps of `briarvale why`."""

import json
import tempfile
from pathlib import Path

import anyio
import httpx
from behave import given, then, when
from behave.runner import Context
from click.testing import Result
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from typer.testing import CliRunner

from briarvale import online
from briarvale.gateway_http import gateway_app
from briarvale.programs.cli import app
from briarvale.standins.memory_fleet import MemoryFleet
from briarvale.trace_export import JsonLinesExporter
from features.support.online import (
    ask,
    crash_busiest,
    online_request,
    run_on_fleet,
    wait_generating,
)


@when('an answer with the request id "{name}" is traced while its server crashes')
def when_traced(context: Context, name: str) -> None:
    context.trace_file = Path(tempfile.mkdtemp()) / "traces.jsonl"
    resource = Resource.create({"service.name": "gateway", "briarvale.vm": "vm-1"})
    provider = TracerProvider(resource=resource)
    exporter = JsonLinesExporter(context.trace_file)
    provider.add_span_processor(SimpleSpanProcessor(exporter))

    async def scenario(fleet: MemoryFleet) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, fleet, online_request(fleet, name))
            await wait_generating(fleet, 5)
            context.crashed = (await crash_busiest(fleet)).settings.name

    original_tracer, online.tracer = online.tracer, provider.get_tracer("briarvale")
    try:
        run_on_fleet(scenario)
    finally:
        online.tracer = original_tracer
        exporter.shutdown()


def _run_why(context: Context, name: str) -> Result:
    return CliRunner().invoke(app, ["why", name, "--trace", str(context.trace_file)])


@then("`briarvale why {name}` names both servers, the reason, the candidates and the waits")
def then_explained(context: Context, name: str) -> None:
    text = _run_why(context, name).stdout
    assert f"Attempt 1 on {context.crashed}: server_lost." in text, text
    assert "Attempt 2 on" in text and "probation of a suspect" in text, text
    assert "least cost of two" in text and "of bs-1, bs-2, bs-3" in text, text
    assert text.count("for a slot") == 2 and "as a suspect of a crash" in text, text
    assert "40 tokens" in text and "attempts: 2" in text, text


@then("`briarvale why {name}` fails with not_found")
def then_not_found(context: Context, name: str) -> None:
    result = _run_why(context, name)
    assert result.exit_code == 1 and "not_found" in result.stderr, result.output


@given('a trace file with a slot wait of {wait_ms:d} ms of request "{name}"')
def given_trace(context: Context, wait_ms: int, name: str) -> None:
    common = {"trace_id": "t", "program": "gateway", "vm": "vm-1", "start_ns": 0}
    attempt = {"briarvale.request_id": name, "briarvale.backend_server": "bs-1"}
    rows = [
        common | {"name": "attempt", "span_id": "a", "parent_id": "", "attributes": attempt},
        common | {"name": "slot wait", "span_id": "b", "parent_id": "a", "attributes": {}},
    ]
    lines = [json.dumps(row | {"end_ns": wait_ms * 1_000_000}) for row in rows]
    context.trace_file = Path(tempfile.mkdtemp()) / "traces.jsonl"
    context.trace_file.write_text("\n".join([*lines, '{"name": "cut']))


@then("`briarvale why {name}` says that it waited {wait_ms:d} ms for a slot")
def then_waited(context: Context, name: str, wait_ms: int) -> None:
    text = _run_why(context, name).stdout
    assert f"Waited {wait_ms} ms for a slot" in text, text


@when("a caller asks the gateway over HTTP, once validly and once without a model")
def when_http(context: Context) -> None:
    async def scenario(fleet: MemoryFleet) -> list[httpx.Response]:
        transport = httpx.ASGITransport(gateway_app(fleet.vms["vm-1"].gateway))
        headers = {"authorization": "Bearer key-cyweirio"}
        bodies = [{"model": "reed-desk", "prompt": "low G", "max_tokens": 4}, {"prompt": "low G"}]
        base_url = "http://127.0.0.1"
        async with httpx.AsyncClient(transport=transport, base_url=base_url) as client:
            return [
                await client.post("/v1/completions", json=body, headers=headers) for body in bodies
            ]

    context.responses = run_on_fleet(scenario)


@then("both answers have an X-Request-Id, and the first one's is the completion's id")
def then_ids(context: Context) -> None:
    good, refused = context.responses
    assert good.status_code == 200 and good.headers["x-request-id"] == good.json()["id"]
    assert refused.status_code == 400 and refused.headers["x-request-id"]
