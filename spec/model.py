"""The specification as a protocol and invariants for the model checker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import minicheck

from spec import rules, states, steps
from spec.rules import Property, Rule
from spec.states import Kind, Role, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000


def check(
    bounds: steps.Bounds, active_rules: frozenset[Rule] = rules.ALL
) -> dict:
    """Checks every property in every state that is reachable in `bounds`."""
    return minicheck.check_safety(build(bounds, active_rules), MAX_STATES)


def build(
    bounds: steps.Bounds, active_rules: frozenset[Rule]
) -> minicheck.Protocol:
    """Builds the protocol with the given rules active.

    Writes that wait only for the support of their term may be lost at a
    failover, so that only Property.CURRENT_PRIMARY is guaranteed for them.
    """
    system = steps.System(bounds, active_rules)

    def transitions(fields: tuple) -> list[steps.Step]:
        return system.steps(states.State(*fields))

    return minicheck.Protocol(
        name="fescueshunt",
        candidate=False,
        fields=states.State._fields,
        initial=bounds.initial(),
        transitions=transitions,
        invariants={
            prop.name: _to_fields_predicate(predicate)
            for prop, predicate in invariants(active_rules).items()
            if bounds.wait_for_majority or prop is Property.CURRENT_PRIMARY
        },
    )


def invariants(
    active_rules: frozenset[Rule],
) -> dict[Property, Callable[[states.State], bool]]:
    """Returns a predicate over states for each property."""

    def token_reads_see_write(state: states.State) -> bool:
        return all(
            member.has(Kind.WRITE)
            for attempt in _answered_attempts(state, ran=True)
            for member in state.upstreams
            if _admits_token(
                member, attempt.position, Rule.TOKEN_TERM in active_rules
            )
        )

    return {
        Property.DURABLE: _is_durable,
        Property.CURRENT_PRIMARY: _no_stale_acknowledgement,
        Property.READ_YOUR_WRITES: token_reads_see_write,
        Property.AT_MOST_ONCE: _runs_once,
        Property.NOT_RUN_FINAL: _not_run_is_final,
    }


def _to_fields_predicate(
    predicate: Callable[[states.State], bool],
) -> Callable[[dict], bool]:
    return lambda fields: predicate(states.State(**fields))


def _answered_attempts(state: states.State, ran: bool) -> list[states.Attempt]:
    return [
        attempt
        for attempt in state.attempts
        if attempt.stage is Stage.ANSWERED and attempt.ran is ran
    ]


def _newest_primaries(state: states.State) -> list[states.Upstream]:
    newest_term = steps.newest_term(state)
    return [
        member
        for member in state.upstreams
        if member.role is Role.PRIMARY and member.term == newest_term
    ]


def _is_durable(state: states.State) -> bool:
    if not _answered_attempts(state, ran=True):
        return True
    return all(m.has(Kind.WRITE) for m in _newest_primaries(state))


def _no_stale_acknowledgement(state: states.State) -> bool:
    return not any(
        attempt.overtaken for attempt in _answered_attempts(state, ran=True)
    )


def _runs_once(state: states.State) -> bool:
    return all(
        sum(entry.kind is Kind.WRITE for entry in member.log) <= 1
        for member in state.upstreams
    )


def _not_run_is_final(state: states.State) -> bool:
    if not _answered_attempts(state, ran=False):
        return True
    return not any(m.has(Kind.WRITE) for m in _newest_primaries(state))


def _admits_token(
    member: states.Upstream, position: states.Position, check_term: bool
) -> bool:
    if check_term:
        return member.holds(position)
    return len(member.log) >= position.index
