"""Parses non-negative decimal integers received from other programs."""

# Enough for any 64-bit number; int() raises an error beyond a few thousand digits.
MAX_DIGITS = 20

__all__ = ["parse_unsigned_int"]


def parse_unsigned_int(text: str) -> int | None:
    """Returns the number written in ASCII digits; `None` for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
