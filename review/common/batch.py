"""Calls of batch jobs, as clients make them: each on a new connection."""

import base64
import json

from common.deployment import HOST, Deployment, Process
from common.http import Answer, Client

JOBS = "/pule252/"


def job_body(job_id: str, item_count: int, events: int, usage_of_first: str = "") -> bytes:
    """Returns the body that submits a job; the first item may state other token counts."""
    usage = f"350,{events}"
    items = [
        {
            "id": f"{job_id}i{i:02d}",
            "path": f"{JOBS}3/{i}",
            "headers": {
                "Briarvale-Model": "m",
                "Briarvale-Token-Usage": usage_of_first if usage_of_first and i == 0 else usage,
                "Briarvale-Prompt-Prefix": f"9c2e41:100,{job_id}{i:02d}:250",
            },
            "body": base64.b64encode(f"prompt {i}".encode()).decode(),
            "tokens": 350 + events,
        }
        for i in range(item_count)
    ]
    return json.dumps({"items": items}).encode()


async def call(
    deployment: Deployment,
    node: Process,
    method: str,
    target: str,
    body: bytes = b"",
    job: str = "",
) -> Answer:
    """Makes a call and records it; `job` is the id of a job to submit."""
    client = Client(node.ip, node.front)
    headers = {"Host": HOST}
    if job:
        headers |= {"Briarvale-Request-Attempt-Id": job, "Content-Type": "application/json"}
        headers["Briarvale-Deadline-Ms"] = "4000"
    answer = await client.call(method, target, headers, body)
    client.close()
    deployment.record.write(
        f"{method} {target} at {node.name}: status {answer.status}, {answer.body[:60]!r}"
    )
    return answer


async def listed(deployment: Deployment, node: Process, job: str) -> list[dict[str, str]]:
    """Reads the results of a job from position 0."""
    answer = await call(deployment, node, "GET", f"/briarvale/lots/{job}?after=0")
    return list(json.loads(answer.body)["results"]) if answer.status == 200 else []
