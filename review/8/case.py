"""Second copies of answers with status 500 come late, where the item's next answer is due."""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import ClassVar

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from harness import (
    Fleet,
    Record,
    Request,
    StreamEngine,
    call,
    encode_answer,
    has_trouble,
    job_body,
    job_item,
    route,
    run_case,
)

MAX_ATTEMPTS = 3
# Runs of each item that end with status 500, fewer than the route allows.
FAILED_RUNS = MAX_ATTEMPTS - 1
WAIT_S = 10.0
# Of `garble` with "extra late" on the site: share of the engines, of their answers, and how long.
SICK_ENGINES, ENGINES = 1, 2
COPIED_SHARE = 0.03
TROUBLE_S = 5.0
# Other requests, on a route of streams; the site has over 40 a second.
REQUESTS_PER_S = 40.0
# Jobs come from this time after the trouble has begun on, at this interval.
FIRST_JOB_S, JOB_INTERVAL_S = 2.0, 0.35
# The trouble comes this often, with so many jobs each time.
TIMES, JOBS = 3, 8


class FailingEngine(StreamEngine):
    """An engine that fails the first runs of each item, and sends extra answers.

    Attributes:
        failures: Answers with status 500 so far, over all engines, by item.
    """

    failures: ClassVar[dict[str, int]] = {}

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self._extra: dict[asyncio.StreamWriter, bytes] = {}
        # Until when a sick engine sends extra answers; a sound one sends none.
        self.sick_until_s = 0.0
        self.answers = 0
        self.copies = 0

    def begin(self, request: Request) -> None:
        """Notes the run; writes a line only for items."""
        if request.target.startswith("/lot/"):
            super().begin(request)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers the first runs of an item with status 500, and streams in all others."""
        if copy := self._extra.pop(writer, b""):
            self.record.add(f"engine {self.name}: sends a second copy of its last answer")
            writer.write(copy)
        is_sick = time.monotonic() < self.sick_until_s
        self.answers += is_sick
        is_item = request.target.startswith("/lot/")
        if not is_item or self.failures.get(request.id, 0) >= FAILED_RUNS:
            await super().answer(request, writer)
            return
        self.begin(request)
        self.failures[request.id] = self.failures.get(request.id, 0) + 1
        failure = encode_answer(500, self.headers(request), b"failed")
        self.record.add(f"engine {self.name}: 500 to {request.id}")
        writer.write(failure)
        may_copy = is_sick and self.copies + 1 <= COPIED_SHARE * self.answers
        # Of its few copies it makes those of an item's first failure.
        if may_copy and self.failures[request.id] == 1:
            self.copies += 1
            self._extra[writer] = failure


async def send_requests(fleet: Fleet) -> None:
    """Sends other requests at a steady rate, until cancelled."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        headers = {
            "Briarvale-Request-Attempt-Id": f"{number:016x}",
            "Briarvale-Model": "m",
            "Briarvale-Token-Usage": "450,22",
            "Briarvale-Prompt-Prefix": f"5c1e07a2:200,{number:08x}:250",
            "Briarvale-Deadline-Ms": "5000",
        }
        node = fleet.nodes[number % len(fleet.nodes)]
        task = asyncio.ensure_future(call(node, "POST", f"/ask/{number}", b"x", headers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def run_item(fleet: Fleet, record: Record, number: int) -> dict:
    """Submits a job of one item and returns its result; an empty one if there is none."""
    job_id = f"7c41e09b52d6a3{number:02d}"
    item = job_item(f"{number:02d}aa5511", f"/lot/{number}", b"block")
    headers = {"Briarvale-Request-Attempt-Id": job_id}
    answer = await call(fleet.nodes[0], "POST", "/lot/1", job_body([item]), headers)
    record.add(f"client: job {job_id} answered {answer.status}")
    until_s = time.monotonic() + WAIT_S
    while time.monotonic() < until_s:
        await asyncio.sleep(0.2)
        answer = await call(fleet.nodes[1], "GET", f"/briarvale/lots/{job_id}?after=0")
        found = json.loads(answer.body)["results"] if answer.status == 200 else []
        if found:
            record.add(f"client: {found[0]['id']} is {found[0]['state']}")
            return found[0]
    return {}


async def play(fleet: Fleet, record: Record) -> bool:
    """Submits jobs; returns whether an item is given up though its runs didn't use it up."""
    engines = [FailingEngine(f"i-{index}", "reed-desk", record) for index in range(ENGINES)]
    for engine in engines:
        await engine.start(fleet.store)
    options = {"completion_target_ms": 18_000, "retention_s": 60, "max_attempts": MAX_ATTEMPTS}
    routes = [
        route("lot", "batch", "reed-desk", priority=2, **options),
        route("ask", "streaming", "reed-desk", gap_aim_ms=300),
    ]
    await fleet.start(["caerdydd", "abertawe"], routes)
    requests = asyncio.ensure_future(send_requests(fleet))
    await asyncio.sleep(1.0)
    tasks = []
    for turn in range(TIMES):
        if has_trouble():
            record.add(f"one engine of {ENGINES} sends extra answers for {TROUBLE_S} s")
            for engine in engines[:SICK_ENGINES]:
                engine.sick_until_s = time.monotonic() + TROUBLE_S
        await asyncio.sleep(FIRST_JOB_S)
        for number in range(turn * JOBS, (turn + 1) * JOBS):
            tasks.append(asyncio.ensure_future(run_item(fleet, record, number)))
            await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.sleep(TROUBLE_S - FIRST_JOB_S)
    results = await asyncio.gather(*tasks)
    requests.cancel()
    for engine in engines:
        record.add(f"engine {engine.name}: {engine.copies} copies, {engine.answers} answers then")
    is_broken = False
    for result in filter(None, results):
        failures = FailingEngine.failures.get(result["id"], 0)
        if result["state"] == "dead_lettered" and failures < MAX_ATTEMPTS:
            record.add(f"{result['id']}: dead-lettered after {failures} runs with status 500")
            is_broken = True
    return is_broken


if __name__ == "__main__":
    run_case(__file__, play)
