"""Filter that answers SHOW and EXPLAIN with data of this proxy and its peers.

A proxy monitors only some database groups and serves only some callers. A
statement about these is therefore also sent to at most MAX_QUERIED_PEERS peers
and answered when all of them have replied or REPLY_TIMEOUT_S has passed.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    queries,
    rendezvous,
    statements,
    tables,
    views,
)
from fescueshunt.core import items as core_items
from fescueshunt.operators import merge

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

MAX_QUERIED_PEERS = 16
REPLY_TIMEOUT_S = 0.5
QUERIED_STATES = frozenset(views.MemberState) - {views.MemberState.DEAD}

_MERGE_POLICIES: dict[
    statements.Subject | statements.Event, merge.MergePolicy
] = {
    statements.Subject.UPSTREAMS: merge.KeepNewest(key_columns=2),
    statements.Subject.DATABASES: merge.KeepNewest(key_columns=1),
    statements.Subject.SESSIONS: merge.ConcatenateByProxy(),
    statements.Subject.REFUSALS: merge.ConcatenateByProxy(),
    statements.Subject.PROMOTIONS: merge.ConcatenateByProxy(),
    statements.Event.REQUEST: merge.ConcatenateOriginFirst(
        "request of a caller", 2
    ),
    statements.Event.PROMOTION: merge.ConcatenateByProxy(),
}


@dataclasses.dataclass(slots=True)
class PendingQuery:
    """A query that waits for replies.

    Attributes:
      request: the operator's statement, or None for a peer's question.
      deadline: when the query ends without further replies; seconds, local
        clock.
      unanswered: the names of the proxies that have not replied, including
        this one.
      sender: the peer that sent the question, "" for an operator's statement.
      seq: the peer's number for the question.
      not_asked: the number of peers that were not queried because of
        MAX_QUERIED_PEERS.
      proxy_tables: the tables received so far.
      error: the error of this proxy, which is the answer if no table arrives.
    """

    request: core_items.OperatorAsked | None
    deadline: float
    unanswered: set[str]
    sender: str = ""
    seq: int = 0
    not_asked: int = 0
    proxy_tables: list[merge.ProxyTable] = dataclasses.field(
        default_factory=list
    )
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(slots=True)
class GatherState:
    """The state of the filter.

    Attributes:
      peers: the names of the peers that may be queried.
      last_number: the number of the newest query.
      pending: the queries that wait for replies, by number.
    """

    peers: tuple[str, ...] = ()
    last_number: int = 0
    pending: dict[int, PendingQuery] = dataclasses.field(default_factory=dict)


class Gather(filters.Filter):
    """Sends queries to this proxy and its peers and merges the replies."""

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = GatherState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields queries, messages to peers and answers to operators."""
        match item:
            case core_items.OperatorAsked():
                yield from self._handle_request(item)
            case queries.LocalReply():
                yield from self._handle_local_reply(item)
            case core_items.PeerReceived(
                message=queries.PeerQuestion() as message
            ):
                yield self._handle_peer_question(item.at, item.sender, message)
            case core_items.PeerReceived(
                message=queries.PeerReply() as message
            ):
                yield from self._handle_reply(
                    item.at, message.seq, item.sender, message.answer
                )
            case views.FleetView():
                self._state.peers = tuple(
                    member.name
                    for member in item.members
                    if member.name != self._local_proxy.name
                    and member.state in QUERIED_STATES
                )
                yield item
            case filters.Tick():
                yield from self._handle_tick(item.at)
                yield item
            case _:
                yield item

    def _handle_request(
        self, request: core_items.OperatorAsked
    ) -> Iterator[filters.Item]:
        statement = _without_clauses(request.statement)
        peers = self._choose_peers(statement)
        number = self._add_pending(
            PendingQuery(
                request,
                request.at + REPLY_TIMEOUT_S,
                {self._local_proxy.name, *peers},
            )
        )
        if peers:
            not_asked = len(self._state.peers) - len(peers)
            self._state.pending[number].not_asked = not_asked
        for name in peers:
            message = _build_peer_question(number, statement)
            yield core_items.SendPeer(request.at, name, message)
        yield queries.LocalQuery(request.at, number, statement)

    def _choose_peers(self, statement: statements.Statement) -> list[str]:
        """Returns the names of the peers to query.

        The list is empty if this proxy alone has the complete data.
        """
        if _topic(statement) not in _MERGE_POLICIES:
            return []
        peers = self._state.peers
        if len(peers) <= MAX_QUERIED_PEERS:
            return list(peers)
        return rendezvous.sort_by_weight(str(_topic(statement)), peers)[
            :MAX_QUERIED_PEERS
        ]

    def _add_pending(self, query: PendingQuery) -> int:
        self._state.last_number += 1
        self._state.pending[self._state.last_number] = query
        return self._state.last_number

    def _handle_peer_question(
        self, now: float, sender: str, message: queries.PeerQuestion
    ) -> queries.LocalQuery:
        query = PendingQuery(
            None,
            now + REPLY_TIMEOUT_S,
            {self._local_proxy.name},
            sender,
            message.seq,
        )
        number = self._add_pending(query)
        statement = message.show or message.explain
        return queries.LocalQuery(now, number, statement)

    def _handle_local_reply(
        self, item: queries.LocalReply
    ) -> Iterator[filters.Item]:
        query = self._state.pending.get(item.number)
        if query is not None and query.request is None:
            del self._state.pending[item.number]
            message = queries.PeerReply(query.seq, item.answer)
            yield core_items.SendPeer(item.at, query.sender, message)
        else:
            yield from self._handle_reply(
                item.at, item.number, self._local_proxy.name, item.answer
            )

    def _handle_reply(
        self,
        now: float,
        number: int,
        proxy_name: str,
        answer: statements.OperatorAnswer,
    ) -> Iterator[filters.Item]:
        query = self._state.pending.get(number)
        if query is None or proxy_name not in query.unanswered:
            return
        query.unanswered.discard(proxy_name)
        if answer.table is not None:
            query.proxy_tables.append(
                merge.ProxyTable(proxy_name, answer.table)
            )
        if proxy_name == self._local_proxy.name:
            query.error = answer.error
        if not query.unanswered:
            yield self._finish(now, number)

    def _handle_tick(self, now: float) -> Iterator[filters.Item]:
        for number, query in list(self._state.pending.items()):
            if now < query.deadline:
                continue
            if query.request is None:
                del self._state.pending[number]
            else:
                yield self._finish(now, number)

    def _finish(self, now: float, number: int) -> core_items.AnswerOperator:
        query = self._state.pending.pop(number)
        request = query.request
        try:
            table = _merge_tables(request.statement, query)
        except errors.FescueshuntError as exc:
            answer = statements.OperatorAnswer(error=exc)
        else:
            answer = statements.OperatorAnswer(
                table,
                silent=tuple(sorted(query.unanswered)),
                not_asked=query.not_asked,
            )
        return core_items.AnswerOperator(now, request.conn, request.seq, answer)


