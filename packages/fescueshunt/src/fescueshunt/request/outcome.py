"""How work ends: what a caller may be told when it can't be served."""

from __future__ import annotations

import dataclasses

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt.request import items

EFFECTLESS_KINDS = frozenset({request.Kind.READ, request.Kind.ROLLBACK})


def may_have_run(work: items.Work) -> bool:
    """Tells whether an attempt that went silent may have had an effect."""
    return work.req.kind not in EFFECTLESS_KINDS


def finish(
    now: float, work: items.Work, answer: request.Answer
) -> items.Finished:
    """Returns the end of `work` with `answer`, made safe for doubt."""
    if work.in_doubt and _contradicts_doubt(answer.error):
        error = errors.OutcomeUnknownError(str(answer.error))
        answer = dataclasses.replace(answer, results=(), error=error)
    return items.Finished(
        now,
        work.origin,
        work.req.database,
        work.rank.name,
        answer,
        now - work.at,
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


def _contradicts_doubt(error: errors.FescueshuntError | None) -> bool:
    if error is None or isinstance(error, SETTLED):
        return False
    return error.outcome in (errors.Outcome.NOT_RUN, errors.Outcome.FAILED)


# The ledger itself has told these; no earlier attempt can still run.
SETTLED = (errors.RequestCancelledError, errors.RequestIdReusedError)
