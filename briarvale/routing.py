"""Which backend server an online request or a batch item should try next."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from .config import BackendServer
from .errors import NoServer
from .fleet_view import FleetView

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
        ready = self._view.ready_servers(request.service)
        candidates = [server for server in ready if server.id not in excluded]
        if not candidates:
            raise NoServer(f"no backend server of {request.service} is ready")
        server = min(self._sample(candidates), key=self._load)
        names = tuple(candidate.id for candidate in candidates)
        return Choice(server, names, "least load of two")

    def _sample(self, candidates: Sequence[BackendServer]) -> list[BackendServer]:
        return self._random.sample(candidates, min(2, len(candidates)))

    def _load(self, server: BackendServer) -> float:
        state = self._view.server_state(server.id)
        return (state.streams + state.queued) / server.slots if state else 0.0
