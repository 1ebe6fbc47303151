"""Parses non-negative integers in decimal digits, as other programs send them."""

# Enough for any 64-bit number; int() raises an error for some thousand digits.
MAX_DIGITS = 20

__all__ = ["whole_number"]


def whole_number(text: str) -> int | None:
    """Returns the number written in ASCII digits; `None` for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
