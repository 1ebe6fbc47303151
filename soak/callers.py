"""Clients of a soak; each keeps using its connection to a node, even while the node shuts down."""

import random
from typing import NamedTuple

import anyio

from features.support.platform_engine import expected_text
from features.support.platform_fleet import HOST, TOKENS_PER_ITEM, Answer, Caller, job_body
from soak.fleet import DEADLY_PART, EVENT_COUNT, MAX_WAITING_TOKENS, NodeProcess, SoakFleet
from soak.records import CallRecord, SubmittedJob

CALL_PAUSE_S = 0.15
JOB_PAUSE_S = 1.5
POLL_PAUSE_S = 0.3
# Requests that a caller sends to one node before it picks another.
CALLS_PER_NODE = 8
ITEMS_PER_JOB = 4
# Jobs of each round by path; those on the limited route are submitted at the same time.
JOB_PATHS = ("/lot/", "/few/", "/few/", "/few/")
LIMITED_PATH = "/few/"
CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)

__all__ = ["Callers", "KINDS", "WaitingCount", "send_request"]


class WaitingCount(NamedTuple):
    """Tokens that wait on the limited route, and what they consist of if they pass its limit."""

    tokens: int
    detail: str


class CallKind(NamedTuple):
    """A kind of request: its name in reports, and how it is sent."""

    name: str
    path: str
    is_stream: bool
    # Header fields of each request beyond the usual ones.
    headers: tuple[tuple[str, str], ...] = ()


KINDS = (
    CallKind("safe", "/look/1", False),
    CallKind("unsafe", "/pay/1", False),
    CallKind("stream", "/ask/1", True),
    CallKind("resumable stream", "/go-on/1", True),
)
DEADLY_PROMPT = f"a1:50,{DEADLY_PART}:50"
DEADLY_PAUSE_S = 0.3


