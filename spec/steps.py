"""The steps that the specified system may take from a state."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from spec import states
from spec.rules import Rule
from spec.states import Kind, Place, Role, Stage, State

if TYPE_CHECKING:
    from collections.abc import Iterator

Step = tuple[str, State]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen.

    Attributes:
      ballots: how many ballots are begun at most.
      writes: how many attempts write under the one request id.
      settles: how many settle its outcome.
      tail: entries that only the first primary has at the start.
      majority: whether writes wait for a majority of holders, or only for the
        support of their term.
    """

    ballots: int = 2
    writes: int = 1
    settles: int = 0
    tail: int = 0
    majority: bool = True

    def initial(self) -> State:
        """Returns the state in which upstream 0 serves the first term."""
        first = states.FIRST_TERM
        members = tuple(
            states.Upstream(first, first, Role.REPLICA if u else Role.PRIMARY)
            for u in states.UPSTREAMS
        )
        tail = (states.Entry(first, Kind.OTHER),) * self.tail
        members = _put(members, 0, members[0]._replace(log=tail))
        attempts = (states.Attempt(),) * (self.writes + self.settles)
        return State(members, (states.Ballot(),) * self.ballots, attempts)


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """The system under the rules in force."""

    bounds: Bounds
    rules: frozenset[Rule]

    def steps(self, state: State) -> list[Step]:
        """Returns every step from `state`, each with its label."""
        return [
            *self._failovers(state),
            *self._replications(state),
            *self._requests(state),
        ]

    # Failover.

    def _failovers(self, state: State) -> Iterator[Step]:
        for number, ballot in enumerate(state.ballots):
            term = states.FIRST_TERM + 1 + number
            if ballot.chosen is None:
                for u in states.UPSTREAMS:
                    yield from self._fence(state, number, term, u)
                yield from self._choose(state, number, term)
            else:
                yield from self._promote(state, term, ballot.chosen)
            for u in states.UPSTREAMS:
                yield from self._follow(state, term, u)

    def _fence(
        self, state: State, number: int, term: int, u: int
    ) -> Iterator[Step]:
        member = state.upstreams[u]
        ballot = state.ballots[number]
        rises = term > member.promised
        if not rises and Rule.PROMISE_RISES in self.rules:
            return
        if ballot.votes[u] is not None:
            return
        role = Role.FENCED
        if Rule.FENCED_COMMITS not in self.rules and (
            member.role is Role.PRIMARY
        ):
            role = Role.PRIMARY
        fenced = member._replace(promised=term, role=role)
        votes = _put(ballot.votes, u, member.last)
        yield (
            f"fence {term} {u}",
            _with_ballot(_with_upstream(state, u, fenced), number, votes=votes),
        )

    def _choose(self, state: State, number: int, term: int) -> Iterator[Step]:
        ballot = state.ballots[number]
        needed = states.MAJORITY if Rule.QUORUM in self.rules else 1
        if len(ballot.voters) < needed:
            return
        best = max(self._newness(ballot.votes[u]) for u in ballot.voters)
        for u in ballot.voters:
            if self._newness(ballot.votes[u]) == best:
                chosen = states.Ballot(chosen=u)
                ballots = _put(state.ballots, number, chosen)
                yield f"choose {term} {u}", state._replace(ballots=ballots)

    def _newness(self, last: Place) -> tuple[int, int]:
        term = last.term if Rule.NEWEST_TERM in self.rules else 0
        index = last.index if Rule.NEWEST_INDEX in self.rules else 0
        return term, index

    def _promote(self, state: State, term: int, u: int) -> Iterator[Step]:
        member = state.upstreams[u]
        exact = member.promised == term and member.term < term
        loose = Rule.EXACT_PROMISE not in self.rules and member.term < term
        if not (exact or loose) or _served(state, term):
            return
        log = (*member.log, states.Entry(term, Kind.PROMOTION))
        promoted = states.Upstream(member.promised, term, Role.PRIMARY, log)
        if loose:
            promoted = promoted._replace(promised=term)
        yield f"promote {term} {u}", _with_upstream(state, u, promoted)

    def _follow(self, state: State, term: int, u: int) -> Iterator[Step]:
        member = state.upstreams[u]
        if not _served(state, term) or member.term == term:
            return
        if term < member.promised and Rule.FOLLOW_RISES in self.rules:
            return
        following = member._replace(promised=term, term=term, role=Role.REPLICA)
        yield f"follow {term} {u}", _with_upstream(state, u, following)

    # Replication.

    def _replications(self, state: State) -> Iterator[Step]:
        for u in states.UPSTREAMS:
            member = state.upstreams[u]
            open_to = member.role is Role.REPLICA or (
                member.role is Role.FENCED
                and Rule.FENCED_REPLICATES not in self.rules
            )
            primary = _primary_of(state, member.term)
            if open_to and primary is not None and primary != u:
                yield from self._replicate(state, u, primary)

    def _replicate(self, state: State, u: int, primary: int) -> Iterator[Step]:
        member = state.upstreams[u]
        source = state.upstreams[primary].log
        same = 0
        for mine, theirs in zip(member.log, source, strict=False):
            if mine != theirs:
                break
            same += 1
        kept = member.log[:same]
        if Rule.TAIL_CUT not in self.rules:
            same = min(len(member.log), len(source))
            kept = member.log
        log = kept + source[same : same + 1]
        if log != member.log:
            copied = member._replace(log=log)
            yield f"replicate {u}", _with_upstream(state, u, copied)

    # Requests.

    def _requests(self, state: State) -> Iterator[Step]:
        for number, attempt in enumerate(state.attempts):
            settles = number >= self.bounds.writes
            match attempt.stage:
                case Stage.IDLE:
                    if number == 0 or (
                        state.attempts[number - 1].stage is not Stage.IDLE
                    ):
                        yield from self._send(state, number)
                case Stage.SENT:
                    yield from self._execute(state, number, settles)
                case Stage.COMMITTED:
                    yield from self._observe(state, number)
                    yield from self._tell(state, number, settles)

    def _send(self, state: State, number: int) -> Iterator[Step]:
        for u, member in enumerate(state.upstreams):
            if member.role is Role.PRIMARY:
                sent = states.Attempt(Stage.SENT, u, member.term)
                yield f"send {number} {u}", _with_attempt(state, number, sent)

    def _execute(
        self, state: State, number: int, settles: bool
    ) -> Iterator[Step]:
        attempt = state.attempts[number]
        member = state.upstreams[attempt.target]
        if member.role is not Role.PRIMARY or member.term != attempt.term:
            return
        if Rule.FENCED_COMMITS in self.rules and (
            member.promised != member.term
        ):
            return
        claimed = member.has(Kind.WRITE) or member.has(Kind.TOMBSTONE)
        ran = not settles or member.has(Kind.WRITE)
        log = member.log
        if Rule.LEDGER not in self.rules and not settles:
            claimed = False
        skips = settles and Rule.TOMBSTONE not in self.rules
        if not claimed and not skips:
            kind = Kind.TOMBSTONE if settles else Kind.WRITE
            log = (*log, states.Entry(member.term, kind))
        if member.has(Kind.TOMBSTONE) and claimed:
            ran = False
        place = Place(member.term, len(log))
        if claimed and Rule.REPEAT_HELD not in self.rules:
            place = Place(0, 0)
        committed = attempt._replace(
            stage=Stage.COMMITTED,
            place=place,
            holders=1 << attempt.target,
            ran=ran,
            overtaken=newest_term(state) > member.term,
        )
        after = _with_upstream(state, attempt.target, member._replace(log=log))
        yield f"execute {number}", _with_attempt(after, number, committed)

    def _observe(self, state: State, number: int) -> Iterator[Step]:
        """A status of an upstream, taken after the commit, is seen."""
        attempt = state.attempts[number]
        for u, member in enumerate(state.upstreams):
            if attempt.holders >> u & 1:
                continue
            if self._counts(member, attempt):
                seen = attempt._replace(holders=attempt.holders | 1 << u)
                yield (
                    f"observe {number} {u}",
                    _with_attempt(state, number, seen),
                )

    def _counts(self, member: states.Upstream, attempt: states.Attempt) -> bool:
        supports = member.promised <= attempt.term
        if not self.bounds.majority:
            return supports or Rule.SUPPORT_AFTER not in self.rules
        counts = supports or Rule.HOLDER_PROMISE not in self.rules
        return counts and member.holds(attempt.place)

    def _tell(self, state: State, number: int, settles: bool) -> Iterator[Step]:
        attempt = state.attempts[number]
        if not self._may_tell(attempt, settles):
            return
        told = attempt._replace(stage=Stage.TOLD, target=0, holders=0)
        yield f"tell {number}", _with_attempt(state, number, told)

    def _may_tell(self, attempt: states.Attempt, settles: bool) -> bool:
        if attempt.place.index == 0:
            return True
        if settles and Rule.TOMBSTONE not in self.rules:
            return True
        held = attempt.holders.bit_count() >= states.MAJORITY
        if settles or not attempt.ran:
            return held or Rule.TOMBSTONE_HELD not in self.rules
        return held or Rule.MAJORITY_HOLDS not in self.rules


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _with_upstream(state: State, u: int, member: states.Upstream) -> State:
    return state._replace(upstreams=_put(state.upstreams, u, member))


def _with_ballot(state: State, number: int, votes: tuple) -> State:
    ballot = state.ballots[number]._replace(votes=votes)
    return state._replace(ballots=_put(state.ballots, number, ballot))


def _with_attempt(state: State, number: int, attempt: states.Attempt) -> State:
    return state._replace(attempts=_put(state.attempts, number, attempt))


def _primary_of(state: State, term: int) -> int | None:
    for u, member in enumerate(state.upstreams):
        if member.role is Role.PRIMARY and member.term == term:
            return u
    return None


def _served(state: State, term: int) -> bool:
    """Tells whether a primary of `term` was promoted."""
    return any(
        entry.term == term for member in state.upstreams for entry in member.log
    )


def newest_term(state: State) -> int:
    """Returns the highest term that was ever served."""
    terms = (e.term for member in state.upstreams for e in member.log)
    return max(terms, default=states.FIRST_TERM)
