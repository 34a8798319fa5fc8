"""Selection of the upstream for a request."""

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


class ReadPreference(abc.ABC):
    """Decides which requests only the primary may serve."""

    @abc.abstractmethod
    def requires_primary(self, work: items.Work) -> bool:
        """Returns whether only the primary may serve `work`."""


class NearestReplica(ReadPreference):
    """Prefers the nearest replica that satisfies the token and age limit."""

    def requires_primary(self, work: items.Work) -> bool:
        """Returns whether no replica can serve `work`."""
        return requires_primary(work)


class PrimaryOnly(ReadPreference):
    """Sends every request to the primary; a baseline for comparisons."""

    def requires_primary(self, work: items.Work) -> bool:
        """Returns True, as every request goes to the primary."""
        return True


def requires_primary(work: items.Work) -> bool:
    """Returns whether only the primary can serve `work`.

    This holds for all kinds but reads. It also holds for a read without a
    session token and age limit, and for a read of a session in which the
    outcome of an earlier write is unknown.
    """
    if work.req.kind in PRIMARY_KINDS or work.req.unsure:
        return True
    return work.req.after is None and max_age_s(work) is None


def max_age_s(work: items.Work) -> float | None:
    """Returns the maximum data age that a read accepts, in seconds.

    The request takes precedence over its service; None means no age limit.
    """
    if work.req.max_age_s is not None:
        return work.req.max_age_s
    return work.service.max_age_s


def choose_upstream(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
    zone: str,
    read_preference: ReadPreference | None = None,
    overloaded: frozenset[str] = frozenset(),
) -> str:
    """Returns the upstream to try next, or "" if there is none.

    An upstream in `overloaded` is chosen only if no other replica is available.
    The primary doesn't replace an overloaded replica, as its slots are reserved
    for writes.
    """
    if work.suggested and work.suggested not in work.excluded:
        return work.suggested
    if (read_preference or NearestReplica()).requires_primary(work):
        return _primary_or_guess(work, database, brief)
    return _nearest_upstream(work, database, brief, zone, overloaded)


def _primary_or_guess(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
) -> str:
    """Returns the known primary, or else a guess that varies by attempt."""
    if brief is not None and brief.primary:
        return brief.primary
    names = [upstream.name for upstream in database.upstreams]
    ranked_names = rendezvous.sort_by_weight(
        f"{work.key}/{work.attempts}", names
    )
    return ranked_names[0] if ranked_names else ""


def _nearest_upstream(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
    zone: str,
    overloaded: frozenset[str],
) -> str:
    available = _available_upstreams(work, database, brief)
    primary = brief.primary if brief is not None else ""
    ranked_names = rendezvous.sort_by_weight(
        work.req.request_id.hex(), [upstream.name for upstream in available]
    )
    ordered = sorted(
        available,
        key=lambda upstream: (
            upstream.name == primary,
            upstream.name in overloaded,
            upstream.zone != zone,
            ranked_names.index(upstream.name),
        ),
    )
    return ordered[0].name if ordered else primary


def _available_upstreams(
    work: items.Work,
    database: document.Database,
    brief: peer.GroupBrief | None,
) -> list[document.Upstream]:
    unavailable = set(work.excluded)
    if brief is not None:
        unavailable |= {
            upstream.name
            for upstream in brief.upstreams
            if upstream.leaving or not upstream.reachable
        }
    return [
        upstream
        for upstream in database.upstreams
        if upstream.name not in unavailable and not upstream.draining
    ]


def find_fresh_replica(
    work: items.Work,
    view: views.GroupView,
    now: float,
    excluded_names: Iterable[str],
) -> str:
    """Returns a replica whose last status satisfies `work`, or "" if none."""
    for state in view.states:
        if state.name in excluded_names or state.name in view.leaving:
            continue
        if state.name != view.primary and is_fresh_enough(
            work, view, state, now
        ):
            return state.name
    return ""


def is_fresh_enough(
    work: items.Work,
    view: views.GroupView,
    state: views.UpstreamState,
    now: float,
) -> bool:
    """Returns whether the last status of an upstream satisfies `work`.

    The upstream must have the position in the session token, and its data must
    not be older than the age limit.
    """
    if state.status is None or state.failed_at is not None:
        return False
    history = state.status.history
    if not view.is_non_divergent(history, now):
        return False
    if work.req.after is not None and not history.holds(work.req.after):
        return False
    limit_s = max_age_s(work)
    return limit_s is None or view.max_data_age_s(history, now) <= limit_s
