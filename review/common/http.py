"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 1_048_576


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer; `is_whole` is false if the connection ended before it did."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {text}" for name, text in headers.items())]
    return "\r\n".join(lines).encode() + HEAD_END


async def send_answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    *,
    is_head: bool = False,
) -> None:
    """Sends a complete answer with a length; to HEAD without the body."""
    all_headers = {"Content-Length": str(len(body)), **(headers or {})}
    writer.write(head_bytes(status, all_headers) + (b"" if is_head else body))
    await writer.drain()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:size]
    await reader.readuntil(b"\r\n")
    return body


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while found := await _read_head(reader):
            first, headers = found
            method, target, _ = first.split(" ")
            if headers.get("transfer-encoding", "") == "chunked":
                body = await _read_chunks(reader)
            else:
                body = await reader.readexactly(int(headers.get("content-length", "0")))
            await handler(Request(method, target, headers, body), writer)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Starts a server."""
    return await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, reader, writer),
        host,
        port,
        limit=MAX_HEAD_BYTES,
        backlog=512,
    )


class Client:
    """One connection to a server; `call` may be used several times."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.answered = 0

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 8.0,
    ) -> Answer:
        """Sends a request and reads its answer; status 0 if there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, headers, body)
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError, OSError):
            self.close()
            return Answer(0, {}, b"", False)

    async def _call(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Answer:
        if self._writer is None or self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address, limit=MAX_HEAD_BYTES
            )
        lines = [f"{method} {target} HTTP/1.1"]
        sent = dict(headers)
        if body or method == "POST":
            sent["Content-Length"] = str(len(body))
        lines += [f"{name}: {text}" for name, text in sent.items()]
        self._writer.write("\r\n".join(lines).encode() + HEAD_END + body)
        await self._writer.drain()
        found = await _read_head(self._reader)
        if found is None:
            self.close()
            return Answer(0, {}, b"", False)
        first, answered = found
        status = int(first.split(" ")[1])
        try:
            content = await self._read_body(method, status, answered)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return Answer(status, answered, b"", False)
        self.answered += 1
        if "close" in answered.get("connection", ""):
            self.close()
        return Answer(status, answered, content, True)

    async def _read_body(self, method: str, status: int, headers: dict[str, str]) -> bytes:
        assert self._reader is not None
        if method == "HEAD" or status in (204, 304):
            return b""
        if headers.get("transfer-encoding", "") == "chunked":
            return await _read_chunks(self._reader)
        return await self._reader.readexactly(int(headers.get("content-length", "0")))

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.answered = 0
