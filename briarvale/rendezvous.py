"""Rendezvous hashing: every process computes the same ranking of names for a key."""

import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["first_by_rendezvous", "rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Ranks names for a key, best first; adding or removing a name doesn't reorder the others."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


def first_by_rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the first `count` names of `rank_by_rendezvous`, without sorting all of them."""
    prefix = f"{key}\0"
    digest = xxhash.xxh3_64_intdigest
    return heapq.nlargest(count, names, key=lambda name: digest((prefix + name).encode()))
