"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from .._digits import parse_unsigned_int
from ..clock import MS_PER_S
from ..errors import DocumentInvalid, SettingsInvalid
from ..node_settings import NodeSettings, NodeTimeLimits, StoreSettings
from ..peer_address import MAX_PORT, PeerAddress
from ..settings import Settings
from ..strict_json import HostName, Label, NonEmptyLabel, convert_value
from ..vm_list import ProcessorCores
from ..workspaces.tolerance import Quota

SETTINGS_PATH_VARIABLE = "BRIARVALE_BOOT"
# The deploy file sets this to the port of its `metrics` entry, which the settings file lacks.
METRICS_PORT_VARIABLE = "BRIARVALE_METRICS_PORT"
SHARED_SECRET_VARIABLE = "BRIARVALE_SHARED_SECRET"

MAX_GRACE_S = 86_400
MAX_VALUE_BYTES = 2**31 - 1
MAX_QUOTA_WINDOW_S = 3_600
MAX_QUOTA = 1_000_000
MAX_MEMORY_MB = 2**30
MAX_DESCRIPTORS = 2**31 - 1
BYTES_PER_MB = 1_000_000

__all__ = ["load_node_settings", "node_settings_from"]

Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class _Platform(msgspec.Struct):
    """The platform's store."""

    address: Label
    value_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_VALUE_BYTES)] = 1_048_576


class _Listen(msgspec.Struct):
    """Addresses to listen at; an empty one is absent."""

    front: Label = ""
    ready: Label = ""


class _Bounds(msgspec.Struct):
    """Time limits, and how exactly rate limits of workspaces are kept."""

    grace_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_GRACE_S)] = 8.0
    quota_window_s: Annotated[float, msgspec.Meta(ge=0.1, le=MAX_QUOTA_WINDOW_S)] = 5.0
    quota_overage: Annotated[float, msgspec.Meta(ge=0, le=MAX_QUOTA)] = 0.1
    quota_slack: Annotated[float, msgspec.Meta(ge=0, le=MAX_QUOTA)] = 20.0


class _Limits(msgspec.Struct):
    """Limits of the machine.

    Processor capacity is a share of one core, which is `cpu_cores` times as fast as usual.
    """

    cpu_share: ProcessorCores = 0.0
    cpu_cores: ProcessorCores = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0.0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=MAX_DESCRIPTORS)] = 0


class _SettingsFile(msgspec.Struct):
    """The fields that a node uses; others may come."""

    node_name: NonEmptyLabel
    region: Label
    zone: Label
    ip: HostName
    internal_ports: tuple[Port, Port]
    platform: _Platform
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load_node_settings() -> NodeSettings:
    """Reads the file whose path is in the environment variable `BRIARVALE_BOOT`.

    Raises:
        SettingsInvalid: With the field that is wrong and what was expected.
    """
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, "/etc/briarvale/boot.toml"))
    try:
        fields = tomllib.loads(path.read_bytes().decode())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsInvalid(f"{path}: {error}") from error
    return node_settings_from(fields)


def node_settings_from(fields: object) -> NodeSettings:
    """Decodes the fields of the settings file; raises `SettingsInvalid`."""
    try:
        found = convert_value(fields, _SettingsFile)
    except DocumentInvalid as error:
        raise SettingsInvalid(str(error)) from error
    first_port, last_port = found.internal_ports
    if last_port <= first_port:
        raise SettingsInvalid("internal_ports: expected a first and a last port")
    store = _parse_address(found.platform.address, "platform.address")
    vm_settings = Settings(
        vm=found.node_name,
        region=found.region,
        availability_zone=found.zone,
        host=found.ip,
        # Without a secret, the store's address keeps out peers of other fleets.
        shared_secret=os.environ.get(SHARED_SECRET_VARIABLE) or f"{store.host}:{store.port}",
        object_api_url="",
        vm_list_url="",
        peer_port=first_port,
        heartbeat_port=first_port + 1,
        log_format="json",
    )
    return NodeSettings(
        vm_settings=vm_settings,
        store=StoreSettings(store, found.platform.value_bytes),
        time_limits=NodeTimeLimits(grace_ms=round(found.bounds.grace_s * MS_PER_S)),
        quota=Quota(
            window_ms=round(found.bounds.quota_window_s * MS_PER_S),
            overage=found.bounds.quota_overage,
            slack=found.bounds.quota_slack,
        ),
        processor_cores=found.limits.cpu_share * found.limits.cpu_cores,
        memory_bytes=round(found.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=found.limits.max_fds,
        caller_address=_optional_address(found.listen.front, "listen.front"),
        readiness_address=_optional_address(found.listen.ready, "listen.ready"),
        metrics_address=_metrics_address(found.ip),
    )


def _parse_address(text: str, name: str) -> PeerAddress:
    host, _, port = text.rpartition(":")
    if not host:
        raise SettingsInvalid(f"{name}: expected IP:PORT")
    return PeerAddress(host, _parse_port(port, name))


def _parse_port(text: str, name: str) -> int:
    port = parse_unsigned_int(text) or 0
    if not 0 < port <= MAX_PORT:
        raise SettingsInvalid(f"{name}: expected a port number")
    return port


def _optional_address(text: str, name: str) -> PeerAddress | None:
    return _parse_address(text, name) if text else None


def _metrics_address(host: str) -> PeerAddress | None:
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return PeerAddress(host, _parse_port(port, METRICS_PORT_VARIABLE)) if port else None
