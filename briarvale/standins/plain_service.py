"""A simulated plain service that counts the runs of each call."""

import hashlib
from typing import NamedTuple

import anyio

from ..errors import ServerConnectFailed, ServerLost
from ..service_client import ServiceAnswer, ServiceCall

__all__ = ["ServiceFaults", "ServiceRun", "StandinPlainService"]


class ServiceRun(NamedTuple):
    """One run of a call."""

    idempotency_key: str
    path: str
    body_sha256: str
    content_type: str = ""


class ServiceFaults:
    """Fault switches; all off at the start."""

    def __init__(self) -> None:
        self.is_down = False
        self.lose_answers = False
        self.lose_before_run = False
        self.latency_s = 0.01
        self.is_stuck = False


class StandinPlainService:
    """Implements the `PlainService` protocol in memory, and records its runs for checks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = ServiceFaults()
        self.runs: list[ServiceRun] = []

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Runs the call once."""
        if self.faults.is_down:
            raise ServerConnectFailed(f"{self.name} is down")
        if self.faults.lose_before_run:
            raise ServerLost(f"{self.name} lost the connection")
        digest = hashlib.sha256(call.body).hexdigest()
        self.runs.append(ServiceRun(call.idempotency_key, call.path, digest, call.content_type))
        run_number = len(self.runs)
        while self.faults.is_stuck:
            await anyio.sleep(0.1)
        await anyio.sleep(self.faults.latency_s)
        if self.faults.lose_answers:
            raise ServerLost(f"{self.name}: the answer was lost")
        body = f'{{"run": {run_number}, "server": "{self.name}", "sha256": "{digest}"}}'
        return ServiceAnswer(200, body.encode(), "application/json")

    def run_count(self, idempotency_key: str) -> int:
        """Returns how often a call with this key ran here."""
        return sum(1 for run in self.runs if run.idempotency_key == idempotency_key)
