"""How work ends: what a caller may be told when it can't be served."""

from __future__ import annotations

import dataclasses

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt.request import items

# A transaction has no effect before its COMMIT.
EFFECTLESS_KINDS = frozenset(
    {
        request.Kind.READ,
        request.Kind.BEGIN,
        request.Kind.STEP,
        request.Kind.ROLLBACK,
    }
)


def may_have_run(work: items.Work) -> bool:
    """Tells whether an attempt that went silent may have had an effect."""
    return work.req.kind not in EFFECTLESS_KINDS


def transaction_of(req: request.Request) -> bytes:
    """Returns the transaction that `req` belongs to, empty for none."""
    match req.kind:
        case request.Kind.BEGIN:
            return req.request_id
        case request.Kind.STEP | request.Kind.COMMIT | request.Kind.ROLLBACK:
            return req.transaction
        case _:
            return b""


def finish(
    now: float, work: items.Work, answer: request.Answer
) -> items.Finished:
    """Returns the end of `work` with `answer`, which says no more than known.

    Work in doubt is not called failed or not run. The question for an
    outcome is answered by the ledger or not at all. Work that is not in
    doubt and only lost its connections was not run.
    """
    error = answer.error
    if error is None or isinstance(error, SETTLED):
        return pass_on(now, work, answer)
    if work.in_doubt or work.req.kind is request.Kind.OUTCOME:
        error = errors.OutcomeUnknownError(str(error))
    elif isinstance(error, errors.ConnectionLostError):
        error = errors.DeadlineError(str(error))
    safe = dataclasses.replace(answer, results=(), error=error)
    return pass_on(now, work, safe)


def pass_on(
    now: float, work: items.Work, answer: request.Answer
) -> items.Finished:
    """Returns the end of `work` with an answer that is safe already."""
    return items.Finished(
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
) -> items.Finished:
    """Returns the refusal of `work`; an unknown outcome if in doubt."""
    return finish(now, work, request.Answer(work.req.request_id, error=error))


def expire(now: float, work: items.Work) -> items.Finished:
    """Returns the end of work that was handed out and didn't come back."""
    if may_have_run(work):
        return refuse(now, work, errors.OutcomeUnknownError("deadline"))
    return refuse(now, work, errors.DeadlineError())


# The ledger itself has told these; no earlier attempt can still run.
SETTLED = (errors.RequestCancelledError, errors.RequestIdReusedError)
