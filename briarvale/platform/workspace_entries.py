"""Decodes the workspaces of the operators' configuration, which the platform calls tenants.

API keys are replaced by their digests as soon as the store's answer is decoded, so that neither
caches nor peer messages hold a key.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from .. import logs
from ..errors import DocumentInvalid, SettingsInvalid
from ..strict_json import NonEmptyLabel, convert_value
from ..workspaces import Workspace, WorkspaceLimits, WorkspaceTable, digest_key

ENTRIES_FIELD = "tenants"
KEYS_FIELD = "api_keys"
DIGESTS_FIELD = "key_digests"
MAX_KEY_CHARS = 4_096
# No node serves so many requests a second.
MAX_RATE_PER_S = 1e9
# Two priorities share a field of peer messages with 16 bits.
MAX_PRIORITY = 255

log = logs.component_logger("config")

__all__ = ["decode_workspaces", "digest_keys"]

Priority = Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


class _Name(msgspec.Struct):
    name: NonEmptyLabel


class _Limits(msgspec.Struct):
    """Limits and rank; a rate that is absent or 0 is no limit."""

    rate_per_s: Rate | None = None
    burst: Rate | None = None
    priority: Priority | None = None


def digest_keys(spec: object) -> object:
    """Returns a configuration with the digests of API keys in place of the keys.

    What is no key is kept as `None`, by which the decoder finds that the entry is invalid.
    """
    if not isinstance(spec, dict) or not isinstance(spec.get(ENTRIES_FIELD), list):
        return spec
    return spec | {ENTRIES_FIELD: [_digest_entry(entry) for entry in spec[ENTRIES_FIELD]]}


def _digest_entry(entry: object) -> object:
    if not isinstance(entry, dict) or KEYS_FIELD not in entry:
        return entry
    keys = entry[KEYS_FIELD]
    digests = [_digest(key) for key in keys] if isinstance(keys, list) else None
    kept = {name: value for name, value in entry.items() if name != KEYS_FIELD}
    return kept | {DIGESTS_FIELD: digests}


def _digest(key: object) -> str | None:
    is_valid = isinstance(key, str) and 0 < len(key) <= MAX_KEY_CHARS
    return digest_key(str(key)).hex() if is_valid else None


def decode_workspaces(entries: object, previous: WorkspaceTable | None) -> WorkspaceTable | None:
    """Decodes the entries of one version; none if the configuration has no workspaces.

    An invalid entry costs the other workspaces nothing: what can't be decoded of it is logged, and
    stays as it was in the previous version.

    Args:
        entries: The list of the entries, with digests in place of keys.
        previous: The workspaces of the version in force.

    Raises:
        SettingsInvalid: If the entries are no list.
    """
    if entries is None:
        return None
    if not isinstance(entries, list):
        raise SettingsInvalid(f"{ENTRIES_FIELD}: expected a list")
    known = {workspace.name: workspace for workspace in previous or ()}
    found = _by_name(entries, known)
    return WorkspaceTable(_without_shared_keys(found))


def _by_name(entries: list[object], known: Mapping[str, Workspace]) -> list[Workspace]:
    """Decodes the entries that have a name; of two with one name, neither applies."""
    named: dict[str, tuple[int, dict[str, Any]]] = {}
    duplicates: set[str] = set()
    for index, entry in enumerate(entries):
        name = _decode_name(entry, index)
        if name is None or not isinstance(entry, dict):
            continue
        if name in named:
            _log_invalid(index, "name", "another workspace has this name")
            duplicates.add(name)
        named[name] = (index, entry)
    found = [
        _decode_entry(name, index, entry, known.get(name))
        for name, (index, entry) in named.items()
        if name not in duplicates
    ]
    return found + [known[name] for name in duplicates if name in known]


def _decode_name(entry: object, index: int) -> str | None:
    try:
        return convert_value(entry, _Name).name
    except DocumentInvalid as error:
        _log_invalid(index, "name", str(error))
        return None


def _decode_entry(
    name: str, index: int, entry: dict[str, Any], known: Workspace | None
) -> Workspace:
    workspace = known or Workspace(name)
    digests = _decode_digests(entry.get(DIGESTS_FIELD), index)
    workspace = workspace._replace(key_digests=digests)
    try:
        limits = convert_value(entry, _Limits)
    except DocumentInvalid as error:
        _log_invalid(index, "limits", str(error))
        return workspace
    rates = WorkspaceLimits(limits.rate_per_s or 0.0, limits.burst or 0.0)
    return workspace._replace(limits=rates, priority=limits.priority)


def _decode_digests(digests: object, index: int) -> frozenset[bytes]:
    """Returns the valid digests; the others are logged."""
    if not isinstance(digests, list):
        _log_invalid(index, KEYS_FIELD, "expected a list of keys")
        return frozenset()
    found = set()
    for digest in digests:
        try:
            found.add(bytes.fromhex(convert_value(digest, Digest)))
        except DocumentInvalid:
            _log_invalid(index, KEYS_FIELD, "a key is no text of a valid length")
    return frozenset(found)


def _without_shared_keys(workspaces: list[Workspace]) -> list[Workspace]:
    """Removes each key that several workspaces hold, as it names none of them."""
    counts = Counter(digest for found in workspaces for digest in found.key_digests)
    shared = frozenset(digest for digest, count in counts.items() if count > 1)
    if not shared:
        return workspaces
    for found in workspaces:
        if found.key_digests & shared:
            log.error("Ignored a key that several workspaces hold.", workspace=found.name)
    return [found._replace(key_digests=found.key_digests - shared) for found in workspaces]


def _log_invalid(index: int, field: str, reason: str) -> None:
    log.error("Invalid workspace in the configuration.", field=f"{index}.{field}", reason=reason)
