"""Bundles of configuration documents: deltas between two, and a readable diff for operators."""

import difflib
from collections.abc import Iterable, Mapping

from ._generated.messages import ConfigBundle, ConfigDocument

MAX_DIFF_LINES = 400

__all__ = ["apply_delta", "delta_since", "diff_texts", "texts_of"]


def delta_since(base: ConfigBundle, bundle: ConfigBundle) -> ConfigBundle:
    """Returns the delta that a peer at the base revision lacks."""
    base_digests = {document.name: document.digest for document in base.documents}
    changed = tuple(d for d in bundle.documents if base_digests.get(d.name) != d.digest)
    names = {document.name for document in bundle.documents}
    removed = tuple(name for name in base_digests if name not in names)
    return ConfigBundle(bundle.revision, changed, base.revision, removed)


def apply_delta(current: ConfigBundle | None, bundle: ConfigBundle) -> ConfigBundle | None:
    """Returns the complete bundle; `None` if a delta is not based on the current revision."""
    if bundle.base_revision == 0:
        return bundle
    if current is None or current.revision != bundle.base_revision:
        return None
    documents = {document.name: document for document in current.documents}
    documents |= {document.name: document for document in bundle.documents}
    remaining = tuple(documents[name] for name in sorted(documents) if name not in bundle.removed)
    return ConfigBundle(bundle.revision, remaining)


def texts_of(documents: Iterable[ConfigDocument]) -> dict[str, str]:
    """Returns the text of each document by name."""
    return {document.name: document.body.decode(errors="replace") for document in documents}


def diff_texts(old: Mapping[str, str], new: Mapping[str, str]) -> str:
    """Returns the unified diff of two sets of documents, truncated to `MAX_DIFF_LINES`."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name, "").splitlines()
        after = new.get(name, "").splitlines()
        lines += difflib.unified_diff(before, after, name, name, lineterm="")
    if len(lines) > MAX_DIFF_LINES:
        lines = [*lines[:MAX_DIFF_LINES], f"... {len(lines) - MAX_DIFF_LINES} more lines"]
    return "\n".join(lines)
