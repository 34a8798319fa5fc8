"""Limits on what callers may send and get."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.request import ledger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fescueshunt.core import request

MAX_RESULT_BYTES = 1 << 19
NUMBER_BYTES = 9
TEXT_HEADER_BYTES = 5
MAX_CHAR_BYTES = 4

COMMENT = re.compile(r"--[^\n]*(\n|$)|/\*.*?(\*/|$)", re.DOTALL)
FIRST_WORD = re.compile(r"[\s;(]*([A-Za-z]+)")
FORBIDDEN_WORDS = frozenset(
    {
        "ATTACH",
        "BEGIN",
        "COMMIT",
        "DETACH",
        "END",
        "PRAGMA",
        "RELEASE",
        "ROLLBACK",
        "SAVEPOINT",
        "START",
        "VACUUM",
    }
)


def check_statements(
    statements: Iterable[request.Statement],
) -> errors.FescueshuntError | None:
    """Returns why a caller may not run `statements`, or None if it may.

    Transactions are ours to begin and end, and so is the ledger.
    """
    for statement in statements:
        if ledger.TABLE in statement.sql.lower():
            return errors.RequestInvalidError("the ledger is not for callers")
        word = _first_word(statement.sql)
        if word in FORBIDDEN_WORDS:
            return errors.RequestInvalidError(f"{word} is not for callers")
    return None


def check_results(
    results: Iterable[request.ResultSet],
) -> errors.FescueshuntError | None:
    """Returns the error of results that no frame may hold, or None."""
    size = sum(_result_bytes(result) for result in results)
    if size <= MAX_RESULT_BYTES:
        return None
    return errors.ResultTooLargeError(f"more than {MAX_RESULT_BYTES} bytes")


def _first_word(sql: str) -> str:
    found = FIRST_WORD.match(COMMENT.sub(" ", sql))
    return found.group(1).upper() if found else ""


def _result_bytes(result: request.ResultSet) -> int:
    """Returns an upper bound on the bytes that a result set takes."""
    size = sum(_value_bytes(name) for name in result.columns)
    for row in result.rows:
        size += NUMBER_BYTES + sum(map(_value_bytes, row))
    return size


def _value_bytes(value: request.Value) -> int:
    match value:
        case str() if value.isascii():
            return TEXT_HEADER_BYTES + len(value)
        case str():
            return TEXT_HEADER_BYTES + MAX_CHAR_BYTES * len(value)
        case bytes():
            return TEXT_HEADER_BYTES + len(value)
        case _:
            return NUMBER_BYTES
