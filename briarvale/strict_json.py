"""Strict decoding of JSON that other programs write: typed, in range, and with valid texts.

A decoder reads a whole document and fails as a whole. `loosen`, `split_array` and `split_object`
cut a document into its parts, so that one malformed part does not cost the others.
"""

import json
import re
from collections.abc import Callable, Iterator
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

from .errors import DocumentInvalid

__all__ = [
    "HOST_NAME_PATTERN",
    "HostName",
    "Label",
    "LooseJson",
    "NonEmptyLabel",
    "convert_value",
    "decode_json",
    "encode_part",
    "loosen",
    "split_array",
    "split_object",
]

T = TypeVar("T")

# Texts that can be logged, encoded and sent in messages.
Label = Annotated[str, msgspec.Meta(max_length=255, pattern=r"^[^\x00-\x1f\x7f\ud800-\udfff]*\Z")]
NonEmptyLabel = Annotated[Label, msgspec.Meta(min_length=1)]
# The resolver fails at empty or long parts of a name.
_HOST_LABEL = "[0-9A-Za-z_-]{1,63}"
HOST_NAME_PATTERN = rf"{_HOST_LABEL}(?:\.{_HOST_LABEL})*"
_IPV6_PATTERN = "[0-9A-Fa-f]{0,4}:[0-9A-Fa-f:.]{1,40}"
HostName = Annotated[
    str, msgspec.Meta(max_length=255, pattern=rf"^(?:{HOST_NAME_PATTERN}|{_IPV6_PATTERN})\Z")
]

_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
# A whole string, a run of brackets in the same direction, or a comma. Runs keep a document of
# many nested brackets from taking long.
_TOKEN = re.compile(_STRING.pattern + rb"|[\[{]+|[\]}]+|,", re.DOTALL)
MAX_INTEGER_LENGTH = 40
_TEXT_DECODER = msgspec.json.Decoder(str)


def decode_json(decoder: "msgspec.json.Decoder[T]", document: bytes) -> T:
    """Decodes a document; raises `DocumentInvalid` if it isn't what the decoder expects."""
    return _checked(lambda: decoder.decode(document))


def convert_value(value: object, target: type[T]) -> T:
    """Converts a decoded JSON value to a type; raises `DocumentInvalid` if it doesn't fit.

    Unlike `decode_json`, it accepts texts that can't be encoded; types limit theirs by a pattern.
    """
    return _checked(lambda: msgspec.convert(value, target))


class _Parsed(NamedTuple):
    """A part as the standard library decodes it, also where texts or numbers are not strict."""

    value: Any


# A part of a document: parsed loosely, or still encoded where it is nested too deeply for that.
LooseJson = _Parsed | bytes


def loosen(document: bytes) -> LooseJson:
    """Returns a document to be cut into its parts; raises `DocumentInvalid` if it is no JSON."""
    text = document.decode(errors="surrogateescape")
    try:
        return _Parsed(json.loads(text, parse_int=_parse_int))
    except RecursionError:
        return document
    except ValueError as error:
        raise DocumentInvalid(f"no JSON: {error}") from error


def encode_part(part: LooseJson) -> bytes:
    """Returns a part as JSON, which a decoder still rejects where it is not strict."""
    return json.dumps(part.value).encode() if isinstance(part, _Parsed) else part


def split_array(part: LooseJson) -> list[LooseJson]:
    """Returns the elements of an array; raises `DocumentInvalid`."""
    match part:
        case _Parsed(list(elements)):
            return [_Parsed(element) for element in elements]
        case bytes(encoded):
            return list(_split(encoded, b"[", b"]"))
        case _:
            raise DocumentInvalid("expected an array")


def split_object(part: LooseJson) -> dict[str, LooseJson]:
    """Returns the members of an object; raises `DocumentInvalid`.

    Of an encoded object, a member whose name isn't valid text is left out.
    """
    match part:
        case _Parsed(dict(members)):
            return {name: _Parsed(member) for name, member in members.items()}
        case bytes(encoded):
            return _split_encoded_object(encoded)
        case _:
            raise DocumentInvalid("expected an object")


def _split_encoded_object(document: bytes) -> dict[str, LooseJson]:
    members: dict[str, LooseJson] = {}
    for member in _split(document, b"{", b"}"):
        name = _STRING.match(member)
        if name is None:
            raise DocumentInvalid("a member of an object has no name")
        before, separator, value = member[name.end() :].partition(b":")
        if before.strip() or not separator:
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
        match token.group()[:1]:
            case b"[" | b"{":
                depth += len(token.group())
            case b"]" | b"}":
                depth -= len(token.group())
                if depth < 0 or (depth == 0 and token.end() != len(document)):
                    raise DocumentInvalid("brackets don't match")
            case b"," if depth == 1:
                yield document[start : token.start()].strip()
                start = token.end()
    if depth != 0:
        raise DocumentInvalid("brackets don't match")
    last = document[start:-1].strip()
    if last or start > 1:
        yield last


def _parse_int(digits: str) -> int | None:
    """Returns an integer; none if it has far too many digits for any field."""
    return int(digits) if len(digits) <= MAX_INTEGER_LENGTH else None


def _checked(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise DocumentInvalid(f"{type(error).__name__}: {error}") from error
