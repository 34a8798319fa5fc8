"""Messages about loans: connections to upstreams that hosts lend each other.

A borrower asks for a connection to an upstream under a number of its own. From
the moment it is lent until it is given back or closed, the borrower decides
what runs on it, and the lender only passes calls and replies on. So the
promises to clients rest on the borrower alone.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import peer_items

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import failures, position, sessions


class LoanMessage(peer_items.PeerMessage):
    """A message about the loan with the borrower's number `loan`."""

    loan: int


# From the borrower.


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest(LoanMessage):
    """Asks for a connection.

    Attributes:
      loan: the borrower's number for the loan.
      upstream: the id of the upstream.
      account: the client account whose statements are to run, or "".
      priority: the priority of the statement that waits; 0 goes first.
      target_s: the time until which an answer has its full value, in seconds.
      wait_s: how long the statement may wait, in seconds.
      values: the session values that the statement needs.
      prepared: the name of the prepared statement that it needs, or "".
    """

    loan: int
    upstream: str
    account: str
    priority: int
    target_s: float
    wait_s: float
    values: Mapping[str, str]
    prepared: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall(LoanMessage):
    """Runs a call on the connection; at most one is in flight."""

    loan: int
    call: sessions.UpstreamCall


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnLoan(LoanMessage):
    """Gives the connection back; no transaction is open on it."""

    loan: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndLoan(LoanMessage):
    """Ends the loan or the request; a connection that was lent is closed."""

    loan: int


# From the lender.


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted(LoanMessage):
    """Lends a connection.

    Attributes:
      loan: the borrower's number for the loan.
      values: the session values that are set on the connection.
      prepared: which of the requested prepared statements it has.
      needs_reset: whether it has to be reset before a statement runs.
      expected_s: how long a statement of the same priority takes at present,
        with its wait at the lender; in seconds.
    """

    loan: int
    values: Mapping[str, str]
    prepared: frozenset[str]
    needs_reset: bool
    expected_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallDone(LoanMessage):
    """Passes on the upstream's reply to the call in flight."""

    loan: int
    reply: sessions.UpstreamReply


@dataclasses.dataclass(frozen=True, slots=True)
class LoanFailed(LoanMessage):
    """Ends a loan, or refuses it.

    Attributes:
      loan: the borrower's number for the loan.
      error: the code of the error.
      detail: a description of it.
      refusal: the reason that the upstream gave for refusing a connection.
      retry_after_s: how long a request would wait, in seconds, if the lender
        refuses it for that; else 0.
    """

    loan: int
    error: str
    detail: str = ""
    refusal: failures.Failure | None = None
    retry_after_s: float = 0.0


# Both.


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(peer_items.PeerMessage):
    """Asks whether the other host runs; it answers with a `Pong`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong(peer_items.PeerMessage):
    """Answers a `Ping`."""


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRequest(peer_items.PeerMessage):
    """Asks for a log position that covers all commits acknowledged so far."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class PositionReport(peer_items.PeerMessage):
    """Tells a log position.

    Attributes:
      database: the database.
      age_s: how long ago the position covered all acknowledged commits, in
        seconds before the request arrived.
      end: the position; None if none is known.
    """

    database: str
    age_s: float
    end: position.Position | None
