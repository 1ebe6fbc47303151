"""Steps with real processes; each VM has its own loopback address."""

import json
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import ClassVar

import httpx
import yaml
from behave import given, then, when
from behave.runner import Context

from briarvale._generated.messages import Hello, decode_message, encode_message
from briarvale.standins.engine import token_text
from tools.demo import API_KEY, BIN, PROGRAMS, SECRET, DemoFleet

HEADERS = {"authorization": f"Bearer {API_KEY}"}
PROMPT = "The bellows leak at the third fold"
STREAM_TOKENS = 120
JOB_ITEMS = 60
TIMEOUT_S = 30.0
EXIT_SUCCESS = 0


class RequestRefused(Exception):
    """A gateway answered a stream with an error."""


@given("the demo's fleet of real processes")
def given_processes(context: Context) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.fleet = DemoFleet(Path(context.folder.name) / "fleet")
    context.add_cleanup(context.folder.cleanup)
    context.add_cleanup(context.fleet.stop)
    context.fleet.write_files()
    context.fleet.start()


def http_client() -> httpx.Client:
    return httpx.Client(headers=HEADERS, trust_env=False, timeout=TIMEOUT_S)


def stream_text(base_url: str, tokens: int, started: threading.Event | None = None) -> str:
    """Returns the text of a streamed completion; `started` is set at its first token."""
    body = {"model": "reed-desk", "prompt": PROMPT, "max_tokens": tokens, "stream": True}
    text = ""
    with (
        http_client() as http,
        http.stream("POST", f"{base_url}/v1/completions", json=body) as answer,
    ):
        for line in answer.iter_lines():
            data = line.removeprefix("data: ")
            if line and data != "[DONE]":
                text += event_token(data)
                if started is not None:
                    started.set()
    return text


def event_token(data: str) -> str:
    event = json.loads(data)
    if "choices" not in event:
        raise RequestRefused(data)
    return str(event["choices"][0]["text"])


def expected_text(tokens: int) -> str:
    return "".join(token_text(PROMPT, index) for index in range(tokens))


def submit_job(base_url: str) -> str:
    """Submits a batch job and returns its URL."""
    lines = "\n".join(
        json.dumps({"prompt": f"block {n}", "max_tokens": 40}) for n in range(JOB_ITEMS)
    )
    due_at_ms = int(time.time() * 1_000) + 3_600_000
    url = f"{base_url}/v1/jobs/survival"
    params = {"service": "reed-desk", "due_at_ms": str(due_at_ms)}
    with http_client() as http:
        http.put(url, params=params, content=lines).raise_for_status()
    return url


def inject_during_load(context: Context, inject_fault: Callable[[], None]) -> None:
    """Injects a fault once a stream through vm-2 has begun; waits for the end of the stream."""
    base_url = context.fleet.gateway_url("vm-2")
    context.job_url = submit_job(base_url)
    started = threading.Event()
    texts: list[str] = []
    thread = threading.Thread(
        target=lambda: texts.append(stream_text(base_url, STREAM_TOKENS, started))
    )
    thread.start()
    assert started.wait(TIMEOUT_S)
    inject_fault()
    thread.join(TIMEOUT_S)
    context.texts = texts


@when("{program} of vm-1 is killed while a caller streams through vm-2 and a job runs")
def when_killed(context: Context, program: str) -> None:
    inject_during_load(context, context.fleet.processes[f"{program}@vm-1"].kill)


@when("the dispatcher of vm-1 is frozen while a caller streams through vm-2 and a job runs")
def when_frozen(context: Context) -> None:
    process = context.fleet.processes["dispatcher@vm-1"]
    inject_during_load(context, lambda: process.send_signal(signal.SIGSTOP))
    context.add_cleanup(process.send_signal, signal.SIGCONT)


@then("the stream is complete")
def then_stream_complete(context: Context) -> None:
    assert context.texts == [expected_text(STREAM_TOKENS)], context.texts


@then("every item of the job has one result")
def then_job_complete(context: Context) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    with http_client() as http:
        while http.get(context.job_url).json()["done_count"] < JOB_ITEMS:
            assert time.monotonic() < deadline_s, "the job does not finish"
            time.sleep(0.2)
        results = [json.loads(line) for line in http.get(f"{context.job_url}/results").iter_lines()]
    assert [result["item"] for result in results] == list(range(JOB_ITEMS))
    for result in results:
        expected = "".join(token_text(f"block {result['item']}", index) for index in range(40))
        assert result["text"] == expected, result


