"""The configuration in the Object API: immutable documents by digest, and one head object.

The head lists the last revisions, each with the digest of its manifest; a manifest names the
documents and the parts that each is stored in. Only the head ever changes, by conditional update.
"""

import json
import secrets
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import anyio
from tenacity import (
    AsyncRetrying,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

from ._generated.messages import ConfigBundle, ConfigDocument
from .config import (
    INVENTORY_NAME,
    RULES_NAME,
    Config,
    check_documents,
    document_digest,
    documents_of,
)
from .config_bundle import diff_texts, texts_of
from .errors import (
    BriarvaleError,
    ConfigConflict,
    ConfigTooLarge,
    NotFound,
    ObjectExists,
    ObjectNotFound,
    StoreThrottled,
    StoreUnavailable,
    VersionConflict,
)
from .object_store import ObjectStore

HEAD_KEY = "config/head"
MAX_HISTORY_REVISIONS = 50
PART_BYTES = 900_000
MAX_CONFIG_BYTES = 3_500_000
MAX_ATTEMPTS = 8
MAX_RETRY_DELAY_S = 2.0

T = TypeVar("T")
# By document name: the `digest` of the document and the digests of its stored `parts`.
Manifest = dict[str, dict[str, Any]]

__all__ = [
    "HEAD_KEY",
    "Head",
    "Revision",
    "apply_config",
    "apply_documents",
    "fetch_config",
    "fetch_revision",
    "read_head",
    "rollback_config",
]


class Revision(NamedTuple):
    """One accepted configuration.

    Attributes:
        manifest: Digest of the manifest.
        nonce: Lets the call that wrote the revision find it if the answer to the write was lost.
        applied_at_ms: Unix time in milliseconds.
    """

    revision: int
    manifest: str
    nonce: str
    applied_at_ms: int


class Head(NamedTuple):
    """The head object: the revision in force is the last of its history."""

    history: tuple[Revision, ...]
    version: int

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.history[-1].revision

    def find(self, revision: int) -> Revision:
        """Returns a revision of the history; raises `NotFound`."""
        for entry in self.history:
            if entry.revision == revision:
                return entry
        raise NotFound(f"revision {revision} is not among the last {MAX_HISTORY_REVISIONS}")


async def read_head(store: ObjectStore) -> Head:
    """Reads the head; raises `ObjectNotFound` before the first configuration."""
    stored = await store.get(HEAD_KEY)
    rows = json.loads(stored.value)["history"]
    return Head(tuple(Revision(**row) for row in rows), stored.version)


async def fetch_config(store: ObjectStore, known: Config | None = None) -> Config:
    """Reads the configuration that the head names.

    Args:
        known: A revision that is already loaded; only documents that it lacks are read.

    Raises:
        ObjectNotFound: If there is no configuration yet.
    """
    head = await read_head(store)
    if known is not None and known.revision >= head.revision:
        return known
    return Config(await _fetch_bundle(store, head.history[-1], known), known)


async def fetch_revision(store: ObjectStore, revision: int) -> ConfigBundle:
    """Reads a revision of the history; raises `NotFound`."""
    head = await read_head(store)
    return await _fetch_bundle(store, head.find(revision), None)


async def apply_config(
    store: ObjectStore, inventory: str, rules: str, expected_revision: int, applied_at_ms: int = 0
) -> int:
    """Puts an inventory and rules in force and returns the revision; see `apply_documents`."""
    texts = {INVENTORY_NAME: inventory, RULES_NAME: rules}
    return await apply_documents(store, texts, expected_revision, applied_at_ms)


async def apply_documents(
    store: ObjectStore, texts: Mapping[str, str], expected_revision: int, applied_at_ms: int = 0
) -> int:
    """Puts documents in force and returns their revision.

    The call is idempotent, so it may be retried if its answer was lost: documents that are already
    in force create no new revision.

    Args:
        texts: Text of each document by name.
        expected_revision: The revision that the change is based on; 0 for none.
        applied_at_ms: Unix time in milliseconds, for the history.

    Raises:
        ConfigConflict: If another revision is in force; its message contains the difference.
        ConfigTooLarge: If the documents add up to more than `MAX_CONFIG_BYTES`.
        SettingsInvalid: If a document is invalid.
    """
    check_documents(texts)
    documents = documents_of(texts)
    _check_size(documents)
    head = await _retry(_read_head_or_none, store)
    stored = await _retry(_read_manifest, store, head.history[-1].manifest) if head else {}
    if head is not None and _is_in_force(stored, documents):
        return head.revision
    if (head.revision if head else 0) != expected_revision:
        raise await _conflict_error(store, expected_revision)
    manifest = await _write_documents(store, documents, stored)
    entry = Revision(expected_revision + 1, manifest, secrets.token_hex(8), applied_at_ms)
    await _retry(_put_head, store, head, entry)
    await _delete_old_manifests(store, head)
    return entry.revision


async def rollback_config(store: ObjectStore, revision: int, applied_at_ms: int = 0) -> int:
    """Puts an earlier revision's documents in force as a new revision, and returns its number."""
    bundle = await fetch_revision(store, revision)
    expected_revision = (await read_head(store)).revision
    return await apply_documents(
        store, texts_of(bundle.documents), expected_revision, applied_at_ms
    )


async def _put_head(store: ObjectStore, expected: Head | None, entry: Revision) -> None:
    """Appends a revision to the head's history; raises `ConfigConflict` if the head has changed."""
    kept = expected.history[-MAX_HISTORY_REVISIONS + 1 :] if expected else ()
    rows = [revision._asdict() for revision in (*kept, entry)]
    value = json.dumps({"history": rows}).encode()
    try:
        if expected is None:
            await store.create(HEAD_KEY, value)
        else:
            await store.update(HEAD_KEY, value, expected.version)
    except (ObjectExists, VersionConflict) as error:
        current = await read_head(store)
        # An earlier attempt of this call may have taken effect although its answer was lost.
        if any(revision.nonce == entry.nonce for revision in current.history):
            return
        raise await _conflict_error(store, entry.revision - 1) from error


async def _conflict_error(store: ObjectStore, expected_revision: int) -> ConfigConflict:
    head = await read_head(store)
    message = f"revision {head.revision} is in force, you saw {expected_revision}"
    try:
        expected = texts_of(
            (await _fetch_bundle(store, head.find(expected_revision), None)).documents
        )
    except BriarvaleError:
        return ConfigConflict(message)
    current = texts_of((await _fetch_bundle(store, head.history[-1], None)).documents)
    return ConfigConflict(f"{message}; since then:\n{diff_texts(expected, current)}")


def _is_in_force(stored: Manifest, documents: tuple[ConfigDocument, ...]) -> bool:
    in_force = {name: row["digest"] for name, row in stored.items()}
    return in_force == {document.name: document.digest for document in documents}


async def _write_documents(
    store: ObjectStore, documents: tuple[ConfigDocument, ...], stored: Manifest
) -> str:
    """Writes the documents that the manifest in force lacks; returns the new manifest's digest."""
    rows_by_digest = {row["digest"]: row for row in stored.values()}
    rows = {}
    for document in documents:
        row = rows_by_digest.get(document.digest)
        if row is None:
            parts = [await _create_document(store, part) for part in _split(document.body)]
            row = {"digest": document.digest, "parts": parts}
        rows[document.name] = row
    manifest = json.dumps({"nonce": secrets.token_hex(8), "documents": rows}).encode()
    return await _create_document(store, manifest)


async def _create_document(store: ObjectStore, body: bytes) -> str:
    digest = document_digest(body)

    async def create() -> None:
        try:
            await store.create(_document_key(digest), body)
        except ObjectExists:
            return

    await _retry(create)
    return digest


async def _fetch_bundle(
    store: ObjectStore, revision: Revision, known: Config | None
) -> ConfigBundle:
    bodies = {d.digest: d.body for d in known.bundle.documents} if known else {}
    documents = []
    for name, row in sorted((await _read_manifest(store, revision.manifest)).items()):
        body = bodies.get(row["digest"])
        if body is None:
            parts = [(await store.get(_document_key(digest))).value for digest in row["parts"]]
            body = b"".join(parts)
        documents.append(ConfigDocument(name, row["digest"], body))
    return ConfigBundle(revision.revision, tuple(documents))


async def _read_manifest(store: ObjectStore, digest: str) -> Manifest:
    body = (await store.get(_document_key(digest))).value
    documents: Manifest = json.loads(body)["documents"]
    return documents


async def _read_head_or_none(store: ObjectStore) -> Head | None:
    try:
        return await read_head(store)
    except ObjectNotFound:
        return None


async def _delete_old_manifests(store: ObjectStore, previous: Head | None) -> None:
    """Deletes the manifests of revisions that the head's history no longer includes."""
    for entry in previous.history[: -MAX_HISTORY_REVISIONS + 1] if previous else ():
        try:
            await store.delete(_document_key(entry.manifest))
        except BriarvaleError:
            return


async def _retry(action: Callable[..., Awaitable[T]], *args: object) -> T:
    """Retries an action while the store is unavailable or throttles it."""
    retrying = AsyncRetrying(
        retry=retry_if_exception_type((StoreUnavailable, StoreThrottled)),
        wait=wait_random_exponential(multiplier=0.1, max=MAX_RETRY_DELAY_S),
        stop=stop_after_attempt(MAX_ATTEMPTS),
        sleep=anyio.sleep,
        reraise=True,
    )
    result: T = await retrying(action, *args)
    return result


def _check_size(documents: tuple[ConfigDocument, ...]) -> None:
    size = sum(len(document.body) for document in documents)
    if size > MAX_CONFIG_BYTES:
        raise ConfigTooLarge(
            f"the documents have {size} bytes, more than the {MAX_CONFIG_BYTES} allowed"
        )


def _split(body: bytes) -> list[bytes]:
    starts = range(0, max(1, len(body)), PART_BYTES)
    return [body[start : start + PART_BYTES] for start in starts]


def _document_key(digest: str) -> str:
    return f"config/documents/{digest}"
