"""Proposals: fence a majority, choose the newest log, promote its holder.

A proposal is safe whatever its proposer does: an upstream promises a ballot
once, a promise outlasts every lower term, and only the upstream that promised
exactly the ballot can be promoted by it. So proposers may race, pause and die.
Source: the phases follow Lamport, "Paxos Made Simple", 2001; the choice by
last term and index follows Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014, section 5.4.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    document,
    filters,
    identity,
    position,
    upstream,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.failover import choose, items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

TURN_S = 0.3
JITTER_S = 0.05
LAPSE_S = 0.2
GRACE_S = 0.05
CALL_TIMEOUT_S = 0.6
ATTEMPT_TIMEOUT_S = 1.0
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 2.0
SETTLE_S = 1.0
ANSWERED_S = 1.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One ballot on its way."""

    ballot: position.Term
    suspected: items.Suspected
    suspected_at: float
    started_at: float
    number: int
    votes: dict[str, views.Vote] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)
    majority_at: float | None = None
    choice: choose.Choice | None = None

    @property
    def answered(self) -> int:
        """How many upstreams will give no other answer."""
        return len(self.votes) + len(self.refused) + len(self.failed)


@dataclasses.dataclass(slots=True)
class Candidacy:
    """A suspicion that this proxy may act on at `start_at`.

    Attributes:
      term: the suspected term.
      since: when the suspicion began, `held_at` when it last held.
      tried: how many ballots were begun for it.
      highest: the highest promise that a refusal has told.
    """

    term: position.Term
    since: float
    held_at: float
    start_at: float
    tried: int = 0
    highest: position.Term = position.NO_TERM
    attempt: Attempt | None = None


@dataclasses.dataclass(slots=True)
class ProposeState:
    """What proposing remembers, by database."""

    settings: document.Document = document.Document()
    candidacies: dict[str, Candidacy] = dataclasses.field(default_factory=dict)


