"""Tracing spans; they cost almost nothing until `trace_export` installs exporters."""

from opentelemetry import propagate, trace
from opentelemetry.context import Context

NS_PER_MS = 1_000_000

__all__ = [
    "current_traceparent",
    "extract_context",
    "inject_headers",
    "record_span",
    "tracer",
]

tracer = trace.get_tracer("briarvale")


def extract_context(headers: dict[str, str]) -> Context:
    """Reads the caller's `traceparent`."""
    return propagate.extract(headers)


def inject_headers(headers: dict[str, str]) -> dict[str, str]:
    """Adds the current span's `traceparent` to the headers and returns them."""
    propagate.inject(headers)
    return headers


def current_traceparent() -> str:
    """Returns the current span's `traceparent`; empty if nothing is traced."""
    return inject_headers({}).get("traceparent", "")


def record_span(
    name: str, traceparent: str, start_ms: int, end_ms: int, attributes: dict[str, str]
) -> None:
    """Records a finished span as the child of a span in another process."""
    if not traceparent:
        return
    context = extract_context({"traceparent": traceparent})
    start_ns = start_ms * NS_PER_MS
    span = tracer.start_span(name, context, start_time=start_ns, attributes=attributes)
    span.end(end_ms * NS_PER_MS)
