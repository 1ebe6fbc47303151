"""Counters, gauges and histograms, rendered for Prometheus."""

from collections.abc import Sequence

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.068, 0.1, 0.25, 0.5, 0.91, 2.5, 5.0, 10.0)

REQUESTS = Counter("briarvale_requests_total", "Requests by member, service and code.")
REFUSALS = Counter("briarvale_refusals_total", "Refusals by code.")
INGRESS_EVICTIONS = Counter(
    "briarvale_ingress_evictions_total", "Callers' connections closed to make room, by reason."
)
FIRST_TOKEN_S = Histogram(
    "briarvale_first_token_seconds", "Time to the first token.", buckets=LATENCY_BUCKETS_S
)
SLOT_WAIT_S = Histogram(
    "briarvale_slot_wait_seconds", "Wait for a slot by class.", buckets=LATENCY_BUCKETS_S
)
ATTEMPTS = Counter("briarvale_attempts_total", "Attempts at backend servers by service and code.")
STRAY_ANSWERS = Counter(
    "briarvale_stray_answers_total", "Answers to other requests that were skipped, by service."
)
RETRIES = Counter("briarvale_retries_total", "Retries allowed and refused by member's budget.")
STREAMS_PAUSED = Counter("briarvale_streams_paused_total", "Slots given up for a slow caller.")
SLOTS_HELD = Gauge("briarvale_slots_held", "Slots granted by backend server and class.")
SLOTS_REVOKED = Counter("briarvale_slots_revoked_total", "Batch slots taken back.")
SLOTS_BORROWED = Gauge("briarvale_slots_borrowed", "Slots a member holds above its share.")
SLOTS_QUEUED = Gauge("briarvale_slots_queued", "Requests that wait for a slot by class.")
SLOT_LIMIT = Gauge("briarvale_slot_limit", "Slots that may be granted by backend server.")
SLOT_REFUSALS = Counter("briarvale_slot_refusals_total", "Refused slot requests by code.")
LEASES_EXPIRED = Counter("briarvale_slot_leases_expired_total", "Slots freed by expiry.")
OWNER_LINKS_LOST = Counter("briarvale_owner_links_lost_total", "Connections to owners that broke.")
EJECTIONS = Counter("briarvale_ejections_total", "Ejections by backend server and reason.")
SERVERS = Gauge("briarvale_servers", "Backend servers by health.")
QUARANTINED = Counter("briarvale_quarantined_total", "Requests quarantined here.")
QUARANTINE_REFUSALS = Counter(
    "briarvale_quarantine_refusals_total", "Refusals of quarantined requests."
)
CACHE_EVENT_GAPS = Counter(
    "briarvale_cache_event_gaps_total", "Prefix indexes dropped for a gap in cache events."
)
PROMPT_TOKENS = Counter(
    "briarvale_prompt_tokens_total",
    "Prompt tokens of granted runs by whether their server had probably cached them.",
)
PEER_BAD_FRAMES = Counter("briarvale_peer_bad_frames_total", "Connections closed for a bad frame.")
BAD_DATAGRAMS = Counter(
    "briarvale_bad_datagrams_total", "Datagrams dropped for a bad seal or form."
)
VMS = Gauge("briarvale_vms", "VMs of the VM list by health.")
STORE_CALLS = Counter("briarvale_store_calls_total", "Object API calls by verb and result.")
PART_FAILURES = Counter(
    "briarvale_part_failures_total", "Unexpected errors that ended a part's work, by part."
)
STORE_OBJECTS_IGNORED = Counter(
    "briarvale_store_objects_ignored_total", "Objects of the store that can't be decoded."
)
ITEMS = Counter("briarvale_items_total", "Batch items committed by result.")
CLAIMS = Counter("briarvale_claims_total", "Claims of idempotency keys by result.")
LEASES_HELD = Gauge("briarvale_leases_held", "1 where this controller holds a service's lease.")
ORDERS = Counter("briarvale_orders_total", "Orders to engines by service and result.")
BATCH_BUFFER_BYTES = Gauge(
    "briarvale_batch_buffer_bytes", "Batch results that wait for the Object API."
)
WAITING_TOKENS = Gauge(
    "briarvale_waiting_tokens", "Tokens of accepted items without a result, by limited route."
)
WAITING_TOKENS_LIMIT = Gauge("briarvale_waiting_tokens_limit", "Limit on them, by route.")
JOBS_LATE = Gauge("briarvale_jobs_late", "Jobs that are predicted to miss their due date.")
RATE_CHARGES = Counter(
    "briarvale_rate_charges_total", "Requests counted towards rate limits, by source of the token."
)
RATE_REFUSALS = Counter("briarvale_rate_refusals_total", "Requests over a rate limit, by reason.")
CONFIG_REVISION = Gauge("briarvale_config_revision", "Configuration revision in force.")
CONFIG_REFUSED = Counter("briarvale_config_refused_total", "Revisions that this VM can't use.")

__all__ = [
    "ATTEMPTS",
    "BAD_DATAGRAMS",
    "CLAIMS",
    "CACHE_EVENT_GAPS",
    "BATCH_BUFFER_BYTES",
    "CONFIG_REFUSED",
    "CONFIG_REVISION",
    "EJECTIONS",
    "FIRST_TOKEN_S",
    "INGRESS_EVICTIONS",
    "ITEMS",
    "JOBS_LATE",
    "LEASES_EXPIRED",
    "LEASES_HELD",
    "ORDERS",
    "OWNER_LINKS_LOST",
    "PART_FAILURES",
    "PEER_BAD_FRAMES",
    "QUARANTINED",
    "QUARANTINE_REFUSALS",
    "RATE_CHARGES",
    "RATE_REFUSALS",
    "REFUSALS",
    "REQUESTS",
    "RETRIES",
    "SERVERS",
    "SLOTS_BORROWED",
    "SLOTS_HELD",
    "SLOTS_QUEUED",
    "SLOTS_REVOKED",
    "SLOT_LIMIT",
    "SLOT_REFUSALS",
    "SLOT_WAIT_S",
    "STORE_CALLS",
    "STORE_OBJECTS_IGNORED",
    "STREAMS_PAUSED",
    "VMS",
    "WAITING_TOKENS",
    "WAITING_TOKENS_LIMIT",
    "render_metrics",
]


def render_metrics(accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
    """Returns all metrics as text, and the HTTP headers with its content type.

    Args:
        accepts: Values of the request's `Accept` header.
    """
    content, headers = render(REGISTRY, accepts)
    return content, dict(headers)
