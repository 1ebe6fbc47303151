"""Exports spans to a JSON-lines file and over OTLP, as configured in the settings."""

import json
from collections.abc import Sequence
from pathlib import Path

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

from .settings import Settings

__all__ = ["JsonLinesExporter", "configure"]


class JsonLinesExporter(SpanExporter):
    """Appends each span as one JSON line.

    Args:
        path: File to append to; its folder must exist.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes the spans."""
        for span in spans:
            self._file.write(json.dumps(_span_record(span)) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


def configure(settings: Settings, program: str) -> None:
    """Installs the exporters that the settings name."""
    resource = Resource.create({"service.name": program, "briarvale.vm": settings.vm})
    provider = TracerProvider(resource=resource)
    if settings.trace_file:
        exporter = JsonLinesExporter(Path(settings.trace_file))
        provider.add_span_processor(SimpleSpanProcessor(exporter))
    if settings.otlp_url:
        provider.add_span_processor(BatchSpanProcessor(OTLPSpanExporter(settings.otlp_url)))
    trace.set_tracer_provider(provider)


def _span_record(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "program": span.resource.attributes.get("service.name"),
        "vm": span.resource.attributes.get("briarvale.vm"),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "status": span.status.status_code.name,
        "attributes": dict(span.attributes or {}),
    }