@then("new requests through {vm} are answered")
def then_answered(context: Context, vm: str) -> None:
    base_url = context.fleet.gateway_url(vm)
    assert stream_text(base_url, 8) == expected_text(8)
    with http_client() as http:
        assert http.post(f"{base_url}/v1/services/orders/lookup", json={}).status_code == 200


@when("each VM's programs get SIGTERM and start again, one VM after the other, under load")
def when_rolling_restart(context: Context) -> None:
    context.failures, context.exit_codes, context.answered = [], [], 0
    stop = threading.Event()
    threads = [threading.Thread(target=call_balanced, args=(context, stop)) for _ in range(4)]
    for thread in threads:
        thread.start()
    for vm in context.fleet.vms:
        restart_vm(context, vm)
    stop.set()
    for thread in threads:
        thread.join(TIMEOUT_S)


def call_balanced(context: Context, stop: threading.Event) -> None:
    """Calls a gateway that is ready, as the platform's load balancer does."""
    while not stop.is_set():
        for vm in context.fleet.vms:
            if not is_ready(context.fleet.gateway_url(vm)):
                continue
            try:
                text = stream_text(context.fleet.gateway_url(vm), 30)
                if text != expected_text(30):
                    context.failures.append(f"{vm}: {text}")
                context.answered += 1
            except (httpx.HTTPError, RequestRefused) as error:
                context.failures.append(f"{vm}: {error!r}")


def is_ready(base_url: str) -> bool:
    try:
        return httpx.get(f"{base_url}/health/ready", trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


def restart_vm(context: Context, vm: str) -> None:
    """Stops all programs of a VM gracefully, starts them again and waits until they are ready."""
    names = [f"{program}@{vm}" for program in PROGRAMS]
    processes = [context.fleet.processes[name] for name in names]
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        context.exit_codes.append(process.wait(TIMEOUT_S))
    for program, name in zip(PROGRAMS, names, strict=True):
        context.fleet.spawn(program, f"{vm}.yaml", name=name)
    context.fleet.wait_ready(vm)
    time.sleep(1)


@then("no request was cut or refused")
def then_none_failed(context: Context) -> None:
    assert not context.failures, context.failures[:3]
    assert context.answered > 0


@then("every program ended with exit code 0")
def then_exit_0(context: Context) -> None:
    assert set(context.exit_codes) == {EXIT_SUCCESS}, context.exit_codes


@when("a caller streams, calls a service and submits a job in one trace")
def when_traced(context: Context) -> None:
    context.trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
    HEADERS["traceparent"] = f"00-{context.trace_id}-00f067aa0ba902b7-01"
    context.add_cleanup(HEADERS.pop, "traceparent")
    base_url = context.fleet.gateway_url("vm-1")
    assert stream_text(base_url, 8) == expected_text(8)
    with http_client() as http:
        assert http.post(f"{base_url}/v1/services/orders/lookup", json={}).status_code == 200
    context.job_url = submit_job(base_url)
    then_job_complete(context)
    context.fleet.stop()
    lines = (context.fleet.folder / "traces.jsonl").read_text().splitlines()
    context.spans = [json.loads(line) for line in lines]


@then("the trace has spans of gateway, slot wait, dispatcher, attempt and plain call")
def then_traced(context: Context) -> None:
    trace_spans = [span for span in context.spans if span["trace_id"] == context.trace_id]
    names = {span["name"] for span in trace_spans}
    assert names >= {"gateway", "slot wait", "dispatcher", "attempt", "plain call"}, names
    ids = {span["span_id"] for span in trace_spans} | {"00f067aa0ba902b7"}
    assert all(span["parent_id"] in ids for span in trace_spans), trace_spans
    dispatcher_spans = [span for span in trace_spans if span["name"] == "dispatcher"]
    assert all(span["program"] == "dispatcher" for span in dispatcher_spans), dispatcher_spans


@then("batch items and store calls have spans too")
def then_batch_and_store_spans(context: Context) -> None:
    names = [span["name"] for span in context.spans]
    assert names.count("batch item") >= JOB_ITEMS and "store call" in names, set(names)


class OtlpCollector(BaseHTTPRequestHandler):
    """An OTLP collector that records the path and size of each request."""

    received: ClassVar[list[tuple[str, int]]] = []

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["content-length"]))
        self.received.append((self.path, len(body)))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *args: object) -> None:
        """Logs nothing, unlike the base class."""


