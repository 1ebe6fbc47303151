"""Decodes callers' requests about batch jobs and encodes the responses."""

import base64
import json
import re
from contextlib import suppress
from typing import Annotated

import msgspec

from .._digits import parse_unsigned_int
from ..clock import Clock
from ..errors import DocumentInvalid, InvalidRequest, JobForbidden, NotFound, NotReady
from ..forward_request import ForwardRequest
from ..http_wire import Headers, OutgoingRequest, check_request, find_header
from ..ingress import IngressRequest, Responder
from ..opaque_job_service import OpaqueJobService
from ..opaque_jobs import OpaqueItem, OpaqueJob
from ..routes import BatchRoute, Route, RouteTable, ServiceWeight
from ..shard_log import ItemResult
from ..strict_json import decode_json
from .credentials import IDENTITY_HEADERS, WORKSPACE
from .headers import DEADLINE_MS, REQUEST_ID, WAIT_MS, decode_request

MAX_ITEMS = 200
DEFAULT_SUBMIT_TIMEOUT_MS = 4_000
JOB_ID = re.compile(r"[A-Za-z0-9_-]{1,128}")
MAX_ITEM_TOKENS = 2**53
JSON_HEADERS: Headers = ((b"content-type", b"application/json"),)

__all__ = ["BatchJobHandler", "ItemRequests"]


class _ItemSpec(msgspec.Struct):
    """An item as callers send it; `tokens` is the sum of its prompt and its longest output."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    path: str
    headers: dict[str, str] | None = None
    body: str = ""
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_ITEM_TOKENS)] | None = None


class _Submission(msgspec.Struct):
    items: Annotated[list[_ItemSpec], msgspec.Meta(min_length=1, max_length=MAX_ITEMS)]


_SUBMISSION = msgspec.json.Decoder(_Submission)


class ItemRequests:
    """Builds the requests that run batch items on backend servers.

    Args:
        clock: Source of timestamps.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def item_request(self, job: OpaqueJob, item: OpaqueItem, body: bytes) -> ForwardRequest:
        """Returns an item's request, with the item's headers and id and the host of its job."""
        item_headers = [(name.lower().encode(), text.encode()) for name, text in item.headers]
        replaced = {b"host", REQUEST_ID} | IDENTITY_HEADERS
        headers = [header for header in item_headers if header[0] not in replaced]
        headers += [(b"host", job.host.encode()), (REQUEST_ID, item.id.encode())]
        if job.workspace:
            headers.append((WORKSPACE, job.workspace.encode()))
        route = Route("", job.host, "/", BatchRoute(0, 0), (ServiceWeight(job.service, 1.0),))
        now_ms = self._clock.now_ms()
        request = decode_request(b"POST", item.target.encode(), tuple(headers), body, route, now_ms)
        return request._replace(deadline_at_ms=job.give_up_at_ms, workspace=job.workspace)


