"""Reads answers with httpx up to a size limit, since httpx itself sets no limit."""

from collections.abc import AsyncIterator

import httpx

from .errors import AnswerTooLong

__all__ = ["read_bounded", "read_bounded_lines"]


async def read_bounded(response: httpx.Response, max_bytes: int) -> bytes:
    """Reads the body of a streamed answer; raises `AnswerTooLong` if it is over `max_bytes`."""
    chunks = []
    size_bytes = 0
    async for chunk in response.aiter_bytes():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise AnswerTooLong(f"a body is over {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


async def read_bounded_lines(response: httpx.Response, max_bytes: int) -> AsyncIterator[str]:
    """Reads the lines of a streamed answer; raises `AnswerTooLong` if one is over `max_bytes`."""
    incomplete_line = b""
    async for chunk in response.aiter_bytes():
        *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        for line in lines:
            yield line.removesuffix(b"\r").decode(errors="replace")
        if len(incomplete_line) > max_bytes:
            raise AnswerTooLong(f"a line is over {max_bytes} bytes")
    if incomplete_line:
        yield incomplete_line.decode(errors="replace")
