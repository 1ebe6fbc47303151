"""Steps of callers that disconnect from the gateway's HTTP interface."""

import json

import anyio
from behave import when
from behave.runner import Context
from starlette.types import Message, Scope

from briarvale.gateway_http import gateway_app
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MemoryFleet
from features.support.online import run_on_fleet, slots_held


class _Caller:
    """The server's side of one ASGI request, whose caller disconnects after `after_s` seconds."""

    def __init__(self, *, is_streamed: bool, is_reading: bool, after_s: float) -> None:
        body = {"model": ENGINE_SERVICE, "prompt": "low G", "max_tokens": 4_000}
        self._body = json.dumps(body | {"stream": is_streamed}).encode()
        self._is_sent = False
        self._is_reading = is_reading
        self._after_s = after_s

    @property
    def scope(self) -> Scope:
        """The request."""
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": "POST",
            "path": "/v1/completions",
            "raw_path": b"/v1/completions",
            "query_string": b"",
            "headers": [(b"authorization", b"Bearer key-cyweirio")],
        }

    async def receive(self) -> Message:
        """Returns the body, then the disconnect of the caller."""
        if not self._is_sent:
            self._is_sent = True
            return {"type": "http.request", "body": self._body, "more_body": False}
        await anyio.sleep(self._after_s)
        return {"type": "http.disconnect"}

    async def send(self, message: Message) -> None:
        """Receives a part of the answer; blocks if the caller does not read."""
        if message["type"] == "http.response.body" and not self._is_reading:
            await anyio.sleep_forever()


@when("a caller that requests {form} over HTTP disconnects after {after_s:d} s")
def when_disconnects(context: Context, form: str, after_s: int) -> None:
    async def scenario(fleet: MemoryFleet) -> tuple[int, int]:
        app = gateway_app(fleet.vms["vm-1"].gateway)
        caller = _Caller(
            is_streamed="stream" in form, is_reading="never" not in form, after_s=after_s
        )
        in_use = (-1, -1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(app, caller.scope, caller.receive, caller.send)
            await anyio.sleep(after_s)
            context.slots_held_before = slots_held(fleet)
            await anyio.sleep(after_s + 0.1)
            streams = sum(engine.stream_count for engine in fleet.backends.engines.values())
            in_use = (streams, slots_held(fleet))
            tasks.cancel_scope.cancel()
        assert context.slots_held_before == 1
        return in_use

    context.in_use = run_on_fleet(scenario)
