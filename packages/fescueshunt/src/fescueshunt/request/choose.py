"""The choice of an upstream for a piece of work."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from fescueshunt.core import document, peer, rendezvous, request, views

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fescueshunt.request import items

PRIMARY_KINDS = frozenset(
    {
        request.Kind.WRITE,
        request.Kind.BEGIN,
        request.Kind.OUTCOME,
        request.Kind.COMMIT,
        request.Kind.STEP,
        request.Kind.ROLLBACK,
    }
)


class Placement(abc.ABC):
    """Where reads go."""

    @abc.abstractmethod
    def wants_primary(self, work: items.Work) -> bool:
        """Tells whether only the primary may serve `work`."""


class NearestReplica(Placement):
    """Reads go to a replica that token and age allow, the nearest first."""

    def wants_primary(self, work: items.Work) -> bool:
        """Tells whether no replica can serve `work`."""
        return wants_primary(work)


class PrimaryOnly(Placement):
    """Everything goes to the primary; a baseline."""

    def wants_primary(self, work: items.Work) -> bool:
        """Returns True."""
        return True


def wants_primary(work: items.Work) -> bool:
    """Tells whether only the primary can serve `work`.

    A read does where the session has no token and accepts no age, and where
    the outcome of an earlier write of the session is unknown.
    """
    if work.req.kind in PRIMARY_KINDS or work.req.unsure:
        return True
    return work.req.after is None and max_age_s(work) is None


def max_age_s(work: items.Work) -> float | None:
    """Returns the age that a read accepts; None for token only."""
    if work.req.max_age_s is not None:
        return work.req.max_age_s
    return work.service.max_age_s


def for_entry(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
    zone: str,
    placement: Placement | None = None,
    busy: frozenset[str] = frozenset(),
) -> str:
    """Returns the upstream whose home gets `work`, "" for none.

    One of the `busy` upstreams is named only where no other replica is left.
    The primary isn't named in place of a busy replica: its slots are kept for
    writes.
    """
    if work.suggested and work.suggested not in work.avoid:
        return work.suggested
    if (placement or NearestReplica()).wants_primary(work):
        return _primary_or_any(work, database, brief)
    return _nearest(work, database, brief, zone, busy)


def _primary_or_any(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
) -> str:
    if brief is not None and brief.primary:
        return brief.primary
    names = [u.name for u in database.upstreams]
    turn = rendezvous.sort_by_weight(f"{work.key}/{work.attempts}", names)
    return turn[0] if turn else ""


def _nearest(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
    zone: str,
    busy: frozenset[str],
) -> str:
    usable = _usable(work, database, brief)
    primary = brief.primary if brief is not None else ""
    turn = rendezvous.sort_by_weight(
        work.req.request_id.hex(), [u.name for u in usable]
    )
    ordered = sorted(
        usable,
        key=lambda u: (
            u.name == primary,
            u.name in busy,
            u.zone != zone,
            turn.index(u.name),
        ),
    )
    return ordered[0].name if ordered else primary


def _usable(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
) -> list[document.Upstream]:
    closed = set(work.avoid)
    if brief is not None:
        closed |= {
            u.name for u in brief.upstreams if u.leaving or not u.reachable
        }
    return [
        u for u in database.upstreams if u.name not in closed and not u.draining
    ]


def satisfying(
    work: items.Work, view: views.GroupView, now: float, tried: Iterable[str]
) -> str:
    """Returns a replica that is known to be new enough, "" for none."""
    for state in view.states:
        if state.name in tried or state.name in view.leaving:
            continue
        if state.name != view.primary and is_new_enough(work, view, state, now):
            return state.name
    return ""


def is_new_enough(
    work: items.Work,
    view: views.GroupView,
    state: views.UpstreamState,
    now: float,
) -> bool:
    """Tells whether the upstream's last status satisfies token and age."""
    if state.status is None or state.failed_at is not None:
        return False
    history = state.status.history
    if not view.is_non_divergent(history, now):
        return False
    if work.req.after is not None and not history.holds(work.req.after):
        return False
    limit_s = max_age_s(work)
    return limit_s is None or view.max_data_age_s(history, now) <= limit_s