def _merge_tables(
    statement: statements.Statement, query: PendingQuery
) -> statements.Table:
    """Returns the merged table with the clauses of `statement` applied.

    Raises:
      FescueshuntError: if no proxy returned a table, or if the statement names
        a column that does not exist.
    """
    if not query.proxy_tables:
        raise query.error or errors.RequestInvalidError(
            "no proxy returned a table"
        )
    policy = _MERGE_POLICIES.get(_topic(statement))
    table = (
        policy.merge(query.proxy_tables)
        if policy
        else query.proxy_tables[0].table
    )
    if isinstance(statement, statements.Show):
        return tables.select(table, statement)
    return table


def _without_clauses(statement: statements.Statement) -> statements.Statement:
    """Returns `statement` without conditions, order and limit.

    These clauses apply to the merged table, not to the tables of single
    proxies.
    """
    if isinstance(statement, statements.Show):
        return statements.Show(statement.subject)
    return statement


def _topic(
    statement: statements.Show | statements.Explain,
) -> statements.Subject | statements.Event:
    if isinstance(statement, statements.Show):
        return statement.subject
    return statement.event


def _build_peer_question(
    number: int, statement: statements.Show | statements.Explain
) -> queries.PeerQuestion:
    if isinstance(statement, statements.Show):
        return queries.PeerQuestion(number, show=statement)
    return queries.PeerQuestion(number, explain=statement)
