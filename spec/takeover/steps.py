"""The steps that the specified system may take from a state."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from spec.takeover import states
from spec.takeover.rules import Rule
from spec.takeover.states import MEMBERS, Stage, State

if TYPE_CHECKING:
    from collections.abc import Iterator

Step = tuple[str, State]
MAX_PROMOTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen.

    Attributes:
      attempts: by as many holders, one after the other.
      restarts: of replicas that are paused.
      writes: whether anything is written.
      elsewhere: whether holders promote in other replica sets too.
    """

    attempts: int = 1
    restarts: int = 0
    writes: bool = True
    elsewhere: bool = False

    def initial(self) -> State:
        """Returns the state in which member 0 serves the first term."""
        members = tuple(
            states.Member(leads=u == states.FIRST_PRIMARY) for u in MEMBERS
        )
        attempts = (states.Attempt(),) * self.attempts
        return State(members, attempts, restarts=self.restarts)


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """The system under the rules in force."""

    bounds: Bounds
    rules: frozenset[Rule]

    def steps(self, state: State) -> list[Step]:
        """Returns every step from `state`, each with its label."""
        return [
            *self._writes(state),
            *self._replications(state),
            *self._duties(state),
            *self._attempts(state),
            *self._reads(state),
        ]

    # Members.

    def _writes(self, state: State) -> Iterator[Step]:
        if not self.bounds.writes:
            return
        for u, member in enumerate(state.members):
            if not member.leads:
                continue
            write = 0 if member.term == states.FIRST_TERM else 1
            bit = 1 << write
            if not state.committed & bit:
                log = (*member.log, states.Entry(member.term, write))
                after = _with_member(state, u, member._replace(log=log))
                late = bit if member.term < states.newest_term(state) else 0
                done = after._replace(
                    committed=state.committed | bit, late=state.late | late
                )
                yield f"write {u}", done
            held = any(
                other.has(write)
                for v, other in enumerate(state.members)
                if v != u
            )
            if member.has(write) and held and not state.acked & bit:
                acked = state._replace(acked=state.acked | bit)
                yield f"ack {u}", acked

    def _replications(self, state: State) -> Iterator[Step]:
        for p, leader in enumerate(state.members):
            if not leader.leads:
                continue
            for u, member in enumerate(state.members):
                if u == p or member.leads or member.held:
                    continue
                if member.term > leader.term or member.log == leader.log:
                    continue
                copied = member._replace(term=leader.term, log=leader.log)
                yield f"replicate {p} {u}", _with_member(state, u, copied)
            if leader.term < states.newest_term(state):
                stepped = leader._replace(leads=False)
                yield f"notice {p}", _with_member(state, p, stepped)
        if state.restarts:
            for u, member in enumerate(state.members):
                if member.held:
                    after = _with_member(state, u, member._replace(held=0))
                    yield (
                        f"restart {u}",
                        after._replace(restarts=state.restarts - 1),
                    )

    # Holders.

    def _duties(self, state: State) -> Iterator[Step]:
        if state.duty < self.bounds.attempts:
            yield "next_holder", state._replace(duty=state.duty + 1)
        if self.bounds.elsewhere and len(state.promotions) < MAX_PROMOTIONS:
            tokens = (*state.promotions, state.duty)
            yield "elsewhere", state._replace(promotions=tokens)

    def _attempts(self, state: State) -> Iterator[Step]:
        for a, attempt in enumerate(state.attempts):
            for u in MEMBERS:
                if attempt.resumes >> u & 1:
                    yield f"resume {a} {u}", _resumed(state, a, u)
            if attempt.stage is Stage.IDLE and state.duty == a + 1:
                term = states.newest_term(state) + 1
                begun = attempt._replace(stage=Stage.FENCING, term=term)
                after = _with_attempt(state, a, begun)
                yield f"begin {a}", after._replace(moving=True)
            if attempt.stage is Stage.FENCING:
                for u in MEMBERS:
                    yield from self._fence(state, a, u)
                yield from self._give_up(state, a)
                yield from self._promote(state, a)

    def _fence(self, state: State, a: int, u: int) -> Iterator[Step]:
        attempt, member = state.attempts[a], state.members[u]
        if attempt.ends[u] is not None or member.term >= attempt.term:
            return
        if member.leads:
            fenced = member._replace(leads=False)
        elif member.held > attempt.term:
            return
        else:
            fenced = member._replace(held=attempt.term)
        ends = _put(attempt.ends, u, member.end)
        after = _with_attempt(state, a, attempt._replace(ends=ends))
        yield f"fence {a} {u}", _with_member(after, u, fenced)

    def _give_up(self, state: State, a: int) -> Iterator[Step]:
        if state.duty != a + 1:
            return
        mask = sum(1 << u for u in MEMBERS if u != states.FIRST_PRIMARY)
        ended = state.attempts[a]._replace(stage=Stage.ENDED, resumes=mask)
        after = _with_attempt(state, a, ended)
        yield f"give_up {a}", after._replace(moving=False)

    def _promote(self, state: State, a: int) -> Iterator[Step]:
        """A promotion is in force at once, and known to all replicas."""
        attempt = state.attempts[a]
        if not self._may_promote(state, a) or not attempt.fenced:
            return
        choose = max if Rule.NEWEST in self.rules else min
        target = choose(attempt.fenced, key=lambda u: (attempt.ends[u], -u))
        leader = state.members[target]
        if leader.leads or len(state.promotions) >= MAX_PROMOTIONS:
            return
        term = states.newest_term(state) + 1
        members = tuple(
            m if m.leads else m._replace(term=term, held=0)
            for m in state.members
        )
        leading = leader._replace(term=term, leads=True, held=0)
        ended = attempt._replace(stage=Stage.ENDED)
        after = _with_attempt(state, a, ended)
        yield (
            f"promote {a}",
            after._replace(
                members=_put(members, target, leading),
                moving=False,
                promotions=(*state.promotions, a + 1),
            ),
        )

    def _may_promote(self, state: State, a: int) -> bool:
        attempt = state.attempts[a]
        least = 2 if Rule.WHOLE_FENCE in self.rules else 1
        if len(attempt.fenced) < least:
            return False
        if Rule.FENCE_HOLDS in self.rules and not _fence_holds(state, a):
            return False
        if Rule.DUTY_CHECK in self.rules and state.duty != a + 1:
            return False
        if Rule.ACKNOWLEDGED in self.rules and state.reader.believes:
            return False
        waits = Rule.CONFIRM_WAIT in self.rules
        return not (waits and state.reader.confirmed)

    # The reader.

    def _reads(self, state: State) -> Iterator[Step]:
        reader = state.reader
        if reader.believes:
            gone = reader._replace(believes=False)
            label = "acknowledge" if state.moving else "lapse"
            yield label, state._replace(reader=gone)
        if reader.confirmed:
            over = reader._replace(confirmed=False)
            yield "expire", state._replace(reader=over)
        elif not reader.believes and self._confirms(state):
            confirmed = reader._replace(confirmed=True)
            yield "confirm", state._replace(reader=confirmed)

    def _confirms(self, state: State) -> bool:
        first = state.members[states.FIRST_PRIMARY]
        if not first.leads or first.term != states.FIRST_TERM:
            return False
        know_none = sum(
            member.term <= states.FIRST_TERM
            and member.held <= states.FIRST_TERM
            for member in state.members
        )
        return know_none >= (2 if Rule.CONFIRM_TWO in self.rules else 1)


def _fence_holds(state: State, a: int) -> bool:
    attempt = state.attempts[a]
    return all(
        state.members[u].end == attempt.ends[u]
        and not state.members[u].leads
        and (state.members[u].held == attempt.term or u == states.FIRST_PRIMARY)
        for u in attempt.fenced
    )


def _resumed(state: State, a: int, u: int) -> State:
    attempt = state.attempts[a]
    arrived = attempt._replace(resumes=attempt.resumes & ~(1 << u))
    after = _with_attempt(state, a, arrived)
    return _with_member(after, u, state.members[u]._replace(held=0))


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _with_member(state: State, u: int, member: states.Member) -> State:
    return state._replace(members=_put(state.members, u, member))


def _with_attempt(state: State, a: int, attempt: states.Attempt) -> State:
    return state._replace(attempts=_put(state.attempts, a, attempt))
