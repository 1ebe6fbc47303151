"""Encodes and decodes the platform's HTTP headers, of callers and of backend servers."""

from .._digits import parse_unsigned_int
from ..clock import MAX_WAIT_MS
from ..forward_request import AnswerMetadata, ForwardRequest, PromptPart
from ..http_wire import AnswerHead, Headers, end_to_end_headers, find_header
from ..routes import Route
from ..suspects import fingerprint_of

REQUEST_ID = b"briarvale-request-attempt-id"
DEADLINE_MS = b"briarvale-deadline-ms"
PROMPT_PARTS = b"briarvale-prompt-prefix"
TOKEN_USAGE = b"briarvale-token-usage"
MODEL = b"briarvale-model"
EXPECTED_SERVER = b"briarvale-expect-instance"
NOT_RUN = b"briarvale-not-executed"
SIGNATURE = b"briarvale-server-signature"
# "1" if the server is draining.
DRAINING = b"server-leaving"
LAST_EVENT_ID = b"last-event-id"
WAIT_MS = b"briarvale-wait-ms"
# Greater numbers are taken for these, as none makes a difference. Peer messages hold the sum of two
# numbers of tokens in 32 bits.
MAX_TOKENS = 2**31 - 1
# Headers that a node sets itself; the caller's values of these are not forwarded.
REPLACED_HEADERS = frozenset((DEADLINE_MS, EXPECTED_SERVER, LAST_EVENT_ID))

__all__ = ["LAST_EVENT_ID", "PlatformHeaderCodec", "REQUEST_ID", "WAIT_MS", "decode_request"]


class PlatformHeaderCodec:
    """Encodes and decodes the platform's headers between a node and backend servers."""

    def backend_headers(
        self, request: ForwardRequest, server_id: str, remaining_ms: int, resume_after: int | None
    ) -> Headers:
        """Returns the headers to send: the request's, with those that a node sets itself."""
        added = [(EXPECTED_SERVER, server_id.encode()), (DEADLINE_MS, str(remaining_ms).encode())]
        if resume_after is not None:
            added.append((LAST_EVENT_ID, str(resume_after).encode()))
        return tuple(pair for pair in request.headers if pair[0] not in REPLACED_HEADERS) + tuple(
            added
        )

    def answer_metadata(self, head: AnswerHead) -> AnswerMetadata:
        """Reads the metadata from the head of an answer."""
        connection = (find_header(head.headers, b"connection") or b"").lower()
        return AnswerMetadata(
            request_id=(find_header(head.headers, REQUEST_ID) or b"").decode("latin-1"),
            was_not_run=find_header(head.headers, NOT_RUN) is not None or head.status == 421,
            signature=_header_text(head.headers, SIGNATURE),
            is_closing=b"close" in connection,
            is_draining=(find_header(head.headers, DRAINING) or b"").strip() == b"1",
            keep_alive_s=_keep_alive_s(find_header(head.headers, b"keep-alive")),
        )


def decode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, route: Route, now_ms: int
) -> ForwardRequest:
    """Decodes a caller's request; a malformed platform header is treated as absent."""
    request_id = _header_text(headers, REQUEST_ID)
    deadline_ms = _header_int(headers, DEADLINE_MS, MAX_WAIT_MS)
    usage = [_token_count(count) for count in _header_text(headers, TOKEN_USAGE).split(",")]
    resume_after = parse_unsigned_int(_header_text(headers, LAST_EVENT_ID))
    path = target.partition(b"?")[0]
    content = b"\0".join((find_header(headers, b"host") or b"", path, body)).decode("latin-1")
    service = route.service_for(request_id)
    return ForwardRequest(
        request_id=request_id,
        method=method,
        target=target,
        headers=end_to_end_headers(headers),
        body=body,
        route=route,
        service=service,
        deadline_at_ms=now_ms + (route.timeout_ms if deadline_ms is None else deadline_ms),
        received_at_ms=now_ms,
        fingerprint=fingerprint_of(service, content),
        prompt_parts=_prompt_parts(_header_text(headers, PROMPT_PARTS)),
        prompt_tokens=usage[0],
        output_tokens=usage[1] if len(usage) > 1 else 0,
        resume_after=resume_after,
    )


def _header_text(headers: Headers, name: bytes) -> str:
    return (find_header(headers, name) or b"").decode("latin-1").strip()


def _header_int(headers: Headers, name: bytes, at_most: int) -> int | None:
    """Returns a header's number, or `at_most` for a greater one; none if it holds no number."""
    value = parse_unsigned_int(_header_text(headers, name))
    return None if value is None else min(value, at_most)


def _token_count(text: str) -> int:
    """Returns a number of tokens; 0 if the text holds none."""
    return min(parse_unsigned_int(text.strip()) or 0, MAX_TOKENS)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(","):
        part_id, _, tokens = part.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, _token_count(tokens)))
    return tuple(parts)


def _keep_alive_s(value: bytes | None) -> float | None:
    for field in (value or b"").decode("latin-1").split(","):
        name, _, number = field.strip().partition("=")
        if name.lower() == "timeout":
            return parse_unsigned_int(number)
    return None
