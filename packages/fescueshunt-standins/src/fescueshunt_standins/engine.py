"""Database engine of the upstream stand-in: sqlite3 in memory, terms and log.

An engine keeps two databases. Write transactions run on `_write_database`, one
at a time. The statements of each committed transaction then run again on
`_read_database`, in the same way as a replica applies a log entry. Reads run on
`_read_database`, so they see committed data only.
"""

from __future__ import annotations

import sqlite3

from fescueshunt.core import position, request, upstream
from fescueshunt.request import ledger
from fescueshunt_wire import replication


class RejectionError(Exception):
    """The engine rejected a call; none of its statements took effect.

    Attributes:
      reason: the reason for the rejection.
      detail: a human-readable description of the error.
      statement: the index of the statement that failed, or -1 if none did.
    """

    def __init__(
        self, reason: upstream.Reason, detail: str = "", statement: int = -1
    ) -> None:
        super().__init__(reason, detail, statement)
        self.reason = reason
        self.detail = detail
        self.statement = statement


class Engine:
    """One member of a database group; uses neither a network nor a clock.

    Attributes:
      promised: the highest term that the member has promised; it accepts no
        lower term.
      term: the term that the member serves as the primary or as a replica.
      role: the role of the member in that term.
      log: the log entries; the entry with index i is `log[i - 1]`.
      history: the branches of the log.
    """

    def __init__(self, primary: bool, schema: tuple[str, ...] = ()) -> None:
        self.promised = position.FIRST_TERM
        self.term = position.FIRST_TERM
        self.role = upstream.Role.PRIMARY if primary else upstream.Role.REPLICA
        self.log: list[replication.Entry] = []
        self.history = position.History()
        self._transaction_statements: list[request.Statement] = []
        self._rebuild_databases()
        schema_statements = (ledger.SCHEMA, *schema)
        self._append_and_apply(
            replication.Entry(
                self.term,
                tuple(request.Statement(sql) for sql in schema_statements),
            )
        )

    def read(
        self, statements: tuple[request.Statement, ...]
    ) -> tuple[request.ResultSet, ...]:
        """Runs read-only statements on the committed data.

        Raises:
          RejectionError: if a statement fails or writes.
        """
        self._read_database.execute("PRAGMA query_only = ON")
        try:
            return _run_statements(self._read_database, statements)
        finally:
            self._read_database.execute("PRAGMA query_only = OFF")

    def check_primary(self, term: position.Term) -> None:
        """Checks that this member is the primary of `term`.

        Raises:
          RejectionError: if it is not.
        """
        if self.role is not upstream.Role.PRIMARY:
            raise RejectionError(upstream.Reason.NOT_PRIMARY)
        if term != self.term or self.promised != term:
            raise RejectionError(upstream.Reason.WRONG_TERM)

    def begin(self) -> None:
        """Begins a write transaction; at most one may be open."""
        self._write_database.execute("BEGIN")
        self._transaction_statements = []

    def execute(
        self, statements: tuple[request.Statement, ...]
    ) -> tuple[request.ResultSet, ...]:
        """Runs statements in the open transaction.

        Raises:
          RejectionError: if a statement fails.
        """
        results = _run_statements(self._write_database, statements)
        self._transaction_statements.extend(statements)
        return results

    def commit(self) -> None:
        """Commits the open transaction and appends it to the log."""
        self._write_database.execute("COMMIT")
        entry = replication.Entry(
            self.term, tuple(self._transaction_statements)
        )
        self._transaction_statements = []
        self._append_to_log(entry)
        _apply_entry(self._read_database, entry)

    def rollback(self) -> None:
        """Rolls back the open transaction, if there is one."""
        if self._write_database.in_transaction:
            self._write_database.execute("ROLLBACK")
        self._transaction_statements = []

    def fence(self, term: position.Term) -> bool:
        """Promises `term` and fences the member.

        Rolls back the open transaction.

        Returns:
          False, without a change, if `term` is not higher than the highest term
          promised before.
        """
        if term <= self.promised:
            return False
        self.rollback()
        self.promised = term
        self.role = upstream.Role.FENCED
        return True

    def promote(self, term: position.Term) -> bool:
        """Makes the member the primary of `term` if it is fenced in that term.

        Returns:
          True if the member is now the primary of `term`.
        """
        if term != self.promised or self.role is not upstream.Role.FENCED:
            return self.role is upstream.Role.PRIMARY and term == self.term
        self.term = term
        self.role = upstream.Role.PRIMARY
        self._append_and_apply(replication.Entry(term))
        return True

    def follow(self, term: position.Term) -> bool:
        """Makes the member a replica in `term`.

        Returns:
          True if the member is now a replica in `term`. False, without a
          change, if it has promised a higher term or is the primary of `term`.
        """
        if term < self.promised or self._is_primary_of(term):
            return False
        self.rollback()
        self.promised = term
        self.term = term
        self.role = upstream.Role.REPLICA
        return True

    def entries_after(
        self, term: position.Term, history: position.History
    ) -> replication.LogRead:
        """Returns the log entries that a replica with `history` lacks.

        Returns at most `MAX_ENTRIES_PER_READ` entries.
        """
        if not self._is_primary_of(term):
            return replication.LogRead(accepted=False)
        after = self.history.common_end(history)
        entries = tuple(self.log[after : after + MAX_ENTRIES_PER_READ])
        return replication.LogRead(True, after, entries)

    def apply_log(
        self, term: position.Term, log_read: replication.LogRead
    ) -> None:
        """Applies log entries that were read from the primary of `term`.

        First truncates the log to the prefix that it shares with the primary's
        log. Has no effect unless the member is a replica in `term`.
        """
        is_replica = self.role is upstream.Role.REPLICA
        if not is_replica or term != self.term or not log_read.accepted:
            return
        if log_read.after < len(self.log):
            del self.log[log_read.after :]
            self._rebuild_databases()
        for entry in log_read.entries:
            self._append_and_apply(entry)

    def _is_primary_of(self, term: position.Term) -> bool:
        return self.role is upstream.Role.PRIMARY and term == self.term

    def _append_to_log(self, entry: replication.Entry) -> None:
        self.log.append(entry)
        self.history = self.history.extend(entry.term)

    def _append_and_apply(self, entry: replication.Entry) -> None:
        self._append_to_log(entry)
        _apply_entry(self._write_database, entry)
        _apply_entry(self._read_database, entry)

    def _rebuild_databases(self) -> None:
        self._write_database = _connect()
        self._read_database = _connect()
        log, self.log = self.log, []
        self.history = position.History()
        for entry in log:
            self._append_and_apply(entry)


