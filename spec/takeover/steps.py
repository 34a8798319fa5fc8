"""The state transitions of the takeover specification."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from spec.takeover import calls, states
from spec.takeover.rules import Rule
from spec.takeover.states import MEMBERS, Stage, State

if TYPE_CHECKING:
    from collections.abc import Iterator

Step = tuple[str, State]
MAX_PROMOTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the model that the checker explores.

    Attributes:
      attempts: the number of failover attempts, each by the next holder.
      restarts: the number of restarts of paused replicas.
      writes: the writes that clients send.
      elsewhere: whether holders also promote in other replica sets.
      drops: whether a replica may be dropped as silent before an attempt.
      late_calls: the number of calls for promotions that take effect late, or
        never; 0 if each promotion is in force at once.
      by_status: whether hosts rely on a later primary by the status of two
        members, before the record names it.
    """

    attempts: int = 1
    restarts: int = 0
    writes: tuple[int, ...] = (0, 1)
    elsewhere: bool = False
    drops: bool = False
    late_calls: int = 0
    by_status: bool = False

    def initial(self) -> State:
        """Returns the initial state: member 0 is the primary of term 1."""
        members = tuple(
            states.Member(is_primary=index == states.FIRST_PRIMARY)
            for index in MEMBERS
        )
        attempts = (states.Attempt(),) * self.attempts
        return State(
            members,
            attempts,
            restarts_left=self.restarts,
            calls_left=self.late_calls,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """The transition system with the rules in force.

    Attributes:
      bounds: the limits of the model.
      rules: the rules that the holders and the reader follow.
    """

    bounds: Bounds
    rules: frozenset[Rule]

    def steps(self, state: State) -> list[Step]:
        """Returns every transition from `state`, each with its label."""
        return [
            *self._write_steps(state),
            *self._replication_steps(state),
            *self._drop_steps(state),
            *self._duty_steps(state),
            *self._attempt_steps(state),
            *calls.arrival_steps(state),
            *self._reader_steps(state),
        ]

    # Members.

    def _write_steps(self, state: State) -> Iterator[Step]:
        for index, member in enumerate(state.members):
            if not member.is_primary:
                continue
            write = 0 if member.term == states.FIRST_TERM else 1
            if write not in self.bounds.writes:
                continue
            bit = 1 << write
            if not state.committed & bit:
                log = (*member.log, states.Entry(member.term, write))
                appended = states.with_member(
                    state, index, member._replace(log=log)
                )
                stale_commit = (
                    bit if member.term < states.highest_term(state) else 0
                )
                committed = appended._replace(
                    committed=state.committed | bit,
                    stale_commits=state.stale_commits | stale_commit,
                )
                yield f"write {index}", committed
            is_replicated = any(
                other.has_write(write)
                for other_index, other in enumerate(state.members)
                if other_index != index
            )
            if (
                member.has_write(write)
                and is_replicated
                and self._is_relied_on(state, index)
                and not state.acked & bit
            ):
                acked = state._replace(acked=state.acked | bit)
                yield f"ack {index}", acked

    def _is_relied_on(self, state: State, index: int) -> bool:
        """Returns whether hosts acknowledge the writes of a primary."""
        if not self.bounds.late_calls or self.bounds.by_status:
            return True
        is_first = state.members[index].term == states.FIRST_TERM
        is_recorded = state.recorded_primary == index and not state.is_moving
        return is_first or is_recorded

    def _replication_steps(self, state: State) -> Iterator[Step]:
        for primary_index, primary in enumerate(state.members):
            if not primary.is_primary:
                continue
            for index, member in enumerate(state.members):
                if (
                    index == primary_index
                    or member.is_primary
                    or member.paused_term
                ):
                    continue
                if member.term > primary.term or member.log == primary.log:
                    continue
                copied = member._replace(term=primary.term, log=primary.log)
                yield (
                    f"replicate {primary_index} {index}",
                    states.with_member(state, index, copied),
                )
            if primary.term < states.highest_term(state):
                demoted = primary._replace(is_primary=False)
                yield (
                    f"notice {primary_index}",
                    states.with_member(state, primary_index, demoted),
                )
        if state.restarts_left:
            for index, member in enumerate(state.members):
                if member.paused_term:
                    restarted = states.with_member(
                        state, index, member._replace(paused_term=0)
                    )
                    yield (
                        f"restart {index}",
                        restarted._replace(
                            restarts_left=state.restarts_left - 1
                        ),
                    )

    def _drop_steps(self, state: State) -> Iterator[Step]:
        has_begun = any(a.stage is not Stage.IDLE for a in state.attempts)
        if not self.bounds.drops or has_begun or state.dropped is not None:
            return
        for index in MEMBERS:
            if index != states.FIRST_PRIMARY:
                yield f"drop {index}", state._replace(dropped=index)

    # Holders of the failover duty.

    def _duty_steps(self, state: State) -> Iterator[Step]:
        if state.duty_token < self.bounds.attempts:
            yield "next_holder", state._replace(duty_token=state.duty_token + 1)
        if self.bounds.elsewhere and len(state.promotions) < MAX_PROMOTIONS:
            tokens = (*state.promotions, state.duty_token)
            yield "elsewhere", state._replace(promotions=tokens)

    def _attempt_steps(self, state: State) -> Iterator[Step]:
        for holder, attempt in enumerate(state.attempts):
            for index in MEMBERS:
                if attempt.pending_resumes >> index & 1:
                    yield (
                        f"resume {holder} {index}",
                        _with_resume_delivered(state, holder, index),
                    )
            if attempt.stage is Stage.IDLE and state.duty_token == holder + 1:
                term = states.highest_term(state) + 1
                fencing = attempt._replace(stage=Stage.FENCING, term=term)
                updated = states.with_attempt(state, holder, fencing)
                yield f"begin {holder}", updated._replace(is_moving=True)
            if attempt.stage is Stage.FENCING:
                for index in MEMBERS:
                    yield from self._fence_steps(state, holder, index)
                yield from self._give_up_steps(state, holder)
                if self.bounds.late_calls:
                    yield from self._call_steps(state, holder)
                    yield from calls.record_steps(state, holder, self.rules)
                else:
                    yield from self._promotion_steps(state, holder)

    def _fence_steps(
        self, state: State, holder: int, index: int
    ) -> Iterator[Step]:
        attempt, member = state.attempts[holder], state.members[index]
        if (
            attempt.final_positions[index] is not None
            or member.term >= attempt.term
            or index == state.dropped
        ):
            return
        needs_pause = not calls.is_certain_old_primary(
            state, holder, index, self.rules
        )
        if needs_pause and member.paused_term > attempt.term:
            return
        paused_term = attempt.term if needs_pause else member.paused_term
        fenced = member._replace(is_primary=False, paused_term=paused_term)
        final_positions = states.replace_at(
            attempt.final_positions, index, member.last_position
        )
        updated = states.with_attempt(
            state, holder, attempt._replace(final_positions=final_positions)
        )
        yield (
            f"fence {holder} {index}",
            states.with_member(updated, index, fenced),
        )

    def _give_up_steps(self, state: State, holder: int) -> Iterator[Step]:
        if state.duty_token != holder + 1:
            return
        ended = states.ended_attempt()
        if Rule.NO_UNDO in self.rules and calls.may_be_replaced(
            state, holder, self.rules
        ):
            yield f"give_up {holder}", states.with_attempt(state, holder, ended)
            return
        resuming = states.ended_attempt(
            states.replicas_of(state.recorded_primary)
        )
        updated = states.with_attempt(state, holder, resuming)
        yield f"give_up {holder}", updated._replace(is_moving=False)

    def _promotion_steps(self, state: State, holder: int) -> Iterator[Step]:
        """Yields a promotion.

        It takes effect immediately, and all replicas learn of it.
        """
        target = self._choose_target(state, holder)
        if target is None or len(state.promotions) >= MAX_PROMOTIONS:
            return
        ended = states.ended_attempt(state.attempts[holder].pending_resumes)
        updated = states.with_attempt(state, holder, ended)
        yield (
            f"promote {holder}",
            states.with_promoted(updated, target)._replace(
                is_moving=False,
                recorded_primary=target,
                promotions=(*state.promotions, holder + 1),
            ),
        )

    def _call_steps(self, state: State, holder: int) -> Iterator[Step]:
        """Yields a call for a promotion, which takes effect later."""
        target = self._choose_target(state, holder)
        if target is not None and calls.may_call(
            state, holder, target, self.rules
        ):
            yield f"call {holder}", calls.with_call(state, holder, target)

    def _choose_target(self, state: State, holder: int) -> int | None:
        """Returns the member to promote, or None if none may be promoted.

        Among equal ones, an open call decides, and the old primary is the last.
        """
        attempt = state.attempts[holder]
        if not self._may_promote(state, holder) or not attempt.fenced_members:
            return None
        open_targets = calls.open_targets(state, holder, self.rules)
        select = max if Rule.NEWEST in self.rules else min
        target = select(
            attempt.fenced_members,
            key=lambda index: (
                attempt.final_positions[index],
                index in open_targets,
                index != state.recorded_primary,
                -index,
            ),
        )
        return None if state.members[target].is_primary else target

    def _may_promote(self, state: State, holder: int) -> bool:
        attempt = state.attempts[holder]
        if len(attempt.fenced_members) < self._required_fences(state):
            return False
        if Rule.FENCE_HOLDS in self.rules and not self._fence_holds(
            state, holder
        ):
            return False
        if Rule.DUTY_CHECK in self.rules and state.duty_token != holder + 1:
            return False
        if Rule.ACKNOWLEDGED in self.rules and state.reader.trusts_record:
            return False
        must_wait = Rule.CONFIRM_WAIT in self.rules
        return not (must_wait and state.reader.confirmed)

    def _fence_holds(self, state: State, holder: int) -> bool:
        attempt = state.attempts[holder]
        return all(
            state.members[index].last_position == attempt.final_positions[index]
            and not state.members[index].is_primary
            and (
                state.members[index].paused_term == attempt.term
                or calls.is_certain_old_primary(
                    state, holder, index, self.rules
                )
            )
            for index in attempt.fenced_members
        )

    def _required_fences(self, state: State) -> int:
        if Rule.WHOLE_FENCE not in self.rules:
            return 1
        is_one_uncounted = (
            state.dropped is not None and Rule.SILENT_COUNTS not in self.rules
        )
        counted = len(MEMBERS) - is_one_uncounted
        return counted - 1

    # The reader.

    def _reader_steps(self, state: State) -> Iterator[Step]:
        reader = state.reader
        if reader.trusts_record:
            distrusting = reader._replace(trusts_record=False)
            label = "acknowledge" if state.is_moving else "lapse"
            yield label, state._replace(reader=distrusting)
        if reader.confirmed:
            unconfirmed = reader._replace(confirmed=False)
            yield "expire", state._replace(reader=unconfirmed)
        elif not reader.trusts_record and self._is_confirmed_by_members(state):
            confirmed = reader._replace(confirmed=True)
            yield "confirm", state._replace(reader=confirmed)

    def _is_confirmed_by_members(self, state: State) -> bool:
        first = state.members[states.FIRST_PRIMARY]
        if not first.is_primary or first.term != states.FIRST_TERM:
            return False
        confirming_members = sum(
            member.term <= states.FIRST_TERM
            and member.paused_term <= states.FIRST_TERM
            for member in state.members
        )
        return confirming_members >= (
            2 if Rule.CONFIRM_TWO in self.rules else 1
        )


def _with_resume_delivered(state: State, holder: int, index: int) -> State:
    attempt = state.attempts[holder]
    resumed_attempt = attempt._replace(
        pending_resumes=attempt.pending_resumes & ~(1 << index)
    )
    updated = states.with_attempt(state, holder, resumed_attempt)
    return states.with_member(
        updated, index, state.members[index]._replace(paused_term=0)
    )
