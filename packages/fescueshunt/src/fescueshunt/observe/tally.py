"""The tally: callers' sessions, and why requests were refused."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, queries, statements
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt import errors

SESSION_COLUMNS = ("conn", "caller", "requests", "database", "idle_s")
REFUSAL_COLUMNS = ("code", "outcome", "count", "last_ago_s")
MS_DIGITS = 3


@dataclasses.dataclass(slots=True)
class Session:
    """One connection of a caller."""

    caller: str
    requests: int = 0
    database: str = ""
    seen_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Refusal:
    """How often a kind of error was answered."""

    outcome: str
    count: int = 0
    seen_at: float = 0.0


@dataclasses.dataclass(slots=True)
class TallyState:
    """What the filter remembers."""

    sessions: dict[int, Session] = dataclasses.field(default_factory=dict)
    refusals: dict[str, Refusal] = dataclasses.field(default_factory=dict)


class Tally(filters.Filter):
    """Counts requests of callers and errors in their answers."""

    def __init__(self) -> None:
        self._state = TallyState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to SHOW SESSIONS and SHOW REFUSALS."""
        match item:
            case core_items.CallerRequest():
                self._count(item)
            case core_items.CallerClosed():
                self._state.sessions.pop(item.conn, None)
            case core_items.AnswerCaller() if item.answer.error is not None:
                self._refuse(item.at, item.answer.error)
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.SESSIONS)
            ):
                yield _answer(item, SESSION_COLUMNS, self._sessions(item.at))
                return
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.REFUSALS)
            ):
                yield _answer(item, REFUSAL_COLUMNS, self._refusals(item.at))
                return
        yield item

    def _count(self, item: core_items.CallerRequest) -> None:
        session = self._state.sessions.get(item.conn)
        if session is None:
            session = Session(item.req.caller)
            self._state.sessions[item.conn] = session
        session.requests += 1
        session.database = item.req.database
        session.seen_at = item.at

    def _refuse(self, now: float, error: errors.FescueshuntError) -> None:
        refusal = self._state.refusals.get(error.code)
        if refusal is None:
            refusal = Refusal(error.outcome.value)
            self._state.refusals[error.code] = refusal
        refusal.count += 1
        refusal.seen_at = now

    def _sessions(self, now: float) -> Iterator[tuple]:
        for conn, session in self._state.sessions.items():
            idle_s = round(now - session.seen_at, MS_DIGITS)
            yield (
                conn,
                session.caller,
                session.requests,
                session.database,
                idle_s,
            )

    def _refusals(self, now: float) -> Iterator[tuple]:
        for code, refusal in self._state.refusals.items():
            ago_s = round(now - refusal.seen_at, MS_DIGITS)
            yield (code, refusal.outcome, refusal.count, ago_s)


def _answer(
    asked: queries.LocalQuery,
    columns: tuple[str, ...],
    rows: Iterator[tuple],
) -> queries.LocalReply:
    answer = statements.OperatorAnswer(statements.Table(columns, tuple(rows)))
    return queries.LocalReply(asked.at, asked.number, answer)
