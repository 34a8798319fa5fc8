"""Filter that counts callers' requests and the errors returned to callers."""

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
SECONDS_DECIMALS = 3


@dataclasses.dataclass(slots=True)
class CallerSession:
    """A connection of a caller, with the requests received on it.

    Attributes:
      caller: the name of the caller.
      requests: the number of requests received.
      database: the database of the newest request.
      last_request_at: when the newest request arrived; seconds, local clock.
    """

    caller: str
    requests: int = 0
    database: str = ""
    last_request_at: float = 0.0


@dataclasses.dataclass(slots=True)
class RefusalCount:
    """The answers to callers that had the same error code.

    Attributes:
      outcome: the outcome that the error code implies for the request.
      count: the number of answers.
      last_answer_at: when the newest one was sent; seconds, local clock.
    """

    outcome: str
    count: int = 0
    last_answer_at: float = 0.0


@dataclasses.dataclass(slots=True)
class CountersState:
    """The state of the filter.

    Attributes:
      sessions: the open sessions, by connection number.
      refusals: the refusals, by error code.
    """

    sessions: dict[int, CallerSession] = dataclasses.field(default_factory=dict)
    refusals: dict[str, RefusalCount] = dataclasses.field(default_factory=dict)


class Counters(filters.Filter):
    """Counts the requests of each session and the refusals by error code."""

    def __init__(self) -> None:
        self._state = CountersState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields answers to SHOW SESSIONS and SHOW REFUSALS.

        Other items pass through, including those that are counted.
        """
        match item:
            case core_items.CallerRequest():
                self._record_request(item)
            case core_items.CallerClosed():
                self._state.sessions.pop(item.conn, None)
            case core_items.AnswerCaller() if item.answer.error is not None:
                self._record_refusal(item.at, item.answer.error)
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.SESSIONS)
            ):
                yield _answer(
                    item, SESSION_COLUMNS, self._session_rows(item.at)
                )
                return
            case queries.LocalQuery(
                statement=statements.Show(subject=statements.Subject.REFUSALS)
            ):
                yield _answer(
                    item, REFUSAL_COLUMNS, self._refusal_rows(item.at)
                )
                return
        yield item

    def _record_request(self, item: core_items.CallerRequest) -> None:
        session = self._state.sessions.get(item.conn)
        if session is None:
            session = CallerSession(item.req.caller)
            self._state.sessions[item.conn] = session
        session.requests += 1
        session.database = item.req.database
        session.last_request_at = item.at

    def _record_refusal(
        self, now: float, error: errors.FescueshuntError
    ) -> None:
        refusal = self._state.refusals.get(error.code)
        if refusal is None:
            refusal = RefusalCount(error.outcome.value)
            self._state.refusals[error.code] = refusal
        refusal.count += 1
        refusal.last_answer_at = now

    def _session_rows(self, now: float) -> Iterator[tuple]:
        for conn, session in self._state.sessions.items():
            idle_s = round(now - session.last_request_at, SECONDS_DECIMALS)
            yield (
                conn,
                session.caller,
                session.requests,
                session.database,
                idle_s,
            )

    def _refusal_rows(self, now: float) -> Iterator[tuple]:
        for code, refusal in self._state.refusals.items():
            ago_s = round(now - refusal.last_answer_at, SECONDS_DECIMALS)
            yield (code, refusal.outcome, refusal.count, ago_s)


def _answer(
    query: queries.LocalQuery,
    columns: tuple[str, ...],
    rows: Iterator[tuple],
) -> queries.LocalReply:
    answer = statements.OperatorAnswer(statements.Table(columns, tuple(rows)))
    return queries.LocalReply(query.at, query.number, answer)
