"""Borrows connections to upstreams from other hosts.

To the sessions pipe, a borrowed connection behaves like one of its own: it is
opened, runs calls, and may fail. A lender that does not answer for some time is
given up with all that it lent.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    connection_settings,
    filters,
    loans,
    peer_items,
    replica_sets,
    session_items,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

# A lender that owes an answer is asked for a sign of life after this time.
PING_AFTER_S = 0.25
# It is given up if it does not answer that for so long.
PONG_TIMEOUT_S = 0.6
# After a pause of this host, the answers that came meanwhile are read first.
MAX_TICK_GAP_S = 0.15


@dataclasses.dataclass(slots=True)
class Lender:
    """A host that lends connections to this one.

    Attributes:
      address: its address for other hosts.
      loans: the ids of the connections that it lends, or was asked for, with
        whether it owes an answer for them.
      waiting_since: since when it has owed an answer without sending any
        message; None if it owes none.
      pinged_at: when it was asked for a sign of life; None if it has given one.
    """

    address: str
    loans: dict[int, bool] = dataclasses.field(default_factory=dict)
    waiting_since: float | None = None
    pinged_at: float | None = None


class Borrower(filters.Filter):
    """Translates the use of borrowed connections into messages to lenders."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._lenders: dict[str, Lender] = {}
        self._lender_of: dict[int, str] = {}
        self._positions_asked: dict[str, float] = {}
        self._last_tick_at = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields messages to lenders, and what happened to connections."""
        match item:
            case session_items.BorrowConnection():
                yield from self._borrow(item)
            case session_items.SendCall():
                message = loans.RunCall(item.connection_id, item.call)
                yield from self._send(item, message, owes_answer=True)
            case session_items.ReturnConnection():
                message = loans.ReturnLoan(item.connection_id)
                yield from self._send(item, message)
                self._forget(item.connection_id)
            case session_items.CloseConnection():
                message = loans.EndLoan(item.connection_id)
                yield from self._send(item, message)
                self._forget(item.connection_id)
            case session_items.GreetLender():
                yield self._ask(
                    item.lender, item.address, loans.Ping(), item.at
                )
            case session_items.AskPosition():
                yield from self._ask_position(item)
            case peer_items.PeerAnswered():
                yield from self._handle_answer(item)
            case peer_items.PeerLost():
                yield from self._fail_loans(item.host, item.at)
            case filters.Tick():
                yield from self._check_lenders(item.at)
                yield item
            case _:
                yield item

    def _borrow(
        self, item: session_items.BorrowConnection
    ) -> Iterator[filters.Item]:
        lender = self._lenders.setdefault(item.lender, Lender(item.address))
        lender.address = item.address
        self._lender_of[item.connection_id] = item.lender
        yield from self._send(item, item.request, owes_answer=True)

    def _send(
        self,
        item: session_items.BorrowConnection
        | session_items.SendCall
        | session_items.ReturnConnection
        | session_items.CloseConnection,
        message: loans.LoanMessage,
        *,
        owes_answer: bool = False,
    ) -> Iterator[filters.Item]:
        """Sends a message about a borrowed connection; ignores all others."""
        host = self._lender_of.get(item.connection_id)
        if host is None:
            return
        lender = self._lenders[host]
        lender.loans[item.connection_id] = owes_answer
        if owes_answer and lender.waiting_since is None:
            lender.waiting_since = item.at
        yield self._ask(host, lender.address, message, item.at)

    def _ask(
        self,
        host: str,
        address: str,
        message: peer_items.PeerMessage,
        now: float,
    ) -> filters.Item:
        return peer_items.ask(self._own_name, host, address, message, now)

    def _forget(self, connection_id: int) -> None:
        host = self._lender_of.pop(connection_id, None)
        if host is not None:
            self._lenders[host].loans.pop(connection_id, None)

    def _ask_position(
        self, item: session_items.AskPosition
    ) -> Iterator[filters.Item]:
        self._positions_asked[item.database] = item.at
        message = loans.PositionRequest(item.database)
        yield self._ask(item.lender, item.address, message, item.at)

    def _handle_answer(
        self, item: peer_items.PeerAnswered
    ) -> Iterator[filters.Item]:
        lender = self._lenders.get(item.host)
        if lender is not None:
            lender.pinged_at = None
            lender.waiting_since = item.at
        message = item.message
        match message:
            case loans.PositionReport():
                yield from self._learn_position(message, item.at)
            case loans.LoanMessage() if (
                self._lender_of.get(message.loan) == item.host
            ):
                lender.loans[message.loan] = False
                yield from self._handle_loan(message, item.at)
        if lender is not None and not any(lender.loans.values()):
            lender.waiting_since = None

    def _handle_loan(
        self, message: loans.LoanMessage, now: float
    ) -> Iterator[filters.Item]:
        match message:
            case loans.LoanGranted():
                held = connection_settings.ConnectionSettings(
                    dict(message.values),
                    set(message.prepared),
                    message.needs_reset,
                )
                yield session_items.ConnectionOpened(
                    now, message.loan, held, message.expected_s
                )
            case loans.CallDone():
                yield session_items.CallReplied(
                    now, message.loan, message.reply
                )
            case loans.LoanFailed():
                self._forget(message.loan)
                error_class = errors.class_for_code(message.error)
                yield session_items.ConnectionFailed(
                    now,
                    message.loan,
                    error_class(message.detail, message.retry_after_s),
                    message.refusal,
                )

    def _learn_position(
        self, message: loans.PositionReport, now: float
    ) -> Iterator[filters.Item]:
        asked_at = self._positions_asked.pop(message.database, None)
        if asked_at is not None and message.end is not None:
            # The lender took the position's age after it was asked, so the
            # position is at least as new as it is counted here.
            yield session_items.PositionLearned(
                now, message.database, asked_at - message.age_s, message.end
            )

    def _fail_loans(self, host: str, now: float) -> Iterator[filters.Item]:
        lender = self._lenders.pop(host, None)
        if lender is None:
            return
        for connection_id in lender.loans:
            del self._lender_of[connection_id]
        for connection_id in lender.loans:
            yield session_items.ConnectionFailed(
                now, connection_id, errors.LenderLostError(host)
            )

    def _check_lenders(self, now: float) -> Iterator[filters.Item]:
        """Asks lenders that owe answers for a sign of life; gives them up."""
        gap_s, self._last_tick_at = now - self._last_tick_at, now
        for host, lender in list(self._lenders.items()):
            if host == self._own_name or lender.waiting_since is None:
                continue
            if gap_s > MAX_TICK_GAP_S:
                lender.waiting_since, lender.pinged_at = now, None
            elif lender.pinged_at is not None:
                if now - lender.pinged_at > PONG_TIMEOUT_S:
                    yield peer_items.DropPeer(now, host)
                    yield from self._fail_loans(host, now)
            elif now - lender.waiting_since > PING_AFTER_S:
                lender.pinged_at = now
                yield self._ask(host, lender.address, loans.Ping(), now)
