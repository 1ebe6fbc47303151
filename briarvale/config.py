"""One revision of the configuration: the inventory and the rules, with lookups by id."""

import hashlib
from collections.abc import Mapping, Sequence
from functools import cached_property
from typing import Any

from ._generated.inventory import BackendServer, Inventory, Member, Model, Service
from ._generated.messages import ConfigBundle, ConfigDocument
from ._generated.rules import Rules, Share
from .checked_yaml import CheckedDocument, parse_checked, parse_document
from .errors import SettingsInvalid
from .inventory import INVENTORY_LISTS, check_inventory
from .rules import check_rules

INVENTORY_NAME = "inventory.yaml"
INVENTORY_FOLDER = "inventory/"
RULES_NAME = "rules.yaml"

__all__ = [
    "BackendServer",
    "Config",
    "INVENTORY_FOLDER",
    "INVENTORY_NAME",
    "Inventory",
    "Member",
    "Model",
    "RULES_NAME",
    "Rules",
    "Service",
    "Share",
    "check_documents",
    "document_digest",
    "documents_of",
    "is_inventory",
]


class Config:
    """One revision of the configuration; immutable.

    Args:
        bundle: The documents, as read from the Object API or received from a peer.
        previous: An earlier revision; documents that have not changed are not parsed again.

    Raises:
        SettingsInvalid: If a document violates its schema; names file, line and field.
    """

    def __init__(self, bundle: ConfigBundle, previous: "Config | None" = None) -> None:
        self.bundle = bundle
        self.revision = bundle.revision
        parsed_before = previous._parsed if previous else {}
        self._parsed: dict[str, Inventory | Rules] = {
            document.digest: parsed_before.get(document.digest) or _parse(document)
            for document in bundle.documents
        }
        parts = [self._parsed[d.digest] for d in bundle.documents if d.name != RULES_NAME]
        self.inventory = _merge([part for part in parts if isinstance(part, Inventory)])
        self.rules = self._find_rules()

    @classmethod
    def from_texts(cls, revision: int, inventory: str, rules: str) -> "Config":
        """Builds a configuration from the text of its two documents."""
        texts = {INVENTORY_NAME: inventory, RULES_NAME: rules}
        return cls(ConfigBundle(revision, documents_of(texts)))

    def _find_rules(self) -> Rules:
        for parsed in self._parsed.values():
            if isinstance(parsed, Rules):
                return parsed
        raise SettingsInvalid(f"{RULES_NAME}:1: document: missing")

    @cached_property
    def members(self) -> dict[str, Member]:
        """Members by id."""
        return {member.id: member for member in self.inventory.members}

    @cached_property
    def services(self) -> dict[str, Service]:
        """Services by id."""
        return {service.id: service for service in self.inventory.services}

    @cached_property
    def models(self) -> dict[str, Model]:
        """Models by id."""
        return {model.id: model for model in self.inventory.models}

    @cached_property
    def servers(self) -> dict[str, BackendServer]:
        """Backend servers by id."""
        return {server.id: server for server in self.inventory.backend_servers}

    @cached_property
    def shares(self) -> dict[str, float]:
        """Each member's share as a fraction of 1; 0 where none is declared."""
        declared = {share.member: share.percent / 100 for share in self.rules.shares}
        return {member: declared.get(member, 0.0) for member in self.members}

    @cached_property
    def _member_by_key_digest(self) -> dict[str, str]:
        return {
            digest: member.id
            for member in self.inventory.members
            for digest in member.api_key_sha256
        }

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the backend servers of a service."""
        return [server for server in self.inventory.backend_servers if server.service == service]

    def member_of_key(self, api_key: str) -> str | None:
        """Returns the member that an API key belongs to."""
        return self._member_by_key_digest.get(hashlib.sha256(api_key.encode()).hexdigest())


def document_digest(body: bytes) -> str:
    """Returns the SHA-256 of a document's bytes in hex; its key in the Object API."""
    return hashlib.sha256(body).hexdigest()


def documents_of(texts: Mapping[str, str]) -> tuple[ConfigDocument, ...]:
    """Returns the documents with these names and texts, in the order of their names."""
    bodies = {name: text.encode() for name, text in sorted(texts.items())}
    return tuple(ConfigDocument(name, document_digest(body), body) for name, body in bodies.items())


def is_inventory(name: str) -> bool:
    """Whether a document is the inventory, or one of the files that it is split into."""
    return name == INVENTORY_NAME or name.startswith(INVENTORY_FOLDER)


def check_documents(texts: Mapping[str, str], sources: Mapping[str, str] | None = None) -> None:
    """Checks each document against its schema, and references between documents.

    Args:
        texts: Text of each document by name.
        sources: Name of each document in error messages; the document's name by default.

    Raises:
        SettingsInvalid: If a document is invalid; names file, line and field of each problem.
    """
    source_names = sources or {}
    parts = [
        _parse_inventory(text, source_names.get(name, name), name)
        for name, text in sorted(texts.items())
        if is_inventory(name)
    ]
    rules_source = source_names.get(RULES_NAME, RULES_NAME)
    rules = parse_document(texts.get(RULES_NAME, ""), "rules", rules_source)
    members = {row["id"] for part in parts for row in part.data["members"]}
    problems = [*check_inventory(parts), *check_rules(rules, members)]
    if problems:
        raise SettingsInvalid("\n".join(problems))


def _parse(document: ConfigDocument) -> Inventory | Rules:
    text = document.body.decode("utf-8", errors="replace")
    if document.name == RULES_NAME:
        return Rules.from_mapping(parse_checked(text, "rules", document.name))
    return Inventory.from_mapping(_parse_inventory(text, document.name, document.name).data)


def _parse_inventory(text: str, source: str, name: str) -> CheckedDocument:
    # A file of a split inventory may omit lists; an inventory in one document must have all.
    is_part = name != INVENTORY_NAME
    defaults: dict[str, Any] = {field: [] for field in INVENTORY_LISTS} if is_part else {}
    return parse_document(text, "inventory", source, defaults)


def _merge(parts: Sequence[Inventory]) -> Inventory:
    if len(parts) == 1:
        return parts[0]
    return Inventory(
        members=tuple(row for part in parts for row in part.members),
        models=tuple(row for part in parts for row in part.models),
        services=tuple(row for part in parts for row in part.services),
        backend_servers=tuple(row for part in parts for row in part.backend_servers),
    )
