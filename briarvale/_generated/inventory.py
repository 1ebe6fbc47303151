"""Generated from schema/inventory.schema.yaml by tools/generate.py. Do not edit."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Member(NamedTuple):
    """A member organisation."""

    id: str
    api_key_sha256: tuple[str, ...]

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Member":
        """Builds it from a checked mapping."""
        return cls(
            id=mapping["id"],
            api_key_sha256=tuple(mapping["api_key_sha256"]),
        )


class Model(NamedTuple):
    """A model at one version."""

    id: str
    version: str
    adapters: tuple[str, ...] = ()
    size_gb: float = 0.0

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Model":
        """Builds it from a checked mapping."""
        return cls(
            id=mapping["id"],
            version=mapping["version"],
            adapters=tuple(mapping.get("adapters", ())),
            size_gb=float(mapping.get("size_gb", 0.0)),
        )


class Service(NamedTuple):
    """A service that callers name."""

    id: str
    kind: str
    model: str = ""
    idempotent: bool = False

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Service":
        """Builds it from a checked mapping."""
        return cls(
            id=mapping["id"],
            kind=mapping["kind"],
            model=mapping.get("model", ""),
            idempotent=mapping.get("idempotent", False),
        )


class BackendServer(NamedTuple):
    """One engine or one instance of a plain service."""

    id: str
    service: str
    url: str
    slots: int
    region: str
    availability_zone: str
    prefill_tokens_per_s: float = 8000.0
    checks_fencing: bool = True

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "BackendServer":
        """Builds it from a checked mapping."""
        return cls(
            id=mapping["id"],
            service=mapping["service"],
            url=mapping["url"],
            slots=mapping["slots"],
            region=mapping["region"],
            availability_zone=mapping["availability_zone"],
            prefill_tokens_per_s=float(mapping.get("prefill_tokens_per_s", 8000.0)),
            checks_fencing=mapping.get("checks_fencing", True),
        )


class Inventory(NamedTuple):
    """The federation's assets, from its asset register."""

    members: tuple[Member, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Inventory":
        """Builds it from a checked mapping."""
        return cls(
            members=tuple(Member.from_mapping(item) for item in mapping["members"]),
            models=tuple(Model.from_mapping(item) for item in mapping["models"]),
            services=tuple(Service.from_mapping(item) for item in mapping["services"]),
            backend_servers=tuple(
                BackendServer.from_mapping(item) for item in mapping["backend_servers"]
            ),
        )
