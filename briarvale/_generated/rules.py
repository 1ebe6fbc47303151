"""Generated from schema/rules.schema.yaml by tools/generate.py. Do not edit."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Share(NamedTuple):
    """A member's share of the fleet."""

    member: str
    percent: float

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Share":
        """Builds it from a checked mapping."""
        return cls(
            member=mapping["member"],
            percent=float(mapping["percent"]),
        )


class Rules(NamedTuple):
    """The operators' policy for the inventory."""

    shares: tuple[Share, ...]
    priority_member: str = ""
    batch_budget_percent: float = 50.0
    harm_weight: float = 0.5
    max_attempts: int = 3
    max_body_bytes: int = 1048576
    max_job_bytes: int = 1073741824
    max_active_jobs: int = 1000
    retention_days: int = 30
    weight_store_gb_per_s: float = 0.0

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Rules":
        """Builds it from a checked mapping."""
        return cls(
            shares=tuple(Share.from_mapping(item) for item in mapping["shares"]),
            priority_member=mapping.get("priority_member", ""),
            batch_budget_percent=float(mapping.get("batch_budget_percent", 50.0)),
            harm_weight=float(mapping.get("harm_weight", 0.5)),
            max_attempts=mapping.get("max_attempts", 3),
            max_body_bytes=mapping.get("max_body_bytes", 1048576),
            max_job_bytes=mapping.get("max_job_bytes", 1073741824),
            max_active_jobs=mapping.get("max_active_jobs", 1000),
            retention_days=mapping.get("retention_days", 30),
            weight_store_gb_per_s=float(mapping.get("weight_store_gb_per_s", 0.0)),
        )
