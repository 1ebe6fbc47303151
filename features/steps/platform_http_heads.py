"""Steps for malformed lines of HTTP/1.1, without a network."""

import random
import re
import time

import h11
from behave import then, when
from behave.runner import Context
from h11 import _abnf as abnf

from briarvale.http_heads import CHUNK_HEADER, HEADER_LINE, client_connection, server_connection

MAX_HEAD_BYTES = 65_536
SPACES = b" " * 30_000
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
HEADER = b"x:" + SPACES + b"\x00\r\n\r\n"
CHUNK = b"1;" + SPACES + b"\n\r\n"
MESSAGES = {
    "a header of a request": REQUEST + HEADER,
    "a header of an answer": ANSWER + HEADER,
    "a chunk header of a request": REQUEST + CHUNKED + CHUNK,
    "a chunk header of an answer": ANSWER + CHUNKED + CHUNK,
}
LINES = 50_000
MAX_LINE_BYTES = 12
ALPHABET = b'aZ09:; \t\t  \r\n\x00\x0b\x80,"f'


@when("{what} of 30,000 spaces ends in a byte that is not allowed there")
def when_malformed(context: Context, what: str) -> None:
    if what.endswith("request"):
        connection = server_connection(MAX_HEAD_BYTES)
    else:
        connection = client_connection(MAX_HEAD_BYTES)
        connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(MESSAGES[what])
    started_s = time.process_time()
    context.error = None
    try:
        while connection.next_event() is not h11.NEED_DATA:
            pass
    except h11.RemoteProtocolError as error:
        context.error = error
    context.took_s = time.process_time() - started_s


@then("it is rejected within 0.5 s")
def then_rejected_soon(context: Context) -> None:
    assert context.error is not None
    assert context.took_s < 0.5, context.took_s


@when("50,000 short header lines and chunk headers are drawn")
def when_lines_drawn(context: Context) -> None:
    draw = random.Random(35)
    tails = [bytes(draw.choices(ALPHABET, k=draw.randrange(MAX_LINE_BYTES))) for _ in range(LINES)]
    context.headers = [draw.choice((b"a:", b"a", b"")) + tail for tail in tails]
    context.chunks = [draw.choice((b"1;", b"f", b"")) + tail + b"\r\n" for tail in tails]


@then("each is accepted, and read, as the HTTP library does by itself")
def then_read_alike(context: Context) -> None:
    for lines, pattern, own in (
        (context.headers, abnf.header_field, HEADER_LINE),
        (context.chunks, abnf.chunk_header, CHUNK_HEADER),
    ):
        original = re.compile(pattern.encode("ascii"))
        accepted_count = 0
        for line in lines:
            expected, found = original.fullmatch(line), own.fullmatch(line)
            assert (expected is None) == (found is None), line
            if expected is not None and found is not None:
                accepted_count += 1
                assert expected.groupdict() == found.groupdict(), line
        assert accepted_count > LINES / 100, accepted_count
