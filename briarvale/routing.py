"""Chooses the backend server for the next attempt of an online request or a batch item."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from ._generated.messages import ServerHealth
from .config import BackendServer
from .errors import NoServer
from .fleet_view import FleetView
from .prefix_cache import PrefixCache, prefix_blocks
from .rendezvous import first_by_rendezvous
from .server_loads import ServerLoads

HASHED_BLOCKS = 4
# Servers whose relative load exceeds this factor of the mean, plus the slack, are avoided.
LOAD_BOUND_FACTOR = 1.5
LOAD_BOUND_SLACK = 0.1
MAX_RANKED = 16
MAX_LISTED_CANDIDATES = 32
LOAD_SAMPLE_SIZE = 16
# Assumed duration of a stream, and delay of a first token by each stream that runs beside it.
STREAM_DURATION_MS = 2_000
DELAY_PER_STREAM_MS = 0.7
PREFILL_MS_PER_TOKEN = 0.06

__all__ = ["Choice", "RouteRequest", "Router"]


class RouteRequest(NamedTuple):
    """The properties of a request that routing depends on.

    Attributes:
        fingerprint: Hash of the content; determines the server on which a suspect may run.
        blocks: The prompt's `prefix_blocks`; computed from the prompt if empty.
    """

    service: str
    prompt: str = ""
    adapter: str = ""
    fingerprint: str = ""
    blocks: tuple[str, ...] = ()


class Choice(NamedTuple):
    """A chosen backend server, with the candidates and the reason for traces."""

    server: BackendServer
    candidates: tuple[str, ...]
    reason: str


class _Scored(NamedTuple):
    """A candidate server with the predicted cost of a request that is sent to it."""

    server: BackendServer
    wait_ms: float
    prefill_ms: float
    cached_tokens: int

    @property
    def cost_ms(self) -> float:
        """Predicted time to the first token."""
        return self.wait_ms + self.prefill_ms


class Router:
    """Chooses backend servers by predicted wait and by the prefill that the prefix cache saves.

    A prompt's first blocks rank the servers by rendezvous hashing, so equal prefixes go to the same
    few servers without coordination. Of the first two whose load is within the bound, the one of
    lower cost is chosen. For a prompt shorter than one block the ranking is random.

    Args:
        view: The latest view of the fleet.
        seed: Seed of the random choices; `None` for a random one.
        prefix_cache: Index of cached prefixes; `None` if prompts share no prefixes.
        region: Servers of this region are preferred until they are full; empty for no preference.
    """

    def __init__(
        self,
        view: FleetView,
        seed: int | None = None,
        prefix_cache: PrefixCache | None = None,
        region: str = "",
    ) -> None:
        self._view = view
        self._region = region
        self._random = random.Random(random.random() if seed is None else seed)
        self._prefix_cache = prefix_cache
        self.loads = ServerLoads()

    def choose(self, request: RouteRequest, excluded: Collection[str] = ()) -> BackendServer:
        """Returns the backend server to use; raises `NoServer` if none accepts work."""
        return self.choose_with_reason(request, excluded).server

    def choose_with_reason(self, request: RouteRequest, excluded: Collection[str] = ()) -> Choice:
        """Like `choose`, but also returns the candidates and the reason."""
        candidates = self._candidates(request, excluded)
        if not candidates:
            raise NoServer(f"no backend server of {request.service} is ready")
        healthy = [server for server in candidates if not self.loads.has_failed_recently(server.id)]
        blocks = request.blocks or prefix_blocks(request.prompt)
        pair = self._first_two_within_bound(self._prefer_region(healthy or candidates), blocks)
        if all(self._relative_load(server) >= 1 for server in pair):
            pair = self._first_two_within_bound(healthy or candidates, blocks)
        scored = [self._score(server, request, blocks) for server in pair]
        best = min(scored, key=lambda candidate: candidate.cost_ms)
        names = tuple(server.id for server in candidates[:MAX_LISTED_CANDIDATES])
        return Choice(best.server, names, _reason(best, scored, has_prefix=bool(blocks)))

    def choose_for_probation(self, request: RouteRequest, crashed: Collection[str]) -> Choice:
        """Returns the only backend server on which a suspect may run; all gateways choose the same.

        Args:
            request: The suspect.
            crashed: Backend servers that crashed while running it; avoided if there are others.
        """
        candidates = self._candidates(request, crashed) or self._candidates(request, ())
        if not candidates:
            raise NoServer(f"no backend server of {request.service} is ready")
        servers_by_id = {server.id: server for server in candidates}
        first = first_by_rendezvous(request.fingerprint, servers_by_id, 1)[0]
        return Choice(servers_by_id[first], tuple(servers_by_id), "probation of a suspect")

    def accepts_work(self, backend_server: str) -> bool:
        """Whether a backend server is in the inventory and ready or ejected in the latest view."""
        state = self._view.server_state(backend_server)
        health = state.health if state else ServerHealth.DOWN
        is_declared = backend_server in self._view.config.servers
        return is_declared and health in (ServerHealth.READY, ServerHealth.EJECTED)

    def _candidates(self, request: RouteRequest, excluded: Collection[str]) -> list[BackendServer]:
        """Returns ready servers; if there are none, ejected ones, since they may still answer."""
        servers = [s for s in self._view.config.servers_of(request.service) if s.id not in excluded]
        servers = [s for s in servers if self._has_adapter(s, request.adapter)]
        for health in (ServerHealth.READY, ServerHealth.EJECTED):
            candidates = [s for s in servers if self._health(s) is health]
            if candidates:
                return candidates
        return []

    def _health(self, server: BackendServer) -> ServerHealth:
        state = self._view.server_state(server.id)
        return state.health if state else ServerHealth.DOWN

    def _has_adapter(self, server: BackendServer, adapter: str) -> bool:
        state = self._view.server_state(server.id)
        return not adapter or (state is not None and adapter in state.adapters)

    def _first_two_within_bound(
        self, candidates: Sequence[BackendServer], blocks: Sequence[str]
    ) -> list[BackendServer]:
        """Returns the first two within the load bound, ranked by prefix hash or at random."""
        servers_by_id = {server.id: server for server in candidates}
        if blocks:
            key = blocks[min(HASHED_BLOCKS, len(blocks)) - 1]
            ranked = [
                servers_by_id[name] for name in first_by_rendezvous(key, servers_by_id, MAX_RANKED)
            ]
        else:
            ranked = self._random.sample(candidates, min(MAX_RANKED, len(candidates)))
        sample = self._random.sample(candidates, min(LOAD_SAMPLE_SIZE, len(candidates)))
        mean = sum(self._relative_load(server) for server in sample) / len(sample)
        bound = LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK
        within_bound = [server for server in ranked if self._relative_load(server) <= bound]
        return (within_bound or sorted(ranked, key=self._relative_load))[:2]

    def _prefer_region(self, candidates: list[BackendServer]) -> list[BackendServer]:
        return [s for s in candidates if s.region == self._region] or candidates

    def _score(
        self, server: BackendServer, request: RouteRequest, blocks: Sequence[str]
    ) -> _Scored:
        streams, limit = self._streams(server), self.loads.limit(server.id, server.slots)
        queued = max(0.0, streams + 1 - limit)
        wait_ms = queued * STREAM_DURATION_MS / max(1, limit) + streams * DELAY_PER_STREAM_MS
        cached = self._prefix_cache.cached_tokens(server.id, blocks) if self._prefix_cache else 0
        prefill_ms = (len(request.prompt.split()) - cached) * PREFILL_MS_PER_TOKEN
        return _Scored(server, wait_ms, prefill_ms, cached)

    def _relative_load(self, server: BackendServer) -> float:
        return self._streams(server) / max(1, self.loads.limit(server.id, server.slots))

    def _streams(self, server: BackendServer) -> float:
        return self.loads.streams(server.id, server.slots, max(1, len(self._view.vms)))


def _reason(best: _Scored, scored: Sequence[_Scored], *, has_prefix: bool) -> str:
    """Returns the reason of a choice in words, for traces."""
    ranking = "by prefix" if has_prefix else "at random"
    costs = ", ".join(f"{each.server.id} {each.cost_ms:.0f} ms" for each in scored)
    return f"least cost of two {ranking} ({costs}); {best.cached_tokens} tokens cached"
