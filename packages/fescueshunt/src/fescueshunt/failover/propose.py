"""Election filter: fences a majority and promotes the newest log.

A ballot is safe whatever its proposer does: an upstream promises a ballot only
once, rejects every term below its promise, and is promoted only by the ballot
that it promised last. Proposers may therefore race, pause or crash.
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
    reconnect,
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

PROPOSER_INTERVAL_S = 0.3
START_JITTER_S = 0.05
SUSPICION_TTL_S = 0.2
VOTE_GRACE_S = 0.05
CALL_TIMEOUT_S = 0.6
BALLOT_TIMEOUT_S = 1.0
BACKOFF_INITIAL_S = 0.2
BACKOFF_MAX_S = 2.0
POST_PROMOTION_DELAY_S = 1.0
STATUS_MAX_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class BallotAttempt:
    """A ballot in progress.

    Attributes:
      ballot: the term that the upstreams are asked to promise.
      suspected: the suspicion that the ballot acts on.
      suspected_at: when the suspicion began; local clock, seconds.
      started_at: when the fence calls were sent; local clock, seconds.
      number: the number of ballots started on this suspicion so far, including
        this one.
      votes: the promises received, by upstream.
      refused: the upstreams that refused to promise the ballot.
      failed: the upstreams whose fence call failed.
      majority_at: when the votes reached a majority, or None.
      choice: the upstream being promoted, or None before the choice.
    """

    ballot: position.Term
    suspected: items.PrimarySuspected
    suspected_at: float
    started_at: float
    number: int
    votes: dict[str, views.Vote] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)
    majority_at: float | None = None
    choice: choose.Choice | None = None

    @property
    def answer_count(self) -> int:
        """Number of upstreams from which no further answer is expected."""
        return len(self.votes) + len(self.refused) + len(self.failed)


@dataclasses.dataclass(slots=True)
class Candidacy:
    """A suspicion, on which this proxy may start a ballot at `start_at`.

    Times are on the local clock, in seconds.

    Attributes:
      term: the term whose primary is suspected.
      since: when the suspicion began.
      last_suspected_at: when the suspicion was last reported.
      start_at: the earliest start of the next ballot.
      ballot_count: how many ballots have been started.
      highest_promise: the highest promised term that a refusal reported.
      attempt: the ballot in progress, or None.
    """

    term: position.Term
    since: float
    last_suspected_at: float
    start_at: float
    ballot_count: int = 0
    highest_promise: position.Term = position.NO_TERM
    attempt: BallotAttempt | None = None


@dataclasses.dataclass(slots=True)
class ProposerState:
    """State of the filter. `candidacies` is keyed by database name."""

    settings: document.Document = document.Document()
    candidacies: dict[str, Candidacy] = dataclasses.field(default_factory=dict)


class Proposer(filters.Filter):
    """Runs at most one ballot at a time for each suspected primary."""

    def __init__(
        self, local_proxy: identity.Identity, rng: random.Random
    ) -> None:
        self._local_proxy = local_proxy
        self._rng = rng
        self._state = ProposerState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields fence and promote calls, and successful promotions."""
        match item:
            case items.PrimarySuspected():
                yield from self._handle_suspected(item)
            case core_items.ControlReplied(reply=upstream.Fenced()):
                yield from self._handle_fence_reply(item, item.reply)
            case core_items.ControlReplied(reply=upstream.Promoted()):
                yield from self._handle_promote_reply(item, item.reply)
            case core_items.ControlFailed(call=upstream.Fence()):
                yield from self._handle_fence_failed(item)
            case core_items.ControlFailed(call=upstream.Promote()):
                self._handle_promote_failed(item)
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case filters.Tick():
                yield from self._check_timeouts(item.at)
                yield item
            case _:
                yield item

    def _handle_suspected(
        self, item: items.PrimarySuspected
    ) -> Iterator[filters.Item]:
        name = item.view.database
        candidacy = self._state.candidacies.get(name)
        if candidacy is None or candidacy.term != item.view.term:
            candidacy = self._create_candidacy(item)
            self._state.candidacies[name] = candidacy
        candidacy.last_suspected_at = item.at
        is_due = candidacy.attempt is None and item.at >= candidacy.start_at
        database = self._state.settings.database(name)
        if (
            is_due
            and database
            and _has_reachable_majority(item.view, database, item.at)
        ):
            yield from self._start_ballot(item, candidacy, database)

    def _create_candidacy(self, item: items.PrimarySuspected) -> Candidacy:
        delay_s = item.proposer_index * PROPOSER_INTERVAL_S + self._rng.uniform(
            0, START_JITTER_S
        )
        return Candidacy(item.view.term, item.at, item.at, item.at + delay_s)

    def _start_ballot(
        self,
        item: items.PrimarySuspected,
        candidacy: Candidacy,
        database: document.Database,
    ) -> Iterator[filters.Item]:
        candidacy.ballot_count += 1
        ballot = self._next_ballot(item.view, candidacy)
        candidacy.attempt = BallotAttempt(
            ballot, item, candidacy.since, item.at, candidacy.ballot_count
        )
        for member in database.upstreams:
            yield _control_call(
                item.at, database, member, upstream.Fence(ballot)
            )

    def _next_ballot(
        self, view: views.GroupView, candidacy: Candidacy
    ) -> position.Term:
        promises = (s.status.promised for s in view.states if s.status)
        highest_promise = max((view.term, candidacy.highest_promise, *promises))
        return position.Term(highest_promise.number + 1, self._local_proxy.name)

    def _handle_fence_reply(
        self, item: core_items.ControlReplied, reply: upstream.Fenced
    ) -> Iterator[filters.Item]:
        candidacy = self._find_candidacy(item.database, item.call)
        if candidacy is None:
            return
        attempt = candidacy.attempt
        if reply.accepted:
            vote = views.Vote(item.upstream, reply.history.last)
            attempt.votes[item.upstream] = vote
        else:
            attempt.refused.add(item.upstream)
            candidacy.highest_promise = max(
                candidacy.highest_promise, reply.promised
            )
        yield from self._promote_or_back_off(item.database, candidacy, item.at)

    def _handle_fence_failed(
        self, item: core_items.ControlFailed
    ) -> Iterator[filters.Item]:
        candidacy = self._find_candidacy(item.database, item.call)
        if candidacy is None:
            return
        candidacy.attempt.failed.add(item.upstream)
        yield from self._promote_or_back_off(item.database, candidacy, item.at)

    def _find_candidacy(
        self, name: str, call: upstream.Call
    ) -> Candidacy | None:
        """Returns the candidacy whose current ballot sent `call`, or None."""
        candidacy = self._state.candidacies.get(name)
        attempt = candidacy.attempt if candidacy is not None else None
        if attempt is None or attempt.ballot != call.term:
            return None
        return candidacy

    def _promote_or_back_off(
        self, name: str, candidacy: Candidacy, now: float
    ) -> Iterator[filters.Item]:
        """Promotes an upstream once enough votes are in, or backs off.

        With a majority of votes, the remaining upstreams have VOTE_GRACE_S to
        answer. Without a possible majority, the ballot is abandoned.
        """
        attempt = candidacy.attempt
        database = self._state.settings.database(name)
        if attempt.choice is not None or database is None:
            return
        upstream_count = len(database.upstreams)
        refused_or_failed = len(attempt.refused) + len(attempt.failed)
        if refused_or_failed > upstream_count - database.majority:
            self._back_off(candidacy, now)
            return
        if len(attempt.votes) < database.majority:
            return
        if attempt.majority_at is None:
            attempt.majority_at = now
        grace_expired = now - attempt.majority_at >= VOTE_GRACE_S
        if attempt.answer_count == upstream_count or grace_expired:
            yield self._promote(attempt, database, now)

    def _promote(
        self, attempt: BallotAttempt, database: document.Database, now: float
    ) -> core_items.CallControl:
        votes = tuple(attempt.votes.values())
        view = attempt.suspected.view
        attempt.choice = choose.select_primary(
            votes, database, view, self._local_proxy.zone
        )
        call = upstream.Promote(attempt.ballot)
        return _control_call(now, database, attempt.choice.upstream, call)

    def _handle_promote_reply(
        self, item: core_items.ControlReplied, reply: upstream.Promoted
    ) -> Iterator[filters.Item]:
        candidacy = self._find_candidacy(item.database, item.call)
        if candidacy is None:
            return
        if not reply.accepted:
            candidacy.highest_promise = max(
                candidacy.highest_promise, reply.promised
            )
            self._back_off(candidacy, item.at)
            return
        attempt, candidacy.attempt = candidacy.attempt, None
        candidacy.start_at = item.at + POST_PROMOTION_DELAY_S
        yield self._build_promotion(item, attempt)

    def _build_promotion(
        self, item: core_items.ControlReplied, attempt: BallotAttempt
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

    def _handle_promote_failed(self, item: core_items.ControlFailed) -> None:
        candidacy = self._find_candidacy(item.database, item.call)
        if candidacy is not None:
            self._back_off(candidacy, item.at)

    def _back_off(self, candidacy: Candidacy, now: float) -> None:
        max_wait_s = reconnect.doubled_delay_s(
            BACKOFF_INITIAL_S, candidacy.ballot_count - 1, BACKOFF_MAX_S
        )
        candidacy.start_at = now + self._rng.uniform(max_wait_s / 2, max_wait_s)
        candidacy.attempt = None

    def _check_timeouts(self, now: float) -> Iterator[filters.Item]:
        for name, candidacy in list(self._state.candidacies.items()):
            attempt = candidacy.attempt
            if attempt is None:
                if now - candidacy.last_suspected_at > SUSPICION_TTL_S:
                    del self._state.candidacies[name]
            elif now - attempt.started_at > BALLOT_TIMEOUT_S:
                self._back_off(candidacy, now)
            else:
                yield from self._promote_or_back_off(name, candidacy, now)


def _control_call(
    now: float,
    database: document.Database,
    member: document.Upstream,
    call: upstream.Call,
) -> core_items.CallControl:
    return core_items.CallControl(
        now, database.name, member.name, member.address, call, CALL_TIMEOUT_S
    )


def _has_reachable_majority(
    view: views.GroupView, database: document.Database, now: float
) -> bool:
    """Returns whether a majority of the upstreams answers this proxy.

    Otherwise a ballot would fence a minority without being able to win.
    """
    answering = sum(
        state.status is not None
        and state.failed_at is None
        and now - state.sent_at <= STATUS_MAX_AGE_S
        for state in view.states
    )
    return answering >= database.majority
