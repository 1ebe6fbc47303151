"""`python -m soak.odd`: nodes whose neighbours say odd things, drawn from a seed.

Three nodes serve lookups all the while. Each step one neighbour says something odd, or several at
the same time; then all nodes must serve everything, and know what is sound, again.
"""

import random
import sys
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import typer
from loguru import logger

from features.support.platform_fleet import Answer, Caller, job_body
from soak.callers import CONNECTION_ERRORS, CallKind, send_request
from soak.fleet import NodeProcess, SoakFleet
from soak.odd_neighbours import NEIGHBOURS, OddStore
from soak.odd_values import OddInput
from soak.promises import BrokenPromise
from soak.seeds import play_seeds

NODES = 3
LOOKUP_PAUSE_S = 0.2
STEP_S = 1.5
# Time for nodes to start, and to get a version and the entries of servers.
RECOVERY_S = 12.0
JOB_TIMEOUT_S = 25.0
POLL_S = 0.1
SEVERAL_SHARE, MOST_AT_ONCE = 0.25, 3
JOB_ID, JOB_ITEMS = "sound-job", ["sound-1", "sound-2"]
LOOKUP = CallKind("lookup", "/look/1", False)
STREAM = CallKind("stream", "/ask/1", True)

app = typer.Typer(add_completion=False)


class OddSoak:
    """One seed's run.

    Args:
        fleet: The nodes and their neighbours.
        seed: Seed of the odd inputs.
        neighbours: Names of the neighbours that say odd things.
    """

    def __init__(self, fleet: SoakFleet, seed: int, neighbours: list[str]) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._neighbours = neighbours
        self._last_id = 0
        self._said: list[str] = []
        self._odd_jobs: list[str] = []
        self._exits_seen = 0
        self.broken: list[BrokenPromise] = []
        self.counts: Counter[str] = Counter()

    async def run(self, steps: int) -> None:
        """Plays the steps, then checks the jobs."""
        await self._submit_job()
        async with anyio.create_task_group() as tasks:
            for node in self._fleet.nodes:
                tasks.start_soon(self._look_up, node)
            for _ in range(steps):
                await self._play_step()
            tasks.cancel_scope.cancel()
        await self._check_odd_jobs()

    async def _play_step(self) -> None:
        count = self._random.randint(2, MOST_AT_ONCE)
        count = count if self._random.random() < SEVERAL_SHARE else 1
        # One neighbour is in one place at a time.
        chosen = self._random.sample(self._neighbours, min(count, len(self._neighbours)))
        self._said = []
        self.counts["step"] += 1
        async with anyio.create_task_group() as tasks:
            for name in chosen:
                tasks.start_soon(self._play_input, name)
        self._check_exits()
        await self._check_recovery()
        for node in self._fleet.nodes:
            node.is_excused = False

    async def _play_input(self, name: str) -> None:
        """Has a neighbour say something odd, and starts a node while it lasts."""
        self.counts[name] += 1
        async with AsyncExitStack() as stack:
            odd = await stack.enter_async_context(NEIGHBOURS[name](self._fleet, self._random))
            self._record(name, odd)
            if name in ("entry", "retirement", "config"):
                # The next process reads what is odd at its start.
                self._random.choice(self._fleet.nodes).restart()
            await anyio.sleep(STEP_S)

    def _record(self, name: str, odd: OddInput) -> None:
        self._said.append(f"{name}: {odd.detail}")
        if odd.accepted_job:
            self._odd_jobs.append(odd.accepted_job)
        if odd.complaint:
            self._break(f"an odd input is refused with its reason: {odd.complaint}")

    async def _look_up(self, node: NodeProcess) -> None:
        """Sends lookups to a node until cancelled."""
        while True:
            status = await self._call(node, LOOKUP)
            if status != 200 and not node.is_excused:
                self._break(f"lookups are served: status {status} at {node.name}")
            await anyio.sleep(LOOKUP_PAUSE_S)

    async def _call(self, node: NodeProcess, kind: CallKind) -> int:
        """Sends a request on a new connection; returns its status, or 0 if it was not whole."""
        self._last_id += 1
        caller = Caller(node.endpoint)
        with anyio.move_on_after(3):
            record = await send_request(caller, node.name, kind, f"c{self._last_id:05d}")
            if caller.stream is not None:
                await caller.stream.aclose()
            return record.status if record.is_complete and record.is_correct else 0
        return 0

    async def _check_recovery(self) -> None:
        """Checks that each node serves streams, the newest route and the job once again."""
        for _ in self._attempts():
            failing = [name async for name in self._failing()]
            if not failing:
                return
            await anyio.sleep(POLL_S)
        self._break(f"all is served again: {', '.join(failing)}")

    def _attempts(self) -> Iterator[None]:
        until_s = anyio.current_time() + RECOVERY_S
        while anyio.current_time() < until_s:
            yield

    async def _failing(self) -> AsyncIterator[str]:
        """Yields what is not served at some node."""
        newest = CallKind("newest", f"/v{self._fleet.config_version}/", False)
        for node in self._fleet.nodes:
            for kind in (STREAM, newest):
                if await self._call(node, kind) != 200:
                    yield f"{kind.name} at {node.name}"
            if await self._job_status(node) != 200:
                yield f"job at {node.name}"

    async def _job_status(self, node: NodeProcess, job_id: str = JOB_ID) -> int:
        answer = await self._job_call(node, "GET", f"/briarvale/lots/{job_id}?after=0")
        if answer is not None and answer.status == 404:
            self._break(f"accepted jobs are there: 404 at {node.name} for {job_id}")
        return answer.status if answer else 0

    async def _job_call(
        self, node: NodeProcess, method: str, path: str, body: bytes = b""
    ) -> Answer | None:
        caller = Caller(node.endpoint)
        try:
            with anyio.move_on_after(3):
                return await caller.call(method, path, body, request_id=JOB_ID)
        except CONNECTION_ERRORS:
            return None
        finally:
            if caller.stream is not None:
                await caller.stream.aclose()
        return None

    async def _submit_job(self) -> None:
        answer = await self._job_call(self._fleet.nodes[0], "POST", "/lot/", job_body(JOB_ITEMS))
        assert answer is not None and answer.status == 202, answer

    async def _check_odd_jobs(self) -> None:
        """Checks that the sound items of accepted jobs end."""
        until_s = anyio.current_time() + JOB_TIMEOUT_S
        for job_id in self._odd_jobs:
            wanted = {f"{job_id}-1", f"{job_id}-2"}
            while not wanted <= await self._listed(job_id):
                if anyio.current_time() > until_s:
                    self._break(f"the sound items of job {job_id} end")
                    break
                await anyio.sleep(POLL_S)

    async def _listed(self, job_id: str) -> set[str]:
        path = f"/briarvale/lots/{job_id}?after=0"
        answer = await self._job_call(self._fleet.nodes[0], "GET", path)
        if answer is None or answer.status != 200:
            return set()
        return {row["id"] for row in answer.json()["results"]}

    def _check_exits(self) -> None:
        exits = self._fleet.exits
        for ended in exits[self._exits_seen :]:
            if not ended.was_requested:
                self._break(f"no process ends by itself: {ended.name}, code {ended.code}")
        self._exits_seen = len(exits)

    def _break(self, promise: str) -> None:
        self.broken.append(BrokenPromise(promise, " + ".join(self._said)))


