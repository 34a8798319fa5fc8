"""Gathering: what this proxy and its peers know, as one answer.

What a proxy sees is partial: it watches some groups and serves some callers. So
a statement about such things is put to the peers as well, to MAX_ASKED of them
at the most, and answered when all have replied or WAIT_S has passed.
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

MAX_ASKED = 16
WAIT_S = 0.5
ASKED_STATES = frozenset(views.MemberState) - {views.MemberState.DEAD}

_MERGES: dict[statements.Subject | statements.Event, merge.Merge] = {
    statements.Subject.UPSTREAMS: merge.Freshest(key_columns=2),
    statements.Subject.DATABASES: merge.Freshest(key_columns=1),
    statements.Subject.SESSIONS: merge.ByProxy(),
    statements.Subject.REFUSALS: merge.ByProxy(),
    statements.Subject.PROMOTIONS: merge.ByProxy(),
    statements.Event.REQUEST: merge.InTurn("request of a caller", 2),
    statements.Event.PROMOTION: merge.ByProxy(),
}


@dataclasses.dataclass(slots=True)
class Asking:
    """A question that waits for replies.

    Attributes:
      asked: the operator's statement, or None for a peer's question.
      sender: the peer that asks, and its seq.
      waiting: the proxies that haven't replied, this one by its name.
      parts: the tables so far.
      error: this proxy's own error, told when no table comes.
    """

    asked: core_items.OperatorAsked | None
    until: float
    waiting: set[str]
    sender: str = ""
    seq: int = 0
    not_asked: int = 0
    parts: list[merge.Part] = dataclasses.field(default_factory=list)
    error: errors.FescueshuntError | None = None


@dataclasses.dataclass(slots=True)
class GatherState:
    """What the filter remembers."""

    peers: tuple[str, ...] = ()
    number: int = 0
    asking: dict[int, Asking] = dataclasses.field(default_factory=dict)


class Gather(filters.Filter):
    """Puts statements to this proxy and its peers and merges the replies."""

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = GatherState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields questions and answers."""
        match item:
            case core_items.OperatorAsked():
                yield from self._ask(item)
            case queries.LocalReply():
                yield from self._reply(item)
            case core_items.PeerReceived(
                message=queries.PeerQuestion() as message
            ):
                yield self._answer_peer(item.at, item.sender, message)
            case core_items.PeerReceived(
                message=queries.PeerReply() as message
            ):
                yield from self._take(
                    item.at, message.seq, item.sender, message.answer
                )
            case views.FleetView():
                self._state.peers = tuple(
                    member.name
                    for member in item.members
                    if member.name != self._me.name
                    and member.state in ASKED_STATES
                )
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _ask(self, asked: core_items.OperatorAsked) -> Iterator[filters.Item]:
        statement = _plain(asked.statement)
        peers = self._choose(statement)
        number = self._hold(
            Asking(asked, asked.at + WAIT_S, {self._me.name, *peers})
        )
        if peers:
            not_asked = len(self._state.peers) - len(peers)
            self._state.asking[number].not_asked = not_asked
        for name in peers:
            message = _to_peer(number, statement)
            yield core_items.SendPeer(asked.at, name, message)
        yield queries.LocalQuery(asked.at, number, statement)

    def _choose(self, statement: statements.Statement) -> list[str]:
        """Returns the peers to ask; none where this proxy knows it all."""
        if _topic(statement) not in _MERGES:
            return []
        peers = self._state.peers
        if len(peers) <= MAX_ASKED:
            return list(peers)
        return rendezvous.sort_by_weight(str(_topic(statement)), peers)[
            :MAX_ASKED
        ]

    def _hold(self, asking: Asking) -> int:
        self._state.number += 1
        self._state.asking[self._state.number] = asking
        return self._state.number

    def _answer_peer(
        self, now: float, sender: str, message: queries.PeerQuestion
    ) -> queries.LocalQuery:
        asking = Asking(
            None, now + WAIT_S, {self._me.name}, sender, message.seq
        )
        number = self._hold(asking)
        statement = message.show or message.explain
        return queries.LocalQuery(now, number, statement)

    def _reply(self, item: queries.LocalReply) -> Iterator[filters.Item]:
        asking = self._state.asking.get(item.number)
        if asking is not None and asking.asked is None:
            del self._state.asking[item.number]
            message = queries.PeerReply(asking.seq, item.answer)
            yield core_items.SendPeer(item.at, asking.sender, message)
        else:
            yield from self._take(
                item.at, item.number, self._me.name, item.answer
            )

    def _take(
        self,
        now: float,
        number: int,
        name: str,
        answer: statements.OperatorAnswer,
    ) -> Iterator[filters.Item]:
        asking = self._state.asking.get(number)
        if asking is None or name not in asking.waiting:
            return
        asking.waiting.discard(name)
        if answer.table is not None:
            asking.parts.append(merge.Part(name, answer.table))
        if name == self._me.name:
            asking.error = answer.error
        if not asking.waiting:
            yield self._finish(now, number)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        for number, asking in list(self._state.asking.items()):
            if now < asking.until:
                continue
            if asking.asked is None:
                del self._state.asking[number]
            else:
                yield self._finish(now, number)

    def _finish(self, now: float, number: int) -> core_items.AnswerOperator:
        asking = self._state.asking.pop(number)
        asked = asking.asked
        try:
            table = _merged(asked.statement, asking)
        except errors.FescueshuntError as exc:
            answer = statements.OperatorAnswer(error=exc)
        else:
            answer = statements.OperatorAnswer(
                table,
                silent=tuple(sorted(asking.waiting)),
                not_asked=asking.not_asked,
            )
        return core_items.AnswerOperator(now, asked.conn, asked.seq, answer)


def _merged(
    statement: statements.Statement, asking: Asking
) -> statements.Table:
    """Returns the one table of all parts, as the statement asks for it.

    Raises:
      FescueshuntError: if there is no part, or no column that is named.
    """
    if not asking.parts:
        raise asking.error or errors.RequestInvalidError("nothing is known")
    rule = _MERGES.get(_topic(statement))
    table = rule.merge(asking.parts) if rule else asking.parts[0].table
    if isinstance(statement, statements.Show):
        return tables.select(table, statement)
    return table


def _plain(statement: statements.Statement) -> statements.Statement:
    """Returns what to ask each proxy: filters apply to the merged table."""
    if isinstance(statement, statements.Show):
        return statements.Show(statement.subject)
    return statement


def _topic(
    statement: statements.Show | statements.Explain,
) -> statements.Subject | statements.Event:
    if isinstance(statement, statements.Show):
        return statement.subject
    return statement.event


def _to_peer(
    number: int, statement: statements.Show | statements.Explain
) -> queries.PeerQuestion:
    if isinstance(statement, statements.Show):
        return queries.PeerQuestion(number, show=statement)
    return queries.PeerQuestion(number, explain=statement)
