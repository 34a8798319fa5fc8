"""Builds the messages with which a lender answers its borrowers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import loans

if TYPE_CHECKING:
    from fescueshunt import errors
    from fescueshunt.core import failures, replica_sets
    from fescueshunt.lending import loan_pool


def granted(
    pool: loan_pool.LoanPool, loan: loan_pool.Loan
) -> loans.LoanGranted:
    """Returns the message that lends the connection of a loan."""
    held = loan.conn.settings
    return loans.LoanGranted(
        loan.request.loan,
        dict(held.values),
        frozenset(held.prepared & {loan.request.prepared}),
        held.needs_reset,
        pool.expected_s(loan),
    )


def failed(
    loan: loan_pool.Loan,
    error: errors.FescueshuntError,
    refusal: failures.Failure | None,
) -> loans.LoanFailed:
    """Returns the message that ends or refuses a loan.

    `refusal` is the reason that the upstream gave, or None.
    """
    return loans.LoanFailed(
        loan.request.loan,
        error.code,
        error.detail,
        refusal,
        error.retry_after_s,
    )


def position_report(
    database: str, view: replica_sets.ReplicaSetView | None, now: float
) -> loans.PositionReport:
    """Returns the newest log position that `view` of a database knows."""
    if view is None or not view.samples:
        return loans.PositionReport(database, 0.0, None)
    newest = view.samples[-1]
    return loans.PositionReport(database, now - newest.at, newest.end)
