"""The ledger: request ids and recorded answers, kept in each database.

A write inserts its id in its own transaction, so that a repeat on any proxy
fails on the id and finds the recorded answer instead of running again. A
tombstone is a row that says that an id never ran; it keeps a late run out.
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
    """What a row of the ledger says of its id."""

    RUN = "run"
    TOMBSTONE = "tombstone"


class ResultCodec(abc.ABC):
    """Turns result sets into bytes for the ledger and back."""

    @abc.abstractmethod
    def encode(self, results: tuple[request.ResultSet, ...]) -> bytes:
        """Returns `results` as bytes."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> tuple[request.ResultSet, ...]:
        """Returns the result sets that `data` holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the ledger."""

    fingerprint: bytes
    state: RowState
    answer: bytes


def fingerprint(req: request.Request) -> bytes:
    """Returns 16 bytes that tell one request from another."""
    digest = hashlib.blake2b(digest_size=16)
    kind = (req.service, req.database, req.kind.value, req.transaction)
    digest.update(repr(kind).encode())
    for statement in req.statements:
        digest.update(repr((statement.sql, statement.params)).encode())
    return digest.digest()


def insert(
    request_id: bytes, mark: bytes, state: RowState, answer: bytes = b""
) -> request.Statement:
    """Returns the statement that claims `request_id`."""
    return request.Statement(
        INSERT,
        (
            request_id,
            mark,
            state.value,
            answer,
            request.issued_at_s(request_id),
        ),
    )


def record(request_id: bytes, answer: bytes) -> request.Statement:
    """Returns the statement that records the answer of a claimed id."""
    return request.Statement(UPDATE, (answer, request_id))


def look_up(request_id: bytes) -> request.Statement:
    """Returns the statement that reads the row of `request_id`."""
    return request.Statement(SELECT, (request_id,))


def purge(wall_s: float) -> request.Statement:
    """Returns the statement that drops rows no repeat may ask for any more."""
    return request.Statement(DELETE, (wall_s - PURGE_AFTER_S,))


def read_row(results: tuple[request.ResultSet, ...]) -> Row | None:
    """Returns the row that `look_up` found."""
    if not results or not results[0].rows:
        return None
    mark, state, answer = results[0].rows[0]
    return Row(bytes(mark), RowState(state), bytes(answer or b""))
