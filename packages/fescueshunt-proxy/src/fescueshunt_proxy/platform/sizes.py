"""Sizes of lines: which statements fit into a line to an upstream.

A statement is sent to upstreams with another name, or with a minimum position
in front of it, and may become longer than the client's own line.
"""

from __future__ import annotations

from fescueshunt.core import digits, sessions

# The longest line, with its line end.
MAX_LINE_BYTES = 1 << 20
LINE_END = b"\r\n"
# `SINCE`, a term, a dot and an index, with the spaces between and behind them.
MIN_POSITION_BYTES = len("SINCE . ") + 2 * digits.MAX_DIGITS
# The size of a shorter line needs no check: a character has up to four bytes,
# and far less than a half of the largest line is added.
MIN_CHECKED_CHARS = MAX_LINE_BYTES // 8
# The longest name, id or key of a client.
MAX_WORD_CHARS = 1000


def upstream_size(statement: sessions.Statement, line: str) -> int:
    """Returns the size of the line that sends a statement to an upstream.

    Args:
      statement: the statement.
      line: the client's line that contains it, without the line end.

    Returns:
      The size in bytes, without a minimum position. It is the size of the line
      that prepares the statement if the client prepares one.
    """
    size = byte_size(line) + len(LINE_END)
    match statement.verb:
        case sessions.Verb.PREPARE:
            size -= byte_size(statement.statement_id) - len("-")
        case sessions.Verb.EXECUTE:
            pass
        case _:
            return size
    return size - byte_size(statement.name) + sessions.PREPARED_NAME_CHARS


def is_too_long(word: str) -> bool:
    """Returns whether a name, id or key is longer than what is kept."""
    return len(word) > MAX_WORD_CHARS


def byte_size(text: str) -> int:
    """Returns the number of bytes of `text` on the wire."""
    if text.isascii():
        return len(text)
    return len(text.encode(errors="surrogateescape"))
