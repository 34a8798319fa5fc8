"""Builds final answers and decides which errors callers may see."""

from __future__ import annotations

import dataclasses

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt.request import items

# A transaction takes effect only with its COMMIT.
KINDS_WITHOUT_EFFECT = frozenset(
    {
        request.Kind.READ,
        request.Kind.BEGIN,
        request.Kind.STEP,
        request.Kind.ROLLBACK,
    }
)


def may_have_run(work: items.Work) -> bool:
    """Returns whether an attempt without a reply may have taken effect."""
    return work.req.kind not in KINDS_WITHOUT_EFFECT


def transaction_of(req: request.Request) -> bytes:
    """Returns the id of the transaction of `req`, or empty bytes."""
    match req.kind:
        case request.Kind.BEGIN:
            return req.request_id
        case request.Kind.STEP | request.Kind.COMMIT | request.Kind.ROLLBACK:
            return req.transaction
        case _:
            return b""


def finish(
    now: float, work: items.Work, answer: request.Answer
) -> items.Answered:
    """Returns `work` with its final answer, whose error may be replaced.

    The answer must not claim more than is known. If `work` is in doubt, an
    error becomes an unknown outcome, as the work may have run. The same holds
    for an outcome query, which only the ledger can answer. If `work` is
    not in doubt and lost its connections, it did not run, and the error becomes
    a missed deadline.
    """
    error = answer.error
    if error is None or isinstance(error, DEFINITE_ERRORS):
        return finish_unchanged(now, work, answer)
    if work.in_doubt or work.req.kind is request.Kind.OUTCOME:
        error = errors.OutcomeUnknownError(str(error))
    elif isinstance(error, errors.ConnectionLostError):
        error = errors.DeadlineError(str(error))
    safe_answer = dataclasses.replace(answer, results=(), error=error)
    return finish_unchanged(now, work, safe_answer)


def finish_unchanged(
    now: float, work: items.Work, answer: request.Answer
) -> items.Answered:
    """Returns `work` with `answer` as it is.

    The caller must ensure that the answer claims no more than is known.
    """
    return items.Answered(
        now,
        work.origin,
        work.req.database,
        work.rank.name,
        answer,
        now - work.at,
        transaction_of(work.req),
    )


def refuse(
    now: float, work: items.Work, error: errors.FescueshuntError
) -> items.Answered:
    """Returns `work` answered with `error`, or as unknown if in doubt."""
    return finish(now, work, request.Answer(work.req.request_id, error=error))


def expiry_error(req: request.Request) -> errors.FescueshuntError:
    """Returns the error of a request whose attempt got no reply in time."""
    if req.kind in KINDS_WITHOUT_EFFECT:
        return errors.DeadlineError()
    return errors.OutcomeUnknownError("no reply before the deadline")


def expire(now: float, work: items.Work) -> items.Answered:
    """Returns the answer to work whose attempt got no reply in time."""
    return refuse(now, work, expiry_error(work.req))


# Errors read from the ledger, after which no earlier attempt can still run.
DEFINITE_ERRORS = (errors.RequestCancelledError, errors.RequestIdReusedError)
