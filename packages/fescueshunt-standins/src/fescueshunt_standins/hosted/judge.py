"""Compares what upstreams ran with what clients sent and were answered.

The judge reads the raw messages of both sides with a reader of its own and
reports each violation of what clients may rely on. Without the clients' side
it checks the strictness of messages, the proxy's own statements, and that a
transaction belongs to one client.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import (
    judge_effects,
    judge_pins,
    judge_records,
    judge_rules,
    wire_reader,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_KEPT_VIOLATIONS = 1000
MAX_DETAIL_CHARS = 300


class Judge:
    """Judges the messages of clients and upstreams as they are fed to it.

    A message of a client is fed before the proxy can act on it, and one of an
    upstream before the proxy can read it.

    Attributes:
      violations: the latest violations.
      violation_count: the number of all violations.
    """

    def __init__(
        self,
        sees_clients: bool = True,
        client_of_id: Callable[[str], str] | None = None,
        max_finished: int = judge_records.MAX_FINISHED_STATEMENTS,
    ) -> None:
        """Creates a judge.

        Args:
          sees_clients: whether the clients' side is fed to it.
          client_of_id: names the client of a statement's id; without the
            clients' side only.
          max_finished: how many answered statements are remembered.
        """
        self.violations: collections.deque[judge_rules.Violation] = (
            collections.deque(maxlen=MAX_KEPT_VIOLATIONS)
        )
        self.violation_count = 0
        self._sees_clients = sees_clients
        self._client_of_id = client_of_id
        self._clients: dict[str, judge_records.ClientSession] = {}
        self._connections: dict[str, judge_records.UpstreamConnection] = {}
        self._sent = judge_records.StatementIndex(max_finished)

    def kept_counts(self) -> judge_records.KeptCounts:
        """Returns how much the judge remembers."""
        return judge_records.KeptCounts(
            clients=len(self._clients),
            connections=len(self._connections),
            statements=len(self._sent),
        )

    def client_sent(self, client: str, line: bytes) -> None:
        """Takes a message that a client sends."""
        session = self._client(client)
        try:
            request = wire_reader.read_client_request(line)
        except wire_reader.WireError:
            # Nothing of it may run, so the index doesn't learn of it.
            session.send(wire_reader.UNREADABLE_QUERY)
            return
        if isinstance(request, wire_reader.Query):
            self._sent.add(session.send(request))

    def client_received(self, client: str, line: bytes) -> None:
        """Takes a message that a client received."""
        session = self._client(client)
        try:
            message = wire_reader.read_answer(line)
        except wire_reader.WireError as exc:
            self._report(
                judge_rules.Rule.MIXED, f"client {client}: {exc}: {line[:80]!r}"
            )
            return
        complete = session.answers.add(message)
        if complete is not None:
            self._end_client_answer(session, complete)

    def client_closed(self, client: str) -> None:
        """Takes the end of a client's session."""
        session = self._clients.pop(client, None)
        if session is None:
            return
        reply = session.answers.reply
        if session.pending and isinstance(reply, wire_reader.Error):
            self._check_failure(session.pending[0], reply.code)
        self._sent.finish(session.pending)

    def upstream_received(self, conn: str, line: bytes) -> None:
        """Takes a message that an upstream connection received."""
        connection = self._connection(conn)
        try:
            request = wire_reader.read_upstream_request(line)
        except wire_reader.WireError as exc:
            self._report(
                judge_rules.Rule.UNASKED, f"{conn}: {exc}: {line[:80]!r}"
            )
            return
        if not isinstance(request, wire_reader.Query):
            return
        statement = self._find_statement(conn, request)
        connection.pending.append(
            judge_records.UpstreamRequest(request, statement)
        )

    def upstream_sent(self, conn: str, line: bytes) -> None:
        """Takes a message that an upstream connection sends."""
        connection = self._connection(conn)
        complete = connection.answers.add(wire_reader.read_answer(line))
        if complete is not None:
            self._end_upstream_answer(connection, complete)

    def upstream_closed(self, conn: str) -> None:
        """Takes the end of an upstream connection."""
        self._connections.pop(conn, None)

    def _client(self, name: str) -> judge_records.ClientSession:
        return self._clients.setdefault(name, judge_records.ClientSession(name))

    def _connection(self, name: str) -> judge_records.UpstreamConnection:
        return self._connections.setdefault(
            name, judge_records.UpstreamConnection(name)
        )

    def _report(self, rule: judge_rules.Rule, detail: str) -> None:
        self.violation_count += 1
        self.violations.append(
            judge_rules.Violation(rule, detail[:MAX_DETAIL_CHARS])
        )

    def _find_statement(
        self, conn: str, query: wire_reader.Query
    ) -> judge_records.SentStatement | None:
        if query.id == wire_reader.PROXY_ID:
            if isinstance(query.call, wire_reader.NEEDS_RECEIPT):
                self._report(
                    judge_rules.Rule.UNASKED,
                    f"{conn}: the proxy's own {query.text!r}",
                )
            return None
        if not self._sees_clients:
            return None
        statement = self._sent.find(query)
        if statement is None:
            known = self._sent.knows_id(query.id)
            reason = "changed text" if known else "unknown id"
            self._report(
                judge_rules.Rule.UNASKED,
                f"{conn}: {query.id} {query.text!r}: {reason}",
            )
        return statement

    def _end_client_answer(
        self,
        session: judge_records.ClientSession,
        answer: judge_records.CompleteAnswer,
    ) -> None:
        reply = answer.reply
        if not session.pending:
            if isinstance(reply, wire_reader.Complete):
                self._report(
                    judge_rules.Rule.MIXED,
                    f"client {session.name}: answer to nothing",
                )
            return
        statement = session.pending.popleft()
        if isinstance(reply, wire_reader.Complete):
            session.acknowledge(statement.query.call)
            self._check_success(statement, reply.receipt, answer.rows)
        elif isinstance(reply, wire_reader.Error):
            self._check_failure(statement, reply.code)
        if answer.state == "I" and not session.pending:
            session.transaction = None
        self._sent.finish([statement])

    def _check_success(
        self,
        statement: judge_records.SentStatement,
        receipt: str,
        rows: bytes,
    ) -> None:
        if not isinstance(statement.query.call, wire_reader.NEEDS_RECEIPT):
            return
        run = judge_records.Run(receipt, rows)
        if run in statement.runs:
            return
        receipts = [earlier.receipt for earlier in statement.runs]
        reason = "other rows" if receipt in receipts else "no such receipt"
        self._report(
            judge_rules.Rule.MIXED,
            f"{statement.describe()}: {reason}, {receipt!r}",
        )

    def _check_failure(
        self, statement: judge_records.SentStatement, code: str
    ) -> None:
        transaction = statement.transaction
        if isinstance(statement.query.call, wire_reader.Begin):
            assert transaction is not None
            transaction.refused = True
        shapes = statement.shapes
        if code == "NOSTMT" and shapes and None not in shapes:
            self._report(
                judge_rules.Rule.PINNED,
                f"{statement.describe()}: unknown though its shape is prepared",
            )
        if code not in judge_rules.NO_EFFECT_CODES:
            return
        statement.no_effect_code = code
        kept = statement.effects > 0
        if transaction is not None:
            transaction.no_effect_code = code
            kept = transaction.committed_writes
        if kept:
            self._report(
                judge_rules.Rule.REFUSED,
                f"{statement.describe()}: {code} after its commit",
            )

    def _end_upstream_answer(
        self,
        connection: judge_records.UpstreamConnection,
        answer: judge_records.CompleteAnswer,
    ) -> None:
        reply = answer.reply
        # A request that can't be read was reported and isn't pending; what the
        # upstream says to it answers no statement.
        if not connection.pending or reply is None:
            return
        request = connection.pending.popleft()
        if isinstance(reply, wire_reader.Complete):
            self._check_run(connection, request)
            run = judge_records.Run(reply.receipt, answer.rows)
            for each in judge_effects.apply_run(connection, request, run):
                self._report(each.rule, each.detail)
        elif reply.code not in judge_rules.NOT_EXECUTED_CODES:
            self._check_run(connection, request)
        if answer.state == "I":
            connection.end_transaction()

    def _check_run(
        self,
        connection: judge_records.UpstreamConnection,
        request: judge_records.UpstreamRequest,
    ) -> None:
        """Checks a run against the connection's state before it."""
        statement = request.statement
        if statement is None:
            if not self._sees_clients:
                self._check_by_upstream(connection, request.query)
            return
        for problem in judge_pins.problems(
            connection, request.query, statement
        ):
            self._report(
                judge_rules.Rule.PINNED,
                f"{connection.name}: {statement.describe()}: {problem}",
            )

    def _check_by_upstream(
        self,
        connection: judge_records.UpstreamConnection,
        query: wire_reader.Query,
    ) -> None:
        """Checks what shows without the clients' side."""
        problem = judge_pins.arguments_problem(connection, query)
        if problem:
            self._report(
                judge_rules.Rule.UNASKED, f"{connection.name}: {problem}"
            )
        if self._client_of_id is None or query.id == wire_reader.PROXY_ID:
            return
        client = self._client_of_id(query.id)
        if connection.in_transaction and connection.owner not in (None, client):
            self._report(
                judge_rules.Rule.PINNED,
                f"{connection.name}: {query.id} runs in a transaction of "
                f"{connection.owner}",
            )
        connection.owner = client
