"""Reads the spans of one request from JSON-lines trace files and explains them in text."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from .errors import NotFound

NS_PER_MS = 1_000_000
REQUEST_ID = "briarvale.request_id"

__all__ = ["Span", "explain", "read_request_spans"]


class Span(NamedTuple):
    """One recorded span of a request's trace."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    program: str
    vm: str
    start_ns: int
    end_ns: int
    attributes: dict[str, Any]

    @property
    def duration_ms(self) -> float:
        """Time from the start of the span to its end."""
        return (self.end_ns - self.start_ns) / NS_PER_MS

    def attribute(self, name: str, default: Any = "") -> Any:
        """Returns one of Briarvale's own attributes."""
        return self.attributes.get(f"briarvale.{name}", default)


def read_request_spans(paths: Iterable[Path], request_id: str) -> list[Span]:
    """Returns all spans of the trace that a request belongs to, ordered by start.

    Raises:
        NotFound: If no file has a span of this request.
    """
    paths = tuple(paths)
    trace_ids = {
        span.trace_id for span in _read(paths) if span.attributes.get(REQUEST_ID) == request_id
    }
    if not trace_ids:
        raise NotFound(f"no span of request {request_id} in {len(paths)} trace files")
    spans = [span for span in _read(paths) if span.trace_id in trace_ids]
    # A caller may send several requests in one trace; spans without an id belong to all of them.
    request_spans = [s for s in spans if s.attributes.get(REQUEST_ID, request_id) == request_id]
    return sorted(request_spans, key=lambda span: span.start_ns)


def explain(spans: list[Span]) -> list[str]:
    """Describes what happened to a request, one line for each step."""
    lines = []
    for span in spans:
        match span.name:
            case "gateway":
                lines.append(f"Arrived at the gateway of {span.vm} for {span.attribute('member')}.")
            case "online request":
                lines.append(_explain_outcome(span))
            case "probation wait":
                lines.append(f"Waited {span.duration_ms:.0f} ms as a suspect of a crash.")
            case "attempt":
                lines += _explain_attempt(span, [s for s in spans if s.parent_id == span.span_id])
    return lines


def _explain_outcome(span: Span) -> str:
    code = span.attribute("code", "ok")
    tokens, attempts = span.attribute("tokens", 0), span.attribute("attempts", 0)
    took = f"{tokens} tokens in {span.duration_ms:.0f} ms; attempts: {attempts}"
    return f"Service {span.attribute('service')}: {code}, {took}."


def _explain_attempt(span: Span, children: list[Span]) -> list[str]:
    server = span.attribute("backend_server")
    candidates = ", ".join(span.attribute("candidates", []))
    lines = [
        f"Attempt {span.attribute('attempt')} on {server}: {span.attribute('code')}.",
        f"  Why {server}: {span.attribute('reason')}; of {candidates}.",
    ]
    for child in children:
        match child.name:
            case "slot wait":
                lines.append(f"  Waited {child.duration_ms:.0f} ms for a slot{_load_text(child)}.")
            case "stream":
                first_ms = child.attribute("first_token_ms", None)
                first = "no token" if first_ms is None else f"first token after {first_ms} ms"
                tokens = child.attribute("tokens", 0)
                took = f"{tokens} tokens in {child.duration_ms:.0f} ms"
                lines.append(f"  Streamed {took}, {first}.")
    return lines


def _load_text(span: Span) -> str:
    """Returns the server's load at the end of a slot wait; empty if it was not recorded."""
    held, limit = span.attribute("slots_held", None), span.attribute("slot_limit", None)
    if held is None:
        return ""
    return f" ({held} of {limit} held, {span.attribute('slots_queued')} queued)"


def _read(paths: Iterable[Path]) -> Iterator[Span]:
    """Yields all spans of the trace files; skips lines that are not complete spans."""
    for path in paths:
        with path.open(encoding="utf-8") as lines:
            for line in lines:
                try:
                    record = json.loads(line)
                    yield Span(**{name: record[name] for name in Span._fields})
                except (ValueError, KeyError):
                    # The last line of a file that is being written may be incomplete.
                    continue
