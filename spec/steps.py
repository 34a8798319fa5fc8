"""The transitions of the specified system."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from spec import states
from spec.rules import Rule
from spec.states import Kind, Position, Role, Stage, State

if TYPE_CHECKING:
    from collections.abc import Iterator

Step = tuple[str, State]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the state space.

    Attributes:
      ballots: the maximum number of ballots.
      writes: the number of attempts that write with the one request id.
      outcome_queries: the number of attempts that query its outcome.
      tail: the number of entries that only the first primary has initially.
      wait_for_majority: whether writes wait until a majority holds them, or
        only until a majority supports their term.
    """

    ballots: int = 2
    writes: int = 1
    outcome_queries: int = 0
    tail: int = 0
    wait_for_majority: bool = True

    def initial(self) -> State:
        """Returns the initial state, in which upstream 0 is the primary."""
        first = states.FIRST_TERM
        members = tuple(
            states.Upstream(
                first, first, Role.REPLICA if upstream else Role.PRIMARY
            )
            for upstream in states.UPSTREAMS
        )
        tail = (states.Entry(first, Kind.OTHER),) * self.tail
        members = _replace_at(members, 0, members[0]._replace(log=tail))
        attempts = (states.Attempt(),) * (self.writes + self.outcome_queries)
        return State(members, (states.Ballot(),) * self.ballots, attempts)


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """The system within `bounds`, with the active `rules`."""

    bounds: Bounds
    rules: frozenset[Rule]

    def steps(self, state: State) -> list[Step]:
        """Returns the label and the resulting state of each possible step."""
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
                for upstream in states.UPSTREAMS:
                    yield from self._fence(state, number, term, upstream)
                yield from self._choose(state, number, term)
            else:
                yield from self._promote(state, term, ballot.chosen)
            for upstream in states.UPSTREAMS:
                yield from self._follow(state, term, upstream)

    def _fence(
        self, state: State, number: int, term: int, upstream: int
    ) -> Iterator[Step]:
        member = state.upstreams[upstream]
        ballot = state.ballots[number]
        is_higher = term > member.promised
        if not is_higher and Rule.PROMISE_RISES in self.rules:
            return
        if ballot.votes[upstream] is not None:
            return
        role = Role.FENCED
        if Rule.FENCED_COMMITS not in self.rules and (
            member.role is Role.PRIMARY
        ):
            role = Role.PRIMARY
        fenced = member._replace(promised=term, role=role)
        votes = _replace_at(ballot.votes, upstream, member.last)
        yield (
            f"fence {term} {upstream}",
            _set_ballot(
                _set_upstream(state, upstream, fenced), number, votes=votes
            ),
        )

    def _choose(self, state: State, number: int, term: int) -> Iterator[Step]:
        ballot = state.ballots[number]
        required_votes = states.MAJORITY if Rule.QUORUM in self.rules else 1
        if len(ballot.voters) < required_votes:
            return
        newest = max(
            self._log_recency(ballot.votes[upstream])
            for upstream in ballot.voters
        )
        for upstream in ballot.voters:
            if self._log_recency(ballot.votes[upstream]) == newest:
                decided = states.Ballot(chosen=upstream)
                ballots = _replace_at(state.ballots, number, decided)
                yield (
                    f"choose {term} {upstream}",
                    state._replace(ballots=ballots),
                )

    def _log_recency(self, last: Position) -> tuple[int, int]:
        term = last.term if Rule.NEWEST_TERM in self.rules else 0
        index = last.index if Rule.NEWEST_INDEX in self.rules else 0
        return term, index

    def _promote(
        self, state: State, term: int, upstream: int
    ) -> Iterator[Step]:
        member = state.upstreams[upstream]
        promised_exactly = member.promised == term and member.term < term
        allowed_without_promise = (
            Rule.EXACT_PROMISE not in self.rules and member.term < term
        )
        if not (promised_exactly or allowed_without_promise) or _was_promoted(
            state, term
        ):
            return
        log = (*member.log, states.Entry(term, Kind.PROMOTION))
        promoted = states.Upstream(member.promised, term, Role.PRIMARY, log)
        if allowed_without_promise:
            promoted = promoted._replace(promised=term)
        yield (
            f"promote {term} {upstream}",
            _set_upstream(state, upstream, promoted),
        )

    def _follow(self, state: State, term: int, upstream: int) -> Iterator[Step]:
        member = state.upstreams[upstream]
        if not _was_promoted(state, term) or member.term == term:
            return
        if term < member.promised and Rule.FOLLOW_RISES in self.rules:
            return
        following = member._replace(promised=term, term=term, role=Role.REPLICA)
        yield (
            f"follow {term} {upstream}",
            _set_upstream(state, upstream, following),
        )

    # Replication.

    def _replications(self, state: State) -> Iterator[Step]:
        for upstream in states.UPSTREAMS:
            member = state.upstreams[upstream]
            accepts_entries = member.role is Role.REPLICA or (
                member.role is Role.FENCED
                and Rule.FENCED_REPLICATES not in self.rules
            )
            primary = _primary_of(state, member.term)
            if accepts_entries and primary is not None and primary != upstream:
                yield from self._replicate(state, upstream, primary)

    def _replicate(
        self, state: State, upstream: int, primary: int
    ) -> Iterator[Step]:
        member = state.upstreams[upstream]
        primary_log = state.upstreams[primary].log
        common_length = 0
        for own_entry, source_entry in zip(
            member.log, primary_log, strict=False
        ):
            if own_entry != source_entry:
                break
            common_length += 1
        prefix = member.log[:common_length]
        if Rule.TAIL_CUT not in self.rules:
            common_length = min(len(member.log), len(primary_log))
            prefix = member.log
        log = prefix + primary_log[common_length : common_length + 1]
        if log != member.log:
            replicated = member._replace(log=log)
            yield (
                f"replicate {upstream}",
                _set_upstream(state, upstream, replicated),
            )

    # Requests.

    def _requests(self, state: State) -> Iterator[Step]:
        for number, attempt in enumerate(state.attempts):
            is_outcome_query = number >= self.bounds.writes
            match attempt.stage:
                case Stage.IDLE:
                    if number == 0 or (
                        state.attempts[number - 1].stage is not Stage.IDLE
                    ):
                        yield from self._send(state, number)
                case Stage.SENT:
                    yield from self._execute(state, number, is_outcome_query)
                case Stage.COMMITTED:
                    yield from self._observe(state, number)
                    yield from self._answer(state, number, is_outcome_query)

    def _send(self, state: State, number: int) -> Iterator[Step]:
        for upstream, member in enumerate(state.upstreams):
            if member.role is Role.PRIMARY:
                sent = states.Attempt(Stage.SENT, upstream, member.term)
                yield (
                    f"send {number} {upstream}",
                    _set_attempt(state, number, sent),
                )

    def _execute(
        self, state: State, number: int, is_outcome_query: bool
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
        ran = not is_outcome_query or member.has(Kind.WRITE)
        log = member.log
        if Rule.LEDGER not in self.rules and not is_outcome_query:
            claimed = False
        skips_tombstone = is_outcome_query and Rule.TOMBSTONE not in self.rules
        if not claimed and not skips_tombstone:
            kind = Kind.TOMBSTONE if is_outcome_query else Kind.WRITE
            log = (*log, states.Entry(member.term, kind))
        if member.has(Kind.TOMBSTONE) and claimed:
            ran = False
        position = Position(member.term, len(log))
        if claimed and Rule.REPEAT_HELD not in self.rules:
            position = Position(0, 0)
        committed = attempt._replace(
            stage=Stage.COMMITTED,
            position=position,
            holders=1 << attempt.target,
            ran=ran,
            overtaken=newest_term(state) > member.term,
        )
        next_state = _set_upstream(
            state, attempt.target, member._replace(log=log)
        )
        yield f"execute {number}", _set_attempt(next_state, number, committed)

    def _observe(self, state: State, number: int) -> Iterator[Step]:
        """Yields the receipt of each upstream status taken after the commit."""
        attempt = state.attempts[number]
        for upstream, member in enumerate(state.upstreams):
            if attempt.holders >> upstream & 1:
                continue
            if self._counts_as_holder(member, attempt):
                observed = attempt._replace(
                    holders=attempt.holders | 1 << upstream
                )
                yield (
                    f"observe {number} {upstream}",
                    _set_attempt(state, number, observed),
                )

    def _counts_as_holder(
        self, member: states.Upstream, attempt: states.Attempt
    ) -> bool:
        supports = member.promised <= attempt.term
        if not self.bounds.wait_for_majority:
            return supports or Rule.SUPPORT_AFTER not in self.rules
        is_counted = supports or Rule.HOLDER_PROMISE not in self.rules
        return is_counted and member.holds(attempt.position)

    def _answer(
        self, state: State, number: int, is_outcome_query: bool
    ) -> Iterator[Step]:
        attempt = state.attempts[number]
        if not self._may_answer(attempt, is_outcome_query):
            return
        answered = attempt._replace(stage=Stage.ANSWERED, target=0, holders=0)
        yield f"tell {number}", _set_attempt(state, number, answered)

    def _may_answer(
        self, attempt: states.Attempt, is_outcome_query: bool
    ) -> bool:
        if attempt.position.index == 0:
            return True
        if is_outcome_query and Rule.TOMBSTONE not in self.rules:
            return True
        majority_holds = attempt.holders.bit_count() >= states.MAJORITY
        if is_outcome_query or not attempt.ran:
            return majority_holds or Rule.TOMBSTONE_HELD not in self.rules
        return majority_holds or Rule.MAJORITY_HOLDS not in self.rules


def _replace_at(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _set_upstream(
    state: State, upstream: int, member: states.Upstream
) -> State:
    return state._replace(
        upstreams=_replace_at(state.upstreams, upstream, member)
    )


def _set_ballot(state: State, number: int, votes: tuple) -> State:
    ballot = state.ballots[number]._replace(votes=votes)
    return state._replace(ballots=_replace_at(state.ballots, number, ballot))


def _set_attempt(state: State, number: int, attempt: states.Attempt) -> State:
    return state._replace(attempts=_replace_at(state.attempts, number, attempt))


def _primary_of(state: State, term: int) -> int | None:
    for upstream, member in enumerate(state.upstreams):
        if member.role is Role.PRIMARY and member.term == term:
            return upstream
    return None


def _was_promoted(state: State, term: int) -> bool:
    """Returns whether a primary of `term` was promoted.

    A promotion appends an entry of the new term.
    """
    return any(
        entry.term == term for member in state.upstreams for entry in member.log
    )


def newest_term(state: State) -> int:
    """Returns the highest term that any log contains, at least FIRST_TERM."""
    terms = (e.term for member in state.upstreams for e in member.log)
    return max(terms, default=states.FIRST_TERM)