@given("an OTLP collector of spans")
def given_collector(context: Context) -> None:
    OtlpCollector.received.clear()
    context.collector = ThreadingHTTPServer(("127.0.0.1", 0), OtlpCollector)
    threading.Thread(target=context.collector.serve_forever, daemon=True).start()
    context.add_cleanup(context.collector.shutdown)


@when("a gateway with that collector and JSON logs is stopped after one request")
def when_collected(context: Context) -> None:
    given_processes(context)
    fleet = context.fleet
    path = fleet.folder / "vm-1.yaml"
    settings = yaml.safe_load(path.read_text())
    settings["otlp_url"] = f"http://127.0.0.1:{context.collector.server_port}/v1/traces"
    settings["gateway_port"] = 8090
    (fleet.folder / "otlp.yaml").write_text(yaml.safe_dump(settings))
    log = (fleet.folder / "otlp.log").open("wb")
    command = [str(BIN / "briarvale-gateway"), "otlp.yaml", "--log-format", "json"]
    process = subprocess.Popen(command, cwd=fleet.folder, stderr=log)
    fleet.processes["otlp"] = process
    base_url = f"http://{fleet.host_of('vm-1')}:8090"
    while not is_ready(base_url):
        time.sleep(0.05)
    assert stream_text(base_url, 8) == expected_text(8)
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == EXIT_SUCCESS


@then("each log line is a JSON object that names its component")
def then_json_logs(context: Context) -> None:
    lines = (context.fleet.folder / "otlp.log").read_text().splitlines()
    records = [json.loads(line)["record"] for line in lines]
    assert records and all(record["extra"]["part"] for record in records), lines


@then("the collector got the gateway's spans")
def then_collected(context: Context) -> None:
    assert any(path == "/v1/traces" and size > 0 for path, size in OtlpCollector.received)


@when("briarvale-{program} starts with settings whose {field} is {value}")
def when_invalid_settings(context: Context, program: str, field: str, value: str) -> None:
    settings = {
        "vm": "vm-1",
        "region": "wales",
        "availability_zone": "caerdydd",
        "host": "127.0.0.1",
        "shared_secret": SECRET,
        "object_api_url": "http://127.0.0.1:1",
    }
    text = yaml.safe_dump(settings, sort_keys=False) + f"{field}: {value}\n"
    text += "vm_list_url: http://127.0.0.1:1/vms\n"
    with tempfile.TemporaryDirectory() as folder:
        context.path = Path(folder) / "vm-1.yaml"
        context.path.write_text(text)
        command = [str(BIN / f"briarvale-{program}"), str(context.path)]
        context.result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


@then("it exits with 2 and names the file, line {line:d} and {field}")
def then_exit_2(context: Context, line: int, field: str) -> None:
    assert context.result.returncode == 2
    assert f"{context.path}:{line}: " in context.result.stderr, context.result.stderr
    assert field in context.result.stderr


@when(
    "unauthenticated clients send garbage, a huge length and a wrong proof to the peer port of vm-1"
)
def when_bad_frames(context: Context) -> None:
    address = (context.fleet.host_of("vm-1"), 7400)
    wrong_proof = encode_message(Hello("vm-9", "gateway", "boot", b"wrong"))
    frames = [b"\0\0\0\x08garbage!", b"\xff\xff\xff\xff", length_prefixed(wrong_proof)]
    context.closed = [is_closed_after(address, data) for data in frames]


def length_prefixed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


def is_closed_after(address: tuple[str, int], data: bytes) -> bool:
    """Returns whether a peer closes a connection that answers its challenge with these bytes."""
    with socket.create_connection(address, timeout=TIMEOUT_S) as connection:
        length = int.from_bytes(connection.recv(4, socket.MSG_WAITALL), "big")
        decode_message(connection.recv(length, socket.MSG_WAITALL))
        connection.sendall(data)
        return connection.recv(1) == b""


@then("each connection is closed and the bad frames are counted")
def then_bad_frames_counted(context: Context) -> None:
    assert all(context.closed)
    url = f"http://{context.fleet.host_of('vm-1')}:7402/metrics"
    secret = {"authorization": f"Bearer {SECRET}"}
    text = httpx.get(url, headers=secret, trust_env=False).text
    assert "briarvale_peer_bad_frames_total 3" in text, text
