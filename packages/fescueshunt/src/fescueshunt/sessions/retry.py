"""Decides whether a failed statement is retried, or how it fails.

A statement is retried only if it is known not to have run, or if it only reads
and no statement of its transaction was answered yet. The upstream rolls a
transaction back when its connection closes. The proxy can therefore report that
no change was kept, unless a commit, or a write outside a
transaction, had been sent.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions
from fescueshunt.sessions import steps

if TYPE_CHECKING:
    from fescueshunt.sessions import items

MAX_ATTEMPTS = 8
# The failures after which the same upstream may run the statement: it was busy,
# or its connection lacked a prepared statement and is reset first.
WORTH_ANOTHER_TRY = frozenset(
    {failures.Failure.BUSY, failures.Failure.NO_STATEMENT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a statement whose attempt failed.

    Attributes:
      failure: the failure to report to the client; None to retry.
      detail: a text about the failure, for logs and for the client.
      avoid_upstream: whether the retry must use another upstream.
    """

    failure: failures.Failure | None
    detail: str = ""
    avoid_upstream: bool = True


def decide_after_failure_reply(
    job: items.StatementJob,
    reply: sessions.UpstreamReply,
    is_client_statement: bool,
    now: float,
) -> Decision:
    """Decides what follows a reply that reports a failure.

    `is_client_statement` is False if the reply is to a call that prepares the
    connection, and not to the client's statement itself.
    """
    not_run = not is_client_statement or reply.failure in failures.NOT_RUN
    if not_run and _may_run_elsewhere(job) and _has_time(job, now):
        may_run_there = reply.failure in WORTH_ANOTHER_TRY
        return Decision(None, avoid_upstream=not may_run_there)
    failure = reply.failure
    if not is_client_statement:
        failure = failures.Failure.BUSY
    if job.in_transaction and failure is failures.Failure.NO_STATEMENT:
        failure = failures.Failure.ABORTED
    return Decision(failure, reply.detail)


def decide_after_connection_loss(
    job: items.StatementJob,
    detail: str,
    now: float,
    *,
    may_have_committed: bool = False,
) -> Decision:
    """Decides what follows the loss of the connection that `job` ran on.

    `may_have_committed` says that writes of its transaction may have been
    committed, so that the outcome is in doubt.
    """
    is_committing = job.statement_sent and steps.commits_changes(job)
    if is_committing or may_have_committed:
        return Decision(failures.Failure.IN_DOUBT, detail)
    if _may_run_elsewhere(job) and _has_time(job, now):
        return Decision(None)
    if job.in_transaction:
        return Decision(failures.Failure.ABORTED, detail)
    if now > job.answer_deadline:
        return Decision(failures.Failure.TIMEOUT, detail)
    return Decision(failures.Failure.BUSY, detail)


def decide_after_rejection(reason: str) -> Decision:
    """Decides what follows the rejection of a statement by the queue."""
    return Decision(failures.Failure.BUSY, reason)


def _may_run_elsewhere(job: items.StatementJob) -> bool:
    return not job.in_transaction or job.begins_transaction


def _has_time(job: items.StatementJob, now: float) -> bool:
    return now < job.answer_deadline and job.attempts < MAX_ATTEMPTS
