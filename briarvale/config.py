"""The configuration in force: a revision of the inventory and the rules, with look-ups."""

import hashlib
from functools import cached_property
from typing import Any

from ._generated.inventory import BackendServer, Inventory, Member, Model, Service
from ._generated.messages import ConfigBundle, ConfigDocument
from ._generated.rules import Rules, Share
from .checked_yaml import parse_checked

INVENTORY_NAME = "inventory.yaml"
RULES_NAME = "rules.yaml"

__all__ = [
    "BackendServer",
    "Config",
    "INVENTORY_NAME",
    "Inventory",
    "Member",
    "Model",
    "RULES_NAME",
    "Rules",
    "Service",
    "Share",
    "document_digest",
]


class Config:
    """One revision of the configuration; never changes.

    Args:
        bundle: The documents as they stand in the Object API or came from a peer.
    """

    def __init__(self, bundle: ConfigBundle) -> None:
        self.bundle = bundle
        self.revision = bundle.revision
        self.inventory = Inventory.from_mapping(self._parse(INVENTORY_NAME, "inventory"))
        self.rules = Rules.from_mapping(self._parse(RULES_NAME, "rules"))

    @classmethod
    def from_texts(cls, revision: int, inventory: str, rules: str) -> "Config":
        """Builds a configuration from the text of its two documents."""
        texts = {INVENTORY_NAME: inventory, RULES_NAME: rules}
        documents = tuple(
            ConfigDocument(name, document_digest(text.encode()), text.encode())
            for name, text in texts.items()
        )
        return cls(ConfigBundle(revision, documents))

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

    def _parse(self, name: str, schema_name: str) -> dict[str, Any]:
        body = next(d.body for d in self.bundle.documents if d.name == name)
        return parse_checked(body.decode(), schema_name, name)


def document_digest(body: bytes) -> str:
    """Returns the name of a document: the SHA-256 of its bytes."""
    return hashlib.sha256(body).hexdigest()