class BatchJobHandler:
    """Handles callers' requests that submit, read and end batch jobs.

    Args:
        service: Stores and reads jobs.
        clock: Source of timestamps.
    """

    def __init__(self, service: OpaqueJobService, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._requests = ItemRequests(clock)

    async def submit(
        self,
        table: RouteTable,
        route: Route,
        workspace: str,
        request: IngressRequest,
        responder: Responder,
    ) -> None:
        """Stores a job that a workspace submits and responds with 202.

        Raises:
            JobForbidden: If the id is that of another workspace's job.
        """
        now_ms = self._clock.now_ms()
        job = _decode_job(route, request, now_ms)._replace(workspace=workspace)
        self._check_items(table, job)
        self._check_submitter(job.job_id, workspace)
        deadline_ms = _header_int(request.headers, DEADLINE_MS)
        answer_by_ms = now_ms + (deadline_ms or DEFAULT_SUBMIT_TIMEOUT_MS)
        await self._service.accept(job, answer_by_ms, _max_waiting_tokens(route))
        if workspace:
            await self._check_accepted(job.job_id, workspace)
        await self._confirm(responder)

    async def confirm_repeated(self, job_id: str, workspace: str, responder: Responder) -> None:
        """Responds again that a job is accepted; raises `JobForbidden`."""
        self._check_submitter(job_id, workspace)
        await self._confirm(responder)

    async def _confirm(self, responder: Responder) -> None:
        await responder.answer(202, JSON_HEADERS, b"{}")

    def _check_submitter(self, job_id: str, workspace: str) -> None:
        """Raises `JobForbidden` if this node knows the job as another workspace's."""
        known = self._service.known_job(job_id)
        if known is not None and known.workspace != workspace:
            raise JobForbidden("the id belongs to another job")

    async def _check_accepted(self, job_id: str, workspace: str) -> None:
        """Checks whose job the store holds, which another node may have accepted before.

        While the store can't be read, the job counts as the caller's: a refusal would promise that
        nothing of it runs.
        """
        with suppress(NotReady):
            await self._service.find(job_id)
        self._check_submitter(job_id, workspace)

    async def check_workspace(self, job_id: str, workspace: str) -> None:
        """Raises `NotFound` if the job is another workspace's, as if there were none.

        Raises:
            NotReady: If the store doesn't tell whether the job exists.
        """
        _check_job_id(job_id)
        found = await self._service.find(job_id)
        if found.job.workspace and found.job.workspace != workspace:
            raise NotFound(f"no job {job_id!r}")

    def is_kept(self, job_id: str, host: str) -> bool:
        """Whether this node knows a job that was submitted to the host."""
        job = self._service.known_job(job_id)
        return job is not None and job.host.lower() == host.lower()

    def is_repeated(self, job_id: str, host: str, path: str) -> bool:
        """Whether this node knows the job, and as one submitted on a route of the path."""
        job = self._service.known_job(job_id)
        return job is not None and f"{host}{path}".lower().startswith(job.route.lower())

    async def check_host(self, job_id: str, host: str, *, has_batch: bool) -> None:
        """Raises `NotFound` if the host neither accepts jobs nor is the one of this job.

        Raises:
            NotReady: If the store doesn't tell whether the job exists.
        """
        if has_batch or self.is_kept(job_id, host):
            return
        _check_job_id(job_id)
        await self._service.find(job_id)
        if not self.is_kept(job_id, host):
            raise NotFound(f"no job {job_id!r} of this host")

    async def results(
        self, job_id: str, query: dict[str, str], request: IngressRequest, responder: Responder
    ) -> None:
        """Responds with the results after the position `after` in the job's result list."""
        after = parse_unsigned_int(query.get("after", "0"))
        if after is None:
            raise InvalidRequest("after: expected a non-negative integer")
        _check_job_id(job_id)
        wait_ms = _header_int(request.headers, WAIT_MS) or 0
        page = await self._service.results(job_id, after, self._clock.now_ms() + wait_ms)
        found = await self._service.find(job_id)
        body = {
            "total": page.item_count,
            "next_token": page.next_position,
            "results": [_encode_result(found.job, result) for result in page.results],
        }
        await responder.answer(200, JSON_HEADERS, json.dumps(body).encode())

    async def item_body(
        self, job_id: str, query: dict[str, str], request: IngressRequest, responder: Responder
    ) -> None:
        """Responds with the request body of the item whose id is the query parameter `id`."""
        _check_job_id(job_id)
        item = await self._service.get_item(job_id, query.get("id", ""))
        headers = ((b"content-type", b"application/octet-stream"),)
        await responder.answer(200, headers, base64.b64decode(item.body_base64))

    async def end(self, job_id: str, responder: Responder) -> None:
        """Ends a job before all its items have run."""
        _check_job_id(job_id)
        await self._service.end(job_id)
        await responder.answer(200, JSON_HEADERS, b"{}")

    def _check_items(self, table: RouteTable, job: OpaqueJob) -> None:
        """Checks that each item can run.

        Raises:
            InvalidRequest: If the HTTP request of an item would be malformed.
            PromptTooLong: If no server can hold the prompt of an item.
        """
        for index, item in enumerate(job.items):
            try:
                request = self._requests.item_request(job, item, b"")
                check_request(OutgoingRequest(request.method, request.target, request.headers))
                table.check_fits(job.service, request.prompt_tokens)
            except ValueError as error:
                raise InvalidRequest(f"items[{index}]: {error}") from error


def _check_job_id(job_id: str) -> None:
    """Raises `NotFound` for an id that no job can have."""
    if JOB_ID.fullmatch(job_id) is None:
        raise NotFound(f"no job {job_id!r}")


def _decode_job(route: Route, request: IngressRequest, now_ms: int) -> OpaqueJob:
    job_id = (find_header(request.headers, REQUEST_ID) or b"").decode("latin-1")
    if JOB_ID.fullmatch(job_id) is None:
        raise InvalidRequest("the id of the batch job is missing or malformed")
    if not isinstance(route.kind, BatchRoute):
        raise InvalidRequest("the route does not accept batch jobs")
    try:
        specs = decode_json(_SUBMISSION, request.body).items
    except DocumentInvalid as error:
        raise InvalidRequest(f"items: {error}") from error
    items = tuple(_decode_item(spec, index) for index, spec in enumerate(specs))
    return OpaqueJob(
        job_id=job_id,
        host=route.host,
        service=route.service_for(job_id),
        priority=route.priority,
        submitted_at_ms=now_ms,
        due_at_ms=now_ms + route.kind.completion_target_ms,
        give_up_at_ms=now_ms + route.kind.retention_ms,
        max_attempts=route.max_attempts,
        items=items,
        route=route.key,
        token_counts=tuple(spec.tokens or 0 for spec in specs),
    )


def _max_waiting_tokens(route: Route) -> int:
    return route.kind.max_waiting_tokens if isinstance(route.kind, BatchRoute) else 0


def _decode_item(spec: _ItemSpec, index: int) -> OpaqueItem:
    try:
        base64.b64decode(spec.body, validate=True)
    except ValueError as error:
        raise InvalidRequest(f"items[{index}].body: {error}") from error
    headers = tuple((spec.headers or {}).items())
    return OpaqueItem(spec.id, spec.path, headers, spec.body)


def _encode_result(job: OpaqueJob, result: ItemResult) -> dict[str, str]:
    state = "dead_lettered" if result.error_code else "done"
    return {"id": job.items[result.item_index].id, "state": state, "text": result.text}


def _header_int(headers: Headers, name: bytes) -> int | None:
    return parse_unsigned_int((find_header(headers, name) or b"").decode("latin-1").strip())
