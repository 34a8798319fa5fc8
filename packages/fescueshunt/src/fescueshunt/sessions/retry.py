"""What follows when a statement got no success: try again, or say which way.

A statement is tried again only if it is known not to have run, or if it only
reads and nothing of its transaction was answered yet. A connection that closes
rolls its transaction back, so everything but a commit and a single write that
were sent can be promised not to be kept.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import sessions
from fescueshunt.sessions import steps

if TYPE_CHECKING:
    from fescueshunt.sessions import items

MAX_TRIES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What follows.

    Attributes:
      failure: what the client is told; None to try again.
      avoid: whether the next try goes to another upstream.
    """

    failure: sessions.Failure | None
    detail: str = ""
    avoid: bool = True


def on_reply(
    work: items.Work,
    reply: sessions.UpstreamReply,
    is_final: bool,
    now: float,
) -> Decision:
    """Decides on a reply that is no success.

    `is_final` tells whether it is to the client's statement itself.
    """
    not_run = not is_final or reply.failure in sessions.NOT_RUN
    if not_run and _may_move(work) and _has_time(work, now):
        is_busy = reply.failure is sessions.Failure.BUSY
        return Decision(None, avoid=not is_busy)
    failure = reply.failure
    if not is_final:
        failure = sessions.Failure.BUSY
    if work.in_transaction and failure is sessions.Failure.NO_STATEMENT:
        failure = sessions.Failure.ABORTED
    return Decision(failure, reply.detail)


def on_loss(work: items.Work, detail: str, now: float) -> Decision:
    """Decides on a connection that was lost with `work` on it."""
    if work.sent and steps.commits(work):
        return Decision(sessions.Failure.IN_DOUBT, detail)
    if _may_move(work) and _has_time(work, now):
        return Decision(None)
    if work.in_transaction:
        return Decision(sessions.Failure.ABORTED, detail)
    if now > work.expire_at:
        return Decision(sessions.Failure.TIMEOUT, detail)
    return Decision(sessions.Failure.BUSY, detail)


def on_refusal(why: str) -> Decision:
    """Decides on work that could not be sent in time, for the reason `why`."""
    return Decision(sessions.Failure.BUSY, why)


def _may_move(work: items.Work) -> bool:
    return not work.in_transaction or work.opens


def _has_time(work: items.Work, now: float) -> bool:
    return now < work.expire_at and work.tries < MAX_TRIES
