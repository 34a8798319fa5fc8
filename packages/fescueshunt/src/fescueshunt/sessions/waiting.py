"""What a statement in the queue waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.sessions import choose

if TYPE_CHECKING:
    from fescueshunt.core import replica_sets
    from fescueshunt.sessions import items


def needs_status(
    work: items.Work,
    view: replica_sets.ReplicaSetView,
    has_link: bool,
    now: float,
) -> bool:
    """Tells whether `work` waits for what the members can tell.

    That is who leads, without a lease, or a position that covers what a read
    has to see, without a connection to the primary.
    """
    if view.is_confirmed(now) and has_link:
        return False
    if work.needs_primary:
        return not view.is_moving and not view.is_confirmed(now)
    return choose.needed_position(work, view) is None


def why(
    work: items.Work,
    view: replica_sets.ReplicaSetView | None,
    has_choice: bool,
    now: float,
) -> str:
    """Returns what `work` waited for, for logs and for the client."""
    if view is None:
        return "no upstreams known"
    if has_choice:
        return "no connection free"
    if not work.needs_primary:
        return "no upstream fresh enough"
    if view.is_moving:
        return "primary is being replaced"
    if not view.primary:
        return "no primary known"
    if not view.is_confirmed(now):
        return "primary not confirmed"
    return "primary turned it away"
