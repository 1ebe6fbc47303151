"""The callers' HTTP interface of the gateway."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from . import logs, metrics
from .clock import MS_PER_S
from .engine_client import Token
from .errors import (
    BodyTooLarge,
    BriarvaleError,
    CallerGone,
    InvalidKey,
    InvalidRequest,
    NotFound,
)
from .gateway import Gateway
from .job_http import job_routes
from .metrics_http import metrics_route
from .online import OnlineRequest
from .operator_http import OperatorAuth, health_route
from .plain_calls import PlainRequest
from .request_count import RequestCountMiddleware
from .service_client import ServiceCall
from .slot_client import new_request_id
from .suspects import fingerprint_of
from .traces import extract_context, tracer

DEFAULT_DEADLINE_MS = 60_000
DEFAULT_MAX_TOKENS = 128
BEARER = "Bearer "
REQUEST_ID_HEADER = "x-request-id"

T = TypeVar("T")
log = logs.component_logger("gateway")

__all__ = ["gateway_app"]

Handler = Callable[[Request, str], Awaitable[Response]]


def gateway_app(gateway: Gateway) -> Starlette:
    """Returns the gateway's ASGI application."""
    http = _GatewayHttp(gateway)
    routes = [
        health_route(lambda: gateway.is_ready),
        Route("/v1/completions", http.authenticated(http.complete), methods=["POST"]),
        Route("/v1/chat/completions", http.authenticated(http.chat), methods=["POST"]),
        Route(
            "/v1/services/{service}/{path:path}",
            http.authenticated(http.call_service),
            methods=["GET", "POST", "PUT", "DELETE"],
        ),
        *job_routes(gateway, http.authenticated),
    ]
    app = Starlette(routes=routes, exception_handlers={BriarvaleError: _answer_error})
    app.add_middleware(RequestCountMiddleware, count=gateway.requests)
    app.state.clock = gateway.environment.clock
    app.mount("/", OperatorAuth(Starlette(routes=[metrics_route()]), gateway.settings))
    return app


class _AnswerResponse(StreamingResponse):
    """A streamed answer whose iterator is closed as soon as the caller disconnects."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Sends the answer until it is complete or the caller disconnects."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await self.stream_response(send)
            except OSError:
                log.debug("The caller disconnected.")
            finally:
                with anyio.CancelScope(shield=True):
                    await self.body_iterator.aclose()  # type: ignore[attr-defined]
                tasks.cancel_scope.cancel()


class _GatewayHttp:
    """Handlers of the callers' requests; each receives the authenticated member."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def authenticated(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        """Wraps a handler: checks the API key first and opens the request's span."""

        async def handle(request: Request) -> Response:
            request.state.request_id = new_request_id()
            member = self._authenticate(request)
            context = extract_context(dict(request.headers))
            with tracer.start_as_current_span("gateway", context=context) as span:
                span.set_attribute("briarvale.member", member)
                span.set_attribute("briarvale.request_id", request.state.request_id)
                response = await handler(request, member)
            response.headers[REQUEST_ID_HEADER] = request.state.request_id
            metrics.REQUESTS.inc({"member": member, "code": str(response.status_code)})
            return response

        return handle

    async def complete(self, request: Request, member: str) -> Response:
        """Answers `POST /v1/completions`."""
        body = await self._read_json(request)
        return await self._respond(
            request, member, body, _required_text(body, "prompt"), is_chat=False
        )

    async def chat(self, request: Request, member: str) -> Response:
        """Answers `POST /v1/chat/completions`."""
        body = await self._read_json(request)
        return await self._respond(request, member, body, _chat_prompt(body), is_chat=True)

    async def call_service(self, request: Request, member: str) -> Response:
        """Answers `/v1/services/{service}/{path}`, a call to a plain service."""
        service = request.path_params["service"]
        self._check_service(service, "plain")
        call = ServiceCall(
            verb=request.method,
            path=_path_and_query(request),
            body=await self._read_body(request),
            content_type=request.headers.get("content-type", "application/octet-stream"),
            idempotency_key=request.headers.get("idempotency-key", ""),
        )
        deadline_ms = self._deadline_ms(request)
        answer = await self._gateway.plain_calls.call(
            PlainRequest(member, service, call, deadline_ms)
        )
        return Response(answer.body, answer.status, media_type=answer.content_type)

    async def _respond(
        self, request: Request, member: str, body: dict[str, Any], prompt: str, *, is_chat: bool
    ) -> Response:
        """Runs a completion, and answers with its complete text or with a stream of its tokens."""
        online = self._online_request(request, member, body, prompt)
        tokens = self._gateway.online.stream(online)
        if not body.get("stream", False):
            text = await _until_disconnect(request, lambda: _join_texts(tokens))
            return JSONResponse(_answer_body(online, text, is_chat=is_chat))
        # Waits for the first token, since an error can't set the HTTP status once the head is sent.
        first = await _until_disconnect(request, lambda: _first_token(tokens))
        events = _sse_events(online, first, tokens, is_chat=is_chat)
        return _AnswerResponse(events, media_type="text/event-stream")

    def _online_request(
        self, request: Request, member: str, body: dict[str, Any], prompt: str
    ) -> OnlineRequest:
        service = _required_text(body, "model")
        self._check_service(service, "model")
        max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
        if not isinstance(max_tokens, int) or max_tokens < 1:
            raise InvalidRequest("max_tokens: expected an integer of 1 or more")
        return OnlineRequest(
            request_id=request.state.request_id,
            member=member,
            service=service,
            prompt=prompt,
            max_tokens=max_tokens,
            deadline_ms=self._deadline_ms(request),
            adapter=body.get("adapter", ""),
            fingerprint=fingerprint_of(service, prompt),
        )

    def _authenticate(self, request: Request) -> str:
        """Returns the member that the API key belongs to."""
        header = request.headers.get("authorization", "")
        member = self._gateway.view.config.member_of_key(header.removeprefix(BEARER))
        if not header.startswith(BEARER) or member is None:
            raise InvalidKey("the API key belongs to no member")
        return member

    def _check_service(self, service: str, kind: str) -> None:
        declared = self._gateway.view.config.services.get(service)
        if declared is None or declared.kind != kind:
            raise NotFound(f"no {kind} service {service}")

    def _deadline_ms(self, request: Request) -> int:
        text = request.headers.get("x-deadline-ms")
        if text is None:
            return self._gateway.environment.clock.now_ms() + DEFAULT_DEADLINE_MS
        try:
            return int(text)
        except ValueError as error:
            raise InvalidRequest("X-Deadline-Ms: expected Unix milliseconds") from error

    async def _read_body(self, request: Request) -> bytes:
        limit_bytes = self._gateway.view.config.rules.max_body_bytes
        body = bytearray()
        async for chunk in request.stream():
            body += chunk
            if len(body) > limit_bytes:
                raise BodyTooLarge(f"the body is over {limit_bytes} bytes")
        return bytes(body)

    async def _read_json(self, request: Request) -> dict[str, Any]:
        try:
            body = json.loads(await self._read_body(request))
        except json.JSONDecodeError as error:
            location = f"line {error.lineno} column {error.colno}"
            raise InvalidRequest(f"malformed JSON at {location}: {error.msg}") from error
        except UnicodeDecodeError as error:
            raise InvalidRequest(f"malformed JSON at byte {error.start}: not UTF-8") from error
        if not isinstance(body, dict):
            raise InvalidRequest("malformed JSON: expected an object")
        return body


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Waits until the caller disconnects, then cancels the scope."""
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


