"""A node's routes: services by host and path, and whether a request may run again.

The gateway program has no routes; its `routing.py` chooses a backend server of a service.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from .errors import PromptTooLong
from .workspaces import WorkspaceTable

__all__ = [
    "BatchRoute",
    "IdempotentRoute",
    "IngressLimits",
    "NonIdempotentRoute",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceWeight",
    "StreamRoute",
]


class IdempotentRoute(NamedTuple):
    """Requests that may run more than once."""


class NonIdempotentRoute(NamedTuple):
    """Requests that may run at most once for each attempt of the caller."""


class StreamRoute(NamedTuple):
    """Requests whose answer is a stream of server-sent events.

    Attributes:
        is_resumable: Whether another backend server may continue after the last event.
        gap_target_ms: Target for the longest pause between events.
    """

    is_resumable: bool = False
    gap_target_ms: int = 0


class BatchRoute(NamedTuple):
    """Jobs of many items that run later.

    Attributes:
        completion_target_ms: Time after the submission when all results are due.
        retention_ms: Time after the submission when an unfinished item may be abandoned.
        max_waiting_tokens: Tokens of accepted items that may wait, over all nodes; 0 is no limit.
    """

    completion_target_ms: int
    retention_ms: int
    max_waiting_tokens: int = 0


RouteKind = IdempotentRoute | NonIdempotentRoute | StreamRoute | BatchRoute


class ServiceWeight(NamedTuple):
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """Maps requests for a host and path prefix to services.

    Attributes:
        max_attempts: How many runs at backend servers one attempt of a caller may have.
        timeout_ms: Longest time from receipt to the complete answer.
        target_latency_ms: Latency within which an answer counts as on time.
        priority: Rank of the route; 0 is the highest.
        is_public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceWeight, ...]
    max_attempts: int = 1
    timeout_ms: int = 30_000
    target_latency_ms: int = 1_000
    priority: int = 0
    is_public: bool = False

    @property
    def key(self) -> str:
        """Host and path prefix, by which requests match the route."""
        return f"{self.host}{self.path_prefix}"

    def service_for(self, request_id: str) -> str:
        """Chooses a service by weight; a request id always gets the same service."""
        total_weight = sum(weighted.weight for weighted in self.services)
        remaining_weight = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total_weight
        for weighted in self.services:
            remaining_weight -= weighted.weight
            if remaining_weight < 0:
                return weighted.service
        return self.services[-1].service


class IngressLimits(NamedTuple):
    """Size limits and timeouts of callers' connections and requests."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class RouteTable:
    """One version of the routes; immutable.

    Args:
        version: Version of the configuration.
        routes: All routes.
        limits: Size limits and timeouts for callers.
        capacity_tokens: For each service whose servers state it, how many tokens one server holds.
        workspaces: The workspaces whose keys requests must have; none if no keys are needed.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        limits: IngressLimits = IngressLimits(),
        capacity_tokens: Mapping[str, int] = MappingProxyType({}),
        workspaces: WorkspaceTable | None = None,
    ) -> None:
        self.version = version
        self.limits = limits
        self.workspaces = workspaces
        self._capacity_tokens = capacity_tokens
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def __len__(self) -> int:
        return sum(len(host_routes) for host_routes in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path; none if no prefix fits."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def capacity_tokens(self, service: str) -> int:
        """Returns how many tokens one server of the service holds; 0 if it isn't stated."""
        return self._capacity_tokens.get(service, 0)

    def check_fits(self, service: str, prompt_tokens: int) -> None:
        """Raises `PromptTooLong` for a prompt that no server of the service can hold."""
        capacity = self._capacity_tokens.get(service)
        if capacity is not None and prompt_tokens > capacity:
            raise PromptTooLong(f"{prompt_tokens} tokens; servers of {service} hold {capacity}")

    def has_batch(self, host: str) -> bool:
        """Whether the host has a route for batch jobs."""
        return any(isinstance(r.kind, BatchRoute) for r in self._by_host.get(host.lower(), ()))

    def has_public_batch(self, host: str) -> bool:
        """Whether the host has a route on which batch jobs need no API key."""
        routes = self._by_host.get(host.lower(), ())
        return any(isinstance(r.kind, BatchRoute) and r.is_public for r in routes)
