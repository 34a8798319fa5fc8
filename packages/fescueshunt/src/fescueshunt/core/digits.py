"""Reads numbers from text that another program may have written."""

from __future__ import annotations

# Every number of up to this many digits fits into 63 bits. Python itself raises
# an error for a text of some thousand digits.
MAX_DIGITS = 18


def parse_number(text: str) -> int | None:
    """Returns the number that `text` writes in ASCII digits.

    Returns None if it has other characters, or more than `MAX_DIGITS` digits.
    """
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None
