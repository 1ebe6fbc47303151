"""Hashes of what a request holds, by which nodes recognize content that crashes servers."""

import xxhash

from .forward_request import ForwardRequest

__all__ = ["body_key", "content_keys", "part_key"]


def content_keys(request: ForwardRequest) -> tuple[int, ...]:
    """Returns the keys of a request: of its body, and of the prompt parts that others may share.

    The last part of a prompt belongs to the request alone, as its body does. A request without a
    fingerprint has no key of its body.
    """
    part_keys = tuple(part_key(request.service, part.id) for part in request.prompt_parts[:-1])
    if not request.fingerprint:
        return part_keys
    return body_key(request), *part_keys


def body_key(request: ForwardRequest) -> int:
    """Returns the key of a request's body."""
    return xxhash.xxh3_64_intdigest(request.fingerprint.encode())


def part_key(service: str, part_id: str) -> int:
    """Returns the key of a prompt part at a service."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{part_id}".encode())