class Callers:
    """All callers of one soak, with the records of their requests and jobs.

    Args:
        fleet: The nodes that they call.
        seed: Seed of the choice of nodes and kinds of request.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._last_id = 0
        self.calls: list[CallRecord] = []
        self.jobs: list[SubmittedJob] = []
        # What waited on the limited route, each time a caller learned of an acceptance there.
        self.waiting_counts: list[WaitingCount] = []
        # Requests with a part that crashes servers.
        self.deadly_calls: list[CallRecord] = []
        self.is_stopping = False

    async def call(self) -> None:
        """Sends requests to one node after another until `is_stopping` is set."""
        while not self.is_stopping:
            node = self._pick_node()
            if node is None:
                await anyio.sleep(CALL_PAUSE_S)
                continue
            caller = Caller(node.endpoint)
            for _ in range(CALLS_PER_NODE):
                kind = self._random.choice(KINDS)
                self.calls.append(await send_request(caller, node.name, kind, self._next_id()))
                await anyio.sleep(CALL_PAUSE_S * self._random.uniform(0.2, 2.0))
            await _close(caller)

    async def call_deadly(self) -> None:
        """Sends streams with a deadly part to random nodes until `is_stopping` is set."""
        while not self.is_stopping:
            node, request_id = self._pick_node(), self._next_id()
            if node is not None:
                prompt = ("Briarvale-Prompt-Prefix", f"{DEADLY_PROMPT},{request_id}:50")
                kind = CallKind("deadly", f"/ask/{request_id}", True, (prompt,))
                caller = Caller(node.endpoint)
                self.deadly_calls.append(await send_request(caller, node.name, kind, request_id))
                await _close(caller)
            await anyio.sleep(DEADLY_PAUSE_S * self._random.uniform(0.2, 2.0))

    async def run_jobs(self) -> None:
        """Submits jobs until `is_stopping` is set, and polls each until it is done."""
        async with anyio.create_task_group() as tasks:
            while not self.is_stopping:
                for path in JOB_PATHS:
                    number = len(self.jobs)
                    items = [f"item-{number}-{index}" for index in range(ITEMS_PER_JOB)]
                    job = SubmittedJob(f"job-{number}", items, path)
                    self.jobs.append(job)
                    tasks.start_soon(self._run_job, job)
                await anyio.sleep(JOB_PAUSE_S)

    async def _run_job(self, job: SubmittedJob) -> None:
        while not job.is_accepted:
            answer = await self._call_any_node("POST", job.path, job_body(job.items), job.job_id)
            job.is_accepted = answer is not None and answer.status == 202
            if job.is_accepted and job.path == LIMITED_PATH:
                self.waiting_counts.append(self._count_waiting())
            await anyio.sleep(POLL_PAUSE_S)
        while not job.is_done:
            await self.read_results(job, len(job.results))
            await anyio.sleep(POLL_PAUSE_S)

    def count_stored(self) -> WaitingCount:
        """Returns the most tokens that waited on the limited route after any write to the store."""
        stored = self._fleet.job_writes(f"{HOST}{LIMITED_PATH}")
        return WaitingCount(stored.most_waiting, "as stored")

    def _count_waiting(self) -> WaitingCount:
        """Returns the tokens of accepted items on the limited route that no server has finished."""
        finished = {item for server in self._fleet.servers.values() for item in server.finished_ids}
        accepted = [job for job in self.jobs if job.is_accepted and job.path == LIMITED_PATH]
        waiting = {
            job.job_id: len(unfinished)
            for job in accepted
            if (unfinished := set(job.items) - finished)
        }
        tokens = TOKENS_PER_ITEM * sum(waiting.values())
        if tokens <= MAX_WAITING_TOKENS:
            return WaitingCount(tokens, "")
        stored = self._fleet.job_writes(f"{HOST}{LIMITED_PATH}")
        # An item whose result is an error no longer waits, though no server finished it.
        counted = {item for job in accepted for item in job.items} - finished
        tokens -= TOKENS_PER_ITEM * len(stored.dead_ids & counted)
        detail = f"not finished: {waiting}, as stored {stored.waiting} tokens, "
        return WaitingCount(tokens, f"{detail}results with errors: {sorted(stored.dead_ids)}")

    async def read_results(self, job: SubmittedJob, after: int) -> None:
        """Reads a job's results after a position, from any ready node."""
        answer = await self._call_any_node("GET", f"/briarvale/lots/{job.job_id}?after={after}")
        if answer is not None and answer.status == 200 and answer.is_whole:
            job.record_results(after, answer.json()["results"])

    async def _call_any_node(
        self, method: str, path: str, body: bytes = b"", request_id: str = ""
    ) -> Answer | None:
        node = self._pick_node()
        if node is None:
            return None
        caller = Caller(node.endpoint)
        try:
            return await caller.call(method, path, body, request_id=request_id)
        except (*CONNECTION_ERRORS, TimeoutError):
            return None
        finally:
            await _close(caller)

    def _pick_node(self) -> NodeProcess | None:
        ready = [node for node in self._fleet.nodes if node.is_ready]
        return self._random.choice(ready) if ready else None

    def _next_id(self) -> str:
        self._last_id += 1
        return f"r{self._last_id:06d}"


async def send_request(caller: Caller, node: str, kind: CallKind, request_id: str) -> CallRecord:
    """Sends one request on the caller's open connection, or on a new one."""
    sent_at_s = anyio.current_time()
    answer, has_timed_out = Answer(0, {}, b"", False), False
    try:
        found = await caller.call(
            "POST", kind.path, b"question", request_id=request_id, headers=dict(kind.headers)
        )
        answer = found or answer
    except CONNECTION_ERRORS:
        caller.stream = None
    except TimeoutError:
        caller.stream, has_timed_out = None, True
    is_correct = (
        answer.status != 200 or not answer.is_whole or _is_correct(kind, request_id, answer)
    )
    return CallRecord(
        request_id,
        kind.name,
        node,
        sent_at_s,
        anyio.current_time(),
        answer.status,
        answer.is_whole,
        is_correct,
        has_timed_out,
    )


def _is_correct(kind: CallKind, request_id: str, answer: Answer) -> bool:
    if not kind.is_stream:
        return answer.body == b"body of " + request_id.encode()
    lines = answer.body.decode(errors="replace").splitlines()
    data = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    return "\n".join(data) == expected_text(EVENT_COUNT)


async def _close(caller: Caller) -> None:
    if caller.stream is not None:
        await caller.stream.aclose()
        caller.stream = None
