"""Stand-ins of the engines: a model engine that streams events, and a plain service."""

import asyncio
import json
import time
from typing import NamedTuple

from common.http import Request, head_bytes, send_answer

QUEUE = 24
# A request with more tokens than this is refused as if the engine were full.
KV_CAPACITY_TOKENS = 147_261


class Run(NamedTuple):
    """A request that an engine began to work on."""

    engine: str
    request_id: str
    method: str
    target: str
    at_s: float


class Engine:
    """One engine, which works soundly.

    Args:
        engine_id: Its id in the store.
        service: The service that it belongs to.
        slots: Requests that it works on at once; `QUEUE` more wait.
        event_count: Events of an answer; 0 for a plain service.
        event_gap_s: Time between events, or the time that a plain service works.
    """

    def __init__(
        self, engine_id: str, service: str, slots: int, event_count: int, event_gap_s: float
    ) -> None:
        self.id = engine_id
        self.service = service
        self.slots = slots
        self.event_count = event_count
        self.event_gap_s = event_gap_s
        self.born = int(time.time() * 1_000)
        self.runs: list[Run] = []
        self.address = ""
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "caerdydd",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answers a request."""
        path = request.target.partition("?")[0]
        if path == "/briarvale/report" and self.event_count:
            report = {"stage": "both", "busy": False, "sequence": 1, "num_waiting": self._waiting}
            report |= {"num_running": self._running, "kv_used": 0, "kv_total": KV_CAPACITY_TOKENS}
            await send_answer(writer, 200, json.dumps(report).encode())
            return
        if path == "/health":
            await send_answer(writer, 200, b"", {"Briarvale-Instance-Id": self.id})
            return
        if request.headers.get("briarvale-expect-instance", self.id) != self.id:
            await send_answer(writer, 421, b"", {"Briarvale-Instance-Id": self.id})
            return
        request_id = request.headers.get("briarvale-request-attempt-id", "")
        is_full = self._free.locked() and self._waiting >= QUEUE
        if not request_id or is_full or _token_count(request) > KV_CAPACITY_TOKENS:
            status = 503 if request_id else 400
            await send_answer(writer, status, b"", {"Briarvale-Not-Executed": "1"})
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                run = Run(self.id, request_id, request.method, request.target, time.time())
                self.runs.append(run)
                await self._answer(request, request_id, writer)
            finally:
                self._running -= 1

    async def _answer(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = {"Briarvale-Request-Attempt-Id": request_id}
        headers["Briarvale-Server-Signature"] = f"{self.id}.{request_id}"
        if not self.event_count:
            await asyncio.sleep(self.event_gap_s)
            body = f"order of {request_id}".encode()
            await send_answer(writer, 200, body, headers, is_head=request.method == "HEAD")
            return
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes(200, headers))
        after = int(request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.event_count + 1):
            await asyncio.sleep(self.event_gap_s)
            if writer.is_closing():
                raise ConnectionResetError("the caller left")
            event = f"id: {number}\ndata: {event_data(request_id, number)}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _token_count(request: Request) -> int:
    usage = request.headers.get("briarvale-token-usage", "0")
    return sum(int(count) for count in usage.split(","))


def event_data(request_id: str, number: int) -> str:
    """Returns the data of one event."""
    return f"piece {number} of {request_id}"
