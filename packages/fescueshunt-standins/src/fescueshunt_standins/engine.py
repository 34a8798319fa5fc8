"""The upstream stand-in's database: sqlite3 in memory, terms and a log.

Two databases hold the same data. Write transactions run on `_working`, one at
a time; what they commit is run again on `_committed`, which reads see, exactly
as a replica applies a log entry.
"""

from __future__ import annotations

import sqlite3

from fescueshunt.core import position, request, upstream
from fescueshunt.request import ledger
from fescueshunt_wire import replication


class RejectionError(Exception):
    """A call that the engine rejects; nothing of it has an effect."""

    def __init__(
        self, reason: upstream.Reason, detail: str = "", statement: int = -1
    ) -> None:
        super().__init__(reason, detail, statement)
        self.reason = reason
        self.detail = detail
        self.statement = statement


class Engine:
    """One member of a database group, without network or clock.

    Attributes:
      promised: the highest term accepted.
      term: the term that this member serves.
      role: what it does in that term.
      log: the entries; the entry with index i stands at i - 1.
      history: the branches of the log.
    """

    def __init__(self, primary: bool, schema: tuple[str, ...] = ()) -> None:
        self.promised = position.FIRST_TERM
        self.term = position.FIRST_TERM
        self.role = upstream.Role.PRIMARY if primary else upstream.Role.REPLICA
        self.log: list[replication.Entry] = []
        self.history = position.History()
        self._buffer: list[request.Statement] = []
        self._rebuild()
        creation = (ledger.SCHEMA, *schema)
        self._append(
            replication.Entry(
                self.term, tuple(request.Statement(sql) for sql in creation)
            )
        )

    def read(
        self, statements: tuple[request.Statement, ...]
    ) -> tuple[request.ResultSet, ...]:
        """Runs statements on the committed data; they change nothing."""
        self._committed.execute("PRAGMA query_only = ON")
        try:
            return _run(self._committed, statements)
        finally:
            self._committed.execute("PRAGMA query_only = OFF")

    def check_primary(self, term: position.Term) -> None:
        """Raises RejectionError unless this is the primary of `term`."""
        if self.role is not upstream.Role.PRIMARY:
            raise RejectionError(upstream.Reason.NOT_PRIMARY)
        if term != self.term or self.promised != term:
            raise RejectionError(upstream.Reason.WRONG_TERM)

    def begin(self) -> None:
        """Opens the one write transaction."""
        self._working.execute("BEGIN")
        self._buffer = []

    def step(
        self, statements: tuple[request.Statement, ...]
    ) -> tuple[request.ResultSet, ...]:
        """Runs statements in the open transaction."""
        results = _run(self._working, statements)
        self._buffer.extend(statements)
        return results

    def commit(self) -> None:
        """Commits the open transaction and appends it to the log."""
        self._working.execute("COMMIT")
        entry = replication.Entry(self.term, tuple(self._buffer))
        self._buffer = []
        self._log(entry)
        _apply(self._committed, entry)

    def rollback(self) -> None:
        """Rolls the open transaction back."""
        if self._working.in_transaction:
            self._working.execute("ROLLBACK")
        self._buffer = []

    def fence(self, term: position.Term) -> bool:
        """Promises `term` if it is higher than every promise before."""
        if term <= self.promised:
            return False
        self.rollback()
        self.promised = term
        self.role = upstream.Role.FENCED
        return True

    def promote(self, term: position.Term) -> bool:
        """Becomes primary of `term` if that is what was promised."""
        if term != self.promised or self.role is not upstream.Role.FENCED:
            return self.role is upstream.Role.PRIMARY and term == self.term
        self.term = term
        self.role = upstream.Role.PRIMARY
        self._append(replication.Entry(term))
        return True

    def follow(self, term: position.Term) -> bool:
        """Becomes a replica in `term` unless a higher one was promised."""
        if term < self.promised or self._leads(term):
            return False
        self.rollback()
        self.promised = term
        self.term = term
        self.role = upstream.Role.REPLICA
        return True

    def entries_after(
        self, term: position.Term, history: position.History
    ) -> replication.LogRead:
        """Returns what a replica with `history` lacks of this log."""
        if not self._leads(term):
            return replication.LogRead(accepted=False)
        after = self.history.common_end(history)
        entries = tuple(self.log[after : after + MAX_ENTRIES])
        return replication.LogRead(True, after, entries)

    def replicate(self, term: position.Term, read: replication.LogRead) -> None:
        """Applies entries of the primary; cuts off what it doesn't have."""
        is_replica = self.role is upstream.Role.REPLICA
        if not is_replica or term != self.term or not read.accepted:
            return
        if read.after < len(self.log):
            del self.log[read.after :]
            self._rebuild()
        for entry in read.entries:
            self._append(entry)

    def _leads(self, term: position.Term) -> bool:
        return self.role is upstream.Role.PRIMARY and term == self.term

    def _log(self, entry: replication.Entry) -> None:
        self.log.append(entry)
        self.history = self.history.extend(entry.term)

    def _append(self, entry: replication.Entry) -> None:
        self._log(entry)
        _apply(self._working, entry)
        _apply(self._committed, entry)

    def _rebuild(self) -> None:
        self._working = _connect()
        self._committed = _connect()
        log, self.log = self.log, []
        self.history = position.History()
        for entry in log:
            self._append(entry)


MAX_ENTRIES = 256


FORBIDDEN_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_TRANSACTION,
    }
)


def _connect() -> sqlite3.Connection:
    return sqlite3.connect(":memory:", isolation_level=None)


def _authorize(action: int, table: str | None, *_: str | None) -> int:
    """Keeps callers' statements off transactions, files and the ledger."""
    if action in FORBIDDEN_ACTIONS or table == ledger.TABLE:
        return sqlite3.SQLITE_DENY
    return sqlite3.SQLITE_OK


def _run(
    database: sqlite3.Connection, statements: tuple[request.Statement, ...]
) -> tuple[request.ResultSet, ...]:
    results = []
    for number, statement in enumerate(statements):
        is_ours = statement.sql in ledger.STATEMENTS
        database.set_authorizer(None if is_ours else _authorize)
        try:
            cursor = database.execute(statement.sql, statement.params)
            results.append(_result(cursor))
        except sqlite3.IntegrityError as exc:
            raise RejectionError(
                upstream.Reason.CONSTRAINT, str(exc), number
            ) from exc
        except (sqlite3.Error, sqlite3.Warning, ValueError) as exc:
            raise RejectionError(
                upstream.Reason.STATEMENT, str(exc), number
            ) from exc
        finally:
            database.set_authorizer(None)
    return tuple(results)


def _result(cursor: sqlite3.Cursor) -> request.ResultSet:
    columns = tuple(column[0] for column in cursor.description or ())
    rows = tuple(tuple(row) for row in cursor.fetchall())
    return request.ResultSet(columns, rows, max(cursor.rowcount, 0))


def _apply(database: sqlite3.Connection, entry: replication.Entry) -> None:
    database.execute("BEGIN")
    for statement in entry.statements:
        database.execute(statement.sql, statement.params)
    database.execute("COMMIT")
