"""Odd values, and documents in which they take the place of a sound value."""

import json
import random
from collections.abc import Iterator
from typing import Any, NamedTuple

__all__ = ["OddDocument", "OddInput", "mutate", "odd_text", "odd_value"]

NUMBERS = (
    *(b"0", b"-1", b"1", b"1.5", b"-0.0", b"65536", b"2147483648", b"4294967295", b"4294967296"),
    *(b"9007199254740993", b"9223372036854775808", b"18446744073709551616", b"1" + b"0" * 30),
    *(b"1e308", b"1e999", b"-1e999", b"NaN", b"Infinity", b"1" + b"0" * 5_000),
)
TEXTS = (
    *(b'""', b'" "', b'"\\u0000"', b'"\\udc80\\udcff"', b'"\\ud83d\\ude00"', b'"a\\r\\nX: b"'),
    *(b'"../../x"', b'"\\u0663"', b'"0x10"', b'"1e5"', b'"-1"', b'"99999999999999999999"'),
    *(b'"' + b"x" * 70_000 + b'"', b'"\x80\xff"', b'"caf\\u00e9"', b'"%00%ff"', b'"a b"'),
)
OTHERS = (b"null", b"true", b"false", b"{}", b"[[]]", b'{"":""}', b"[1,2,3]", b"[" * 9_000)
PLACEHOLDER = "the odd value"
DEEP_BRACKETS = 100_000

Path = tuple[str | int, ...]


class OddDocument(NamedTuple):
    """A document in JSON, and what is odd about it."""

    content: bytes
    detail: str


class OddInput(NamedTuple):
    """One odd input.

    Attributes:
        detail: What is said, for the report.
        complaint: What was wrong with the answer; empty if nothing was.
        accepted_job: Id of a job whose first item may be odd; its other items are sound.
    """

    detail: str
    complaint: str = ""
    accepted_job: str = ""


def odd_value(draw: random.Random) -> bytes:
    """Returns a value in JSON that few programs expect; some are malformed."""
    if draw.random() < 0.03:
        return b"[" * DEEP_BRACKETS + b"]" * DEEP_BRACKETS
    return draw.choice((*NUMBERS, *TEXTS, *OTHERS))


def odd_text(draw: random.Random) -> bytes:
    """Returns bytes for a header or a target, without quotes; some are no text at all."""
    value = draw.choice((*NUMBERS, *TEXTS)).strip(b'"')
    return value.replace(b"\\r\\n", b"  ").replace(b"\\u0000", b"\x00")


def mutate(
    document: Any, draw: random.Random, allowed: tuple[str, ...] = (), values: Any = odd_value
) -> OddDocument:
    """Replaces or removes one value of a document.

    Args:
        document: Any JSON document; it stays as it is.
        draw: Source of the choices.
        allowed: Names of which one must be the last on the path to the value; all if empty.
        values: Draws the value in JSON that takes the place.
    """
    paths = [path for path in _paths(document) if not allowed or path[-1] in allowed]
    path = draw.choice(paths)
    copy = json.loads(json.dumps(document))
    parent = copy
    for step in path[:-1]:
        parent = parent[step]
    if draw.random() < 0.2 and isinstance(parent, dict):
        del parent[path[-1]]
        return OddDocument(json.dumps(copy).encode(), f"{_name(path)} is missing")
    value = values(draw)
    parent[path[-1]] = PLACEHOLDER
    content = json.dumps(copy).encode().replace(json.dumps(PLACEHOLDER).encode(), value)
    return OddDocument(content, f"{_name(path)} is {value[:40]!r}")


def _paths(document: Any, above: Path = ()) -> Iterator[Path]:
    """Yields the paths to all values below a document."""
    children = enumerate(document) if isinstance(document, list) else ()
    children = document.items() if isinstance(document, dict) else children
    for step, child in children:
        yield (*above, step)
        yield from _paths(child, (*above, step))


def _name(path: Path) -> str:
    return ".".join(map(str, path))