MAX_ENTRIES_PER_READ = 256


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
    """Denies transaction control, pragmas, other files and the ledger table."""
    if action in FORBIDDEN_ACTIONS or table == ledger.TABLE:
        return sqlite3.SQLITE_DENY
    return sqlite3.SQLITE_OK


def _run_statements(
    database: sqlite3.Connection, statements: tuple[request.Statement, ...]
) -> tuple[request.ResultSet, ...]:
    results = []
    for index, statement in enumerate(statements):
        is_ledger_statement = statement.sql in ledger.STATEMENTS
        database.set_authorizer(None if is_ledger_statement else _authorize)
        try:
            cursor = database.execute(statement.sql, statement.params)
            results.append(_result_set(cursor))
        except sqlite3.IntegrityError as exc:
            raise RejectionError(
                upstream.Reason.CONSTRAINT, str(exc), index
            ) from exc
        except (sqlite3.Error, sqlite3.Warning, ValueError) as exc:
            raise RejectionError(
                upstream.Reason.STATEMENT, str(exc), index
            ) from exc
        finally:
            database.set_authorizer(None)
    return tuple(results)


def _result_set(cursor: sqlite3.Cursor) -> request.ResultSet:
    columns = tuple(column[0] for column in cursor.description or ())
    rows = tuple(tuple(row) for row in cursor.fetchall())
    return request.ResultSet(columns, rows, max(cursor.rowcount, 0))


def _apply_entry(
    database: sqlite3.Connection, entry: replication.Entry
) -> None:
    database.execute("BEGIN")
    for statement in entry.statements:
        database.execute(statement.sql, statement.params)
    database.execute("COMMIT")
