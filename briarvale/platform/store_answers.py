"""Decodes the store's answers; one that the store's interface doesn't provide for is no answer.

A page of a list and the events of a watch are decoded as a whole. Only if that fails is each object
decoded by itself, so that an object of another writer that can't be decoded costs itself alone.
"""

import base64
import binascii
from typing import Annotated, Any, NamedTuple

import msgspec

from .. import logs, metrics
from ..errors import DocumentInvalid
from ..object_feed import ChangeList, FeedChange, FeedObject
from ..object_store import StoredObject
from ..strict_json import (
    LooseJson,
    convert_value,
    decode_json,
    encode_part,
    loosen,
    split_array,
    split_object,
)

MAX_REVISION = 2**63 - 1
MAX_NAME_LENGTH = 512

log = logs.component_logger("store")

__all__ = [
    "ObjectPage",
    "decode_changes",
    "decode_page",
    "decode_revision",
    "decode_stored",
]

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
ListRevision = Annotated[int, msgspec.Meta(ge=1, le=MAX_REVISION)]
# Names are part of paths, log lines and messages between nodes.
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[^\x00-\x1f\x7f]+\Z")
]


class _Metadata(msgspec.Struct):
    """Name of an object, and the revision of its last change."""

    name: Name
    revision: Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Page(msgspec.Struct):
    items: list[_Object]
    as_of: ListRevision
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Changes(msgspec.Struct):
    events: list[_Event]
    as_of: ListRevision


class _Bytes(msgspec.Struct, forbid_unknown_fields=True):
    """The value of an object of Briarvale's own kinds; exactly one field is set."""

    text: str | None = None
    base64: str | None = None


class ObjectPage(NamedTuple):
    """A page of a list.

    Attributes:
        revision: The store's revision at which the page was read.
        last_name: Name after which the next page starts; none if this page is the last one.
    """

    objects: tuple[FeedObject, ...]
    revision: int
    last_name: str | None


_PAGE = msgspec.json.Decoder(_Page)
_CHANGES = msgspec.json.Decoder(_Changes)
_OBJECT = msgspec.json.Decoder(_Object)
_NAME = msgspec.json.Decoder(Name)
_REVISION = msgspec.json.Decoder(Revision)
_LIST_REVISION = msgspec.json.Decoder(ListRevision)
_FLAG = msgspec.json.Decoder(bool)
_ANY = msgspec.json.Decoder(Any)


def decode_page(document: bytes, *, holds_bytes: bool) -> ObjectPage:
    """Decodes a page of a list; raises `DocumentInvalid`.

    Args:
        document: The store's answer.
        holds_bytes: Whether the kind is one of Briarvale's own, whose values are bytes.
    """
    try:
        page = decode_json(_PAGE, document)
    except DocumentInvalid:
        return _decode_page_by_object(document, holds_bytes=holds_bytes)
    objects = tuple(_feed_object(found, holds_bytes=holds_bytes) for found in page.items)
    return _object_page(objects, page.as_of, has_more=page.has_more)


def decode_changes(document: bytes, *, holds_bytes: bool) -> ChangeList:
    """Decodes the answer to a watch; raises `DocumentInvalid`. See `decode_page`."""
    try:
        found = decode_json(_CHANGES, document)
    except DocumentInvalid:
        return _decode_changes_by_object(document, holds_bytes=holds_bytes)
    changes = tuple(
        FeedChange(_feed_object(event.object, holds_bytes=holds_bytes), event.deleted)
        for event in found.events
    )
    return ChangeList(changes, found.as_of)


def decode_stored(document: bytes, key: str) -> StoredObject:
    """Decodes an object of Briarvale's own kinds; raises `DocumentInvalid`."""
    found = decode_json(_OBJECT, document)
    if key.partition("/")[2] != found.metadata.name:
        raise DocumentInvalid(f"the answer is another object: {found.metadata.name!r}")
    return StoredObject(key, _decode_bytes(found.spec), found.metadata.revision)


