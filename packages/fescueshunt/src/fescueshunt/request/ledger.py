"""The ledger: a table in each database that makes writes idempotent.

A write inserts its request id into the ledger within its own transaction. A
repeat of the request through any proxy violates the primary key and returns the
recorded answer instead of running again. A tombstone is a row which states that
a request never ran; it makes a delayed attempt fail.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import hashlib

from fescueshunt.core import request

TABLE = "fescueshunt_ledger"
RETENTION_S = 24 * 3600.0
CLOCK_SKEW_S = 60.0
MAX_TIMEOUT_S = 60.0
PURGE_AFTER_S = RETENTION_S + 2 * CLOCK_SKEW_S + MAX_TIMEOUT_S
PURGE_ROWS = 500

SCHEMA = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "id BLOB PRIMARY KEY, fingerprint BLOB NOT NULL, state TEXT NOT NULL, "
    "answer BLOB, issued_s REAL NOT NULL) WITHOUT ROWID"
)

INSERT = (
    f"INSERT INTO {TABLE} (id, fingerprint, state, answer, issued_s) "
    "VALUES (?, ?, ?, ?, ?)"
)
UPDATE = f"UPDATE {TABLE} SET answer = ? WHERE id = ?"
SELECT = f"SELECT fingerprint, state, answer FROM {TABLE} WHERE id = ?"
DELETE = (
    f"DELETE FROM {TABLE} WHERE id IN (SELECT id FROM {TABLE} "
    f"WHERE issued_s < ? LIMIT {PURGE_ROWS})"
)
STATEMENTS = frozenset({SCHEMA, INSERT, UPDATE, SELECT, DELETE})


class RowState(enum.StrEnum):
    """Whether the request of a row ran, or a tombstone prevents it."""

    RUN = "run"
    TOMBSTONE = "tombstone"


class ResultCodec(abc.ABC):
    """Encodes and decodes the result sets that the ledger stores."""

    @abc.abstractmethod
    def encode(self, results: tuple[request.ResultSet, ...]) -> bytes:
        """Returns `results` encoded as bytes."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> tuple[request.ResultSet, ...]:
        """Returns the result sets encoded in `data`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the ledger.

    Attributes:
      fingerprint: the fingerprint of the request; empty in a tombstone.
      state: whether the request ran.
      answer: the encoded result sets of the request.
    """

    fingerprint: bytes
    state: RowState
    answer: bytes


def fingerprint(req: request.Request) -> bytes:
    """Returns a 16-byte hash that identifies the content of `req`.

    It covers the service, database, kind, transaction and statements.
    """
    digest = hashlib.blake2b(digest_size=16)
    header = (req.service, req.database, req.kind.value, req.transaction)
    digest.update(repr(header).encode())
    for statement in req.statements:
        digest.update(repr((statement.sql, statement.params)).encode())
    return digest.digest()


def insert_statement(
    request_id: bytes,
    request_fingerprint: bytes,
    state: RowState,
    answer: bytes = b"",
) -> request.Statement:
    """Returns the statement that inserts a row for `request_id`.

    It violates the primary key if the ledger already has a row for the id.
    """
    return request.Statement(
        INSERT,
        (
            request_id,
            request_fingerprint,
            state.value,
            answer,
            request.issued_at_s(request_id),
        ),
    )


def update_statement(request_id: bytes, answer: bytes) -> request.Statement:
    """Returns the statement that stores the answer in an existing row."""
    return request.Statement(UPDATE, (answer, request_id))


def select_statement(request_id: bytes) -> request.Statement:
    """Returns the statement that reads the row of `request_id`."""
    return request.Statement(SELECT, (request_id,))


def purge_statement(wall_s: float) -> request.Statement:
    """Returns the statement that deletes up to PURGE_ROWS expired rows.

    A row is kept for PURGE_AFTER_S, after which admission refuses any repeat of
    its request.
    """
    return request.Statement(DELETE, (wall_s - PURGE_AFTER_S,))


def parse_row(results: tuple[request.ResultSet, ...]) -> Row | None:
    """Returns the row that `select_statement` selected, or None."""
    if not results or not results[0].rows:
        return None
    request_fingerprint, state, answer = results[0].rows[0]
    return Row(
        bytes(request_fingerprint), RowState(state), bytes(answer or b"")
    )
