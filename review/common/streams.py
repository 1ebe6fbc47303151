"""Streams on kept connections, as clients send them, and the rule LOST for kept connections."""

import asyncio
import time
from typing import NamedTuple

from common.deployment import HOST, Deployment, Process
from common.http import Client

STREAMS = "/lohu930/"
# LOST allows this many.
MAX_CLOSED = 3


class Sent(NamedTuple):
    """A stream's request and its end."""

    request_id: str
    was_kept: bool
    status: int
    is_whole: bool
    sent_at_s: float
    ended_at_s: float


async def keep_streaming(
    deployment: Deployment, node: Process, label: str, stop: asyncio.Event, log: list[Sent]
) -> None:
    """Sends one stream after the other on a kept connection, as a client does."""
    client = Client(node.ip, node.front)
    count = 0
    while not stop.is_set():
        count += 1
        request_id = f"{label}x{count:03d}"
        headers = {
            "Host": HOST,
            "Briarvale-Request-Attempt-Id": request_id,
            "Briarvale-Model": "m",
            "Briarvale-Token-Usage": "450,22",
            "Briarvale-Prompt-Prefix": f"5c1e07a2:200,{label}{count:03d}:250",
            "Briarvale-Deadline-Ms": "5000",
        }
        was_kept, sent_at_s = client.answered > 0, time.time()
        answer = await client.call("POST", f"{STREAMS}{request_id}", headers, b"prompt")
        log.append(
            Sent(request_id, was_kept, answer.status, answer.is_whole, sent_at_s, time.time())
        )
        deployment.record.write(
            f"stream {request_id} at {node.name}, connection kept: {was_kept},"
            f" status {answer.status}, whole: {answer.is_whole}"
        )
        await asyncio.sleep(0.1 if answer.is_whole else 0.4)
    client.close()


def closed_streams(deployment: Deployment, log: list[Sent]) -> list[Sent]:
    """Returns the streams from kept connections that ran and were closed without their answer."""
    runs = deployment.runs()
    closed = [s for s in log if s.was_kept and not s.is_whole and s.request_id in runs]
    record = deployment.record
    record.write(f"streams: {len(log)}, whole {sum(s.is_whole for s in log)}")
    for sent in closed:
        record.write(
            f"  closed without its answer: {sent.request_id},"
            f" at {runs[sent.request_id][0].engine}, {sent.ended_at_s - sent.sent_at_s:.2f} s old"
        )
    record.write(
        f"LOST: {len(closed)} requests from kept connections that ran at sound engines were closed"
        f" without a complete answer; {MAX_CLOSED} are allowed"
    )
    return closed


def count_ends(deployment: Deployment) -> dict[str, int]:
    """Returns how often the process of each node ended by itself, and records it."""
    ends = {node.name: 0 for node in deployment.nodes}
    for end in deployment.ends:
        if end.name in ends:
            ends[end.name] += 1
    broken = [name for name, count in ends.items() if count >= 3]
    deployment.record.write(
        f"Fault: processes that ended by themselves: {ends}; three times on {broken}"
    )
    return ends
