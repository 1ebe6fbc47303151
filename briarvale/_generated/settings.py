"""Generated from schema/settings.schema.yaml by tools/generate.py. Do not edit."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Settings(NamedTuple):
    """One VM's settings, read by each of its programs."""

    vm: str
    region: str
    availability_zone: str
    host: str
    shared_secret: str
    object_api_url: str
    vm_list_url: str
    gateway_port: int = 8080
    peer_port: int = 7400
    heartbeat_port: int = 7401
    dispatcher_port: int = 7402
    batch_port: int = 7403
    controller_port: int = 7404
    log_format: str = "text"
    log_level: str = "INFO"
    trace_file: str = ""
    otlp_url: str = ""
    balancer_lag_s: float = 5.0
    data_folder: str = ""

    @classmethod
    def from_mapping(cls, mapping: Mapping[str, Any]) -> "Settings":
        """Builds it from a checked mapping."""
        return cls(
            vm=mapping["vm"],
            region=mapping["region"],
            availability_zone=mapping["availability_zone"],
            host=mapping["host"],
            shared_secret=mapping["shared_secret"],
            object_api_url=mapping["object_api_url"],
            vm_list_url=mapping["vm_list_url"],
            gateway_port=mapping.get("gateway_port", 8080),
            peer_port=mapping.get("peer_port", 7400),
            heartbeat_port=mapping.get("heartbeat_port", 7401),
            dispatcher_port=mapping.get("dispatcher_port", 7402),
            batch_port=mapping.get("batch_port", 7403),
            controller_port=mapping.get("controller_port", 7404),
            log_format=mapping.get("log_format", "text"),
            log_level=mapping.get("log_level", "INFO"),
            trace_file=mapping.get("trace_file", ""),
            otlp_url=mapping.get("otlp_url", ""),
            balancer_lag_s=float(mapping.get("balancer_lag_s", 5.0)),
            data_folder=mapping.get("data_folder", ""),
        )
