"""Selects the new primary among the upstreams that promised a ballot."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import document, views


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream to promote, and the criterion that selected it."""

    upstream: document.Upstream
    reason: views.ChoiceReason


def select_primary(
    votes: tuple[views.Vote, ...],
    database: document.Database,
    view: views.GroupView,
    zone: str,
) -> Choice:
    """Selects the upstream to promote.

    The upstream with the newest log is selected, compared by the term and then
    by the index of its last entry, because that log contains every write that
    a majority holds. The votes of any majority include such a log. If the
    upstreams that are not leaving form a majority, only their votes count.
    Ties are broken in this order: an upstream that is neither leaving nor
    draining, the current primary, an upstream in the proposer's zone, the
    first name in alphabetical order.
    """
    staying_votes = tuple(
        vote for vote in votes if vote.upstream not in view.leaving
    )
    if len(staying_votes) >= database.majority:
        votes = staying_votes
    newest_position = max(vote.last for vote in votes)
    names = {vote.upstream for vote in votes if vote.last == newest_position}
    candidates = [
        candidate for candidate in database.upstreams if candidate.name in names
    ]
    if len(candidates) == 1:
        return Choice(candidates[0], views.ChoiceReason.NEWEST_LOG)
    staying = [
        candidate
        for candidate in candidates
        if not (candidate.draining or candidate.name in view.leaving)
    ]
    if len(staying) == 1:
        return Choice(staying[0], views.ChoiceReason.STAYING)
    return _break_tie(staying or candidates, view, zone)


def _break_tie(
    candidates: list[document.Upstream], view: views.GroupView, zone: str
) -> Choice:
    for upstream in candidates:
        if upstream.name == view.primary:
            return Choice(upstream, views.ChoiceReason.CURRENT_PRIMARY)
    for upstream in candidates:
        if upstream.zone == zone:
            return Choice(upstream, views.ChoiceReason.NEAREST_ZONE)
    first_by_name = min(candidates, key=lambda upstream: upstream.name)
    return Choice(first_by_name, views.ChoiceReason.NAME)
