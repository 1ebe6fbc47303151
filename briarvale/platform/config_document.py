"""Decodes the operators' configuration; a version that makes no sense is rejected as a whole."""

from typing import Annotated, Any

import msgspec

from .. import logs
from ..clock import MAX_WAIT_MS, MS_PER_S
from ..errors import DocumentInvalid, SettingsInvalid
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
from ..strict_json import Label, NonEmptyLabel, convert_value
from ..workspaces import WorkspaceTable
from .workspace_entries import decode_workspaces

DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_TARGET_LATENCY_MS = 1_000
DEFAULT_RETENTION_S = 60.0
DEFAULT_COMPLETION_TARGET_MS = 60_000
MAX_VERSION = 2**63 - 1
MAX_WAIT_S = MAX_WAIT_MS / MS_PER_S
# Fields of peer messages with 16 bits.
MAX_SMALL_INT = 65_535
MAX_TOKENS = 2**53
MAX_WEIGHT = 1e9
# No request fits into less, and no caller sends it in less time.
LOWEST_LIMITS = IngressLimits(
    max_header_bytes=1_024, max_body_bytes=1_024, header_timeout_ms=100, idle_timeout_ms=100
)
# A run takes longer.
MIN_ROUTE_TIMEOUT_MS = 10
MAX_BYTES = 2**30

log = logs.component_logger("config")

__all__ = ["route_table_from"]

# Operators may write whole times as decimal numbers.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]
ByteCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
SmallInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_SMALL_INT)]


class _ServiceShare(msgspec.Struct):
    service: NonEmptyLabel
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


class _RouteSpec(msgspec.Struct):
    """A route; a number that is absent or 0 takes its default."""

    host: NonEmptyLabel
    path_prefix: Annotated[str, msgspec.Meta(max_length=8_192, pattern=r"^/([!-~]*/)?\Z")]
    name: Label = ""
    kind: Label = ""
    service: Label = ""
    backends: list[_ServiceShare] | None = None
    max_attempts: SmallInt | None = None
    timeout_ms: Milliseconds | None = None
    target_latency_ms: Milliseconds | None = None
    priority: SmallInt | None = None
    public: bool | None = None
    resumable: bool | None = None
    gap_aim_ms: Milliseconds | None = None
    retention_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)] | None = None
    completion_target_ms: Milliseconds | None = None
    # On a batch route: the tokens that may wait.
    max_count: Annotated[float, msgspec.Meta(ge=0, le=MAX_TOKENS)] | None = None


class _LimitsSpec(msgspec.Struct):
    """Limits for callers; one that is absent or 0 takes its default."""

    max_header_bytes: ByteCount | None = None
    max_body_bytes: ByteCount | None = None
    header_timeout_ms: Milliseconds | None = None
    idle_timeout_ms: Milliseconds | None = None


class _EngineSpec(msgspec.Struct):
    kv_capacity_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None


class _ServiceSpec(msgspec.Struct):
    name: Label
    engine: _EngineSpec | None = None


class _ConfigSpec(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: list[_RouteSpec]
    # Only the stated capacities are used; a version isn't rejected for the rest.
    services: Any = None
    limits: _LimitsSpec | None = None
    # Decoded entry by entry; a version isn't rejected for an invalid one.
    tenants: Any = None


def route_table_from(spec: object, previous: WorkspaceTable | None = None) -> RouteTable:
    """Decodes the object `config/main`, whose keys are digests already.

    Args:
        spec: The decoded JSON of the object.
        previous: The workspaces in force, which an invalid entry leaves as they were.

    Raises:
        SettingsInvalid: With the field that is wrong.
    """
    try:
        config = convert_value(spec, _ConfigSpec)
    except DocumentInvalid as error:
        raise SettingsInvalid(str(error)) from error
    routes = [_route(route, index) for index, route in enumerate(config.routes)]
    limits = _limits(config.limits or _LimitsSpec())
    workspaces = decode_workspaces(config.tenants, previous)
    capacities = _capacity_tokens(config.services)
    return RouteTable(config.version, routes, limits, capacities, workspaces)


def _capacity_tokens(services: object) -> dict[str, int]:
    """Returns how many tokens a server holds, by service; of malformed services it isn't known."""
    capacities: dict[str, int] = {}
    for service in services if isinstance(services, list) else ():
        try:
            spec = convert_value(service, _ServiceSpec)
        except DocumentInvalid as error:
            log.info("Can't tell the capacity of a service's servers: {}.", error)
            continue
        if spec.engine is not None and spec.engine.kv_capacity_tokens is not None:
            capacities[spec.name] = spec.engine.kv_capacity_tokens
    return capacities


def _route(spec: _RouteSpec, index: int) -> Route:
    timeout_ms = round(spec.timeout_ms or DEFAULT_TIMEOUT_MS)
    if timeout_ms < MIN_ROUTE_TIMEOUT_MS:
        raise SettingsInvalid(f"routes.{index}.timeout_ms: no request can be served in that time")
    return Route(
        name=spec.name,
        host=spec.host,
        path_prefix=spec.path_prefix,
        kind=_route_kind(spec),
        services=_services(spec, index),
        max_attempts=spec.max_attempts or 1,
        timeout_ms=timeout_ms,
        target_latency_ms=round(spec.target_latency_ms or DEFAULT_TARGET_LATENCY_MS),
        priority=spec.priority or 0,
        is_public=bool(spec.public),
    )


def _services(spec: _RouteSpec, index: int) -> tuple[ServiceWeight, ...]:
    weights = tuple(ServiceWeight(share.service, share.weight) for share in spec.backends or ())
    if sum(share.weight for share in weights) > 0:
        return weights
    if not spec.service:
        raise SettingsInvalid(f"routes.{index}: neither a service nor services with a weight")
    return (ServiceWeight(spec.service, 1.0),)


def _route_kind(spec: _RouteSpec) -> RouteKind:
    match spec.kind:
        case "safe":
            return IdempotentRoute()
        case "streaming":
            return StreamRoute(bool(spec.resumable), round(spec.gap_aim_ms or 0))
        case "batch":
            retention_s = spec.retention_s or DEFAULT_RETENTION_S
            target_ms = round(spec.completion_target_ms or DEFAULT_COMPLETION_TARGET_MS)
            return BatchRoute(target_ms, round(retention_s * MS_PER_S), int(spec.max_count or 0))
        case _:
            return NonIdempotentRoute()


def _limits(spec: _LimitsSpec) -> IngressLimits:
    """Returns the limits; raises `SettingsInvalid` for one that no caller could meet."""
    defaults = IngressLimits()
    limits = IngressLimits(
        max_header_bytes=spec.max_header_bytes or defaults.max_header_bytes,
        max_body_bytes=spec.max_body_bytes or defaults.max_body_bytes,
        header_timeout_ms=round(spec.header_timeout_ms or defaults.header_timeout_ms),
        idle_timeout_ms=round(spec.idle_timeout_ms or defaults.idle_timeout_ms),
    )
    for name, value, lowest in zip(limits._fields, limits, LOWEST_LIMITS, strict=True):
        if value < lowest:
            raise SettingsInvalid(f"limits.{name}: {value} is below {lowest}")
    return limits
