"""Determines what a queued statement waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.sessions import choose

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets
    from fescueshunt.sessions import items


def needs_member_status(
    job: items.StatementJob,
    view: replica_sets.ReplicaSetView,
    has_connection: bool,
    now: float,
) -> bool:
    """Returns whether `job` waits for a status report of the members.

    A status report can confirm the primary without a lease, or give a log
    position that covers the commits a read must see, without a connection to
    the primary.
    """
    if view.is_confirmed(now) and has_connection:
        return False
    if job.needs_primary:
        return not view.is_failing_over and not view.is_confirmed(now)
    return choose.needed_position(job, view) is None


def wait_reason(
    job: items.StatementJob,
    view: replica_sets.ReplicaSetView | None,
    has_candidate: bool,
    now: float,
) -> str:
    """Returns what `job` waited for, as a text for logs and for the client."""
    if view is None:
        return "no upstreams known"
    if has_candidate:
        return "no connection free"
    if not job.needs_primary:
        return "no upstream fresh enough"
    if view.is_failing_over:
        return "primary is being replaced"
    if not view.primary:
        return "no primary known"
    if not view.is_confirmed(now):
        return "primary not confirmed"
    return "rejected by the primary"
