"""Reads whole numbers that other programs write as decimal digits."""

# Enough for any 64-bit number; int() refuses texts of some thousand digits.
MAX_DIGITS = 20

__all__ = ["whole_number"]


def whole_number(text: str) -> int | None:
    """Returns the number that ASCII digits write; none for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