def contained_errors(folder: Path) -> Counter[str]:
    """Returns the unexpected errors that parts of nodes contained, by their text."""
    found: Counter[str] = Counter()
    for path in folder.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            if "Unexpected error" in line:
                found[line.partition('"message": ')[2][:200]] += 1
    return found


async def run_seed(seed: int, steps: int, neighbours: list[str], folder: Path) -> OddSoak:
    """Runs one seed."""
    async with anyio.create_task_group() as tasks:
        fleet = SoakFleet(folder, tasks)
        fleet.store_handler = OddStore(fleet.store)
        try:
            await fleet.start(NODES)
            soak = OddSoak(fleet, seed, neighbours)
            await soak.run(steps)
        finally:
            fleet.end()
        tasks.cancel_scope.cancel()
    return soak


def report(seed: int, soak: OddSoak, contained: Counter[str]) -> None:
    """Prints one line for a seed, for each broken promise and for each contained error."""
    counts = ", ".join(f"{name} {count}" for name, count in sorted(soak.counts.items()))
    print(f"seed {seed}: {len(soak.broken)} broken; {counts}", flush=True)
    for (promise, detail), times in Counter(soak.broken).items():
        print(f"  BROKEN {times} times: {promise}: {detail}", flush=True)
    for text, times in contained.items():
        print(f"  contained {times} times: {text}", flush=True)


@app.command()
def main(
    seeds: int = 50, first_seed: int = 1, steps: int = 12, only: str = ",".join(NEIGHBOURS)
) -> None:
    """Runs seeds one after another; `only` names the neighbours, separated by commas."""
    logger.remove()
    total: Counter[str] = Counter()

    def play(seed: int, folder: Path) -> bool:
        soak = anyio.run(run_seed, seed, steps, only.split(","), folder)
        contained = contained_errors(folder)
        report(seed, soak, contained)
        total.update(seeds=1, broken=len(soak.broken), contained=contained.total())
        total.update(soak.counts)
        return bool(soak.broken)

    play_seeds("odd", range(first_seed, first_seed + seeds), play)
    print(", ".join(f"{count} {name}" for name, count in total.items()))
    sys.exit(1 if total["broken"] else 0)


if __name__ == "__main__":
    app()
