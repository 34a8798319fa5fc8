"""Applies runs to connections, and finds wrong effects of writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import (
    judge_records,
    judge_rules,
    wire_reader,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


def apply_run(
    connection: judge_records.UpstreamConnection,
    request: judge_records.UpstreamRequest,
    run: judge_records.Run,
) -> Iterator[judge_rules.Violation]:
    """Applies a successful run; yields the violations by its effects."""
    query, statement = request.query, request.statement
    connection.apply(query.call)
    if isinstance(query.call, wire_reader.Begin):
        connection.in_transaction = True
    if statement is None:
        return
    if isinstance(query.call, wire_reader.NEEDS_RECEIPT):
        statement.runs.append(run)
    _join_transaction(connection, query, statement.transaction)
    if isinstance(query.call, wire_reader.Commit):
        yield from _commit(connection, statement)
    elif _writes(connection, query.call):
        if connection.in_transaction:
            connection.writes.append(statement)
        else:
            yield from _take_effect(connection, statement)


def _join_transaction(
    connection: judge_records.UpstreamConnection,
    query: wire_reader.Query,
    transaction: judge_records.Transaction | None,
) -> None:
    """Notes that a connection runs a statement of a transaction."""
    if not connection.in_transaction or transaction is None:
        return
    connection.transaction = transaction
    if not transaction.begun:
        transaction.connection = connection.name
    transaction.begun |= not isinstance(query.call, wire_reader.Begin)


def _commit(
    connection: judge_records.UpstreamConnection,
    commit: judge_records.SentStatement,
) -> Iterator[judge_rules.Violation]:
    transaction = commit.transaction
    if connection.writes and transaction is not None:
        transaction.committed_writes = True
        if transaction.no_effect_code:
            yield judge_rules.Violation(
                judge_rules.Rule.REFUSED,
                f"{connection.name}: {commit.describe()}: commits after "
                f"{transaction.no_effect_code}",
            )
    for write in connection.writes:
        yield from _take_effect(connection, write)


def _take_effect(
    connection: judge_records.UpstreamConnection,
    write: judge_records.SentStatement,
) -> Iterator[judge_rules.Violation]:
    write.effects += 1
    where = f"{connection.name}: {write.describe()}"
    if write.effects > 1:
        yield judge_rules.Violation(
            judge_rules.Rule.TWICE, f"{where}: {write.effects} effects"
        )
    if write.no_effect_code and write.transaction is None:
        yield judge_rules.Violation(
            judge_rules.Rule.REFUSED,
            f"{where}: runs after {write.no_effect_code}",
        )


def _writes(
    connection: judge_records.UpstreamConnection, call: wire_reader.UpstreamText
) -> bool:
    match call:
        case wire_reader.Write():
            return True
        case wire_reader.Execute():
            shape = connection.shapes.get(call.name)
            return shape is not None and shape.writes
    return False
