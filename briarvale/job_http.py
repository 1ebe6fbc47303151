"""The gateway's HTTP API of batch jobs, for callers."""

import itertools
import json
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .errors import InvalidRequest, NotFound
from .job_results import read_progress, read_results, read_shard
from .jobs import JobRecord, JobRequest
from .shard_log import ItemResult

if TYPE_CHECKING:
    from .gateway import Gateway

MAX_LINE_BYTES = 1_000_000
JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,127}")
MAX_INSTANT_MS = 2**53
SHARD_COUNT_HEADER = "x-shard-count"
SEALED_HEADER = "x-sealed"

Handler = Callable[[Request, str], Awaitable[Response]]
HandlerWrapper = Callable[[Handler], Callable[[Request], Awaitable[Response]]]

__all__ = ["SEALED_HEADER", "SHARD_COUNT_HEADER", "job_routes"]


def job_routes(gateway: "Gateway", authenticated: HandlerWrapper) -> list[Route]:
    """Returns the routes under `/v1/jobs`."""
    http = _JobHttp(gateway)
    return [
        Route("/v1/jobs/{job_id}", authenticated(http.submit), methods=["PUT"]),
        Route("/v1/jobs/{job_id}", authenticated(http.show), methods=["GET"]),
        Route("/v1/jobs/{job_id}", authenticated(http.cancel), methods=["DELETE"]),
        Route("/v1/jobs/{job_id}/results", authenticated(http.results), methods=["GET"]),
    ]


class _JobHttp:
    """Handlers of job requests; each receives the authenticated member."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway
        self._store = gateway.environment.store

    async def submit(self, request: Request, member: str) -> Response:
        """Accepts a job from JSON lines; 202 once its record is stored."""
        job_id = request.path_params["job_id"]
        if not JOB_ID_PATTERN.fullmatch(job_id):
            raise InvalidRequest("job id: expected 1 to 128 letters, digits, dots, _ or -")
        service = request.query_params.get("service", "")
        declared = self._gateway.view.config.services.get(service)
        if declared is None or declared.kind != "model":
            raise NotFound(f"no model service {service}")
        job_request = JobRequest(member, job_id, service, _due_at_ms(request))
        job = await self._gateway.jobs.submit(job_request, _lines(request))
        return JSONResponse(_summary(job), 202)

    async def show(self, request: Request, member: str) -> Response:
        """Answers with the job's state and progress."""
        job = await self._gateway.jobs.get(member, request.path_params["job_id"])
        progress = await read_progress(self._store, job)
        return JSONResponse(_summary(job) | progress._asdict())

    async def cancel(self, request: Request, member: str) -> Response:
        """Requests the job's cancellation; 202 while it is pending, 200 if the job has ended."""
        job = await self._gateway.jobs.cancel(member, request.path_params["job_id"])
        return JSONResponse(_summary(job), 200 if job.state.is_final else 202)

    async def results(self, request: Request, member: str) -> Response:
        """Answers with results as JSON lines, of the shard in the query or else of all shards."""
        job = await self._gateway.jobs.get(member, request.path_params["job_id"])
        if "shard" in request.query_params:
            return await self._shard_results(job, _shard_index(request, job))
        return StreamingResponse(self._result_lines(job), media_type="application/jsonl")

    async def _shard_results(self, job: JobRecord, shard_index: int) -> Response:
        page = await read_shard(self._store, job, shard_index)
        offset = sum(job.shard_items[:shard_index])
        lines = "".join(_result_line(offset, result) for result in page.results)
        headers = {
            SHARD_COUNT_HEADER: str(len(job.shard_items)),
            SEALED_HEADER: "true" if page.is_sealed else "false",
        }
        return Response(lines, headers=headers, media_type="application/jsonl")

    async def _result_lines(self, job: JobRecord) -> AsyncIterator[str]:
        offsets = [0, *itertools.accumulate(job.shard_items)]
        async for shard_index, result in read_results(self._store, job):
            yield _result_line(offsets[shard_index], result)


def _result_line(offset: int, result: ItemResult) -> str:
    """Encodes a result as a JSON line; `offset` is the number of items in the shards before."""
    row = {"item": offset + result.item_index, "text": result.text}
    if result.error_code:
        row["error_code"] = result.error_code
    return json.dumps(row) + "\n"


def _shard_index(request: Request, job: JobRecord) -> int:
    text = request.query_params["shard"]
    if not text.isascii() or not text.isdigit() or int(text) >= len(job.shard_items):
        raise InvalidRequest(f"shard: expected 0 to {len(job.shard_items) - 1}")
    return int(text)


def _summary(job: JobRecord) -> dict[str, Any]:
    return {
        "job_id": job.job_id,
        "service": job.service,
        "state": job.state.value,
        "due_at_ms": job.due_at_ms,
        "item_count": job.item_count,
    }


def _due_at_ms(request: Request) -> int:
    text = request.query_params.get("due_at_ms", "")
    if not text.isascii() or not text.isdigit() or int(text) > MAX_INSTANT_MS:
        raise InvalidRequest("due_at_ms: expected Unix milliseconds")
    return int(text)


async def _lines(request: Request) -> AsyncIterator[bytes]:
    """Yields the lines of a request's body, except blank ones."""
    partial_line = b""
    async for chunk in request.stream():
        *complete_lines, partial_line = (partial_line + chunk).split(b"\n")
        for line in complete_lines:
            if line.strip():
                yield line
        if len(partial_line) > MAX_LINE_BYTES:
            raise InvalidRequest(f"a line is over {MAX_LINE_BYTES} bytes")
    if partial_line.strip():
        yield partial_line
