"""HTTP servers of the stand-ins, each with a `/faults` route that sets its fault switches."""

import json
from collections.abc import AsyncIterator
from typing import Any, cast

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from ..engine_client import Completion, Order, Token
from ..errors import (
    BriarvaleError,
    ObjectExists,
    ServerLost,
    StaleOrder,
    StoreThrottled,
    VersionConflict,
)
from ..service_client import ServiceCall
from .engine import StandinEngine
from .object_api import StandinObjectApi
from .plain_service import StandinPlainService
from .vm_list import StandinVmList

__all__ = ["engine_app", "object_api_app", "plain_service_app", "vm_list_app"]


def engine_app(engine: StandinEngine) -> Starlette:
    """Serves an engine's completions and control routes; the caller must start its `run` task."""

    async def complete(request: Request) -> Response:
        completion = _completion_from(await request.json())
        tokens = engine.complete(completion)
        try:
            first = await anext(tokens, None)
        except ServerLost:
            return StreamingResponse(_cut_stream())
        return StreamingResponse(_sse(first, tokens), media_type="text/event-stream")

    async def cancel(request: Request) -> Response:
        await engine.cancel((await request.json())["request_id"])
        return JSONResponse({})

    async def load(request: Request) -> Response:
        return JSONResponse((await engine.load())._asdict())

    async def events(request: Request) -> Response:
        answer = await engine.cache_events(int(request.query_params["after"]))
        return JSONResponse({"events": list(answer.events), "last_sequence": answer.last_sequence})

    async def order(request: Request) -> Response:
        body = await request.json()
        await engine.order(cast(Order, body))
        return JSONResponse({})

    async def kv(request: Request) -> Response:
        request_id = request.path_params["request_id"]
        if request.method == "GET":
            return Response(await engine.export_kv(request_id))
        await engine.import_kv(request_id, bytes.fromhex((await request.json())["data"]))
        return JSONResponse({})

    async def records(request: Request) -> Response:
        return JSONResponse({"run_counts": engine.run_counts, "crashes": engine.crashes})

    routes = [
        Route("/v1/completions", complete, methods=["POST"]),
        Route("/cancel", cancel, methods=["POST"]),
        Route("/load", load),
        Route("/events", events),
        Route("/orders", order, methods=["POST"]),
        Route("/kv/{request_id}", kv, methods=["GET", "PUT"]),
        Route("/records", records),
        _faults_route(engine.faults),
    ]
    return Starlette(routes=routes, exception_handlers=_ERROR_HANDLERS)


def plain_service_app(service: StandinPlainService) -> Starlette:
    """Serves a plain service on every path."""

    async def call(request: Request) -> Response:
        answer = await service.call(
            ServiceCall(
                verb=request.method,
                path=request.path_params["path"],
                body=await request.body(),
                content_type=request.headers.get("content-type", ""),
                idempotency_key=request.headers.get("idempotency-key", ""),
            )
        )
        return Response(answer.body, answer.status, media_type=answer.content_type)

    async def records(request: Request) -> Response:
        return JSONResponse({"runs": [run._asdict() for run in service.runs]})

    routes = [
        Route("/records", records),
        _faults_route(service.faults),
        Route("/{path:path}", call, methods=["GET", "POST", "PUT", "DELETE"]),
    ]
    return Starlette(routes=routes, exception_handlers=_ERROR_HANDLERS)


def object_api_app(api: StandinObjectApi) -> Starlette:
    """Serves the Object API."""

    async def objects(request: Request) -> Response:
        key = request.path_params["key"]
        match request.method:
            case "GET":
                stored = await api.get(key)
                return Response(stored.value, headers={"x-version": str(stored.version)})
            case "PUT" if request.headers.get("if-none-match") == "*":
                version = await api.create(key, await request.body())
            case "PUT":
                expected = int(request.headers["if-match"])
                version = await api.update(key, await request.body(), expected)
            case _:
                expected_text = request.headers.get("if-match")
                await api.delete(key, int(expected_text) if expected_text else None)
                version = 0
        return Response(status_code=200, headers={"x-version": str(version)})

    async def keys(request: Request) -> Response:
        query = request.query_params
        found = await api.list_keys(query["prefix"], query["after"], int(query["limit"]))
        return JSONResponse({"keys": found})

    async def watch(request: Request) -> Response:
        query = request.query_params
        result = await api.watch(query["prefix"], int(query["after"]), float(query["timeout_s"]))
        return JSONResponse(result._asdict())

    async def records(request: Request) -> Response:
        return JSONResponse({"calls": len(api.calls)})

    routes = [
        Route("/objects/{key:path}", objects, methods=["GET", "PUT", "DELETE"]),
        Route("/keys", keys),
        Route("/watch", watch),
        Route("/records", records),
        _faults_route(api.faults),
    ]
    return Starlette(routes=routes, exception_handlers=_ERROR_HANDLERS)


def vm_list_app(vm_list: StandinVmList) -> Starlette:
    """Serves the VM list."""

    async def fetch(request: Request) -> Response:
        return JSONResponse({"vms": [entry._asdict() for entry in await vm_list.fetch()]})

    return Starlette(routes=[Route("/vms", fetch), _faults_route(vm_list)])


def _faults_route(faults: Any) -> Route:
    async def switch(request: Request) -> Response:
        for name, value in (await request.json()).items():
            if not hasattr(faults, name):
                return PlainTextResponse(f"no fault {name}", 400)
            setattr(faults, name, value)
        return JSONResponse({})

    return Route("/faults", switch, methods=["POST"])


def _completion_from(body: dict[str, Any]) -> Completion:
    return Completion(
        request_id=body["request_id"],
        model=body["model"],
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        adapter=body.get("adapter", ""),
        resume_tokens=tuple(body.get("resume_tokens", ())),
    )


async def _sse(first: Token | None, rest: AsyncIterator[Token]) -> AsyncIterator[str]:
    if first is not None:
        yield _sse_line(first)
        async for token in rest:
            yield _sse_line(token)
    yield "data: [DONE]\n\n"


async def _cut_stream() -> AsyncIterator[str]:
    raise ServerLost("the engine crashed")
    # Never reached, but makes this function a generator.
    yield ""


def _sse_line(token: Token) -> str:
    choice = {"token_index": token.token_index, "text": token.text}
    return f"data: {json.dumps({'choices': [choice]})}\n\n"


async def _answer_error(request: Request, error: Exception) -> Response:
    if not isinstance(error, BriarvaleError):
        raise error
    return JSONResponse(error.body(), _status_of(error))


def _status_of(error: BriarvaleError) -> int:
    match error:
        case ObjectExists() | StaleOrder():
            return 409
        case VersionConflict():
            return 412
        case StoreThrottled():
            return 429
        case _:
            return error.http_status


_ERROR_HANDLERS = {BriarvaleError: _answer_error}
