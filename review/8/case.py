"""Second copies of answers with status 500 come late, where the item's next answer is due."""

import asyncio
import json
import sys
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

ITEMS = 8
MAX_ATTEMPTS = 3
# Runs of each item that end with status 500, fewer than the route allows.
FAILED_RUNS = MAX_ATTEMPTS - 1
WAIT_S = 20.0


class FailingEngine(StreamEngine):
    """An engine that fails the first runs of each item, and sends extra answers.

    Attributes:
        failures: Answers with status 500 so far, over all engines, by item.
    """

    failures: ClassVar[dict[str, int]] = {}

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self._extra: dict[asyncio.StreamWriter, bytes] = {}

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers the first runs of an item with status 500, and streams in later ones."""
        if copy := self._extra.pop(writer, b""):
            self.record.add(f"engine {self.name}: sends a second copy of its last answer")
            writer.write(copy)
        if self.failures.get(request.id, 0) >= FAILED_RUNS:
            await super().answer(request, writer)
            return
        self.begin(request)
        self.failures[request.id] = self.failures.get(request.id, 0) + 1
        failure = encode_answer(500, self.headers(request), b"failed")
        self.record.add(f"engine {self.name}: 500 to {request.id}")
        writer.write(failure)
        if has_trouble():
            self._extra[writer] = failure


async def play(fleet: Fleet, record: Record) -> bool:
    """Submits a job; returns whether an item is given up though its runs didn't use it up."""
    engines = [FailingEngine(f"i-{index}", "reed-desk", record) for index in range(2)]
    for engine in engines:
        await engine.start(fleet.store)
    options = {"completion_target_ms": 18_000, "retention_s": 60, "max_attempts": MAX_ATTEMPTS}
    await fleet.start(["caerdydd", "abertawe"], [route("lot", "batch", "reed-desk", **options)])
    items = [job_item(f"{index:02d}aa5511", f"/lot/{index}", b"block") for index in range(ITEMS)]
    headers = {"Briarvale-Request-Attempt-Id": "7c41e09b52d6a3f8"}
    results: list[dict] = []
    for number, item in enumerate(items):
        job_id = f"7c41e09b52d6a3{number:02d}"
        headers = {"Briarvale-Request-Attempt-Id": job_id}
        answer = await call(fleet.nodes[0], "POST", "/lot/1", job_body([item]), headers)
        record.add(f"client: job {job_id} answered {answer.status}")
        for _ in range(int(WAIT_S * 5)):
            answer = await call(fleet.nodes[1], "GET", f"/briarvale/lots/{job_id}?after=0")
            found = json.loads(answer.body)["results"] if answer.status == 200 else []
            if found:
                record.add(f"client: {found[0]['id']} is {found[0]['state']}")
                results += found
                break
            await asyncio.sleep(0.2)
    is_broken = False
    for result in results:
        failures = FailingEngine.failures.get(result["id"], 0)
        if result["state"] == "dead_lettered" and failures < MAX_ATTEMPTS:
            record.add(f"{result['id']}: dead-lettered after {failures} runs with status 500")
            is_broken = True
    return is_broken


if __name__ == "__main__":
    run_case(__file__, play)