async def _until_disconnect(request: Request, call: Callable[[], Awaitable[T]]) -> T:
    """Awaits a call; if the caller disconnects, cancels it and raises `CallerGone`."""
    result: list[T] = []
    failure: BriarvaleError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, request.receive, tasks.cancel_scope)
        try:
            result.append(await call())
        except BriarvaleError as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not result:
        raise CallerGone("the caller closed its connection")
    return result[0]


async def _join_texts(tokens: AsyncIterator[Token]) -> str:
    try:
        return "".join([token.text async for token in tokens])
    finally:
        await _close_stream(tokens)


async def _first_token(tokens: AsyncIterator[Token]) -> Token | None:
    try:
        return await anext(tokens, None)
    except BaseException:
        await _close_stream(tokens)
        raise


async def _close_stream(tokens: AsyncIterator[Token]) -> None:
    with anyio.CancelScope(shield=True):
        await tokens.aclose()  # type: ignore[attr-defined]


async def _answer_error(request: Request, error: Exception) -> Response:
    if not isinstance(error, BriarvaleError):
        raise error
    metrics.REFUSALS.inc({"code": error.code})
    headers = {}
    if hasattr(request.state, "request_id"):
        headers[REQUEST_ID_HEADER] = request.state.request_id
    if error.retry_at_ms is not None:
        now_ms = request.app.state.clock.now_ms()
        # Rounded up, so that the caller doesn't retry too early.
        headers["retry-after"] = str(max(1, -(-(error.retry_at_ms - now_ms) // MS_PER_S)))
    return JSONResponse(error.body(), error.http_status, headers=headers)


def _path_and_query(request: Request) -> str:
    path: str = request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path


def _required_text(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidRequest(f"{name}: expected a non-empty string")
    return value


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("messages: expected a non-empty list")
    lines = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise InvalidRequest(f"messages.{index}: expected an object")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            raise InvalidRequest(f"messages.{index}: expected role and content to be strings")
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def _answer_body(request: OnlineRequest, text: str, *, is_chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if is_chat else "text_completion"
    return {
        "id": request.request_id,
        "object": kind,
        "model": request.service,
        "choices": [choice],
    }


async def _sse_events(
    request: OnlineRequest, first: Token | None, rest: AsyncIterator[Token], *, is_chat: bool
) -> AsyncIterator[str]:
    if first is not None:
        yield _sse_line(_chunk_body(request, first, is_chat=is_chat))
    try:
        async for token in rest:
            yield _sse_line(_chunk_body(request, token, is_chat=is_chat))
    except BriarvaleError as error:
        yield _sse_line({"error": error.body()})
        return
    finally:
        await _close_stream(rest)
    yield "data: [DONE]\n\n"


def _chunk_body(request: OnlineRequest, token: Token, *, is_chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "token_index": token.token_index}
    if is_chat:
        choice["delta"] = {"content": token.text}
    else:
        choice["text"] = token.text
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    return {
        "id": request.request_id,
        "object": kind,
        "model": request.service,
        "choices": [choice],
    }


def _sse_line(data: dict[str, Any]) -> str:
    return f"data: {json.dumps(data)}\n\n"
