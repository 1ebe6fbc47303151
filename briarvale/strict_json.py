"""Strict decoding of JSON that other programs write: typed, in range, and with valid texts.

A decoder reads a whole document and fails as a whole. `split_array` and `split_object` cut a
document into its parts without decoding them, so that one malformed part does not cost the others.
"""

import re
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec

from .errors import DocumentInvalid

__all__ = ["convert_value", "decode_json", "split_array", "split_object"]

T = TypeVar("T")

# A whole string, or one character that opens, closes or separates parts.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"
_TEXT_DECODER = msgspec.json.Decoder(str)


def decode_json(decoder: "msgspec.json.Decoder[T]", document: bytes) -> T:
    """Decodes a document; raises `DocumentInvalid` if it isn't what the decoder expects."""
    return _checked(lambda: decoder.decode(document))


def convert_value(value: object, target: type[T]) -> T:
    """Converts a decoded JSON value to a type; raises `DocumentInvalid` if it doesn't fit.

    Unlike `decode_json`, it accepts texts that can't be encoded; types limit theirs by a pattern.
    """
    return _checked(lambda: msgspec.convert(value, target))


def split_array(document: bytes) -> list[bytes]:
    """Returns the elements of an array, each still encoded; raises `DocumentInvalid`."""
    return list(_split(document, b"[", b"]"))


def split_object(document: bytes) -> dict[str, bytes]:
    """Returns the members of an object, each value still encoded; raises `DocumentInvalid`.

    A member whose name isn't valid text is left out.
    """
    members: dict[str, bytes] = {}
    for member in _split(document, b"{", b"}"):
        name = _TOKEN.match(member)
        if name is None or not name.group().startswith(b'"'):
            raise DocumentInvalid("a member of an object has no name")
        separator, value = member[name.end() :].lstrip()[:1], member[name.end() :].lstrip()[1:]
        if separator != b":":
            raise DocumentInvalid("a member of an object has no value")
        try:
            members[decode_json(_TEXT_DECODER, name.group())] = value.strip()
        except DocumentInvalid:
            continue
    return members


def _split(document: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yields the parts between the outermost brackets, cut at the commas of that level."""
    document = document.strip()
    if not (document.startswith(opening) and document.endswith(closing)):
        raise DocumentInvalid(f"expected a value within {opening.decode()}{closing.decode()}")
    depth, start = 0, 1
    for token in _TOKEN.finditer(document):
        character = token.group()
        if character in _OPENING:
            depth += 1
        elif character in _CLOSING:
            depth -= 1
            if depth <= 0 and token.end() != len(document):
                raise DocumentInvalid("brackets don't match")
        elif character == b"," and depth == 1:
            yield document[start : token.start()].strip()
            start = token.end()
    if depth != 0:
        raise DocumentInvalid("brackets don't match")
    last = document[start:-1].strip()
    if last or start > 1:
        yield last


def _checked(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise DocumentInvalid(f"{type(error).__name__}: {error}") from error
