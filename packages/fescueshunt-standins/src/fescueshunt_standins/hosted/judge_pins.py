"""Whether a statement runs where its client's session and transaction are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import judge_records, wire_reader

if TYPE_CHECKING:
    from collections.abc import Iterator

_USES_VALUES = wire_reader.Read | wire_reader.Write | wire_reader.Execute


def problems(
    connection: judge_records.UpstreamConnection,
    query: wire_reader.Query,
    statement: judge_records.SentStatement,
) -> Iterator[str]:
    """Says what is wrong with a statement that runs on a connection now.

    Args:
      connection: the connection as it is before the run.
      query: the request at the upstream.
      statement: the client's statement that the request stands for.
    """
    yield from filter(
        None,
        (
            _transaction_problem(connection, statement),
            _values_problem(connection, statement),
            _shape_problem(connection, query, statement),
        ),
    )


def arguments_problem(
    connection: judge_records.UpstreamConnection, query: wire_reader.Query
) -> str:
    """Says whether a prepared write has no data, or a prepared read some."""
    if not isinstance(query.call, wire_reader.Execute):
        return ""
    shape = connection.shapes.get(query.call.name)
    if shape is not None and shape.writes == (query.call.data is not None):
        return ""
    return f"{query.text!r} of the shape {shape}"


def _transaction_problem(
    connection: judge_records.UpstreamConnection,
    statement: judge_records.SentStatement,
) -> str:
    """Says what is wrong with the transaction in which a statement runs."""
    transaction = statement.transaction
    if isinstance(statement.query.call, wire_reader.Begin):
        return "another transaction is open" * connection.in_transaction
    if not isinstance(statement.query.call, wire_reader.NEEDS_RECEIPT):
        return ""
    if not connection.in_transaction:
        outside = transaction is not None and not transaction.refused
        return "outside its transaction" * outside
    if transaction is None:
        return "inside a transaction though its client has none"
    if connection.transaction in transaction.outers():
        transaction = connection.transaction
    if connection.transaction not in (None, transaction):
        return "inside another transaction"
    if transaction.begun and transaction.connection != connection.name:
        return f"its transaction began on {transaction.connection}"
    return ""


def _values_problem(
    connection: judge_records.UpstreamConnection,
    statement: judge_records.SentStatement,
) -> str:
    """Says which session value differs from what the client set."""
    if not isinstance(statement.query.call, _USES_VALUES):
        return ""
    unset = frozenset([None])
    for name in connection.values.keys() | statement.values.keys():
        value = connection.values.get(name)
        permitted = statement.values.get(name, unset)
        if value not in permitted:
            return f"value {name!r} is {value!r}, not of {set(permitted)}"
    return ""


def _shape_problem(
    connection: judge_records.UpstreamConnection,
    query: wire_reader.Query,
    statement: judge_records.SentStatement,
) -> str:
    """Says how a prepared statement differs from the client's."""
    if not isinstance(query.call, wire_reader.Execute):
        return ""
    shape = connection.shapes.get(query.call.name)
    if shape is None or shape not in statement.shapes:
        return f"runs the shape {shape}, not of {set(statement.shapes)}"
    return ""
