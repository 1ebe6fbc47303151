"""`briarvale job`: submits and follows batch jobs through a gateway's HTTP API."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import httpx
import typer

from ..errors import GatewayRefused, GatewayUnreachable
from ..job_http import SEALED_HEADER, SHARD_COUNT_HEADER
from ._common import console, or_exit

TIMEOUT_S = 60.0
CHUNK_BYTES = 65_536
RESUME_SUFFIX = ".resume"

app = typer.Typer(no_args_is_help=True, help="Batch jobs.")

GatewayOption = Annotated[str, typer.Option("--gateway", help="Base URL of a gateway.")]
KeyOption = Annotated[
    str, typer.Option("--api-key", envvar="BRIARVALE_API_KEY", help="The member's API key.")
]

__all__ = ["app"]


class _ResumePoint(NamedTuple):
    """Position from which an interrupted download resumes."""

    job_id: str
    next_shard: int
    size_bytes: int


@app.command()
def submit(
    job_id: str,
    items: Path,
    service: Annotated[str, typer.Option(help="Service that runs the items.")],
    due_at_ms: Annotated[int, typer.Option(help="Due date, Unix milliseconds.")],
    gateway: GatewayOption,
    api_key: KeyOption,
) -> None:
    """Submits the JSON lines of the ITEMS file; safe to repeat."""
    params = {"service": service, "due_at_ms": str(due_at_ms)}
    url = f"/v1/jobs/{job_id}"
    with _client(gateway, api_key) as client:
        answer = or_exit(lambda: _call(client, "PUT", url, params=params, content=_chunks(items)))
    console.print_json(answer.text)


@app.command()
def show(job_id: str, gateway: GatewayOption, api_key: KeyOption) -> None:
    """Shows a job's state and progress."""
    with _client(gateway, api_key) as client:
        console.print_json(or_exit(lambda: _call(client, "GET", f"/v1/jobs/{job_id}")).text)


@app.command()
def cancel(job_id: str, gateway: GatewayOption, api_key: KeyOption) -> None:
    """Cancels a job; safe to repeat."""
    with _client(gateway, api_key) as client:
        console.print_json(or_exit(lambda: _call(client, "DELETE", f"/v1/jobs/{job_id}")).text)


@app.command()
def results(job_id: str, output: Path, gateway: GatewayOption, api_key: KeyOption) -> None:
    """Writes the results to the OUTPUT file; run again, it resumes where it stopped."""
    with _client(gateway, api_key) as client:
        resume_point, shard_count = or_exit(lambda: _download(client, job_id, output))
    console.print(f"{resume_point.next_shard} of {shard_count} shards are in {output}.")
    if resume_point.next_shard < shard_count:
        console.print("The rest is not finished; run this again later.")


def _download(client: httpx.Client, job_id: str, output: Path) -> tuple[_ResumePoint, int]:
    """Appends complete shards; records each in the resume file once it is written."""
    resume_path = output.with_name(output.name + RESUME_SUFFIX)
    resume_point = _read_resume_point(resume_path, job_id)
    with output.open("ab") as file:
        file.truncate(resume_point.size_bytes)
        while True:
            url = f"/v1/jobs/{job_id}/results"
            answer = _call(client, "GET", url, params={"shard": str(resume_point.next_shard)})
            shard_count = int(answer.headers[SHARD_COUNT_HEADER])
            if answer.headers[SEALED_HEADER] != "true":
                return resume_point, shard_count
            file.write(answer.content)
            file.flush()
            size_bytes = resume_point.size_bytes + len(answer.content)
            resume_point = _ResumePoint(job_id, resume_point.next_shard + 1, size_bytes)
            if resume_point.next_shard == shard_count:
                resume_path.unlink(missing_ok=True)
                return resume_point, shard_count
            resume_path.write_text(json.dumps(resume_point))


def _read_resume_point(resume_path: Path, job_id: str) -> _ResumePoint:
    try:
        resume_point = _ResumePoint(*json.loads(resume_path.read_text()))
    except (OSError, ValueError, TypeError):
        return _ResumePoint(job_id, 0, 0)
    return resume_point if resume_point.job_id == job_id else _ResumePoint(job_id, 0, 0)


def _client(gateway: str, api_key: str) -> httpx.Client:
    headers = {"authorization": f"Bearer {api_key}"}
    return httpx.Client(base_url=gateway, headers=headers, timeout=TIMEOUT_S, trust_env=False)


def _call(client: httpx.Client, verb: str, url: str, **options: Any) -> httpx.Response:
    try:
        response = client.request(verb, url, **options)
    except httpx.HTTPError as error:
        raise GatewayUnreachable(f"{client.base_url}: {type(error).__name__}") from error
    if response.is_success:
        return response
    raise GatewayRefused(response.text)


def _chunks(path: Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        while chunk := file.read(CHUNK_BYTES):
            yield chunk