def decode_revision(document: bytes) -> int:
    """Decodes the revision of an object that was written; raises `DocumentInvalid`."""
    return decode_json(_OBJECT, document).metadata.revision


def _decode_page_by_object(document: bytes, *, holds_bytes: bool) -> ObjectPage:
    members = split_object(loosen(document))
    items = split_array(_member(members, "items"))
    found = [_decode_object(item, holds_bytes=holds_bytes) for item in items]
    revision = decode_json(_LIST_REVISION, encode_part(_member(members, "as_of")))
    has_more = decode_json(_FLAG, encode_part(members.get("has_more", b"false")))
    objects = tuple(row for row in found if row is not None)
    return _object_page(objects, revision, has_more=has_more)


def _decode_changes_by_object(document: bytes, *, holds_bytes: bool) -> ChangeList:
    members = split_object(loosen(document))
    changes = []
    for event in map(split_object, split_array(_member(members, "events"))):
        found = _decode_object(_member(event, "object"), holds_bytes=holds_bytes)
        is_deleted = decode_json(_FLAG, encode_part(event.get("deleted", b"false")))
        if found is not None:
            changes.append(FeedChange(found, is_deleted))
    revision = decode_json(_LIST_REVISION, encode_part(_member(members, "as_of")))
    return ChangeList(tuple(changes), revision)


def _decode_object(part: LooseJson, *, holds_bytes: bool) -> FeedObject | None:
    """Decodes one object; none if its name can't be used.

    An object whose value can't be decoded has the value none, which no component accepts.

    Raises:
        DocumentInvalid: If what the store itself writes of an object is missing.
    """
    members = split_object(part)
    stored_fields = split_object(_member(members, "metadata"))
    revision = decode_json(_REVISION, encode_part(_member(stored_fields, "revision")))
    encoded_name = encode_part(_member(stored_fields, "name"))
    if not encoded_name.startswith(b'"'):
        raise DocumentInvalid("the name of an object is not a text")
    try:
        name = decode_json(_NAME, encoded_name)
    except DocumentInvalid as error:
        _record_ignored("", revision, error)
        return None
    try:
        value = decode_json(_ANY, encode_part(members.get("spec", b"null")))
    except DocumentInvalid as error:
        _record_ignored(name, revision, error)
        return FeedObject(name, None, revision)
    return _feed_object(_Object(_Metadata(name, revision), value), holds_bytes=holds_bytes)


def _feed_object(found: _Object, *, holds_bytes: bool) -> FeedObject:
    name, revision = found.metadata.name, found.metadata.revision
    if not holds_bytes:
        return FeedObject(name, found.spec, revision)
    try:
        return FeedObject(name, _decode_bytes(found.spec), revision)
    except DocumentInvalid as error:
        _record_ignored(name, revision, error)
        return FeedObject(name, None, revision)


def _decode_bytes(spec: object) -> bytes:
    """Decodes a value of Briarvale's own kinds; raises `DocumentInvalid`."""
    value = convert_value(spec, _Bytes)
    match value:
        case _Bytes(text=str(text), base64=None):
            return text.encode()
        case _Bytes(text=None, base64=str(encoded)):
            try:
                return base64.b64decode(encoded, validate=True)
            except (binascii.Error, ValueError) as error:
                raise DocumentInvalid(f"base64: {error}") from error
        case _:
            raise DocumentInvalid("expected either a text or base64")


def _object_page(objects: tuple[FeedObject, ...], revision: int, *, has_more: bool) -> ObjectPage:
    if not has_more:
        return ObjectPage(objects, revision, None)
    if not objects:
        raise DocumentInvalid("a page without objects has a successor")
    return ObjectPage(objects, revision, objects[-1].name)


def _member(members: dict[str, LooseJson], name: str) -> LooseJson:
    if name not in members:
        raise DocumentInvalid(f"{name} is missing")
    return members[name]


def _record_ignored(name: str, revision: int, error: DocumentInvalid) -> None:
    metrics.STORE_OBJECTS_IGNORED.inc({})
    log.warning("Can't decode an object of the store: {}.", error, object=name, revision=revision)
