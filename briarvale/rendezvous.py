"""Rendezvous hashing: the same key gets the same names, whoever works it out."""

import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["first_by_rendezvous", "rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Orders names for a key, best first; the order moves little when names come and go."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), reverse=True
    )


def first_by_rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the first names of the order of `rank_by_rendezvous`, at less cost for many names."""
    prefix = f"{key}\0"
    digest = xxhash.xxh3_64_intdigest
    return heapq.nlargest(count, names, key=lambda name: digest((prefix + name).encode()))
