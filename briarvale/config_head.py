"""The configuration in the Object API: documents by digest, one head by conditional update."""

import json

from ._generated.messages import ConfigBundle, ConfigDocument
from .config import Config, document_digest
from .errors import ConfigConflict, ObjectExists, ObjectNotFound, VersionConflict
from .object_store import ObjectStore

HEAD_KEY = "config/head"

__all__ = ["HEAD_KEY", "apply_config", "fetch_config"]


async def fetch_config(store: ObjectStore) -> Config:
    """Reads the configuration that the head names; raises `ObjectNotFound` if there is none."""
    head = json.loads((await store.get(HEAD_KEY)).value)
    documents = []
    for name, digest in sorted(head["documents"].items()):
        body = (await store.get(_document_key(digest))).value
        documents.append(ConfigDocument(name, digest, body))
    return Config(ConfigBundle(head["revision"], tuple(documents)))


async def apply_config(store: ObjectStore, inventory: str, rules: str, seen_revision: int) -> int:
    """Puts a new configuration in force and returns its revision.

    Args:
        seen_revision: The revision that the operator saw; 0 for none.

    Raises:
        ConfigConflict: If another operator changed the head since.
        SettingsInvalid: If a document is wrong.
    """
    config = Config.from_texts(seen_revision + 1, inventory, rules)
    for document in config.bundle.documents:
        await _create_document(store, document)
    documents = {document.name: document.digest for document in config.bundle.documents}
    head = json.dumps({"revision": config.revision, "documents": documents}).encode()
    try:
        if seen_revision == 0:
            await store.create(HEAD_KEY, head)
        else:
            current = await store.get(HEAD_KEY)
            if json.loads(current.value)["revision"] != seen_revision:
                raise ConfigConflict("the configuration has changed since")
            await store.update(HEAD_KEY, head, current.version)
    except (ObjectExists, ObjectNotFound, VersionConflict) as error:
        raise ConfigConflict("the configuration has changed since") from error
    return config.revision


async def _create_document(store: ObjectStore, document: ConfigDocument) -> None:
    try:
        await store.create(_document_key(document_digest(document.body)), document.body)
    except ObjectExists:
        return


def _document_key(digest: str) -> str:
    return f"config/documents/{digest}"
