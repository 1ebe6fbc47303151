"""Steps of servers that send endless bytes to the product's own clients, on loopback."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
from behave import then, when
from behave.runner import Context

from briarvale.engine_client import Completion, HttpEngine
from briarvale.errors import AnswerTooLong, BriarvaleError
from briarvale.ingress import Ingress
from briarvale.peer import PeerAddress
from briarvale.service_client import HttpPlainService, ServiceCall
from features.support.endless_answers import Endless, EndlessAnswer, EndlessServer
from features.support.platform_fleet import free_port

# Read limit of one answer plus the buffers of a loopback connection.
MAX_READ_BYTES = 48_000_000
CALL_TIMEOUT_S = 5.0


async def call_service(url: str, client: httpx.AsyncClient) -> None:
    """Calls a plain service."""
    await HttpPlainService(url, client).call(ServiceCall("POST", "a", b"", "text/plain"))


async def complete(url: str, client: httpx.AsyncClient) -> None:
    """Reads a completion."""
    completion = Completion(request_id="r", model="m", prompt="p", max_tokens=1)
    async for _ in HttpEngine(url, client).complete(completion):
        pass


async def load(url: str, client: httpx.AsyncClient) -> None:
    """Reads an engine's load."""
    await HttpEngine(url, client).load()


CALLS: dict[str, Callable[[str, httpx.AsyncClient], Awaitable[None]]] = {
    "the answer of a plain service": call_service,
    "an event of an engine's completion": complete,
    "an engine's load": load,
}


@when("a server sends {what} without end")
def when_endless(context: Context, what: str) -> None:
    context.endless = EndlessAnswer(Endless.ONE_EVENT)
    context.error = None

    async def run() -> None:
        address = PeerAddress("127.0.0.1", free_port())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Ingress(EndlessServer(context.endless)).serve, address)
            await anyio.sleep(0.1)
            async with httpx.AsyncClient() as client:
                try:
                    with anyio.fail_after(CALL_TIMEOUT_S):
                        await CALLS[what](f"http://{address.host}:{address.port}", client)
                except (BriarvaleError, TimeoutError) as error:
                    context.error = error
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the call fails as an answer that is too long, after a bounded number of bytes")
def then_too_long(context: Context) -> None:
    sent_bytes = context.endless.sent_bytes
    assert isinstance(context.error, AnswerTooLong), (repr(context.error), sent_bytes)
    assert 0 < sent_bytes < MAX_READ_BYTES, sent_bytes
