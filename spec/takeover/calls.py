"""The transitions of calls for promotions, which may take effect late.

A call may arrive at any time, also after the attempt of its caller has ended,
or never. Nobody sees a call arrive; a holder may see that the member leads. A
call that can't arrive any more is void, and holders know it after a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.takeover import states
from spec.takeover.rules import Rule
from spec.takeover.states import MEMBERS, Call, Stage, State

if TYPE_CHECKING:
    from collections.abc import Iterator

Step = tuple[str, State]
Rules = frozenset[Rule]


def with_call(state: State, holder: int, target: int) -> State:
    """Returns `state` after a call of `holder` for `target`.

    A RESUME of a former attempt has been delivered by then, or never is.
    """
    call = Call(target, holder + 1)
    attempts = tuple(a._replace(pending_resumes=0) for a in state.attempts)
    return state._replace(
        attempts=attempts,
        open_calls=tuple(sorted((*state.open_calls, call))),
        unsettled_calls=tuple(sorted({*state.unsettled_calls, call})),
        calls_left=state.calls_left - 1,
    )


def arrival_steps(state: State) -> Iterator[Step]:
    """Yields the arrival, and the end, of each open call.

    That a call is void matters only to the attempt of the current holder, so
    that it becomes void only during one.
    """
    current = state.attempts[state.duty_token - 1]
    for call in sorted(set(state.open_calls)):
        open_calls = list(state.open_calls)
        open_calls.remove(call)
        closed = state._replace(open_calls=tuple(open_calls))
        label = f"{call.target} {call.token}"
        if current.stage is Stage.FENCING:
            yield f"void {label}", closed
        arrived = closed._replace(promotions=(*state.promotions, call.token))
        target = state.members[call.target]
        is_leading = target.term == states.highest_term(state)
        if not (target.is_primary and is_leading):
            arrived = states.with_promoted(arrived, call.target)
        yield f"arrive {label}", arrived


def record_steps(state: State, holder: int, rules: Rules) -> Iterator[Step]:
    """Yields the record of each member that the holder may see lead."""
    attempt = state.attempts[holder]
    if state.duty_token != holder + 1:
        return
    targets = open_targets(state, holder, rules)
    for index in MEMBERS:
        member = state.members[index]
        if not member.is_primary or member.term < attempt.term - 1:
            continue
        is_same = index == state.recorded_primary
        if is_same and not _is_promoted_again(state, holder, index, rules):
            continue
        if Rule.RELY_LATE in rules and not targets <= {index}:
            continue
        ended = states.ended_attempt(_paused_replicas(state, index))
        yield (
            f"record {holder} {index}",
            states.with_attempt(state, holder, ended)._replace(
                is_moving=False,
                recorded_primary=index,
                recorded_term=member.term,
                unsettled_calls=tuple(sorted(set(state.open_calls))),
            ),
        )


def may_call(state: State, holder: int, target: int, rules: Rules) -> bool:
    """Returns whether the holder may call for the promotion of `target`."""
    if not state.calls_left:
        return False
    known_calls = _known(state.open_calls, holder, rules)
    is_former_open = any(call.token != holder + 1 for call in known_calls)
    if Rule.FORMER_CALLS in rules and is_former_open:
        return False
    targets = open_targets(state, holder, rules)
    return Rule.ONE_TARGET not in rules or targets <= {target}


def open_targets(state: State, holder: int, rules: Rules) -> frozenset[int]:
    """Returns the members for which the holder knows an open call."""
    return frozenset(c.target for c in _known(state.open_calls, holder, rules))


def may_be_replaced(state: State, holder: int, rules: Rules) -> bool:
    """Returns whether a member but the recorded primary may be promoted."""
    return any(
        call.target != state.recorded_primary
        for call in _known(state.unsettled_calls, holder, rules)
    )


def is_certain_old_primary(
    state: State, holder: int, index: int, rules: Rules
) -> bool:
    """Returns whether a member needs no pause once it has stepped down."""
    has_calls = bool(_known(state.unsettled_calls, holder, rules))
    must_pause = Rule.PAUSE_OLD in rules and has_calls
    return index == state.recorded_primary and not must_pause


def _paused_replicas(state: State, primary: int) -> int:
    """Returns a bit mask of the replicas to resume under a new primary."""
    return sum(
        1 << index
        for index in MEMBERS
        if index != primary and state.members[index].paused_term
    )


def _is_promoted_again(
    state: State, holder: int, index: int, rules: Rules
) -> bool:
    """Returns whether a call for the recorded primary has taken effect."""
    has_calls = bool(_known(state.unsettled_calls, holder, rules))
    return has_calls and state.members[index].term > state.recorded_term


def _known(calls: tuple[Call, ...], holder: int, rules: Rules) -> list[Call]:
    """Returns the calls of which the holder knows."""
    if Rule.CALL_RECORDED in rules:
        return list(calls)
    return [call for call in calls if call.token == holder + 1]