class Propose(filters.Filter):
    """Carries out one ballot at a time for each suspected primary."""

    def __init__(self, me: identity.Identity, chance: random.Random) -> None:
        self._me = me
        self._chance = chance
        self._state = ProposeState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields fence and promote calls, and promotions that succeeded."""
        match item:
            case items.Suspected():
                yield from self._suspected(item)
            case core_items.ControlReplied(reply=upstream.Fenced()):
                yield from self._fenced(item, item.reply)
            case core_items.ControlReplied(reply=upstream.Promoted()):
                yield from self._promoted(item, item.reply)
            case core_items.ControlFailed(call=upstream.Fence()):
                yield from self._unfenced(item)
            case core_items.ControlFailed(call=upstream.Promote()):
                self._unpromoted(item)
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case filters.Tick():
                yield from self._review(item.at)
                yield item
            case _:
                yield item

    def _suspected(self, item: items.Suspected) -> Iterator[filters.Item]:
        name = item.view.database
        candidacy = self._state.candidacies.get(name)
        if candidacy is None or candidacy.term != item.view.term:
            candidacy = self._stand(item)
            self._state.candidacies[name] = candidacy
        candidacy.held_at = item.at
        due = candidacy.attempt is None and item.at >= candidacy.start_at
        database = self._state.settings.database(name)
        if due and database and _can_win(item.view, database, item.at):
            yield from self._begin(item, candidacy, database)

    def _stand(self, item: items.Suspected) -> Candidacy:
        wait_s = item.turn * TURN_S + self._chance.uniform(0, JITTER_S)
        return Candidacy(item.view.term, item.at, item.at, item.at + wait_s)

    def _begin(
        self,
        item: items.Suspected,
        candidacy: Candidacy,
        database: document.Database,
    ) -> Iterator[filters.Item]:
        candidacy.tried += 1
        ballot = self._ballot(item.view, candidacy)
        candidacy.attempt = Attempt(
            ballot, item, candidacy.since, item.at, candidacy.tried
        )
        for member in database.upstreams:
            yield _call(item.at, database, member, upstream.Fence(ballot))

    def _ballot(
        self, view: views.GroupView, candidacy: Candidacy
    ) -> position.Term:
        promises = (s.status.promised for s in view.states if s.status)
        highest = max((view.term, candidacy.highest, *promises))
        return position.Term(highest.number + 1, self._me.name)

    def _fenced(
        self, item: core_items.ControlReplied, reply: upstream.Fenced
    ) -> Iterator[filters.Item]:
        candidacy = self._candidacy_of(item.database, item.call)
        if candidacy is None:
            return
        attempt = candidacy.attempt
        if reply.accepted:
            vote = views.Vote(item.upstream, reply.history.last)
            attempt.votes[item.upstream] = vote
        else:
            attempt.refused.add(item.upstream)
            candidacy.highest = max(candidacy.highest, reply.promised)
        yield from self._advance(item.database, candidacy, item.at)

    def _unfenced(
        self, item: core_items.ControlFailed
    ) -> Iterator[filters.Item]:
        candidacy = self._candidacy_of(item.database, item.call)
        if candidacy is None:
            return
        candidacy.attempt.failed.add(item.upstream)
        yield from self._advance(item.database, candidacy, item.at)

    def _candidacy_of(self, name: str, call: upstream.Call) -> Candidacy | None:
        """Returns the candidacy whose present ballot `call` belongs to."""
        candidacy = self._state.candidacies.get(name)
        attempt = candidacy.attempt if candidacy is not None else None
        if attempt is None or attempt.ballot != call.term:
            return None
        return candidacy

    def _advance(
        self, name: str, candidacy: Candidacy, now: float
    ) -> Iterator[filters.Item]:
        """Goes on to the choice once the answers allow it, or gives up."""
        attempt = candidacy.attempt
        database = self._state.settings.database(name)
        if attempt.choice is not None or database is None:
            return
        count = len(database.upstreams)
        lost = len(attempt.refused) + len(attempt.failed)
        if lost > count - database.majority:
            self._back_off(candidacy, now)
            return
        if len(attempt.votes) < database.majority:
            return
        if attempt.majority_at is None:
            attempt.majority_at = now
        waited = now - attempt.majority_at >= GRACE_S
        if attempt.answered == count or waited:
            yield self._promote(attempt, database, now)

    def _promote(
        self, attempt: Attempt, database: document.Database, now: float
    ) -> core_items.CallControl:
        votes = tuple(attempt.votes.values())
        view = attempt.suspected.view
        attempt.choice = choose.choose(votes, database, view, self._me.zone)
        call = upstream.Promote(attempt.ballot)
        return _call(now, database, attempt.choice.upstream, call)

    def _promoted(
        self, item: core_items.ControlReplied, reply: upstream.Promoted
    ) -> Iterator[filters.Item]:
        candidacy = self._candidacy_of(item.database, item.call)
        if candidacy is None:
            return
        if not reply.accepted:
            candidacy.highest = max(candidacy.highest, reply.promised)
            self._back_off(candidacy, item.at)
            return
        attempt, candidacy.attempt = candidacy.attempt, None
        candidacy.start_at = item.at + SETTLE_S
        yield self._record(item, attempt)

    def _record(
        self, item: core_items.ControlReplied, attempt: Attempt
    ) -> views.Promotion:
        view = attempt.suspected.view
        answered = {*attempt.votes, *attempt.refused}
        silent = (s.name for s in view.states if s.name not in answered)
        return views.Promotion(
            item.at,
            item.database,
            attempt.ballot,
            item.upstream,
            view.primary,
            view.term,
            attempt.suspected.cause,
            attempt.suspected.witnesses,
            attempt.suspected_at,
            tuple(attempt.votes.values()),
            tuple(sorted(attempt.refused)),
            tuple(silent),
            attempt.choice.reason,
            attempt.number,
        )

    def _unpromoted(self, item: core_items.ControlFailed) -> None:
        candidacy = self._candidacy_of(item.database, item.call)
        if candidacy is not None:
            self._back_off(candidacy, item.at)

    def _back_off(self, candidacy: Candidacy, now: float) -> None:
        doubled = BACKOFF_FIRST_S * 2 ** (candidacy.tried - 1)
        limit_s = min(doubled, BACKOFF_MAX_S)
        candidacy.start_at = now + self._chance.uniform(limit_s / 2, limit_s)
        candidacy.attempt = None

    def _review(self, now: float) -> Iterator[filters.Item]:
        for name, candidacy in list(self._state.candidacies.items()):
            attempt = candidacy.attempt
            if attempt is None:
                if now - candidacy.held_at > LAPSE_S:
                    del self._state.candidacies[name]
            elif now - attempt.started_at > ATTEMPT_TIMEOUT_S:
                self._back_off(candidacy, now)
            else:
                yield from self._advance(name, candidacy, now)


def _call(
    now: float,
    database: document.Database,
    member: document.Upstream,
    call: upstream.Call,
) -> core_items.CallControl:
    return core_items.CallControl(
        now, database.name, member.name, member.address, call, CALL_TIMEOUT_S
    )


def _can_win(
    view: views.GroupView, database: document.Database, now: float
) -> bool:
    """Tells whether a majority of the upstreams answers this proxy.

    A proposal without would fence a minority and help nobody.
    """
    answering = sum(
        state.status is not None
        and state.failed_at is None
        and now - state.sent_at <= ANSWERED_S
        for state in view.states
    )
    return answering >= database.majority
