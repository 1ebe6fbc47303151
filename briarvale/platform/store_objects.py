"""Decodes the objects that operators and backend servers write to the store."""

from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec

from .. import logs
from ..errors import DocumentInvalid, SettingsInvalid
from ..live_servers import LiveServer
from ..peer import PeerAddress
from ..routes import (
    BatchRoute,
    IdempotentRoute,
    IngressLimits,
    NonIdempotentRoute,
    Route,
    RouteKind,
    RouteTable,
    ServiceWeight,
    StreamRoute,
)
from ..strict_json import convert_value

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
RETIREMENTS_KIND = "retirements"
# Kinds that operators and backend servers write; all others hold Briarvale's own values.
FOREIGN_KINDS = frozenset((CONFIG_KIND, SERVERS_KIND, RETIREMENTS_KIND))

DEFAULT_RETENTION_S = 60.0
DEFAULT_COMPLETION_TARGET_MS = 60_000
# Peer messages hold timestamps as unsigned 64-bit integers.
MAX_TIMESTAMP_MS = 2**63 - 1
MAX_PORT = 65_535
MAX_SLOTS = 65_535
MAX_REASON_LENGTH = 200

log = logs.component_logger("config")

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "FOREIGN_KINDS",
    "RETIREMENTS_KIND",
    "SERVERS_KIND",
    "route_table_from",
    "server_from",
]


# Ids of servers are sent in a header.
ServerId = Annotated[str, msgspec.Meta(max_length=255, pattern=r"^[!-~]+\Z")]
Label = Annotated[str, msgspec.Meta(max_length=255, pattern=r"^[^\x00-\x1f\x7f\ud800-\udfff]*\Z")]
NonEmptyLabel = Annotated[Label, msgspec.Meta(min_length=1)]
_HOST_LABEL = "[0-9A-Za-z_-]{1,63}"
Address = Annotated[
    str, msgspec.Meta(max_length=261, pattern=rf"^{_HOST_LABEL}(\.{_HOST_LABEL})*:[0-9]{{1,5}}\Z")
]


class _ServerEntry(msgspec.Struct):
    """The entry of a backend server; `born` is the Unix time of its start in milliseconds."""

    service: NonEmptyLabel
    address: Address
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    zone: Label = ""
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)] = 0


def route_table_from(spec: object) -> RouteTable:
    """Decodes the object `config/main`; raises `SettingsInvalid` with the field that is wrong."""
    if not isinstance(spec, Mapping) or not isinstance(spec.get("version"), int):
        raise SettingsInvalid("version: expected an integer")
    routes = [_decode_route(route, index) for index, route in enumerate(spec.get("routes") or ())]
    return RouteTable(spec["version"], routes, _decode_limits(spec.get("limits") or {}))


def server_from(name: str, spec: object) -> LiveServer | None:
    """Decodes a backend server's entry; logs an invalid entry and returns none.

    Args:
        name: Name of the entry, which is the server's id.
        spec: Decoded JSON value of the entry.
    """
    try:
        return _decode_server(name, spec)
    except DocumentInvalid as error:
        log.warning(
            "Ignored the invalid entry {} of a backend server.",
            name,
            backend_server=name,
            reason=str(error)[:MAX_REASON_LENGTH],
        )
        return None


def _decode_server(name: str, spec: object) -> LiveServer:
    server_id = convert_value(name, ServerId)
    entry = convert_value(spec, _ServerEntry)
    host, _, port = entry.address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise DocumentInvalid(f"address: the port is out of range: {port}")
    return LiveServer(
        id=server_id,
        service=entry.service,
        address=PeerAddress(host, int(port)),
        availability_zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == "draining",
        started_at_ms=entry.born,
    )


def _decode_route(spec: Any, index: int) -> Route:
    try:
        return Route(
            name=spec.get("name", ""),
            host=spec["host"],
            path_prefix=spec["path_prefix"],
            kind=_decode_route_kind(spec),
            services=_decode_services(spec),
            max_attempts=int(spec.get("max_attempts") or 1),
            timeout_ms=int(spec.get("timeout_ms") or 30_000),
            target_latency_ms=int(spec.get("target_latency_ms") or 1_000),
            priority=int(spec.get("priority") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise SettingsInvalid(f"routes.{index}: {error!r}") from error


def _decode_services(spec: Mapping[str, Any]) -> tuple[ServiceWeight, ...]:
    if spec.get("backends"):
        weights = tuple(
            ServiceWeight(entry["service"], float(entry["weight"])) for entry in spec["backends"]
        )
        if sum(service.weight for service in weights) > 0:
            return weights
    return (ServiceWeight(spec["service"], 1.0),)


def _decode_route_kind(spec: Mapping[str, Any]) -> RouteKind:
    match spec.get("kind"):
        case "safe":
            return IdempotentRoute()
        case "streaming":
            return StreamRoute(bool(spec.get("resumable")), int(spec.get("gap_aim_ms") or 0))
        case "batch":
            retention_s = float(spec.get("retention_s") or DEFAULT_RETENTION_S)
            target_ms = int(spec.get("completion_target_ms") or DEFAULT_COMPLETION_TARGET_MS)
            # On a batch route, `max_count` counts the tokens that may wait.
            max_waiting_tokens = int(spec.get("max_count") or 0)
            return BatchRoute(target_ms, round(retention_s * 1_000), max_waiting_tokens)
        case _:
            return NonIdempotentRoute()


def _decode_limits(spec: Mapping[str, Any]) -> IngressLimits:
    defaults = IngressLimits()
    return IngressLimits(
        max_header_bytes=int(spec.get("max_header_bytes") or defaults.max_header_bytes),
        max_body_bytes=int(spec.get("max_body_bytes") or defaults.max_body_bytes),
        header_timeout_ms=int(spec.get("header_timeout_ms") or defaults.header_timeout_ms),
        idle_timeout_ms=int(spec.get("idle_timeout_ms") or defaults.idle_timeout_ms),
    )
