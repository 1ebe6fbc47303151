"""HTTP/1.1 connections of h11 that reject what is malformed in time that grows with its length.

The patterns of h11 for header lines and chunk headers match the same spaces in two places. A line
of spaces that ends in a byte which isn't allowed then takes time that grows with the square of its
length: seconds for 30 kB. The patterns here match the same lines, each space in one place only.
"""

import re

import h11
from h11 import _abnf as abnf
from h11 import _readers as readers

__all__ = [
    "CHUNK_HEADER",
    "HEADER_LINE",
    "client_connection",
    "is_joined_head",
    "server_connection",
]

HEADER_LINE = re.compile(
    rf"(?P<field_name>{abnf.field_name}):[ \t]*+"
    rf"(?P<field_value>{abnf.field_value})[ \t]*".encode("ascii")
)
CHUNK_HEADER = re.compile(
    rf"(?P<chunk_size>{abnf.chunk_size})"
    r"(?P<chunk_ext>;[^\n]*(?=\r\n\Z))?[ \t]*+\r\n".encode("ascii")
)
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: |$)")
readers.header_field_re = HEADER_LINE
readers.chunk_header_re = CHUNK_HEADER


def is_joined_head(head: h11.Response) -> bool:
    """Whether an answer's head is the start of one head that broke off, and then another head.

    The status line of the second one is then the end of a header's value or of the reason.
    """
    texts = (head.reason, *(value for _, value in head.headers))
    return any(STATUS_LINE.search(text) for text in texts)


def server_connection(max_head_bytes: int) -> h11.Connection:
    """Returns the server's side of a connection; `max_head_bytes` bounds each head."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)


def client_connection(max_head_bytes: int) -> h11.Connection:
    """Returns the client's side of a connection; `max_head_bytes` bounds each head."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
