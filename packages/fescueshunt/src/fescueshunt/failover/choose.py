"""The choice of the new primary among those that promised a ballot."""

from __future__ import annotations

import dataclasses

from fescueshunt.core import document, views


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream to promote, and what decided for it."""

    upstream: document.Upstream
    reason: views.ChoiceReason


def choose(
    votes: tuple[views.Vote, ...],
    database: document.Database,
    view: views.GroupView,
    zone: str,
) -> Choice:
    """Returns whom to promote.

    The newest log goes first, by term and then by index, for it has every
    write that a majority holds. Any majority has it, so where those that stay
    are one, only they count. Among equal ones: an upstream that stays, the
    current primary, the proposer's zone, the name.
    """
    staying_votes = tuple(
        vote for vote in votes if vote.upstream not in view.leaving
    )
    if len(staying_votes) >= database.majority:
        votes = staying_votes
    newest = max(vote.last for vote in votes)
    names = {vote.upstream for vote in votes if vote.last == newest}
    equal = [u for u in database.upstreams if u.name in names]
    if len(equal) == 1:
        return Choice(equal[0], views.ChoiceReason.NEWEST_LOG)
    staying = [u for u in equal if not (u.draining or u.name in view.leaving)]
    if len(staying) == 1:
        return Choice(staying[0], views.ChoiceReason.STAYING)
    return _prefer(staying or equal, view, zone)


def _prefer(
    equal: list[document.Upstream], view: views.GroupView, zone: str
) -> Choice:
    for upstream in equal:
        if upstream.name == view.primary:
            return Choice(upstream, views.ChoiceReason.CURRENT_PRIMARY)
    for upstream in equal:
        if upstream.zone == zone:
            return Choice(upstream, views.ChoiceReason.NEAREST_ZONE)
    first = min(equal, key=lambda upstream: upstream.name)
    return Choice(first, views.ChoiceReason.NAME)
