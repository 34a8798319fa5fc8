"""Limits on the statements of callers and on the size of results."""

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
FIRST_KEYWORD = re.compile(r"[\s;(]*([A-Za-z]+)")
FORBIDDEN_KEYWORDS = frozenset(
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
    """Returns an error if a caller may not run `statements`, else None.

    Only the proxy itself may begin or end transactions and access the ledger.
    """
    for statement in statements:
        if ledger.TABLE in statement.sql.lower():
            return errors.RequestInvalidError(
                "the ledger table is not accessible to callers"
            )
        keyword = _first_keyword(statement.sql)
        if keyword in FORBIDDEN_KEYWORDS:
            return errors.RequestInvalidError(
                f"{keyword} is not available to callers"
            )
    return None


def check_results(
    results: Iterable[request.ResultSet],
) -> errors.FescueshuntError | None:
    """Returns an error if `results` are too large for one frame, else None."""
    size = sum(_result_bytes(result) for result in results)
    if size <= MAX_RESULT_BYTES:
        return None
    return errors.ResultTooLargeError(
        f"result exceeds {MAX_RESULT_BYTES} bytes"
    )


def _first_keyword(sql: str) -> str:
    match = FIRST_KEYWORD.match(COMMENT.sub(" ", sql))
    return match.group(1).upper() if match else ""


def _result_bytes(result: request.ResultSet) -> int:
    """Returns an upper bound on the encoded size of `result` in bytes."""
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
