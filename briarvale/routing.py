"""Which backend server an online request or a batch item should try next."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from ._generated.messages import ServerHealth
from .config import BackendServer
from .errors import NoServer
from .fleet_view import FleetView
from .ownership import rank_by_rendezvous

RETRY_DELAY_MS = 1_000

__all__ = ["Choice", "RouteRequest", "Router"]


class RouteRequest(NamedTuple):
    """What a router needs to know of a request."""

    service: str
    prompt: str = ""
    adapter: str = ""
    fingerprint: str = ""


class Choice(NamedTuple):
    """A chosen backend server, the candidates, and the reason in words."""

    server: BackendServer
    candidates: tuple[str, ...]
    reason: str


class Router:
    """Chooses backend servers: the better of two random ones, by streams as last told.

    Args:
        view: The fleet as last told.
        seed: Seed of the random choices; none for a fresh one.
    """

    def __init__(self, view: FleetView, seed: int | None = None) -> None:
        self._view = view
        self._random = random.Random(seed)

    def choose(self, request: RouteRequest, excluded: Collection[str] = ()) -> BackendServer:
        """Returns a backend server that is ready; raises `NoServer`."""
        return self.pick(request, excluded).server

    def pick(self, request: RouteRequest, excluded: Collection[str] = ()) -> Choice:
        """Returns a backend server that is ready, and why; raises `NoServer`."""
        candidates = self._candidates(request, excluded)
        if not candidates:
            raise NoServer(f"no backend server of {request.service} is ready")
        server = min(self._sample(candidates), key=self._load)
        names = tuple(candidate.id for candidate in candidates)
        return Choice(server, names, "least load of two")

    def pick_probation(self, request: RouteRequest, crashed: Collection[str]) -> Choice:
        """Returns the one backend server on which a suspect may run, the same for all gateways.

        Args:
            request: The suspect.
            crashed: Backend servers that crashed with it; others come first.
        """
        candidates = self._candidates(request, crashed) or self._candidates(request, ())
        if not candidates:
            raise NoServer(f"no backend server of {request.service} is ready")
        names = {server.id: server for server in candidates}
        first = rank_by_rendezvous(request.fingerprint, names)[0]
        return Choice(names[first], tuple(names), "probation of a suspect")

    def takes_work(self, backend_server: str) -> bool:
        """Whether a backend server of the inventory may get new work, as last told."""
        state = self._view.server_state(backend_server)
        health = state.health if state else ServerHealth.DOWN
        is_declared = backend_server in self._view.config.servers
        return is_declared and health in (ServerHealth.READY, ServerHealth.EJECTED)

    def _candidates(self, request: RouteRequest, excluded: Collection[str]) -> list[BackendServer]:
        """Ready servers; if there is none, ejected ones, since they may still answer."""
        servers = [s for s in self._view.config.servers_of(request.service) if s.id not in excluded]
        servers = [s for s in servers if self._has_adapter(s, request.adapter)]
        for health in (ServerHealth.READY, ServerHealth.EJECTED):
            found = [s for s in servers if self._health(s) is health]
            if found:
                return found
        return []

    def _health(self, server: BackendServer) -> ServerHealth:
        state = self._view.server_state(server.id)
        return state.health if state else ServerHealth.DOWN

    def _has_adapter(self, server: BackendServer, adapter: str) -> bool:
        state = self._view.server_state(server.id)
        return not adapter or (state is not None and adapter in state.adapters)

    def _sample(self, candidates: Sequence[BackendServer]) -> list[BackendServer]:
        return self._random.sample(candidates, min(2, len(candidates)))

    def _load(self, server: BackendServer) -> float:
        state = self._view.server_state(server.id)
        return (state.streams + state.queued) / server.slots if state else 0.0
