"""Counters, gauges and histograms, rendered for Prometheus."""

from collections.abc import Sequence

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.068, 0.1, 0.25, 0.5, 0.91, 2.5, 5.0, 10.0)

REQUESTS = Counter("briarvale_requests_total", "Requests by member, service and code.")
REFUSALS = Counter("briarvale_refusals_total", "Refusals by code.")
FIRST_TOKEN_S = Histogram(
    "briarvale_first_token_seconds", "Time to the first token.", buckets=LATENCY_BUCKETS_S
)
SLOT_WAIT_S = Histogram(
    "briarvale_slot_wait_seconds", "Wait for a slot by class.", buckets=LATENCY_BUCKETS_S
)
SLOTS_HELD = Gauge("briarvale_slots_held", "Slots granted by backend server and class.")
SLOTS_REVOKED = Counter("briarvale_slots_revoked_total", "Batch slots taken back.")
PEER_BAD_FRAMES = Counter("briarvale_peer_bad_frames_total", "Connections closed for a bad frame.")
STORE_CALLS = Counter("briarvale_store_calls_total", "Object API calls by verb and result.")
ITEMS = Counter("briarvale_items_total", "Batch items committed by result.")
CLAIMS = Counter("briarvale_claims_total", "Claims of idempotency keys by result.")
CONFIG_REVISION = Gauge("briarvale_config_revision", "Configuration revision in force.")

__all__ = [
    "CLAIMS",
    "CONFIG_REVISION",
    "FIRST_TOKEN_S",
    "ITEMS",
    "PEER_BAD_FRAMES",
    "REFUSALS",
    "REQUESTS",
    "SLOTS_HELD",
    "SLOTS_REVOKED",
    "SLOT_WAIT_S",
    "STORE_CALLS",
    "metrics_route",
]


async def _answer_metrics(request: Request) -> Response:
    accepts: Sequence[str] = request.headers.getlist("accept")
    content, headers = render(REGISTRY, accepts)
    return Response(content, headers=headers)


def metrics_route() -> Route:
    """Returns the route that answers `/metrics`."""
    return Route("/metrics", _answer_metrics)
